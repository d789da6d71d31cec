//! Tests of the replica of registered targets.

mod era;
mod evacuation;
mod replica;
mod start;
