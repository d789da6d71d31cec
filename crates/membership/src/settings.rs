//! Settings of the links.

use std::net::SocketAddr;

use carobdrift_units::{Cell, Incarnation, Instance, Secret, Zone};
use subtle::ConstantTimeEq;

/// What the links of an entry need to know of the entry.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Instance id.
    pub instance: Instance,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Cell of the entry.
    pub cell: Cell,
    /// Availability zone of the entry.
    pub zone: Zone,
    /// Address of the caller listener.
    pub caller: SocketAddr,
    /// Address of the administration API.
    pub admin: SocketAddr,
    /// Where the peer listener listens; port 0 takes a free port.
    pub listen: SocketAddr,
    /// Address at which peers reach the listener, when it differs from
    /// `listen`; port 0 stands for the port that was bound.
    pub advertise: Option<SocketAddr>,
    /// Secret that admits links between the entries of the cell.
    pub secret: Secret,
}

/// The value of the `authorization` header field that presents a secret.
pub(crate) fn bearer(secret: &Secret) -> String {
    format!("Bearer {}", secret.expose())
}

/// Whether a header field presents a secret, compared in constant time.
pub(crate) fn admits(secret: &Secret, authorization: &[u8]) -> bool {
    bearer(secret).as_bytes().ct_eq(authorization).into()
}
