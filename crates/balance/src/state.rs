//! State of a pool, protected by its lock.

use std::collections::BTreeMap;
use std::sync::Arc;

use carobdrift_document::Document;
use carobdrift_units::{Class, Target, Version};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::budget::Budget;
use crate::class::Traffic;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::observation::{Departure, Evidence, Observation, Outcome, Report};
use crate::permit::Permit;
use crate::policy::Policy;
use crate::pool::Config;
use crate::queue::{Answer, Position, Queue};
use crate::quota::Quota;

/// State of a pool.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) document: Arc<Document>,
    pub(crate) version: Version,
    pub(crate) nodes: BTreeMap<u64, Node>,
    pub(crate) policy: Policy,
    pub(crate) queue: Queue,
    pub(crate) polling: bool,
    pub(crate) classes: BTreeMap<Class, Traffic>,
    pub(crate) quota: Quota,
    pub(crate) retries: Budget,
    pub(crate) hedges: Budget,
    pub(crate) config: Config,
    pub(crate) metrics: Metrics,
    serial: u64,
    pub(crate) attempts: u64,
}

/// Effects of a state change, carried out after the lock is released because
/// dropping a slot acquires the lock again.
#[derive(Debug, Default)]
pub(crate) struct Effects {
    pub(crate) replies: Vec<(oneshot::Sender<Answer>, Answer)>,
    pub(crate) departures: Vec<Departure>,
}

/// Identity of an attempt within its pool.
#[derive(Debug, Clone)]
pub(crate) struct Ticket {
    /// Serial number of the target's node.
    pub(crate) node: u64,
    /// Serial number of the attempt.
    pub(crate) attempt: u64,
    /// Class of the call.
    pub(crate) class: Class,
    /// Whether the attempt is a hedge.
    pub(crate) hedge: bool,
}

/// Admission of a call: sent to a target, or queued.
#[derive(Debug)]
pub(crate) enum Admitted {
    Sent(Ticket, Permit),
    Queued(Position, oneshot::Receiver<Answer>),
}

impl State {
    pub(crate) fn new(
        document: Arc<Document>,
        version: Version,
        quota: Quota,
        config: Config,
        metrics: Metrics,
    ) -> Self {
        let mut state = Self {
            version,
            nodes: BTreeMap::new(),
            policy: Policy::new(document.balancing.policy),
            queue: Queue::default(),
            polling: false,
            classes: BTreeMap::new(),
            quota,
            retries: Budget::new(document.retries.budget_percent),
            hedges: Budget::new(document.hedging.budget_percent),
            config,
            metrics,
            serial: 0,
            attempts: 0,
            document,
        };
        let document = Arc::clone(&state.document);
        let mut effects = Effects::default();
        // A new entry knows no target. A slow start of all targets would only
        // reduce its capacity.
        state.apply(&document, None, &mut effects);
        state
    }

    /// Applies a document version.
    pub(crate) fn reload(
        &mut self,
        document: Arc<Document>,
        version: Version,
        now: Instant,
        effects: &mut Effects,
    ) {
        self.version = version;
        if self.policy.rule() != document.balancing.policy {
            self.policy = Policy::new(document.balancing.policy);
        }
        self.retries.reload(document.retries.budget_percent);
        self.hedges.reload(document.hedging.budget_percent);
        self.apply(&document, Some(now), effects);
        self.document = document;
    }

    fn apply(&mut self, document: &Document, now: Option<Instant>, effects: &mut Effects) {
        for node in self.nodes.values_mut() {
            node.retired = true;
        }
        for endpoint in &document.targets {
            let mut nodes = self.nodes.values_mut();
            let is_active = endpoint.state == carobdrift_document::State::Active;
            let node = if let Some(node) = nodes.find(|node| node.endpoint.id == endpoint.id) {
                let has_moved = node.endpoint.address != endpoint.address;
                node.retired = false;
                node.endpoint = endpoint.clone();
                if has_moved && let Some(now) = now {
                    node.reset(now);
                }
                node
            } else {
                self.serial += 1;
                let node = Node::new(self.serial, endpoint.clone(), now);
                self.nodes.entry(self.serial).or_insert(node)
            };
            let was_leaving = node.lifecycle.leaving().is_some();
            let is_back = node.lifecycle.reload(self.version, is_active);
            if is_back && let Some(now) = now {
                log::info!(target: "balance", "{}: target {} is back in service", document.service, endpoint.id);
                node.reset(now);
            }
            if !is_active && !was_leaving {
                effects.departures.push(Departure {
                    service: document.service.clone(),
                    target: endpoint.id.clone(),
                    evidence: Evidence::Document,
                    start: node.lifecycle.start().map(str::to_owned),
                    version: self.version,
                });
            }
        }
        self.nodes
            .retain(|_, node| !node.retired || node.in_flight() > 0);
        let classes = document.classes.iter();
        self.queue
            .reload(classes.map(|class| (&class.name, class.weight, class.max_queue)));
        self.classes
            .retain(|class, _| document.classes.iter().any(|listed| listed.name == *class));
        for (class, traffic) in &mut self.classes {
            traffic.reload(document, class);
        }
        if let Some(now) = now {
            self.enforce_ejection_cap(now);
        }
    }

    /// Records the report in the response headers.
    pub(crate) fn report(
        &mut self,
        ticket: &Ticket,
        report: &Report,
        now: Instant,
        effects: &mut Effects,
    ) {
        let Some(node) = self.nodes.get_mut(&ticket.node) else {
            return;
        };
        let start = report.start.as_deref();
        if start.is_some_and(|start| node.lifecycle.is_past(start)) {
            return;
        }
        node.report(report, now);
        let target = node.endpoint.id.clone();
        if let Some(start) = start {
            node.record_start(start, now);
        }
        if report.draining {
            self.mark_leaving(&target, Evidence::Response, start, None, now, effects);
        }
    }

    /// Ends an attempt. Without an observation the attempt was cancelled.
    pub(crate) fn finish(
        &mut self,
        ticket: &Ticket,
        observation: Option<&Observation>,
        now: Instant,
        effects: &mut Effects,
    ) {
        if let Some(observation) = observation {
            self.report(ticket, &observation.report, now, effects);
        }
        let Some(node) = self.nodes.get_mut(&ticket.node) else {
            return;
        };
        let attempt = ticket.attempt;
        let mut should_eject = false;
        let mut latency = None;
        let mut cancelled = None;
        match observation.map(|observation| observation.outcome) {
            Some(Outcome::Success) => latency = node.succeed(attempt, now),
            Some(Outcome::Failure) => should_eject = node.fail(attempt, true, now),
            Some(Outcome::TimedOut) => should_eject = node.fail(attempt, false, now),
            Some(Outcome::Refused) => node.refuse(attempt, now),
            Some(Outcome::Connection) => {
                node.cancel(attempt, now);
            }
            None => cancelled = node.cancel(attempt, now),
        }
        if node.retired && node.in_flight() == 0 {
            self.nodes.remove(&ticket.node);
        } else if should_eject {
            self.eject(ticket.node, now);
        }
        if let Some(seconds) = latency {
            let traffic = self.traffic(&ticket.class, now);
            traffic.attempts.observe(seconds);
            if !ticket.hedge {
                traffic.latency.record(seconds, now);
            }
        }
        if let Some(seconds) = cancelled
            && !ticket.hedge
        {
            self.traffic(&ticket.class, now)
                .latency
                .record_cancelled(seconds, now);
        }
    }

    /// Marks a target as leaving. `seen_in` is the document version that was in
    /// force where the departure was seen; `None` stands for the version in
    /// force here.
    pub(crate) fn mark_leaving(
        &mut self,
        target: &Target,
        evidence: Evidence,
        start: Option<&str>,
        seen_in: Option<Version>,
        now: Instant,
        effects: &mut Effects,
    ) {
        let version = seen_in.unwrap_or(self.version);
        let Some(node) = self.node_mut(target) else {
            return;
        };
        if let Some(start) = start {
            if node.lifecycle.is_past(start) {
                return;
            }
            node.record_start(start, now);
        }
        if !node.lifecycle.mark(evidence, version) {
            return;
        }
        let start = node.lifecycle.start().map(str::to_owned);
        let service = self.document.service.clone();
        log::info!(target: "balance", "{service}: target {target} is leaving ({evidence:?})");
        effects.departures.push(Departure {
            service,
            target: target.clone(),
            evidence,
            start,
            version,
        });
        self.enforce_ejection_cap(now);
    }

    pub(crate) fn node_mut(&mut self, target: &Target) -> Option<&mut Node> {
        let mut nodes = self.nodes.values_mut();
        nodes.find(|node| !node.retired && node.endpoint.id == *target)
    }
}
