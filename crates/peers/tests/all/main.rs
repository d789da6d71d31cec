//! Tests of the exchange between entries over loopback.

mod fixture;
mod fuzz;
mod snapshot;
mod zone;
