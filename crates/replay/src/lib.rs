//! Replays traces against real entries and measures them.

pub mod compare;
pub mod load;
pub mod trace;
