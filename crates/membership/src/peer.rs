//! An entry as seen by another one.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use carobdrift_units::{Incarnation, Instance, Revision, Zone};
use carobdrift_wire::Status;

/// Another entry of the cell.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Instance id.
    pub instance: Instance,
    /// Incarnation of its process, once a link was opened in either direction.
    pub incarnation: Option<Incarnation>,
    /// Availability zone.
    pub zone: Zone,
    /// Address of its caller listener.
    pub caller: SocketAddr,
    /// Address of its administration API.
    pub admin: SocketAddr,
    /// Address of its peer listener.
    pub peer: SocketAddr,
    /// Status in its latest pong.
    pub status: Option<Status>,
    /// When the ping was sent that its latest pong answers.
    pub last_ack: Option<Instant>,
    /// Newest revision that its process stated in a ping or a pong.
    pub revision: Revision,
    /// When its latest ping or pong arrived.
    pub last_received: Option<Instant>,
    /// Whether it counts towards a majority of the cell: it is on the latest
    /// instance list, or no list was read yet.
    pub member: bool,
    /// Whether the instance list or its own status shows it as leaving.
    pub leaving: bool,
    /// Whether a link to it is open.
    pub connected: bool,
}

impl Peer {
    /// Whether it answered a ping that was sent at most `window` before `now`.
    #[must_use]
    pub fn acked_within(&self, window: Duration, now: Instant) -> bool {
        within(self.last_ack, window, now)
    }

    /// Whether a ping or a pong of it arrived at most `window` before `now`.
    #[must_use]
    pub fn received_within(&self, window: Duration, now: Instant) -> bool {
        within(self.last_received, window, now)
    }
}

fn within(moment: Option<Instant>, window: Duration, now: Instant) -> bool {
    moment.is_some_and(|moment| now.saturating_duration_since(moment) <= window)
}
