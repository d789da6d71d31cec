//! The data path between callers and targets.
