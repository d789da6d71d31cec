//! Statements of targets about themselves.

use std::collections::HashMap;
use std::net::SocketAddr;

use carobdrift_units::Target;
use tokio::time::Instant;

use crate::candidate::Endpoint;

/// Number of statements from which those that no longer matter are dropped.
const MAX_STATEMENTS: usize = 4096;

/// Statements that targets made in their responses. A statement applies to one
/// process of a target, whatever its registration says: a registration can be
/// older than the statement, and can expire and return while the store fails.
#[derive(Debug, Default)]
pub(crate) struct Statements {
    by_target: HashMap<Target, Statement>,
    /// End of the last pause of any target. While there is none, a choice among
    /// hundreds of targets needs no lookups.
    last_pause_end: Option<Instant>,
}

#[derive(Debug)]
struct Statement {
    /// Start and address of the process that made the statement.
    process: (u64, SocketAddr),
    leaving: bool,
    /// End of the time for which the target wants no requests.
    paused_until: Option<Instant>,
}

impl Statements {
    /// Records that a target is leaving and accepts no new requests.
    pub(crate) fn record_leaving(&mut self, endpoint: &Endpoint, now: Instant) {
        if let Some(statement) = self.entry(endpoint, now) {
            statement.leaving = true;
        }
    }

    /// Records that a target wants no requests until a time.
    pub(crate) fn record_pause(&mut self, endpoint: &Endpoint, until: Instant, now: Instant) {
        self.last_pause_end = self.last_pause_end.max(Some(until));
        if let Some(statement) = self.entry(endpoint, now) {
            statement.paused_until = statement.paused_until.max(Some(until));
        }
    }

    /// Whether the target stated that it is leaving.
    pub(crate) fn is_leaving(&self, endpoint: &Endpoint) -> bool {
        self.find(endpoint)
            .is_some_and(|statement| statement.leaving)
    }

    /// Returns the end of the time for which the target wants no requests, unless
    /// it is over.
    pub(crate) fn paused_until(&self, endpoint: &Endpoint, now: Instant) -> Option<Instant> {
        if self.last_pause_end <= Some(now) {
            return None;
        }
        let until = self.find(endpoint)?.paused_until?;
        (until > now).then_some(until)
    }

    fn find(&self, endpoint: &Endpoint) -> Option<&Statement> {
        let statement = self.by_target.get(&endpoint.id)?;
        (statement.process == process(endpoint)).then_some(statement)
    }

    /// Returns the statement of a process, or `None` if a later process of the
    /// target has made one.
    fn entry(&mut self, endpoint: &Endpoint, now: Instant) -> Option<&mut Statement> {
        if self.by_target.len() >= MAX_STATEMENTS {
            self.by_target
                .retain(|_, statement| statement.leaving || statement.paused_until > Some(now));
        }
        if self.by_target.len() >= MAX_STATEMENTS {
            // Targets that left long ago; those that still respond repeat the
            // statement in each response.
            self.by_target.clear();
        }
        let fresh = || Statement {
            process: process(endpoint),
            leaving: false,
            paused_until: None,
        };
        let statement = self
            .by_target
            .entry(endpoint.id.clone())
            .or_insert_with(fresh);
        if statement.process.0 > endpoint.started_ms {
            return None;
        }
        if statement.process != process(endpoint) {
            *statement = fresh();
        }
        Some(statement)
    }
}

fn process(endpoint: &Endpoint) -> (u64, SocketAddr) {
    (endpoint.started_ms, endpoint.address)
}
