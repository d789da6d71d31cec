//! The administration and discovery API.
//!
//! [`Server::bind`] serves it over HTTP. What it shows and edits comes from a
//! [`Backend`]; who may see and edit what follows from the [`Tokens`].

mod backend;
mod context;
mod discovery;
mod documents;
mod instances;
mod log;
mod operations;
mod refusal;
mod server;
mod steering;
mod tokens;

pub use backend::{
    Accepted, Backend, Edit, EditError, Entry, Held, InForce, Outcome, Past, ReadError, Standing,
};
pub use refusal::{Kind, Refusal};
pub use server::{Error, Server, Settings, openapi};
pub use steering::{Candidate, Order, Steering};
pub use tokens::{TokenError, Tokens};
