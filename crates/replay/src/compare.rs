//! Replay of a trace and comparison of the policies in its blocks.

mod event;
mod evidence;
mod overhead;
mod report;
mod testbed;

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use carobdrift_test_support::fleet;
use carobdrift_test_support::load::{self, Record};
use thiserror::Error;

use crate::trace::{Block, Trace};

pub use report::{Overhead, Probes, Report, Row, Verdict};
use testbed::Testbed;

/// Error that ends a replay without a report.
#[derive(Debug, Error)]
pub enum Error {
    /// The testbed could not be set up or controlled.
    #[error(transparent)]
    Fleet(#[from] fleet::Error),
    /// A document template cannot be read.
    #[error("cannot read document template {path}: {error}")]
    Template {
        /// Path of the template.
        path: String,
        /// Cause of the failure.
        error: std::io::Error,
    },
    /// A document template is not valid JSON.
    #[error("document template {path} is not valid JSON: {error}")]
    Json {
        /// Path of the template.
        path: String,
        /// Cause of the failure.
        error: serde_json::Error,
    },
    /// A document edit was not accepted.
    #[error("edit of the document of {service} was not accepted: {response}")]
    Edit {
        /// Name of the service.
        service: String,
        /// Status and body of the last response of the administration API; empty
        /// if no entry responded.
        response: String,
    },
    /// An entry did not become ready in time.
    #[error("entry {0} did not become ready in time")]
    NotReady(String),
    /// An entry exited although no event of the trace killed or stopped it.
    #[error("entry {entry} exited unexpectedly: {status}")]
    UnexpectedExit {
        /// Instance name of the entry.
        entry: String,
        /// Exit status of the process.
        status: std::process::ExitStatus,
    },
    /// The trace uses a service that it does not define.
    #[error("the trace defines no service {0}")]
    UnknownService(String),
}

/// Records of all turns of one policy in one block.
pub(crate) struct Series {
    pub(crate) block: String,
    pub(crate) policy: String,
    /// Records of all calls.
    pub(crate) records: Vec<Record>,
    /// Records of the calls that were due after the warm-up of their turn.
    pub(crate) measured: Vec<Record>,
}

/// Replays a trace and reports the results.
///
/// `examples` is the directory with the document templates. Entries write their
/// logs to `logs`.
///
/// # Errors
///
/// Fails when the testbed cannot be set up or controlled, or an entry exits
/// unexpectedly. An expectation that is not met is part of the report instead.
pub async fn run(trace: &Trace, examples: &Path, logs: Option<&Path>) -> Result<Report, Error> {
    let mut testbed = Testbed::set_up(trace, examples, logs).await?;
    let mut series: BTreeMap<(usize, usize), Series> = BTreeMap::new();
    for (block_index, block) in trace.blocks.iter().enumerate() {
        for round in 0..block.rounds {
            for policy_index in 0..block.policies.len() {
                let records = run_turn(&mut testbed, trace, block, policy_index, round).await?;
                let series = series
                    .entry((block_index, policy_index))
                    .or_insert_with(|| Series {
                        block: block.name.clone(),
                        policy: block.policies[policy_index].to_string(),
                        records: Vec::new(),
                        measured: Vec::new(),
                    });
                let measured = records.iter().filter(|record| record.due >= block.warmup);
                series.measured.extend(measured.cloned());
                series.records.extend(records);
            }
        }
    }
    let series: Vec<Series> = series.into_values().collect();
    let latencies = match &trace.overhead {
        Some(overhead) => Some(overhead::measure(&testbed, overhead).await?),
        None => None,
    };
    let evidence = evidence::collect(&testbed, trace, &series).await?;
    Ok(report::build(
        trace,
        &series,
        latencies,
        &evidence,
        testbed.adoption_times(),
    ))
}

async fn run_turn(
    testbed: &mut Testbed,
    trace: &Trace,
    block: &Block,
    policy_index: usize,
    round: u32,
) -> Result<Vec<Record>, Error> {
    testbed.apply_policy(&block.policies[policy_index]).await?;
    // Callers cache the entries of a service for the time to live of the
    // response, which can outlast the previous turn.
    testbed.clear_address_caches();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let streams = testbed::streams(trace)?;
    let callers = testbed.callers().to_vec();
    let seed = trace.seed.wrapping_add(u64::from(round) * 1000);
    let duration = block.turn_duration;
    let load = tokio::spawn(async move { load::run(&streams, &callers, duration, seed).await });
    event::run_all(testbed, &block.events).await?;
    let records = load.await.unwrap_or_default();
    testbed.check_entries_alive()?;
    Ok(records)
}
