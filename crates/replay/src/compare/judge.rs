//! Judgement of outcomes by the targets' own records.

use std::collections::HashMap;

use super::setup::Bench;
use super::{Error, Turns};
use crate::trace::Trace;
use carobdrift_test_support::load::Outcome;

/// What the targets' records show.
#[derive(Debug, Clone, Default)]
pub(super) struct Evidence {
    /// Non-idempotent requests that ran more than once.
    pub(super) doubled: u64,
    /// Requests that ran although their caller was told that they did not.
    pub(super) false_not_run: u64,
    /// Requests answered with success that no target ran.
    pub(super) lost: u64,
    /// Answers that belong to another caller.
    pub(super) crossed: u64,
    /// For each service, the most probes that one target received in one
    /// second, and the budget.
    pub(super) probes: Vec<(String, u64, u64)>,
}

pub(super) async fn collect(
    bench: &Bench,
    trace: &Trace,
    turns: &[Turns],
) -> Result<Evidence, Error> {
    let mut evidence = Evidence::default();
    let mut runs: HashMap<String, u32> = HashMap::new();
    for service in &trace.services {
        let mut most = 0;
        for target in bench.fleet.targets_of(&service.name) {
            for run in bench.fleet.runs(target).await? {
                if let Some(token) = run.token {
                    *runs.entry(token).or_default() += 1;
                }
            }
            most = most.max(bench.fleet.peak_probes_per_second(target).await?);
        }
        let budget = bench.probe_budget(&service.name);
        evidence.probes.push((service.name.clone(), most, budget));
    }
    for record in turns.iter().flat_map(|turns| &turns.records) {
        let count = runs.get(&record.token).copied().unwrap_or_default();
        evidence.doubled += u64::from(record.at_most_once && count > 1);
        evidence.false_not_run += u64::from(record.outcome == Outcome::NotRun && count > 0);
        evidence.lost += u64::from(record.outcome == Outcome::Complete && count == 0);
        evidence.crossed += u64::from(record.outcome == Outcome::Crossed);
    }
    Ok(evidence)
}
