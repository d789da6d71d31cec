//! Permission to send one attempt to one target.

use std::net::SocketAddr;
use std::sync::Arc;

use carobdrift_units::Target;

use crate::observation::{Observation, Report};
use crate::permit::Permit;
use crate::pool::Shared;
use crate::state::Ticket;

/// Permission to send one attempt to one target. Dropping the slot without a
/// call to [`Slot::finish`] means that the attempt was cancelled.
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
    /// Returns the target of the attempt.
    #[must_use]
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// Returns the address of the target.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Records the report in the response headers before the response is
    /// complete. The final observation then needs no report.
    pub fn report(&self, report: &Report) {
        self.shared.report(&self.ticket, report);
    }

    /// Releases the slot with the result of the attempt.
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
