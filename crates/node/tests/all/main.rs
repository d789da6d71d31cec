//! Tests of the replica of registered targets.

mod evacuation;
mod replica;
mod start;
