//! Asynchronous logging to standard output through a bounded queue.

use std::fmt;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use log::{LevelFilter, Record};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::pattern::PatternEncoder;
use log4rs::encode::writer::simple::SimpleWriter;
use thiserror::Error;

/// Line format: time, level and component, followed by the fields of the record.
const PATTERN: &str = "ts={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} part={t} {m}{n}";

/// Lines that may wait to be written. Further ones are dropped and counted, so
/// that a stalled reader of standard output does not block requests.
const QUEUE_CAPACITY_LINES: usize = 2048;

/// Interval between two writes, in which lines accumulate: each write and each
/// wake-up of the writer thread takes processor time from requests.
const WRITE_INTERVAL: Duration = Duration::from_millis(25);

/// Size above which a batch takes no further lines.
const BATCH_BYTES: usize = 64 * 1024;

/// Error of the logging setup.
#[derive(Debug, Error)]
pub enum LogError {
    /// The configuration is invalid.
    #[error("invalid log configuration: {0}")]
    Config(#[from] log4rs::config::runtime::ConfigErrors),
    /// A logger is set already.
    #[error(transparent)]
    Set(#[from] log::SetLoggerError),
    /// The writer thread could not be started.
    #[error("can't start the log writer thread: {0}")]
    Thread(#[from] io::Error),
}

/// Appender that passes formatted lines to the writer thread.
struct Queue {
    encoder: PatternEncoder,
    lines: SyncSender<Vec<u8>>,
    dropped: AtomicU64,
}

/// Sets up a logger that writes one structured line for each record to standard
/// output. Logging never blocks; the next line that fits states the number of
/// lines that were dropped because the queue was full.
///
/// # Errors
///
/// Fails when a logger is set already, the configuration is invalid or the
/// writer thread can't be started.
pub fn set_up_logging(level: LevelFilter) -> Result<(), LogError> {
    let (lines, received) = sync_channel(QUEUE_CAPACITY_LINES);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || run_writer(&received))?;
    let queue = Queue {
        encoder: PatternEncoder::new(PATTERN),
        lines,
        dropped: AtomicU64::new(0),
    };
    let config = Config::builder()
        .appender(Appender::builder().build("queue", Box::new(queue)))
        .build(Root::builder().appender("queue").build(level))?;
    log4rs::init_config(config)?;
    Ok(())
}

impl fmt::Debug for Queue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Queue").finish_non_exhaustive()
    }
}

impl Append for Queue {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(256));
        self.encoder.encode(&mut line, record)?;
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            line.0.pop();
            writeln!(line.0, " dropped_before={dropped}")?;
        }
        if self.lines.try_send(line.0).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

fn run_writer(lines: &Receiver<Vec<u8>>) {
    let mut batch = Vec::with_capacity(BATCH_BYTES);
    while let Ok(line) = lines.recv() {
        batch.extend_from_slice(&line);
        // Adds the lines that arrived since the last write.
        while batch.len() < BATCH_BYTES
            && let Ok(line) = lines.try_recv()
        {
            batch.extend_from_slice(&line);
        }
        // The entry keeps running if standard output is closed.
        let _ = io::stdout().write_all(&batch);
        let _ = io::stdout().flush();
        batch.clear();
        thread::sleep(WRITE_INTERVAL);
    }
}
