//! Stand-ins for the platform and for targets, and fixtures for tests.

pub mod platform;
pub mod target;
