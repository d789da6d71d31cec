//! Client of the platform's table service, object store and instance list.
//!
//! [`Client::open`] returns a handle that is cheap to clone. It calls a
//! [`Backend`], which the adapter of a platform implements. Every call has a
//! timeout; calls that are safe to repeat are retried within a bound. A write
//! whose response was lost ends as [`Error::Unknown`]; the caller resolves it by
//! reading back a row that names its writer.

mod backend;
mod client;
mod error;
mod instance;
mod metrics;
mod table;

pub use backend::{Backend, CallFuture, Range};
pub use client::Client;
pub use error::{Cause, Error};
pub use instance::{Entry, Member, State, Target};
pub use metrics::Metrics;
pub use table::{Commit, Condition, Conflict, Put, Row, Transaction};
