//! Tests of the program from the outside.

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

/// The program with an environment of its own.
fn carobdrift(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_carobdrift"));
    command.env_clear().args(arguments);
    command
}

/// Exit status, standard output and standard error of a run.
fn outcome(output: &Output) -> (Option<i32>, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (
        output.status.code(),
        text(&output.stdout),
        text(&output.stderr),
    )
}
