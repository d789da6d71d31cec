//! Tests of target selection.

mod budget;
mod cold;
mod contention;
mod fixture;
mod order;
mod overload;
mod pool;
mod simulation;
mod statement;
