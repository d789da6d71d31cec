//! Settings of the data path.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use carobdrift_units::ByteSize;

/// Settings of the caller listener.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address of the caller listener.
    pub address: SocketAddr,
    /// Time within which the header of a request must arrive, from its first
    /// byte.
    pub header_timeout: Duration,
    /// Longest pause within the body of a request, and longest time for which a
    /// caller may read no bytes of a response.
    pub body_idle_timeout: Duration,
    /// Time after which an idle caller connection is closed.
    pub idle_timeout: Duration,
    /// Largest size of a request header.
    pub max_header_bytes: ByteSize,
    /// Largest number of header fields of a request.
    pub max_header_fields: usize,
    /// Longest time for which a request waits until the documents in force are
    /// confirmed again.
    pub confirmation_timeout: Duration,
}

impl Default for Settings {
    /// Returns settings with an ephemeral loopback port and the default limits.
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
