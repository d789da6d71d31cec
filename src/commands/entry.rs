//! `carobdrift entry`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use carobdrift_adapter::{
    Client, Directory, Error, Headers, Readiness, SETTINGS_VARIABLE, Settings,
};
use carobdrift_http1::listen;
use carobdrift_node::{Node, set_up_logging};
use clap::Args;
use eyre::WrapErr;
use log::LevelFilter;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Exit status for invalid settings.
const INVALID_SETTINGS: u8 = 2;

/// Run an entry on the platform
///
/// Reads the platform's settings file, keeps persistent state in the platform's
/// store, and serves callers until SIGTERM. The entry then withdraws from address
/// answers, drains the requests in progress and exits with status 0. SIGHUP
/// validates the settings file again.
///
/// Exit status: 2 when the settings file has faults; all faults are printed.
#[derive(Debug, Args)]
pub(crate) struct Entry {
    /// Settings file of the platform
    #[arg(long, env = SETTINGS_VARIABLE, value_name = "FILE")]
    settings: PathBuf,
    /// Lowest log level: error, warn, info, debug or trace
    #[arg(long, default_value = "info")]
    log_level: LevelFilter,
    /// Check the settings file and exit
    #[arg(long)]
    check: bool,
}

impl Entry {
    pub(crate) fn execute(self) -> eyre::Result<ExitCode> {
        let settings = match Settings::read(&self.settings) {
            Ok(settings) => settings,
            Err(error) => {
                print_faults(&error);
                return Ok(ExitCode::from(INVALID_SETTINGS));
            }
        };
        if self.check {
            return Ok(ExitCode::SUCCESS);
        }
        set_up_logging(self.log_level)?;
        // The platform's machines have one core, so one thread suffices.
        tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .wrap_err("could not start the runtime")?
            .block_on(run(settings, self.settings))
    }
}

fn print_faults(error: &Error) {
    eprintln!("error: {error}");
    if let Error::Faults(faults) = error {
        for fault in faults {
            eprintln!("error: {fault}");
        }
    }
}

async fn run(settings: Settings, path: PathBuf) -> eyre::Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("can't listen for SIGTERM")?;
    let reload = signal(SignalKind::hangup()).wrap_err("can't listen for SIGHUP")?;
    let directory = bind(settings.directory).await?;
    let ready = bind(settings.ready).await?;
    let store = Client::open(settings.store);
    let node = Node::spawn(settings.node, Arc::new(Headers), Arc::new(store))
        .await
        .wrap_err("the entry could not start")?;
    let node = Arc::new(node);
    let stop = CancellationToken::new();
    let connections = TaskTracker::new();
    tokio::spawn(listen(
        directory,
        Arc::new(Directory(Arc::clone(&node))),
        stop.clone(),
        connections.clone(),
    ));
    tokio::spawn(listen(
        ready,
        Arc::new(Readiness(Arc::clone(&node))),
        stop,
        connections,
    ));
    tokio::spawn(watch_settings(reload, path));
    terminate.recv().await;
    node.shut_down().await;
    Ok(ExitCode::SUCCESS)
}

async fn bind(address: std::net::SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("can't listen on {address}"))
}

/// Validates the settings file at each SIGHUP and logs the outcome. Addresses are
/// fixed for the life of the process, so a valid file does not change the running
/// entry.
async fn watch_settings(mut reload: Signal, path: PathBuf) {
    while reload.recv().await.is_some() {
        match Settings::read(&path) {
            Ok(_) => log::info!(target: "entry", "event=reloaded outcome=valid"),
            Err(error) => {
                log::warn!(target: "entry", "event=reloaded outcome=refused error=\"{error}\"");
            }
        }
    }
}
