//! Tests of the balance package.

mod fixture;
mod policy;
