//! Client of the platform's table service, object store and instance list.
//!
//! [`Client::open`] returns a client that is cheap to clone. The client calls a
//! [`Backend`], which the adapter of a platform implements. Every call has a
//! timeout; calls that are safe to repeat are retried a limited number of times.
//! A write whose response was lost fails with [`Error::Unknown`]; the caller
//! learns the outcome by reading back a row that names its writer.

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
