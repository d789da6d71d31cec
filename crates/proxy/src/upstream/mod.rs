//! Connections to targets.

mod connection;
mod gate;
mod pool;

pub(crate) use connection::Exchange;
pub(crate) use pool::{Freshness, OpenError, Upstream};
