//! The data path between callers and targets.
//!
//! [`Listener::bind`] serves callers over HTTP/1.1 and HTTP/2 on one port. Each
//! request is routed by the document of its service, sent to a target that the
//! service's pool chooses, and answered whole or with a stated outcome.

mod admit;
mod attempt;
mod caller;
mod exchange;
mod failure;
mod fields;
mod head;
mod keep;
mod listener;
mod metrics;
mod race;
mod relay;
mod services;
mod settings;
mod solo;
mod upload;
mod upstream;

pub use listener::{Error, Listener};
pub use metrics::Metrics;
pub use services::{Confirmation, Documents, Services};
pub use settings::Settings;
