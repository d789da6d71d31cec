//! The right to send one attempt to one target.

use std::net::SocketAddr;
use std::sync::Arc;

use carobdrift_units::Target;

use crate::observation::{Observation, Report};
use crate::permit::Permit;
use crate::pool::Shared;
use crate::state::Ticket;

/// The right to send one attempt to one target. Dropping it without
/// [`Slot::finish`] states that the attempt was cancelled.
#[derive(Debug)]
pub struct Slot {
    pub(crate) shared: Arc<Shared>,
    pub(crate) ticket: Ticket,
    pub(crate) target: Target,
    pub(crate) address: SocketAddr,
    pub(crate) finished: bool,
    pub(crate) _permit: Permit,
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
    /// response is complete. The observation then needs no report of its own.
    pub fn report(&self, report: &Report) {
        self.shared.report(&self.ticket, report);
    }

    /// Gives the slot back with the result of the attempt.
    pub fn finish(mut self, observation: &Observation) {
        self.finished = true;
        self.shared.finish(&self.ticket, Some(observation));
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.finished {
            self.shared.finish(&self.ticket, None);
        }
    }
}
