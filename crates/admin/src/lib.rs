//! The administration and discovery API.
//!
//! [`Server::bind`] serves it over HTTP. What it shows and edits comes from a
//! [`Backend`], which is [`Components`] in a running entry; who may see and edit what
//! follows from the [`Tokens`].

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
