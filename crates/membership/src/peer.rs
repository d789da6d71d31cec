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
    pub heard: Option<Instant>,
    /// Newest revision that its process stated in a ping or a pong.
    pub revision: Revision,
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
    pub fn heard_within(&self, window: Duration, now: Instant) -> bool {
        self.heard
            .is_some_and(|sent| now.saturating_duration_since(sent) <= window)
    }
}
