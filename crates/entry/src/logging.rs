//! Setup of `log4rs`.

use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;
use thiserror::Error;

use crate::settings::{Format, Log};

/// Pattern of a plain log line: time, level and log target before the message.
const PLAIN_PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} [{t}] {m}{n}";

/// Error of the logging setup.
#[derive(Debug, Error)]
pub enum LogError {
    /// The configuration is invalid.
    #[error("invalid log configuration: {0}")]
    Config(#[from] log4rs::config::runtime::ConfigErrors),
    /// A logger is already installed.
    #[error(transparent)]
    Set(#[from] log::SetLoggerError),
}

/// Installs a logger that writes to standard error in the configured format.
///
/// # Errors
///
/// Returns an error if a logger is already installed or the configuration is
/// invalid.
pub fn set_up_logging(log: &Log) -> Result<(), LogError> {
    let encoder: Box<dyn Encode> = match log.format {
        Format::Plain => Box::new(PatternEncoder::new(PLAIN_PATTERN)),
        Format::Json => Box::new(JsonEncoder::new()),
    };
    let console = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(encoder)
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .build(Root::builder().appender("console").build(log.level))?;
    log4rs::init_config(config)?;
    Ok(())
}
