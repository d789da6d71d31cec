//! Tests of the links with several entries in one process, connected over
//! loopback.

mod admission;
mod failure;
mod fixture;
mod list;
mod query;
