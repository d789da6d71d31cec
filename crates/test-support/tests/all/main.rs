//! Tests of the stand-ins.

mod platform;
mod target;
