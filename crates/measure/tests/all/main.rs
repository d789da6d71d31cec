//! Tests of leases, probes and shares.

mod book;
mod budget;
mod fixture;
mod lease;
mod leases;
mod pace;
mod probe;
mod shares;
mod target;
