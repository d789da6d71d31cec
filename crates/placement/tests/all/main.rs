//! Tests of the choice of targets.

mod budget;
mod fixture;
mod line;
mod pool;
mod simulation;
