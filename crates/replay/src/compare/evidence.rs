//! Evaluation of the callers' records against the runs that the targets logged.

use std::collections::HashMap;

use carobdrift_test_support::load::Outcome;

use super::testbed::Testbed;
use super::{Error, Series};
use crate::trace::Trace;

/// Counts of wrong outcomes, and of probes, over the whole replay.
#[derive(Debug, Clone, Default)]
pub(super) struct Evidence {
    /// Requests that were to run at most once but ran more often.
    pub(super) doubled: u64,
    /// Requests that ran although the caller was told that they did not.
    pub(super) false_not_run: u64,
    /// Requests with a successful response that no target ran.
    pub(super) lost: u64,
    /// Responses that belong to another call.
    pub(super) crossed: u64,
    /// Service, most probes that one of its targets received in any one second,
    /// and probes per second and target that its document permits.
    pub(super) probes: Vec<(String, u64, u64)>,
}

pub(super) async fn collect(
    testbed: &Testbed,
    trace: &Trace,
    series: &[Series],
) -> Result<Evidence, Error> {
    let mut evidence = Evidence::default();
    let mut runs: HashMap<String, u32> = HashMap::new();
    for service in &trace.services {
        let mut most_probes = 0;
        for target in testbed.fleet.targets_of(&service.name) {
            for run in testbed.fleet.runs(target).await? {
                if let Some(token) = run.token {
                    *runs.entry(token).or_default() += 1;
                }
            }
            most_probes = most_probes.max(testbed.fleet.peak_probes_per_second(target).await?);
        }
        let budget = testbed.probe_budget(&service.name);
        evidence
            .probes
            .push((service.name.clone(), most_probes, budget));
    }
    for record in series.iter().flat_map(|series| &series.records) {
        let count = runs.get(&record.token).copied().unwrap_or_default();
        evidence.doubled += u64::from(record.at_most_once && count > 1);
        evidence.false_not_run += u64::from(record.outcome == Outcome::NotRun && count > 0);
        evidence.lost += u64::from(record.outcome == Outcome::Complete && count == 0);
        evidence.crossed += u64::from(record.outcome == Outcome::Crossed);
    }
    Ok(evidence)
}
