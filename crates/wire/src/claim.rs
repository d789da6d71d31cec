//! Claims, which ensure that a request with an idempotency key runs at most once.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Error of an invalid idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The key is empty or too long; the value is its length in bytes.
    #[error("an idempotency key has 1 to {MAX_KEY_BYTES} bytes, not {0}")]
    Length(usize),
    /// The key contains a character that is not visible ASCII.
    #[error("an idempotency key holds visible ASCII characters only")]
    Character,
}

/// Idempotency key of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Key(String);

impl Key {
    /// Returns the key as text.
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
        if text.is_empty() || text.len() > MAX_KEY_BYTES {
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

/// Id of one attempt to run a request. The id is random, so that a late `Settle` or
/// `Release` of another attempt has no effect on the claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Attempt(pub u128);

/// Fingerprint of a request: hash of its method and path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

/// Decision on a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// The attempt has the exclusive right to run the request.
    Granted,
    /// Another attempt has the claim and has neither settled nor released it.
    InProgress,
    /// The request has already run. Contains its response if the response was
    /// recorded.
    AlreadyRun(Option<Response>),
    /// The key was first used with another method or path.
    Mismatch,
    /// The key is so old that its record may have been removed.
    Expired,
    /// The key was not issued by this process.
    NotIssuer,
}

/// Response to a request, recorded so that a repeat of the request can be answered
/// with it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Names and values of the header fields, in order.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Complete body.
    pub body: Vec<u8>,
}
