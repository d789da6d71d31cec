//! Tests of identifiers, numbers and ranks.

mod name;
mod number;
mod rendezvous;
mod revision;
