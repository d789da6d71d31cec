//! Replays traces against real entries and measures them.

pub mod compare;
pub mod slopes;
pub mod trace;
