//! Types for identifiers, numbers with a unit and secrets, shared by all packages.
//!
//! Identifiers are validated strings; numbers have their unit in the type. Both
//! implement `Display` and `FromStr`, and parsing the displayed text returns an
//! equal value. [`rank`] orders instances by rendezvous hashing.

mod name;
mod number;
mod rendezvous;
mod revision;
mod secret;

pub use name::{Cell, Class, EditId, Instance, NameError, Region, Service, Target, Team, Zone};
pub use number::{
    BitRate, ByteSize, Era, Incarnation, Millis, ParseError, PerSecond, Percent, Rate, Revision,
    Version,
};
pub use rendezvous::rank;
pub use revision::{ParseRevisionError, StoreRevision};
pub use secret::Secret;
