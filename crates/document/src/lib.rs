//! The service document: model, parsing and validation.
//!
//! [`Document::parse`] turns the JSON that an operator wrote into a
//! [`Document`] or a [`Rejection`] that names every fault by its path. Parsing
//! fills in the defaults, so a document that is read back shows every value in
//! effect.
//! [`Document::check`] compares an accepted document with the [`Ceilings`] of
//! the installation.

mod ceilings;
mod fault;
mod model;
mod parse;
mod pattern;
mod route;
mod structure;
mod validate;

pub use ceilings::Ceilings;
pub use fault::{Fault, Rejection};
pub use model::{
    Balancing, Bodies, Class, Connections, Document, Endpoint, Hedging, Keys, Kind, Limits,
    Measuring, Policy, Retries, Route, State, Steering,
};
