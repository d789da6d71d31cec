//! Replays traces against real entries and measures them.

use std::path::PathBuf;
use std::process::ExitCode;

use carobdrift_replay::compare;
use carobdrift_replay::slopes::{self, Experiment};
use carobdrift_replay::trace::Trace;
use clap::{Parser, Subcommand};
use eyre::WrapErr;

/// Replays traces against real entry processes on loopback.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Replays a trace, compares policies and checks the stated outcomes
    Compare(Compare),
    /// Measures what an entry costs against the sizes that it depends on
    Slopes(Slopes),
}

#[derive(Parser)]
struct Slopes {
    /// Sizes to vary; all when none is named
    sizes: Vec<Experiment>,
    /// Directory with the service documents
    #[arg(long, default_value = "examples")]
    examples: PathBuf,
    /// Directory for the logs of the entries
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Prints one JSON object in place of the table
    #[arg(long)]
    json: bool,
}

#[derive(Parser)]
struct Compare {
    /// Trace files
    #[arg(default_values = ["traces/lanemark.trace", "traces/tortena.trace"])]
    traces: Vec<PathBuf>,
    /// Directory with the service documents
    #[arg(long, default_value = "examples")]
    examples: PathBuf,
    /// Directory for the logs of the entries
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Prints one JSON object for each trace in place of the table
    #[arg(long)]
    json: bool,
}

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    match Arguments::parse().command {
        Command::Compare(command) => command.execute().await,
        Command::Slopes(command) => command.execute().await,
    }
}

impl Slopes {
    async fn execute(self) -> eyre::Result<ExitCode> {
        let report = slopes::run(&self.examples, self.logs.as_deref(), &self.sizes).await?;
        if self.json {
            println!("{}", serde_json::to_string(&report)?);
        } else {
            print!("{report}");
        }
        Ok(ExitCode::SUCCESS)
    }
}

impl Compare {
    async fn execute(self) -> eyre::Result<ExitCode> {
        let mut holds = true;
        for path in &self.traces {
            let shown = path.display();
            let text =
                std::fs::read_to_string(path).wrap_err_with(|| format!("{shown} can't be read"))?;
            let trace: Trace = text
                .parse()
                .wrap_err_with(|| format!("{shown} is malformed"))?;
            let report = compare::run(&trace, &self.examples, self.logs.as_deref())
                .await
                .wrap_err_with(|| format!("{shown} can't be replayed"))?;
            if self.json {
                println!("{}", serde_json::to_string(&report)?);
            } else {
                println!("{shown}\n{report}");
            }
            holds &= report.holds();
        }
        Ok(if holds {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        })
    }
}
