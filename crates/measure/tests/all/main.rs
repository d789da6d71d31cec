//! Tests of leases, probes and shares.

mod allocator;
mod budget;
mod fixture;
mod lease;
mod leases;
mod pacer;
mod probe;
mod shares;
mod target;
