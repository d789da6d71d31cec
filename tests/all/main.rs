//! End-to-end tests that run the program as a process.

#![expect(
    clippy::needless_raw_string_hashes,
    reason = "expect-test writes the expected texts in this form"
)]

mod check;
mod document;
mod drain;
mod edits;
mod installation;
mod kill;
mod once;
mod outage;
mod pause;
mod program;
mod settings;
mod silence;
mod stop;

use std::process::{Command, Output};

/// Returns a command that runs the program with an empty environment.
fn carobdrift(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_carobdrift"));
    command.env_clear().args(arguments);
    command
}

/// Returns the exit status, standard output and standard error of a run.
fn outcome(output: &Output) -> (Option<i32>, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (
        output.status.code(),
        text(&output.stdout),
        text(&output.stderr),
    )
}
