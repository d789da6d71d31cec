//! What the entries of an installation tell each other.
//!
//! Entries beat to each other by datagrams and pass on changes of targets the
//! same way; a desired state, and whatever a lost datagram left out, is fetched
//! as a [`Snapshot`] over TCP. There is no coordinator: each entry keeps a
//! [`Roster`] of its own.

mod datagram;
mod peers;
mod roster;
mod snapshot;

pub use datagram::{Beat, Phase, Row, Rows};
pub use peers::{Event, Peers, Settings};
pub use roster::{Peer, Roster};
pub use snapshot::{FetchError, Snapshot, fetch};
