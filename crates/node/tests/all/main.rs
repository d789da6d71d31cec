//! Tests of the replica of registered targets.

mod replica;
mod start;
