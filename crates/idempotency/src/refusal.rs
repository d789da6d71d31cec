//! Refusals of a claim.

use carobdrift_wire::{Decision, Response};
use thiserror::Error;

use crate::prefix::PrefixError;

/// Refusal of a claim. The attempt that made the claim did not run.
#[derive(Debug, Error)]
pub enum Refusal {
    /// The request ran before, with this response.
    #[error("the request ran before and its response is replayed")]
    Replay(Response),
    /// The request ran before, and its response was not kept.
    #[error("the request ran before and its response was not kept")]
    AlreadyRun,
    /// Another attempt holds the claim.
    #[error("another attempt with this key is in progress or its outcome is unknown")]
    InProgress,
    /// The key was used with another service, method or path.
    #[error("the key was used with another service, method or path")]
    Mismatch,
    /// The record of the key may have been dropped, because the key is too old.
    #[error("the key is too old; an earlier attempt may have run")]
    Expired,
    /// The entry that decides on the key can't be reached.
    #[error("the entry that decides on the key can't be reached")]
    DeciderUnreachable,
    /// The platform's table can't be reached, or its state is unknown.
    #[error("the table that decides on the key can't be reached")]
    StoreUnavailable,
    /// This entry's rate limit of writes to the table is exceeded.
    #[error("too many claims of callers' own keys at this entry")]
    RateLimited,
    /// The key does not have the form of an issued key.
    #[error(transparent)]
    Malformed(#[from] PrefixError),
}

impl Refusal {
    /// Returns the reason as used in responses and as a metric label.
    #[must_use]
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Replay(_) => "replayed",
            Self::AlreadyRun => "already-run",
            Self::InProgress => "in-progress",
            Self::Mismatch => "key-mismatch",
            Self::Expired => "key-expired",
            Self::DeciderUnreachable => "decider-unreachable",
            Self::StoreUnavailable => "store-unavailable",
            Self::RateLimited => "key-rate",
            Self::Malformed(_) => "malformed-key",
        }
    }

    /// Returns the refusal of a decision; `None` if the decision is a grant.
    pub(crate) fn from_decision(decision: Decision) -> Option<Self> {
        match decision {
            Decision::Granted => None,
            Decision::InProgress => Some(Self::InProgress),
            Decision::AlreadyRun(Some(recorded)) => Some(Self::Replay(recorded)),
            Decision::AlreadyRun(None) => Some(Self::AlreadyRun),
            Decision::Mismatch => Some(Self::Mismatch),
            Decision::Expired => Some(Self::Expired),
            // The process that issued the key has ended, and its records are
            // lost.
            Decision::NotIssuer => Some(Self::DeciderUnreachable),
        }
    }
}
