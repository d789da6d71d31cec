//! The subcommands, one per file.

mod addresses;
mod check;
mod document;

use std::future::Future;
use std::process::ExitCode;

use clap::Subcommand;
use eyre::WrapErr;

// `serve`, which runs an entry, has its place here as well.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    Check(check::Check),
    Document(document::Document),
    Addresses(addresses::Addresses),
}

impl Command {
    pub(crate) fn execute(self) -> eyre::Result<ExitCode> {
        match self {
            Self::Check(check) => Ok(check.execute()),
            Self::Document(document) => block_on(document.execute()),
            Self::Addresses(addresses) => block_on(addresses.execute()),
        }
    }
}

/// Runs a command that makes calls on a runtime of this thread.
fn block_on(command: impl Future<Output = eyre::Result<ExitCode>>) -> eyre::Result<ExitCode> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("could not start the runtime")?
        .block_on(command)
}
