//! Typed identifiers, sizes and rates that every package shares.
//!
//! Identifiers are checked strings; numbers carry their unit in the type. All
//! of them implement `Display` and `FromStr`, and those two agree.

mod name;
mod number;
mod rendezvous;
mod secret;

pub use name::{Cell, Class, EditId, Instance, NameError, Region, Service, Target, Team, Zone};
pub use number::{
    ByteSize, Incarnation, Millis, ParseError, PerSecond, Percent, Revision, Version,
};
pub use rendezvous::rank;
pub use secret::Secret;
