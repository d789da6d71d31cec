//! Tests of the replica of registered targets.

mod era;
mod evacuation;
mod readers;
mod replica;
mod start;
