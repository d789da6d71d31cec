//! One running entry: settings, start order, signals and stop.

mod logging;
mod settings;

pub use logging::{LogError, set_up_logging};
pub use settings::{
    Arguments, Ceilings, Fault, Format, Invalid, Keys, Listen, Log, Platform, Problem, Secret,
    Settings, TeamLimit,
};
