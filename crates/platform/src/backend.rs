//! Interface that the adapter of a platform implements.

use std::fmt::Debug;
use std::pin::Pin;

use bytes::Bytes;

use crate::error::Cause;
use crate::instance::Member;
use crate::table::{Commit, Conflict, Row, Transaction};

/// Future of a call to the platform. Dropping it cancels the call.
pub type CallFuture<T> = Pin<Box<dyn Future<Output = Result<T, Cause>> + Send>>;

/// Backend of a [`Client`](crate::Client). Each method makes one call without a
/// timeout; the client retries calls and bounds their time.
pub trait Backend: Debug + Send + Sync {
    /// Reads rows in key order.
    fn rows(&self, range: Range) -> CallFuture<Vec<Row>>;

    /// Runs a transaction, or returns the conditions that were not met.
    fn transact(&self, transaction: Transaction) -> CallFuture<Result<Commit, Vec<Conflict>>>;

    /// Writes a whole object.
    fn put_object(&self, name: String, body: Bytes) -> CallFuture<()>;

    /// Reads a whole object; `None` when it is absent.
    fn get_object(&self, name: String) -> CallFuture<Option<Bytes>>;

    /// Reads the instance list.
    fn instances(&self) -> CallFuture<Vec<Member>>;
}

/// Range of keys to read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Range {
    /// First key.
    pub from: String,
    /// Exclusive upper bound of the keys.
    pub to: String,
    /// Maximum number of rows to return.
    pub limit: u32,
}

impl Range {
    /// Returns the range that holds one key.
    pub(crate) fn of_key(key: &str) -> Self {
        Self {
            from: key.to_owned(),
            to: successor(key),
            limit: 1,
        }
    }

    /// Returns the range of the keys that start with `prefix` and follow `after`.
    pub(crate) fn of_prefix(prefix: &str, after: &str, limit: u32) -> Self {
        Self {
            from: if after < prefix {
                prefix.to_owned()
            } else {
                successor(after)
            },
            // Keys are text, and no character sorts after `char::MAX`.
            to: format!("{prefix}{}", char::MAX),
            limit,
        }
    }
}

/// Returns the smallest key that sorts after `key`.
fn successor(key: &str) -> String {
    format!("{key}\0")
}
