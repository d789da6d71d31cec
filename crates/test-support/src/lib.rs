//! Stand-ins for the platform and for targets, and fixtures for tests.
//!
//! Only tests, measurements and examples depend on this package.

pub mod caller;
pub mod fleet;
pub mod fuzz;
pub mod link;
pub mod load;
pub mod process;
pub mod relay;
pub mod target;

pub use carobdrift_platform_stand_in as platform;
