//! Settings of the links.

use std::net::SocketAddr;

use carobdrift_units::{Cell, Incarnation, Instance, Secret, Zone};
use subtle::ConstantTimeEq;

/// Settings of the links of an entry.
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
    /// Address on which the peer listener listens; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Address at which peers reach the listener, if it differs from `listen`; port
    /// 0 stands for the port of the listener.
    pub advertise: Option<SocketAddr>,
    /// Secret that authorizes links between the entries of the cell.
    pub secret: Secret,
}

/// Returns the value of the `authorization` header field for a secret.
pub(crate) fn bearer(secret: &Secret) -> String {
    format!("Bearer {}", secret.expose())
}

/// Returns whether the value of an `authorization` header field matches a secret.
/// Compares in constant time.
pub(crate) fn is_authorized(secret: &Secret, authorization: &[u8]) -> bool {
    bearer(secret).as_bytes().ct_eq(authorization).into()
}
