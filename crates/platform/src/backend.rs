//! What a platform must offer.

use std::fmt::Debug;
use std::pin::Pin;

use bytes::Bytes;

use crate::error::Cause;
use crate::instance::Member;
use crate::table::{Commit, Conflict, Row, Transaction};

/// A call of the platform. Dropping it gives the call up.
pub type CallFuture<T> = Pin<Box<dyn Future<Output = Result<T, Cause>> + Send>>;

/// A platform, as [`Client`](crate::Client) calls it. Every call is made once
/// and has no time limit of its own: repeats and timeouts are the client's.
pub trait Backend: Debug + Send + Sync {
    /// Reads rows in key order.
    fn rows(&self, range: Range) -> CallFuture<Vec<Row>>;

    /// Runs a transaction, or returns the conditions that did not hold.
    fn transact(&self, transaction: Transaction) -> CallFuture<Result<Commit, Vec<Conflict>>>;

    /// Writes a whole object.
    fn put_object(&self, name: String, body: Bytes) -> CallFuture<()>;

    /// Reads a whole object; `None` when it is absent.
    fn get_object(&self, name: String) -> CallFuture<Option<Bytes>>;

    /// Reads the instance list.
    fn instances(&self) -> CallFuture<Vec<Member>>;
}

/// Keys to read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Range {
    /// First key.
    pub from: String,
    /// Key before which the range ends.
    pub to: String,
    /// Rows to return at most.
    pub limit: u32,
}

impl Range {
    /// One key.
    pub(crate) fn of_key(key: &str) -> Self {
        Self {
            from: key.to_owned(),
            to: successor(key),
            limit: 1,
        }
    }

    /// Keys that start with `prefix` and follow `after`.
    pub(crate) fn of_prefix(prefix: &str, after: &str, limit: u32) -> Self {
        Self {
            from: if after < prefix {
                prefix.to_owned()
            } else {
                successor(after)
            },
            // Keys are text, and no text sorts after the last character.
            to: format!("{prefix}{}", char::MAX),
            limit,
        }
    }
}

/// The smallest key after this one.
fn successor(key: &str) -> String {
    format!("{key}\0")
}
