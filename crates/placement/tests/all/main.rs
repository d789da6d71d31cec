//! Tests of target selection.

mod budget;
mod cold;
mod collisions;
mod contention;
mod fixture;
mod order;
mod overload;
mod pool;
mod queue;
mod reports;
mod simulation;
mod statement;
