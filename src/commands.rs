//! The subcommands, one per file.

mod addresses;
mod check;
mod document;
mod entry;
mod serve;

use std::future::Future;
use std::process::ExitCode;

use clap::Subcommand;
use eyre::WrapErr;

#[derive(Subcommand)]
pub(crate) enum Command {
    Serve(Box<serve::Serve>),
    Entry(entry::Entry),
    Check(check::Check),
    Document(document::Document),
    Addresses(addresses::Addresses),
}

impl Command {
    pub(crate) fn execute(self) -> eyre::Result<ExitCode> {
        match self {
            Self::Serve(serve) => serve.execute(),
            Self::Entry(entry) => entry.execute(),
            Self::Check(check) => Ok(check.execute()),
            Self::Document(document) => block_on(document.execute()),
            Self::Addresses(addresses) => block_on(addresses.execute()),
        }
    }
}

/// Runs an asynchronous command on a single-threaded runtime.
fn block_on(command: impl Future<Output = eyre::Result<ExitCode>>) -> eyre::Result<ExitCode> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("could not start the runtime")?
        .block_on(command)
}
