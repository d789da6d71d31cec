//! Command line of the trace replay and of the slope measurements.

use std::path::PathBuf;
use std::process::ExitCode;

use carobdrift_replay::compare;
use carobdrift_replay::slopes::{self, Experiment};
use carobdrift_replay::trace::Trace;
use clap::{Parser, Subcommand};
use eyre::WrapErr;

/// Replays traces against real entry processes on loopback and measures their
/// resource use.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Replays traces, compares policies and checks the expected results
    Compare(Compare),
    /// Measures how the resource use of an entry grows with the sizes it depends on
    Slopes(Slopes),
}

#[derive(Parser)]
struct Slopes {
    /// Sizes to vary [default: all]
    sizes: Vec<Experiment>,
    /// Directory with the document templates
    #[arg(long, default_value = "examples")]
    examples: PathBuf,
    /// Directory for the logs of the entries
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Prints the report as one JSON object instead of a table
    #[arg(long)]
    json: bool,
}

#[derive(Parser)]
struct Compare {
    /// Trace files to replay
    #[arg(default_values = ["traces/lanemark.trace", "traces/tortena.trace"])]
    traces: Vec<PathBuf>,
    /// Directory with the document templates
    #[arg(long, default_value = "examples")]
    examples: PathBuf,
    /// Directory for the logs of the entries
    #[arg(long)]
    logs: Option<PathBuf>,
    /// Prints one JSON object per trace instead of tables
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
        let mut all_hold = true;
        for path in &self.traces {
            let displayed_path = path.display();
            let text = std::fs::read_to_string(path)
                .wrap_err_with(|| format!("cannot read {displayed_path}"))?;
            let trace: Trace = text
                .parse()
                .wrap_err_with(|| format!("cannot parse {displayed_path}"))?;
            let report = compare::run(&trace, &self.examples, self.logs.as_deref())
                .await
                .wrap_err_with(|| format!("cannot replay {displayed_path}"))?;
            if self.json {
                println!("{}", serde_json::to_string(&report)?);
            } else {
                println!("{displayed_path}\n{report}");
            }
            all_hold &= report.holds();
        }
        Ok(if all_hold {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        })
    }
}
