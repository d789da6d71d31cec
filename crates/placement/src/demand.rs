//! What requests that wait for a slot need, and their refusal.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

/// What a request needs, and until when its answer is of use.
#[derive(Debug, Clone)]
pub struct Demand {
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Name of the workspace, if the request has one.
    pub workspace: Option<Arc<str>>,
    /// Expected service time at normal speed.
    pub work: Duration,
    /// Time at which the request began to wait.
    pub received: Instant,
    /// Target latency of the route.
    pub target_latency: Duration,
    /// Latest start at which the answer meets the target latency.
    pub start_by: Instant,
    /// Latest start at which the answer meets the deadline.
    pub last_start: Instant,
}

/// Identifies a request in a [`Queue`]; later requests have larger ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(crate) u64);

/// Request that was refused.
#[derive(Debug)]
pub struct Refused<T> {
    /// Ticket of the request.
    pub ticket: Ticket,
    /// The refused request, as it was added.
    pub waiter: T,
    /// What the request needed.
    pub demand: Demand,
    /// Why the request was refused.
    pub reason: Reason,
    /// The request that gets the next slot, if another one waits.
    pub instead: Option<Demand>,
    /// Time until capacity is expected.
    pub capacity_in: Duration,
}

/// Why a waiting request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Its deadline can no longer be met.
    Expired,
    /// The capacity expected in its time is used by requests that are preferred to
    /// it.
    Displaced,
}

/// Request that was refused for lack of capacity. Until its answer would miss the target
/// latency, less urgent requests that need as much work are refused too.
#[derive(Debug)]
pub(crate) struct Floor {
    pub(crate) until: Instant,
    pub(crate) priority: u32,
    pub(crate) work: Duration,
}

impl Floor {
    /// Whether this floor blocks all that `other` blocks, for as long.
    pub(crate) fn covers(&self, other: &Self) -> bool {
        self.until >= other.until && self.priority <= other.priority && self.work <= other.work
    }

    pub(crate) fn blocks(&self, demand: &Demand) -> bool {
        self.priority < demand.priority && self.work <= demand.work
    }
}
