//! The data path between callers and targets.
//!
//! [`Listener::bind`] serves callers over HTTP/1.1 and HTTP/2 on one port. Each
//! request is routed by the document of its service and sent to a target that
//! the service's pool chooses. The caller gets either the complete response of
//! a target or an error response that states the outcome.

mod attempt;
mod caller;
mod exchange;
mod failure;
mod fields;
mod headers;
mod listener;
mod metrics;
mod once;
mod recording;
mod relay;
mod retry;
mod services;
mod settings;
mod upload;
mod upstream;
mod validate;

pub use listener::{Error, Listener};
pub use metrics::Metrics;
pub use services::{Confirmation, Documents, Services};
pub use settings::Settings;
