//! The right to send one attempt to one target.

use std::net::SocketAddr;
use std::sync::Arc;

use carobdrift_units::Target;
use tokio::time::Instant;

use crate::observation::{Observation, Report};
use crate::pool::Shared;

/// The right to send one attempt to one target. Dropping it without
/// [`Slot::finish`] states that the attempt was cancelled.
#[derive(Debug)]
pub struct Slot {
    pub(crate) shared: Arc<Shared>,
    pub(crate) ticket: Ticket,
    pub(crate) target: Target,
    pub(crate) address: SocketAddr,
    pub(crate) finished: bool,
}

/// Identity of an attempt within its pool.
#[derive(Debug, Clone)]
pub(crate) struct Ticket {
    /// Serial number of the target's node.
    pub(crate) node: u64,
    /// Serial number of the attempt.
    pub(crate) attempt: u64,
    /// Class of the call.
    pub(crate) class: carobdrift_units::Class,
    /// Moment of the dispatch.
    pub(crate) started: Instant,
}

impl Slot {
    /// The target to send to.
    #[must_use]
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// The address to send to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// States what the head of the response says of the target, before the
    /// response is complete.
    pub fn report(&self, report: &Report) {
        self.shared.report(&self.ticket, report);
    }

    /// Gives the slot back with the result of the attempt.
    pub fn finish(mut self, observation: &Observation) {
        self.finished = true;
        self.shared.finish(&self.ticket, observation);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.finished {
            self.shared.cancel(&self.ticket);
        }
    }
}
