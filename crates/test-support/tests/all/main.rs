//! Tests of the stand-ins.

mod platform;
