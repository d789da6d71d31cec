//! Replay of traces against real entry processes, and measurements of entries.

pub mod compare;
pub mod slopes;
pub mod trace;
