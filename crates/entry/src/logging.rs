//! Set-up of `log4rs`.

use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;
use thiserror::Error;

use crate::settings::{Format, Log};

/// Time, level and the part's prefix before the message.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} [{t}] {m}{n}";

/// Why logging could not be set up.
#[derive(Debug, Error)]
pub enum LogError {
    /// The configuration was refused.
    #[error("log configuration refused: {0}")]
    Config(#[from] log4rs::config::runtime::ConfigErrors),
    /// A logger is set already.
    #[error(transparent)]
    Set(#[from] log::SetLoggerError),
}

/// Writes logs to standard error in the chosen form.
///
/// # Errors
///
/// Fails when a logger is set already.
pub fn set_up_logging(log: &Log) -> Result<(), LogError> {
    let encoder: Box<dyn Encode> = match log.format {
        Format::Plain => Box::new(PatternEncoder::new(PATTERN)),
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
