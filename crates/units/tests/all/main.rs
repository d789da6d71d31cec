//! Tests of the identifiers and numbers.

mod name;
mod number;
mod rendezvous;
