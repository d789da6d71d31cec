//! The `carobdrift` program.

mod client;
mod commands;
mod output;

use std::process::ExitCode;

use clap::Parser;

use crate::client::TokenError;
use crate::commands::Command;

/// Exit status of the argument parser for wrong usage.
const WRONG_USAGE: u8 = 2;

/// A load balancer for services whose load shifts within milliseconds.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

fn main() -> ExitCode {
    match Arguments::parse().command.execute() {
        Ok(status) => status,
        Err(error) => {
            eprintln!("error: {error:#}");
            if error.is::<TokenError>() {
                ExitCode::from(WRONG_USAGE)
            } else {
                ExitCode::FAILURE
            }
        }
    }
}
