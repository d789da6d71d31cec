//! Membership and change propagation among the entries of an installation.
//!
//! In each availability zone the entries with the lowest addresses are its
//! *hubs*. Every entry sends heartbeats to the hubs of its zone. A hub sends
//! digests of the membership and changes of targets to all entries of its zone
//! and to the hubs of the other zones, so the traffic between zones grows with
//! the number of zones, not of entries. There is no coordinator: each entry
//! keeps its own [`Membership`] and derives the hubs from it. Data that was
//! missed because a datagram was lost is fetched as a [`Snapshot`].

mod datagram;
mod digest;
mod membership;
mod peers;
mod snapshot;

pub use datagram::{Delta, Heartbeat, Phase, Row, StoreHealth, Watermark};
pub use membership::{Membership, Peer};
pub use peers::{Event, Peers, Settings};
pub use snapshot::{Baseline, FetchError, Snapshot, Targets, fetch};
