//! Refusals of a claim.

use carobdrift_wire::{Decision, Response};
use thiserror::Error;

use crate::prefix::PrefixError;

/// Why an attempt must not run. In all cases this attempt did not run.
#[derive(Debug, Error)]
pub enum Refusal {
    /// The request ran before; this is its response.
    #[error("the request ran before and its response is replayed")]
    Replay(Response),
    /// The request ran before; its response was not kept.
    #[error("the request ran before and its response was not kept")]
    AlreadyRun,
    /// Another attempt holds the claim.
    #[error("another attempt with this key is in progress or its outcome is unknown")]
    InProgress,
    /// The key was used with another service, method or path.
    #[error("the key was used with another service, method or path")]
    Mismatch,
    /// The key is too old for its record to be known.
    #[error("the key is too old; an earlier attempt may have run")]
    Expired,
    /// The entry that decides on the key can't be asked.
    #[error("the entry that decides on the key can't be reached")]
    DeciderUnreachable,
    /// The platform's table can't be asked.
    #[error("the table that decides on the key can't be reached")]
    StoreUnavailable,
    /// This entry's writes to the table are limited.
    #[error("too many claims of callers' own keys at this entry")]
    RateLimited,
    /// The key is not an issued key.
    #[error(transparent)]
    Malformed(#[from] PrefixError),
}

impl Refusal {
    /// The reason as a response reason and a metric label.
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

    /// The refusal that a decision means; `None` when it is a grant.
    pub(crate) fn from_decision(decision: Decision) -> Option<Self> {
        match decision {
            Decision::Granted => None,
            Decision::InProgress => Some(Self::InProgress),
            Decision::AlreadyRun(Some(recorded)) => Some(Self::Replay(recorded)),
            Decision::AlreadyRun(None) => Some(Self::AlreadyRun),
            Decision::Mismatch => Some(Self::Mismatch),
            Decision::Expired => Some(Self::Expired),
            // The process that issued the key is gone, and its records with it.
            Decision::NotIssuer => Some(Self::DeciderUnreachable),
        }
    }
}
