//! Tests of the balance package.

mod budget;
mod drain;
mod fixture;
mod health;
mod limits;
mod metrics;
mod policy;
mod queue;
mod reload;
mod signal;
mod wait;
