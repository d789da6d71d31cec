//! Contents of the messages between entries and grantors.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::key::Key;

/// Request for tokens of several keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Sequence number of the request at its entry.
    pub sequence: u32,
    /// Demand by key.
    pub demands: Vec<(Key, Demand)>,
}

/// What an entry requests of one key, and what it returns.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Tokens that the entry requests.
    pub wanted: u32,
    /// Unused tokens that the entry gives up.
    pub returned: u32,
}

/// Answer to a [`Request`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
    /// Sequence number of the request.
    pub sequence: u32,
    /// One grant for each demand, in the same order; `None` if the responding entry is
    /// not the grantor of the key.
    pub grants: Vec<Option<Grant>>,
}

/// Tokens that a grantor grants of one key.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Granted tokens.
    pub tokens: u32,
    /// Time until a further token is due, in milliseconds; 0 if all wanted tokens were
    /// granted.
    pub due_ms: u32,
}

impl Grant {
    /// Returns the time until a further token is due.
    #[must_use]
    pub fn due(&self) -> Duration {
        Duration::from_millis(self.due_ms.into())
    }
}
