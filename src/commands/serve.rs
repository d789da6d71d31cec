//! `carobdrift serve`.

use std::process::ExitCode;
use std::sync::Arc;

use carobdrift_entry::{Addresses, Arguments, Entry, Settings, set_up_logging};
use carobdrift_units::Instance;
use clap::Args;
use eyre::WrapErr;
use serde::Serialize;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::output::print;

/// Exit status for invalid settings.
const INVALID_SETTINGS: u8 = 2;

/// Exit status after a second signal, which stops the entry without draining.
const ABORTED: u8 = 130;

/// Run an entry
///
/// Serves callers until SIGTERM or SIGINT. The entry then withdraws from address
/// answers, waits until all answers with its address have expired, drains the
/// requests in progress and exits with status 0. A second signal stops the entry
/// at once.
///
/// Once the entry listens, it prints one JSON line with its addresses.
#[derive(Args)]
pub(crate) struct Serve {
    #[command(flatten)]
    arguments: Arguments,
    /// Print the settings in effect as JSON, without secrets, and exit
    #[arg(long)]
    print_settings: bool,
}

/// Line that is printed once the entry listens.
#[derive(Serialize)]
struct Started {
    instance: Instance,
    #[serde(flatten)]
    addresses: Addresses,
}

impl Serve {
    pub(crate) fn execute(self) -> eyre::Result<ExitCode> {
        let settings = match Settings::check(&self.arguments) {
            Ok(settings) => settings,
            Err(rejection) => {
                for fault in &rejection.faults {
                    eprintln!("error: {fault}");
                }
                return Ok(ExitCode::from(INVALID_SETTINGS));
            }
        };
        if self.print_settings {
            print(serde_json::to_string_pretty(&settings)?)?;
            return Ok(ExitCode::SUCCESS);
        }
        set_up_logging(&settings.log)?;
        tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .build()
            .wrap_err("could not start the runtime")?
            .block_on(serve(settings))
    }
}

async fn serve(settings: Settings) -> eyre::Result<ExitCode> {
    let mut signals = Signals::listen()?;
    let instance = settings.instance.clone();
    let platform = carobdrift_adapter::Client::open(settings.platform.address);
    let entry = Entry::spawn(settings, Arc::new(platform))
        .await
        .wrap_err("the entry could not start")?;
    let started = Started {
        instance,
        addresses: entry.addresses(),
    };
    println!("{}", serde_json::to_string(&started)?);
    signals.next().await;
    tokio::select! {
        _ = entry.shut_down() => Ok(ExitCode::SUCCESS),
        () = signals.next() => Ok(ExitCode::from(ABORTED)),
    }
}

/// Signals that ask the entry to stop.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn listen() -> eyre::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).wrap_err("can't listen for SIGTERM")?,
            interrupt: signal(SignalKind::interrupt()).wrap_err("can't listen for SIGINT")?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
