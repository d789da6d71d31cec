//! Frames and codec of the protocol between entries.
//!
//! A [`Frame`] is the unit of exchange on a link. [`encode`] and [`decode`]
//! turn it into the CBOR bytes of one WebSocket message and back.

mod claim;
mod codec;
mod frame;
mod query;
mod share;
mod status;

pub use claim::{Attempt, Decision, Fingerprint, Key, KeyError, Response};
pub use codec::{DecodeError, EncodeError, MAX_FRAME_BYTES, decode, encode};
pub use frame::{Evidence, Frame, Hello, Refusal, Sample};
pub use query::{Answer, Query, Replica};
pub use share::{Allocation, Demand, Grant, Requisition, Share};
pub use status::{Rate, Status};

/// Protocol version that this build speaks. Raised with every change that an
/// older build can't read.
pub const PROTOCOL_VERSION: u16 = 3;
