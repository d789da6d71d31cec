//! Frames and codec of the protocol between entries.
//!
//! A [`Frame`] is one message on a link. [`encode`] returns it as the CBOR bytes of
//! one WebSocket message, and [`decode`] parses these bytes.

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

/// Protocol version of this build. Incremented with every change that older builds
/// can't decode.
pub const PROTOCOL_VERSION: u16 = 3;
