//! Tests of the choice of targets.

mod budget;
mod fixture;
mod pool;
mod queue;
mod simulation;
