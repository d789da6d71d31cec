//! The administration and discovery API.
//!
//! [`Server::bind`] serves the API over HTTP. A [`Backend`] provides the state
//! that the API shows and edits; in a running entry, [`Components`] is the
//! backend. The bearer tokens in [`Tokens`] decide who may see and edit which
//! document.

mod backend;
mod components;
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

pub use backend::{Adoption, Backend, Entry};
pub use components::{Components, PoolLookup};
pub use refusal::{Kind, Refusal};
pub use server::{Error, Listener, Server, Settings, openapi};
pub use steering::{Candidate, Ranking, Steering};
pub use tokens::{TokenError, Tokens};
