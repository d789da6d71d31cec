//! The administration and discovery API.
//!
//! [`Server::bind`] serves it over HTTP. What it shows and edits comes from a
//! [`Backend`], which is [`Live`] in a running entry; who may see and edit what
//! follows from the [`Tokens`].

mod backend;
mod context;
mod discovery;
mod documents;
mod instances;
mod live;
mod log;
mod operations;
mod refusal;
mod server;
mod steering;
mod tokens;

pub use backend::{Backend, Entry, InForce};
pub use live::{Live, Pools};
pub use refusal::{Kind, Refusal};
pub use server::{Error, Server, Settings, Starting, openapi};
pub use steering::{Candidate, Order, Steering};
pub use tokens::{TokenError, Tokens};
