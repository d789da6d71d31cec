//! Membership and change propagation among the entries of an installation.
//!
//! In each availability zone the two entries with the largest capacity, and among equal
//! ones with the lowest addresses, are its *hubs*. Every entry sends heartbeats to the hubs of its zone. A hub sends
//! digests of the membership and changes of targets to all entries of its zone
//! and to the hubs of the other zones, so the traffic between zones grows with
//! the number of zones, not of entries. There is no coordinator: each entry
//! keeps its own [`Membership`] and derives the hubs from it. Desired states, and
//! changes of targets that were missed because a datagram was lost, are fetched: as an
//! [`Update`] and as [`Targets`]. An entry sends few large ones at a time and refers
//! other requesters to entries that have the data already.

mod answer;
mod datagram;
mod digest;
mod fetch;
mod membership;
mod peers;
mod quota;
mod server;
mod transfer;

pub use answer::{Answer, Targets, Update};
pub use datagram::{Delta, Evacuation, Heartbeat, Phase, Row, StoreHealth, Watermark};
pub use fetch::{FetchError, fetch_state, fetch_targets};
pub use membership::{Candidate, Contact, Identity, Membership, Peer};
pub use peers::{Data, Event, Peers, Settings};
