//! One running entry: settings, start order, signals and stop.

mod entry;
mod error;
mod inbox;
mod logging;
mod measuring;
mod settings;
mod statement;
mod steered;
mod subjects;
mod targets;

pub use entry::{Addresses, Entry};
pub use error::Error;
pub use logging::{LogError, set_up_logging};
pub use settings::{
    Arguments, Fault, Format, Keys, Listen, Log, Platform, Problem, Rejection, Settings, TeamLimit,
};
