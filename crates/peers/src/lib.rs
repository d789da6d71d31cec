//! What the entries of an installation tell each other.
//!
//! The first entries of each availability zone are its *hubs*. Every entry beats
//! to the hubs of its zone; a hub tells all entries of its zone, and the hubs of
//! the other zones, which entries there are and what is new. The cost between
//! zones therefore grows with the number of zones, not of entries. There is no
//! coordinator: each entry keeps a [`Membership`] of its own and derives the hubs
//! from it. Whatever a lost datagram left out is fetched as a [`Snapshot`].

mod datagram;
mod digest;
mod membership;
mod peers;
mod snapshot;

pub use datagram::{Delta, Heartbeat, Phase, Row, StoreHealth, Watermark};
pub use membership::{Membership, Peer};
pub use peers::{Event, Peers, Settings};
pub use snapshot::{Baseline, FetchError, Snapshot, Targets, fetch};
