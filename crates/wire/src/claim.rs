//! Claims on the right to run a request once.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest idempotency key, in bytes.
const KEY_LIMIT: usize = 256;

/// Why a text is not a valid idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The key has no characters or too many.
    #[error("an idempotency key has 1 to {KEY_LIMIT} bytes, not {0}")]
    Length(usize),
    /// The key holds a character that is not visible ASCII.
    #[error("an idempotency key holds visible ASCII characters only")]
    Character,
}

/// Idempotency key of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Key(String);

impl Key {
    /// The key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Key {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        if text.is_empty() || text.len() > KEY_LIMIT {
            return Err(KeyError::Length(text.len()));
        }
        if !text.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(KeyError::Character);
        }
        Ok(Self(text.to_owned()))
    }
}

impl TryFrom<String> for Key {
    type Error = KeyError;

    fn try_from(text: String) -> Result<Self, KeyError> {
        text.parse()
    }
}

impl From<Key> for String {
    fn from(key: Key) -> Self {
        key.0
    }
}

/// Identity of one attempt to run a request; a random number, so that a late
/// settlement or release of another attempt has no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Attempt(pub u128);

/// Hash of the method and the path that a key was first used with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

/// Decision on a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// The attempt may run the request; nobody else may.
    Granted,
    /// Another attempt holds the claim and has not settled it.
    InProgress,
    /// The request ran; its response is attached when it was kept.
    AlreadyRun(Option<Response>),
    /// The key was used with another method or path.
    Mismatch,
    /// The key is too old for its record to be known.
    Expired,
    /// The key was not issued by this process.
    NotIssuer,
}

/// A recorded response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Header fields in order; values as bytes.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The whole body.
    pub body: Vec<u8>,
}
