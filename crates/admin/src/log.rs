//! Forwarding of the HTTP server library's log records under the target
//! `admin`.

use slog::{Drain, Level, Logger, Never, OwnedKVList, Record, o};

/// Drain that forwards records to the program's log, without their key-value
/// pairs.
struct Forward;

impl Drain for Forward {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let level = match record.level() {
            Level::Critical | Level::Error => log::Level::Error,
            Level::Warning => log::Level::Warn,
            // The library logs every request at level Info, so Info is demoted.
            Level::Info | Level::Debug => log::Level::Debug,
            Level::Trace => log::Level::Trace,
        };
        log::log!(target: "admin", level, "{}", record.msg());
        Ok(())
    }
}

pub(crate) fn logger() -> Logger {
    Logger::root(Forward, o!())
}
