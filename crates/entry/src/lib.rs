//! Running entry: settings, startup and graceful shutdown.

mod dispatcher;
mod entry;
mod error;
mod logging;
mod measuring;
mod publisher;
mod ranker;
mod settings;
mod subjects;
mod targets;

pub use entry::{Addresses, Entry};
pub use error::Error;
pub use logging::{LogError, set_up_logging};
pub use settings::{
    Arguments, Fault, Format, Keys, Listen, Log, Platform, Problem, Rejection, Settings, TeamLimit,
};
