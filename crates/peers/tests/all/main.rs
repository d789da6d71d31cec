//! Tests of the exchange between entries over loopback.

mod fixture;
mod snapshot;
mod zone;
