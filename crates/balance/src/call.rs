//! Calls that ask for a target, and refusals.

use carobdrift_document::Kind;
use carobdrift_units::Class;
use thiserror::Error;
use tokio::time::Instant;

/// A request that needs a target.
#[derive(Debug, Clone)]
pub struct Call {
    /// Class of the request's route.
    pub class: Class,
    /// Whether the request may run more than once.
    pub kind: Kind,
    /// Moment by which the caller must be answered.
    pub deadline: Instant,
}

/// Why a request needs one more target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// The last attempt failed; another target is preferred.
    Retry,
    /// The last attempt failed on a connection that is under suspicion; the
    /// same target is tried over a new connection. Spends the retry budget.
    Reconnect,
    /// The first attempt is slow; a second one races it on another target.
    Hedge,
}

/// Whose limit is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// The limit of the team, over all of its services.
    Team,
    /// The limit of the service.
    Service,
    /// The limit of the class.
    Class,
}

/// Why a call got no target. The request was not sent anywhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Shed {
    /// The deadline passed, or would pass before the request could be sent.
    #[error("the deadline can't be met")]
    Deadline,
    /// The queue of the class is full.
    #[error("the queue of the class is full")]
    QueueFull,
    /// This entry's share of a limit is used up.
    #[error("a limit is reached")]
    Limit(Scope),
    /// No target takes new requests.
    #[error("no target takes new requests")]
    NoTarget,
}

impl Shed {
    /// The reason as a metric label and a response reason.
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
