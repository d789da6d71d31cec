//! Bounded logs on standard output.

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

/// Time, level and part of the program, followed by the fields of the line.
const PATTERN: &str = "ts={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} part={t} {m}{n}";

/// Lines that wait to be written. More are dropped and counted: a reader that
/// stalls must not stall requests.
const QUEUE: usize = 2048;

/// Pause between two writes, in which lines gather: each write and each wake-up
/// of the writer costs processor time that requests need.
const PAUSE: Duration = Duration::from_millis(25);

/// Bytes that are written at a time.
const BATCH: usize = 64 * 1024;

/// Why logging could not be set up.
#[derive(Debug, Error)]
pub enum LogError {
    /// The configuration was refused.
    #[error("log configuration refused: {0}")]
    Config(#[from] log4rs::config::runtime::ConfigErrors),
    /// A logger is set already.
    #[error(transparent)]
    Set(#[from] log::SetLoggerError),
    /// The thread that writes could not be started.
    #[error("the log writer could not be started: {0}")]
    Thread(#[from] io::Error),
}

/// Passes lines to a thread that writes them.
struct Queue {
    encoder: PatternEncoder,
    lines: SyncSender<Vec<u8>>,
    dropped: AtomicU64,
}

/// Writes one structured line for each record on standard output. It never
/// blocks; lines that find the queue full are counted in the next one.
///
/// # Errors
///
/// Fails when a logger is set already.
pub fn set_up_logging(level: LevelFilter) -> Result<(), LogError> {
    let (lines, received) = sync_channel(QUEUE);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write(&received))?;
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

fn write(lines: &Receiver<Vec<u8>>) {
    let mut batch = Vec::with_capacity(BATCH);
    while let Ok(line) = lines.recv() {
        batch.extend_from_slice(&line);
        // What came in the pause, and the rest of a burst.
        while batch.len() < BATCH
            && let Ok(line) = lines.try_recv()
        {
            batch.extend_from_slice(&line);
        }
        // Without a reader of its logs the entry goes on.
        let _ = io::stdout().write_all(&batch);
        let _ = io::stdout().flush();
        batch.clear();
        thread::sleep(PAUSE);
    }
}
