//! The report as a table and as JSON.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::Turns;
use super::direct::Added;
use super::judge::Evidence;
use crate::trace::{Expectation, Quantity, Trace};
use carobdrift_test_support::load::{DEADLINE, Outcome, Record};

/// Everything that a replay led to.
#[derive(Debug, Serialize)]
pub struct Report {
    /// One row for each service, block and policy.
    pub rows: Vec<Row>,
    /// Latency that carobdrift adds, in milliseconds.
    pub added_ms: Option<AddedMs>,
    /// Probes by service.
    pub probes: Vec<Probes>,
    /// Non-idempotent requests that ran more than once.
    pub doubled: u64,
    /// Requests answered with success that no target ran.
    pub lost: u64,
    /// Answers that belong to another caller.
    pub crossed: u64,
    /// Requests that ran although their caller was told that they did not.
    pub false_not_run: u64,
    /// Longest time until an accepted edit was in force everywhere, in seconds.
    pub in_force_seconds: f64,
    /// One verdict for each expectation of the trace.
    pub verdicts: Vec<Verdict>,
    /// Seconds of a turn in which calls got no whole answer, with their number.
    pub failures: Vec<Failures>,
}

/// Calls of one block without a whole answer, by second and reason.
#[derive(Debug, Serialize)]
pub struct Failures {
    /// Service.
    pub service: String,
    /// Block.
    pub block: String,
    /// Policy and how callers were spread.
    pub policy: String,
    /// Second of the turn in which the calls were due.
    pub second: u64,
    /// Outcome as the caller saw it.
    pub outcome: String,
    /// Reason that the system stated, if any.
    pub reason: String,
    /// Number of calls.
    pub calls: u64,
}

/// Results of one policy in one block for one service.
#[derive(Debug, Serialize)]
pub struct Row {
    /// Service.
    pub service: String,
    /// Block.
    pub block: String,
    /// Policy and how callers were spread.
    pub policy: String,
    /// Calls that were measured.
    pub calls: u64,
    /// Percentiles in milliseconds. A call without a whole answer counts as
    /// one that took the whole deadline.
    pub p50_ms: f64,
    /// See `p50_ms`.
    pub p99_ms: f64,
    /// See `p50_ms`.
    pub p999_ms: f64,
    /// Calls that were told that they were not run.
    pub not_run: u64,
    /// Calls with an unknown outcome.
    pub unknown: u64,
    /// Calls whose connection to the entry broke or was refused.
    pub broken: u64,
    /// Reasons that the system stated, with their counts.
    pub reasons: BTreeMap<String, u64>,
}

/// Latency that carobdrift adds, in milliseconds.
#[derive(Debug, Serialize)]
pub struct AddedMs {
    /// Median of direct calls.
    pub direct_p50: f64,
    /// 99th percentile of direct calls.
    pub direct_p99: f64,
    /// 99th percentile of calls through an entry.
    pub through_p99: f64,
    /// 99th percentile of the time added to the median of direct calls.
    pub added_p99: f64,
}

/// Probes of one service.
#[derive(Debug, Serialize)]
pub struct Probes {
    /// Service.
    pub service: String,
    /// Most probes that one target received in any one second.
    pub most_in_one_second: u64,
    /// Probes per second and target that the document permits.
    pub budget: u64,
}

/// Verdict on one expectation.
#[derive(Debug, Serialize)]
pub struct Verdict {
    /// The expectation.
    pub expectation: String,
    /// What was found.
    pub found: f64,
    /// Whether it holds.
    pub holds: bool,
}

impl Report {
    /// Whether every expectation holds.
    #[must_use]
    pub fn holds(&self) -> bool {
        self.verdicts.iter().all(|verdict| verdict.holds)
    }

    /// Judges one expectation by what the replay led to.
    #[must_use]
    pub fn judge(&self, expectation: &Expectation) -> Verdict {
        match expectation {
            Expectation::Ratio {
                service,
                block,
                policy,
                limit,
                baseline,
            } => {
                let p99 = |policy: &str| {
                    self.rows
                        .iter()
                        .find(|row| {
                            &row.service == service && &row.block == block && row.policy == policy
                        })
                        .map_or(f64::NAN, |row| row.p99_ms)
                };
                let found = p99(policy) / p99(baseline);
                verdict(
                    format!("p99 {service} {block} {policy} <= {limit} of {baseline}"),
                    found,
                    *limit,
                )
            }
            Expectation::ProbesWithinBudget => {
                let over = self
                    .probes
                    .iter()
                    .map(|probes| probes.most_in_one_second.saturating_sub(probes.budget))
                    .max()
                    .map_or(f64::NAN, number);
                verdict("probes <= budget (excess)".to_owned(), over, 0.0)
            }
            Expectation::AtMost { quantity, limit } => {
                let (name, found) = match quantity {
                    Quantity::AddedP99 => (
                        "added_p99_ms",
                        self.added_ms
                            .as_ref()
                            .map_or(f64::NAN, |added| added.added_p99),
                    ),
                    Quantity::Doubled => ("doubled", number(self.doubled)),
                    Quantity::Crossed => ("crossed", number(self.crossed)),
                    Quantity::FalseNotRun => ("false_not_run", number(self.false_not_run)),
                    Quantity::Lost => ("lost", number(self.lost)),
                    Quantity::InForce => ("in_force_seconds", self.in_force_seconds),
                };
                verdict(format!("{name} <= {limit}"), found, *limit)
            }
        }
    }
}

pub(super) fn build(
    trace: &Trace,
    turns: &[Turns],
    added: Option<Added>,
    evidence: &Evidence,
    in_force: &[Duration],
) -> Report {
    let rows = turns
        .iter()
        .flat_map(|turns| {
            let services = trace.streams.iter().map(|stream| &stream.service);
            services.map(|service| row(service, turns))
        })
        .collect();
    let longest = in_force.iter().max().copied().unwrap_or_default();
    let mut report = Report {
        rows,
        added_ms: added.map(|added| AddedMs {
            direct_p50: millis(added.direct_p50),
            direct_p99: millis(added.direct_p99),
            through_p99: millis(added.through_p99),
            added_p99: millis(added.difference_p99),
        }),
        probes: evidence
            .probes
            .iter()
            .map(|(service, most, budget)| Probes {
                service: service.clone(),
                most_in_one_second: *most,
                budget: *budget,
            })
            .collect(),
        doubled: evidence.doubled,
        lost: evidence.lost,
        crossed: evidence.crossed,
        false_not_run: evidence.false_not_run,
        in_force_seconds: longest.as_secs_f64(),
        verdicts: Vec::new(),
        failures: turns.iter().flat_map(failures).collect(),
    };
    report.verdicts = trace
        .expectations
        .iter()
        .map(|expectation| report.judge(expectation))
        .collect();
    report
}

fn failures(turns: &Turns) -> Vec<Failures> {
    let mut counts: BTreeMap<(String, u64, String, String), u64> = BTreeMap::new();
    for record in turns
        .records
        .iter()
        .filter(|record| record.outcome != Outcome::Complete)
    {
        let reason = match record.outcome {
            Outcome::NotRun | Outcome::Unknown => record.reason.clone().unwrap_or_default(),
            _ => String::new(),
        };
        let outcome = format!("{:?}", record.outcome);
        let key = (
            record.service.clone(),
            record.due.as_secs(),
            outcome,
            reason,
        );
        *counts.entry(key).or_default() += 1;
    }
    let list = counts
        .into_iter()
        .map(|((service, second, outcome, reason), calls)| Failures {
            service,
            block: turns.block.clone(),
            policy: turns.policy.clone(),
            second,
            outcome,
            reason,
            calls,
        });
    list.collect()
}

fn row(service: &str, turns: &Turns) -> Row {
    let records: Vec<&Record> = turns
        .measured
        .iter()
        .filter(|record| record.service == service)
        .collect();
    let mut reasons = BTreeMap::new();
    for reason in records.iter().filter_map(|record| record.reason.clone()) {
        *reasons.entry(reason).or_default() += 1;
    }
    let count = |ends: &[Outcome]| {
        records
            .iter()
            .filter(|record| ends.contains(&record.outcome))
            .count() as u64
    };
    let latencies = histogram(&records);
    let percentile = |q: f64| {
        millis(Duration::from_micros(
            latencies
                .as_ref()
                .map_or(0, |latencies| latencies.value_at_quantile(q)),
        ))
    };
    Row {
        service: service.to_owned(),
        block: turns.block.clone(),
        policy: turns.policy.clone(),
        calls: records.len() as u64,
        p50_ms: percentile(0.5),
        p99_ms: percentile(0.99),
        p999_ms: percentile(0.999),
        not_run: count(&[Outcome::NotRun]),
        unknown: count(&[Outcome::Unknown]),
        broken: count(&[Outcome::Broken, Outcome::Refused]),
        reasons,
    }
}

fn histogram(records: &[&Record]) -> Option<Histogram<u64>> {
    let mut histogram = Histogram::new_with_bounds(1, 60_000_000, 3).ok()?;
    for record in records {
        let latency = if record.outcome == Outcome::Complete {
            record.latency
        } else {
            record.latency.max(DEADLINE)
        };
        histogram.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
    }
    Some(histogram)
}

/// A quantity that was not measured is no number and never holds.
fn verdict(expectation: String, found: f64, limit: f64) -> Verdict {
    Verdict {
        expectation,
        found,
        holds: found <= limit,
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn number(count: u64) -> f64 {
    count as f64
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<10} {:<8} {:<24} {:>7} {:>8} {:>8} {:>8} {:>7} {:>7} {:>7}",
            "service",
            "block",
            "policy",
            "calls",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "not run",
            "unknown",
            "broken"
        )?;
        for row in &self.rows {
            writeln!(
                f,
                "{:<10} {:<8} {:<24} {:>7} {:>8.1} {:>8.1} {:>8.1} {:>7} {:>7} {:>7}",
                row.service,
                row.block,
                row.policy,
                row.calls,
                row.p50_ms,
                row.p99_ms,
                row.p999_ms,
                row.not_run,
                row.unknown,
                row.broken
            )?;
        }
        if let Some(added) = &self.added_ms {
            writeln!(
                f,
                "idle target: direct p50 {:.3} ms, p99 {:.3} ms; through an entry p99 {:.3} ms; \
                 added p99 {:.3} ms",
                added.direct_p50, added.direct_p99, added.through_p99, added.added_p99
            )?;
        }
        for probes in &self.probes {
            writeln!(
                f,
                "probes {}: at most {} in one second per target, budget {}",
                probes.service, probes.most_in_one_second, probes.budget
            )?;
        }
        writeln!(
            f,
            "doubled {}, lost {}, crossed {}, false not-run {}, in force within {:.2} s",
            self.doubled, self.lost, self.crossed, self.false_not_run, self.in_force_seconds
        )?;
        for verdict in &self.verdicts {
            let word = if verdict.holds { "holds" } else { "BROKEN" };
            writeln!(
                f,
                "{word:<6} {} (found {:.3})",
                verdict.expectation, verdict.found
            )?;
        }
        Ok(())
    }
}
