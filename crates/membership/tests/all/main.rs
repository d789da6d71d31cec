//! Tests of the links, several entries in one process over loopback.

mod admission;
mod failure;
mod fixture;
mod list;
mod query;
