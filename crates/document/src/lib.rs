//! The service document: model, parsing and validation.
//!
//! [`Document::parse`] turns the JSON that an operator wrote into a
//! [`Document`] or a [`Rejection`] that names every fault by its path. Defaults
//! are filled in at that point, so what a read shows is what runs.

mod model;
mod parse;
mod route;

pub use model::{
    Balancing, Bodies, Class, Connections, Document, Endpoint, Hedging, Keys, Kind, Limits,
    Measuring, Policy, Retries, Route, State, Steering,
};
pub use parse::{Fault, Rejection};
