//! Tests of target selection.

mod budget;
mod cold;
mod contention;
mod fixture;
mod pool;
mod queue;
mod simulation;
mod statement;
