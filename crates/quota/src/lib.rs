//! Limits on the sum over all entries: the decisions, without network and tasks.
//!
//! One entry, the *grantor* of a [`Key`], keeps the [`Bucket`] of the key in its
//! [`Allocator`] and grants tokens from it. The other entries request tokens and spend
//! them from their [`Accounts`]. What all entries spend is bounded by what one bucket
//! issued, however callers move between entries. [`grantor`] derives the grantor of a
//! key from the candidates.

mod account;
mod accounts;
mod allocator;
mod allowance;
mod bucket;
mod key;
mod message;
mod window;

pub use account::{Decision, Token};
pub use accounts::{Accounts, REPEAT_INTERVAL, RESPONSE_TIMEOUT};
pub use allocator::Allocator;
pub use bucket::{Bucket, Limit};
pub use key::{Key, grantor};
pub use message::{Demand, Grant, Grants, Request};
