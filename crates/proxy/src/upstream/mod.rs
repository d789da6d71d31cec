//! Pools of connections to targets.

mod checked;
mod connection;
mod pool;
mod write_counter;

pub(crate) use connection::Exchange;
pub(crate) use pool::{Freshness, OpenError, Upstream};
