//! Links between the entries of a cell, and the state of the peers.
//!
//! [`Links::bind`] opens the peer listener, reads the platform's instance list
//! and maintains one link to each other entry of the cell. Frames and queries of
//! peers arrive in the [`Inbox`]. [`Links::peers`] returns the status that each
//! peer reported and the time of its last answer.

mod dialler;
mod directory;
mod error;
mod inbox;
mod links;
mod list;
mod listener;
mod metrics;
mod outbound;
mod peer;
mod settings;
mod socket;
mod status;

pub use error::{Error, QueryError};
pub use inbox::{Envelope, Inbox, Responder};
pub use links::Links;
pub use metrics::Metrics;
pub use peer::Peer;
pub use settings::Settings;
pub use status::{Confirmation, Serving};
