//! Replays traces against real entries and measures them.

pub mod trace;
