//! Links between the entries of a cell and the view of their peers.
//!
//! [`Links::bind`] opens the peer listener, reads the platform's instance list
//! and keeps one link to each other entry of the cell. Frames and queries of
//! peers arrive in the [`Inbox`]. What the other entries state of themselves,
//! and when each was last heard, is shown by [`Links::peers`].

mod dialler;
mod error;
mod inbox;
mod links;
mod list;
mod listener;
mod metrics;
mod outbound;
mod peer;
mod roster;
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
