//! Child processes that print one JSON line with their addresses at the start.

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

/// Time within which a process must print its startup line.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Failure to start, signal or await a process.
#[derive(Debug, Error)]
pub enum Error {
    /// The program could not be started, or its log file not created.
    #[error(
        "could not start {program}: {source}; `cargo build --workspace --bins` builds the programs"
    )]
    Spawn {
        /// Path of the program.
        program: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The process ended, or printed nothing in time.
    #[error("{program} printed no startup line")]
    NoStartupLine {
        /// Path of the program.
        program: PathBuf,
    },
    /// The startup line is not JSON.
    #[error("startup line of {program} is not JSON: {line}")]
    Malformed {
        /// Path of the program.
        program: PathBuf,
        /// Text of the line.
        line: String,
    },
    /// The signal could not be sent.
    #[error("could not send the signal: {0}")]
    Signal(#[from] nix::Error),
    /// The exit status could not be queried, or the process not killed.
    #[error("could not query the exit status: {0}")]
    Wait(#[source] io::Error),
    /// The startup line lacks a field, or the field is invalid.
    #[error("startup line has no valid field {0}")]
    MissingField(&'static str),
}

/// Child process that is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    pid: Pid,
    startup_line: Value,
}

impl Process {
    /// Starts a program from the build directory of the running one and waits
    /// for its startup line. Standard error goes to the file `log`, or is
    /// discarded.
    ///
    /// # Errors
    ///
    /// Fails when the program can't be started or prints no valid startup line.
    pub async fn spawn(
        program: &str,
        arguments: &[String],
        log: Option<&Path>,
    ) -> Result<Self, Error> {
        let program = program_path(program);
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
        let no_startup_line = || Error::NoStartupLine {
            program: program.clone(),
        };
        let id = child
            .id()
            .and_then(|id| i32::try_from(id).ok())
            .ok_or_else(no_startup_line)?;
        let stdout = child.stdout.take().ok_or_else(no_startup_line)?;
        let mut lines = BufReader::new(stdout).lines();
        let line = tokio::time::timeout(START_TIMEOUT, lines.next_line())
            .await
            .ok()
            .and_then(Result::ok)
            .flatten()
            .ok_or_else(no_startup_line)?;
        let startup_line = serde_json::from_str(&line).map_err(|_| Error::Malformed {
            program: program.clone(),
            line: line.clone(),
        })?;
        // Keeps reading the pipe, so that the process never blocks on writing.
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        Ok(Self {
            child,
            pid: Pid::from_raw(id),
            startup_line,
        })
    }

    /// Returns the process id.
    #[must_use]
    pub fn pid(&self) -> i32 {
        self.pid.as_raw()
    }

    /// Returns a string field of the startup line, parsed.
    ///
    /// # Errors
    ///
    /// Fails when the line lacks the field or the field does not parse.
    pub fn startup_field<T: std::str::FromStr>(&self, field: &'static str) -> Result<T, Error> {
        self.startup_line
            .get(field)
            .and_then(Value::as_str)
            .and_then(|text| text.parse().ok())
            .ok_or(Error::MissingField(field))
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails when the process no longer exists.
    pub fn signal(&self, signal: Signal) -> Result<(), Error> {
        Ok(kill(self.pid, signal)?)
    }

    /// Returns the exit status, or `None` while the process runs.
    ///
    /// # Errors
    ///
    /// Fails when the operating system can't report the status.
    pub fn try_wait(&mut self) -> Result<Option<ExitStatus>, Error> {
        self.child.try_wait().map_err(Error::Wait)
    }

    /// Waits until the process has exited and returns its exit status.
    ///
    /// # Errors
    ///
    /// Fails when the operating system can't report the status.
    pub async fn wait(&mut self) -> Result<ExitStatus, Error> {
        self.child.wait().await.map_err(Error::Wait)
    }

    /// Kills the process with SIGKILL and waits until it has exited.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be killed or awaited.
    pub async fn kill(&mut self) -> Result<(), Error> {
        self.child.kill().await.map_err(Error::Wait)
    }
}

/// Returns the path of a program in the build directory of the running one.
/// Test programs are one level deeper, in `deps`.
fn program_path(program: &str) -> PathBuf {
    let mut directory = std::env::current_exe().unwrap_or_default();
    directory.pop();
    if directory.ends_with("deps") {
        directory.pop();
    }
    directory.join(program)
}
