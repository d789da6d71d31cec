//! Settings of the data path.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use carobdrift_units::ByteSize;

/// How callers are served.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address of the caller listener.
    pub address: SocketAddr,
    /// Time within which a request's header must arrive after its first byte.
    pub header_timeout: Duration,
    /// Longest pause within a request's body, and longest time for which a
    /// caller takes no bytes of a response.
    pub body_idle_timeout: Duration,
    /// Time after which a caller's idle connection is closed.
    pub idle_timeout: Duration,
    /// Largest header of a request.
    pub max_header_bytes: ByteSize,
    /// Largest number of header fields of a request.
    pub max_header_fields: usize,
    /// Time that a request waits for the entry to be confirmed again.
    pub confirmation_timeout: Duration,
}

impl Default for Settings {
    /// An ephemeral loopback port and the limits of the design.
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            header_timeout: Duration::from_secs(5),
            body_idle_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_mins(2),
            max_header_bytes: ByteSize(16 * 1024),
            max_header_fields: 100,
            confirmation_timeout: Duration::from_millis(200),
        }
    }
}
