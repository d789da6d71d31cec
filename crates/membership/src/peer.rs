//! State of another entry of the cell.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use carobdrift_units::{Incarnation, Instance, Revision, Zone};
use carobdrift_wire::Status;

/// Entry of the cell other than this one.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Instance id.
    pub instance: Instance,
    /// Incarnation of the peer's process; `None` until a link has been opened in
    /// either direction.
    pub incarnation: Option<Incarnation>,
    /// Availability zone.
    pub zone: Zone,
    /// Address of the peer's caller listener.
    pub caller: SocketAddr,
    /// Address of the peer's administration API.
    pub admin: SocketAddr,
    /// Address of the peer's own peer listener.
    pub peer: SocketAddr,
    /// Status from the pong to the ping in `last_ack`.
    pub status: Option<Status>,
    /// Time at which the latest ping that the peer has answered was sent.
    pub last_ack: Option<Instant>,
    /// Newest revision that the peer's process reported in a ping or a pong.
    pub revision: Revision,
    /// Time at which the latest ping or pong of the peer was received.
    pub last_received: Option<Instant>,
    /// Whether the peer counts towards a majority of the cell: the peer is on the
    /// latest instance list, or no list has been read yet.
    pub member: bool,
    /// Whether the peer is leaving according to the instance list or to its status.
    pub leaving: bool,
    /// Whether a link to the peer is open.
    pub connected: bool,
}

impl Peer {
    /// Returns whether the peer answered a ping that was sent at most `window`
    /// before `now`.
    #[must_use]
    pub fn acked_within(&self, window: Duration, now: Instant) -> bool {
        within(self.last_ack, window, now)
    }

    /// Returns whether a ping or a pong of the peer was received at most `window`
    /// before `now`.
    #[must_use]
    pub fn received_within(&self, window: Duration, now: Instant) -> bool {
        within(self.last_received, window, now)
    }
}

fn within(time: Option<Instant>, window: Duration, now: Instant) -> bool {
    time.is_some_and(|time| now.saturating_duration_since(time) <= window)
}
