//! Child processes that announce themselves with one JSON line.

use std::io;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// Time within which a process must print its line.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a process did not start or could not be signalled.
#[derive(Debug, Error)]
pub enum Error {
    /// The program could not be run.
    #[error("{program} can't be run: {source}; `cargo build --workspace --bins` builds it")]
    Spawn {
        /// The program.
        program: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The process ended or stayed silent instead of printing its line.
    #[error("{program} printed no line with its addresses")]
    Silent {
        /// The program.
        program: PathBuf,
    },
    /// The printed line is not JSON.
    #[error("{program} printed a line that is not JSON: {line}")]
    Malformed {
        /// The program.
        program: PathBuf,
        /// The line.
        line: String,
    },
    /// The signal could not be sent.
    #[error("signal can't be sent: {0}")]
    Signal(#[from] nix::Error),
    /// Waiting for the end of the process failed.
    #[error("end of the process can't be awaited: {0}")]
    Wait(#[source] io::Error),
    /// The announced line lacks a field.
    #[error("the announced line lacks {0}")]
    Field(&'static str),
}

/// A running child process; killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    pid: Pid,
    announced: Value,
}

impl Process {
    /// Starts a program that lies beside the running one and waits for its
    /// line. Standard error goes to `log`, or to nowhere.
    ///
    /// # Errors
    ///
    /// Fails when the program can't be run or announces nothing.
    pub async fn spawn(
        program: &str,
        arguments: &[String],
        log: Option<&Path>,
    ) -> Result<Self, Error> {
        let program = beside(program);
        let spawn_error = |source| Error::Spawn {
            program: program.clone(),
            source,
        };
        let stderr = match log {
            Some(path) => Stdio::from(std::fs::File::create(path).map_err(spawn_error)?),
            None => Stdio::null(),
        };
        let mut child = Command::new(&program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .kill_on_drop(true)
            .spawn()
            .map_err(spawn_error)?;
        let silent = || Error::Silent {
            program: program.clone(),
        };
        let id = child
            .id()
            .and_then(|id| i32::try_from(id).ok())
            .ok_or_else(silent)?;
        let stdout = child.stdout.take().ok_or_else(silent)?;
        let mut lines = BufReader::new(stdout).lines();
        let line = tokio::time::timeout(START_TIMEOUT, lines.next_line())
            .await
            .ok()
            .and_then(Result::ok)
            .flatten()
            .ok_or_else(silent)?;
        let announced = serde_json::from_str(&line).map_err(|_| Error::Malformed {
            program: program.clone(),
            line: line.clone(),
        })?;
        // The pipe stays read, so that the process never blocks on it.
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        Ok(Self {
            child,
            pid: Pid::from_raw(id),
            announced,
        })
    }

    /// Process id.
    #[must_use]
    pub fn pid(&self) -> i32 {
        self.pid.as_raw()
    }

    /// A field of the announced line, parsed.
    ///
    /// # Errors
    ///
    /// Fails when the line lacks the field or the field does not parse.
    pub fn announced<T: std::str::FromStr>(&self, field: &'static str) -> Result<T, Error> {
        self.announced
            .get(field)
            .and_then(Value::as_str)
            .and_then(|text| text.parse().ok())
            .ok_or(Error::Field(field))
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails when the process is gone.
    pub fn signal(&self, signal: Signal) -> Result<(), Error> {
        Ok(kill(self.pid, signal)?)
    }

    /// Status of the process if it has ended.
    ///
    /// # Errors
    ///
    /// Fails when the system can't tell.
    pub fn ended(&mut self) -> Result<Option<ExitStatus>, Error> {
        self.child.try_wait().map_err(Error::Wait)
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    ///
    /// Fails when the system can't tell.
    pub async fn wait(&mut self) -> Result<ExitStatus, Error> {
        self.child.wait().await.map_err(Error::Wait)
    }

    /// Ends the process with SIGKILL and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when the system can't tell.
    pub async fn kill(&mut self) -> Result<(), Error> {
        self.child.kill().await.map_err(Error::Wait)
    }
}

/// Path of a program in the build directory of the running one. Test programs
/// lie one level deeper, in `deps`.
fn beside(program: &str) -> PathBuf {
    let mut directory = std::env::current_exe().unwrap_or_default();
    directory.pop();
    if directory.ends_with("deps") {
        directory.pop();
    }
    directory.join(program)
}
