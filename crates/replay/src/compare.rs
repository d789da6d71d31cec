//! Replay of a trace and comparison of policies.

mod direct;
mod event;
mod judge;
mod report;
mod setup;

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use carobdrift_test_support::fleet;
use thiserror::Error;

use crate::trace::{Block, Trace};
use carobdrift_test_support::load::{self, Record};

pub use report::{Overhead, Probes, Report, Row, Verdict};
use setup::Bench;

/// Why a replay could not be carried out.
#[derive(Debug, Error)]
pub enum Error {
    /// The installation could not be set up or steered.
    #[error(transparent)]
    Fleet(#[from] fleet::Error),
    /// A document template can't be read.
    #[error("document {path} can't be read: {error}")]
    Template {
        /// Path of the template.
        path: String,
        /// What is wrong with it.
        error: std::io::Error,
    },
    /// A document template is not JSON.
    #[error("document {path} is not JSON: {error}")]
    Json {
        /// Path of the template.
        path: String,
        /// What is wrong with it.
        error: serde_json::Error,
    },
    /// An edit was refused.
    #[error("edit of {service} was refused: {response}")]
    Edit {
        /// The service.
        service: String,
        /// Answer of the administration API.
        response: String,
    },
    /// Entries did not become ready in time.
    #[error("entry {0} did not become ready")]
    NotReady(String),
    /// An entry ended that no event of the trace killed or stopped.
    #[error("entry {entry} ended by itself: {status}")]
    UnexpectedExit {
        /// The entry.
        entry: String,
        /// Its exit status.
        status: std::process::ExitStatus,
    },
    /// The trace names a service that it does not define.
    #[error("the trace defines no service {0}")]
    UnknownService(String),
}

/// Records of one policy in one block.
pub(crate) struct Turns {
    pub(crate) block: String,
    pub(crate) policy: String,
    pub(crate) records: Vec<Record>,
    pub(crate) measured: Vec<Record>,
}

/// Replays a trace and reports what it led to.
///
/// # Errors
///
/// Fails when the installation can't be set up or steered; a broken
/// expectation is part of the report.
pub async fn run(trace: &Trace, examples: &Path, logs: Option<&Path>) -> Result<Report, Error> {
    let mut bench = Bench::set_up(trace, examples, logs).await?;
    let mut turns: BTreeMap<(usize, usize), Turns> = BTreeMap::new();
    for (number, block) in trace.blocks.iter().enumerate() {
        for round in 0..block.rounds {
            for index in 0..block.policies.len() {
                let records = run_turn(&mut bench, trace, block, index, round).await?;
                let entry = turns.entry((number, index)).or_insert_with(|| Turns {
                    block: block.name.clone(),
                    policy: block.policies[index].to_string(),
                    records: Vec::new(),
                    measured: Vec::new(),
                });
                let measured = records.iter().filter(|record| record.due >= block.warmup);
                entry.measured.extend(measured.cloned());
                entry.records.extend(records);
            }
        }
    }
    let turns: Vec<Turns> = turns.into_values().collect();
    let added = match &trace.overhead {
        Some(direct) => Some(direct::measure(&bench, direct).await?),
        None => None,
    };
    let evidence = judge::collect(&bench, trace, &turns).await?;
    Ok(report::build(
        trace,
        &turns,
        added,
        &evidence,
        bench.in_force(),
    ))
}

async fn run_turn(
    bench: &mut Bench,
    trace: &Trace,
    block: &Block,
    policy: usize,
    round: u32,
) -> Result<Vec<Record>, Error> {
    bench.use_policy(&block.policies[policy]).await?;
    // Callers keep old address answers for their time to live.
    bench.forget_addresses();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let streams = setup::streams(trace)?;
    let callers = bench.callers().to_vec();
    let seed = trace.seed.wrapping_add(u64::from(round) * 1000);
    let turn = block.turn_duration;
    let load = tokio::spawn(async move { load::run(&streams, &callers, turn, seed).await });
    event::play(bench, &block.events).await?;
    let records = load.await.unwrap_or_default();
    bench.check_running()?;
    Ok(records)
}
