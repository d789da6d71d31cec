//! Tests of the exchange between entries over loopback.

mod contact;
mod fetch;
mod fixture;
mod fuzz;
mod zone;
