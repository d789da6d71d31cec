//! Calls that need a target, and the reasons for which they are shed.

use carobdrift_document::Kind;
use carobdrift_units::Class;
use thiserror::Error;
use tokio::time::Instant;

/// Request that needs a target.
#[derive(Debug, Clone)]
pub struct Call {
    /// Class of the request's route.
    pub class: Class,
    /// Idempotency of the request, which decides whether it may run more than
    /// once.
    pub kind: Kind,
    /// Time by which the caller must be answered.
    pub deadline: Instant,
}

/// Reason for an additional attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// The previous attempt failed. A target that was not tried yet is
    /// preferred.
    Retry,
    /// The previous attempt failed on a connection that may have been stale.
    /// The same target is preferred, over a new connection. Spends the retry
    /// budget.
    Reconnect,
    /// The first attempt is slow. A second attempt is sent to another target,
    /// and the first answer wins.
    Hedge,
}

/// Scope of a limit that was reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Limit of the team, over all of its services.
    Team,
    /// Limit of the service.
    Service,
    /// Limit of the class.
    Class,
}

/// Reason for which a call was shed. The request was not sent to any target.
/// The message is part of the response to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Shed {
    /// The deadline has passed, or would pass before a slot is free.
    #[error("the deadline can't be met")]
    Deadline,
    /// The queue of the class is full.
    #[error("the queue of the class is full")]
    QueueFull,
    /// This entry's share of a limit is exhausted.
    #[error("a limit is reached")]
    Limit(Scope),
    /// No target accepts new requests.
    #[error("no target takes new requests")]
    NoTarget,
}

impl Shed {
    /// Returns the reason as it appears in metric labels and responses.
    #[must_use]
    pub fn reason(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::QueueFull => "queue-full",
            Self::Limit(Scope::Team) => "team-limit",
            Self::Limit(Scope::Service) => "service-limit",
            Self::Limit(Scope::Class) => "class-limit",
            Self::NoTarget => "no-target",
        }
    }
}
