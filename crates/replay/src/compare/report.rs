//! Report of a replay, printed as a table or as JSON.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use carobdrift_test_support::load::{DEADLINE, Outcome, Record};
use hdrhistogram::Histogram;
use serde::Serialize;

use super::Series;
use super::evidence::Evidence;
use super::overhead::Latencies;
use crate::trace::{Expectation, Quantity, Trace};

/// Results of a replay.
#[derive(Debug, Serialize)]
pub struct Report {
    /// One row for each service, block and policy.
    pub rows: Vec<Row>,
    /// Latency that an entry adds, in milliseconds, if the trace requests it.
    pub added_ms: Option<Overhead>,
    /// One row for each service with its probes.
    pub probes: Vec<Probes>,
    /// Number of requests that were to run at most once but ran more often.
    pub doubled: u64,
    /// Number of requests with a successful response that no target ran.
    pub lost: u64,
    /// Number of responses that belong to another call.
    pub crossed: u64,
    /// Number of requests that ran although the caller was told that they did
    /// not.
    pub false_not_run: u64,
    /// Longest time from the acceptance of an edit until all running entries
    /// adopted it, in seconds.
    pub in_force_seconds: f64,
    /// One verdict for each expectation of the trace.
    pub verdicts: Vec<Verdict>,
    /// Counts of calls without a complete response in each second of a turn, its
    /// warm-up included.
    pub failures: Vec<Failures>,
}

/// Number of calls without a complete response that share a service, block,
/// policy, second, outcome and reason.
#[derive(Debug, Serialize)]
pub struct Failures {
    /// Service.
    pub service: String,
    /// Block.
    pub block: String,
    /// Policy and distribution of callers, as the trace names them.
    pub policy: String,
    /// Second of the turn in which the calls were due.
    pub second: u64,
    /// Outcome that the caller observed.
    pub outcome: String,
    /// Reason that the system stated; empty if it stated none.
    pub reason: String,
    /// Number of calls.
    pub calls: u64,
}

/// Results of one service under one policy in one block.
#[derive(Debug, Serialize)]
pub struct Row {
    /// Service.
    pub service: String,
    /// Block.
    pub block: String,
    /// Policy and distribution of callers, as the trace names them.
    pub policy: String,
    /// Number of calls that were due after the warm-up of their turn.
    pub calls: u64,
    /// Median latency in milliseconds. A call without a complete response counts
    /// with at least the deadline as its latency, here and in `p99_ms` and
    /// `p999_ms`.
    pub p50_ms: f64,
    /// 99th percentile of the latency in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency in milliseconds.
    pub p999_ms: f64,
    /// Number of calls that the system reported as not run.
    pub not_run: u64,
    /// Number of calls that the system reported with an unknown outcome.
    pub unknown: u64,
    /// Number of calls that got neither a complete, successful response nor an
    /// outcome from the system, or whose connections were all refused.
    pub broken: u64,
    /// Reasons that the system or the caller stated, with the number of calls.
    pub reasons: BTreeMap<String, u64>,
}

/// Latency that an entry adds, in milliseconds.
#[derive(Debug, Serialize)]
pub struct Overhead {
    /// Median of direct calls.
    pub direct_p50: f64,
    /// 99th percentile of direct calls.
    pub direct_p99: f64,
    /// 99th percentile of calls through an entry.
    pub through_p99: f64,
    /// 99th percentile of calls through an entry, less the median of direct
    /// calls.
    pub added_p99: f64,
}

/// Probes of one service.
#[derive(Debug, Serialize)]
pub struct Probes {
    /// Service.
    pub service: String,
    /// Largest number of probes that one target of the service received in any one
    /// second.
    pub most_in_one_second: u64,
    /// Probes per second and target that the document of the service permits.
    pub budget: u64,
}

/// Result of one expectation.
#[derive(Debug, Serialize)]
pub struct Verdict {
    /// Text of the expectation.
    pub expectation: String,
    /// Measured value; NaN if there was no measurement.
    pub found: f64,
    /// Whether the expectation holds.
    pub holds: bool,
}

impl Report {
    /// Returns whether every expectation holds.
    #[must_use]
    pub fn holds(&self) -> bool {
        self.verdicts.iter().all(|verdict| verdict.holds)
    }

    /// Evaluates one expectation on the results.
    #[must_use]
    pub fn evaluate(&self, expectation: &Expectation) -> Verdict {
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
                let excess = self
                    .probes
                    .iter()
                    .map(|probes| probes.most_in_one_second.saturating_sub(probes.budget))
                    .max()
                    .map_or(f64::NAN, to_f64);
                verdict("probes <= budget (excess)".to_owned(), excess, 0.0)
            }
            Expectation::AtMost { quantity, limit } => {
                let (name, found) = match quantity {
                    Quantity::AddedP99 => (
                        "added_p99_ms",
                        self.added_ms
                            .as_ref()
                            .map_or(f64::NAN, |overhead| overhead.added_p99),
                    ),
                    Quantity::Doubled => ("doubled", to_f64(self.doubled)),
                    Quantity::Crossed => ("crossed", to_f64(self.crossed)),
                    Quantity::FalseNotRun => ("false_not_run", to_f64(self.false_not_run)),
                    Quantity::Lost => ("lost", to_f64(self.lost)),
                    Quantity::InForce => ("in_force_seconds", self.in_force_seconds),
                };
                verdict(format!("{name} <= {limit}"), found, *limit)
            }
        }
    }
}

pub(super) fn build(
    trace: &Trace,
    series: &[Series],
    latencies: Option<Latencies>,
    evidence: &Evidence,
    adoption_times: &[Duration],
) -> Report {
    let rows = series
        .iter()
        .flat_map(|series| {
            let services = trace.streams.iter().map(|stream| &stream.service);
            services.map(|service| row(service, series))
        })
        .collect();
    let longest = adoption_times.iter().max().copied().unwrap_or_default();
    let mut report = Report {
        rows,
        added_ms: latencies.map(|latencies| Overhead {
            direct_p50: millis(latencies.direct_p50),
            direct_p99: millis(latencies.direct_p99),
            through_p99: millis(latencies.through_p99),
            added_p99: millis(latencies.added_p99),
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
        failures: series.iter().flat_map(failures).collect(),
    };
    report.verdicts = trace
        .expectations
        .iter()
        .map(|expectation| report.evaluate(expectation))
        .collect();
    report
}

fn failures(series: &Series) -> Vec<Failures> {
    let mut counts: BTreeMap<(String, u64, String, String), u64> = BTreeMap::new();
    for record in series
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
    let failures = counts
        .into_iter()
        .map(|((service, second, outcome, reason), calls)| Failures {
            service,
            block: series.block.clone(),
            policy: series.policy.clone(),
            second,
            outcome,
            reason,
            calls,
        });
    failures.collect()
}

fn row(service: &str, series: &Series) -> Row {
    let records: Vec<&Record> = series
        .measured
        .iter()
        .filter(|record| record.service == service)
        .collect();
    let mut reasons = BTreeMap::new();
    for reason in records.iter().filter_map(|record| record.reason.clone()) {
        *reasons.entry(reason).or_default() += 1;
    }
    let count = |outcomes: &[Outcome]| {
        records
            .iter()
            .filter(|record| outcomes.contains(&record.outcome))
            .count() as u64
    };
    let latencies = histogram(&records);
    let percentile = |quantile: f64| {
        millis(Duration::from_micros(
            latencies
                .as_ref()
                .map_or(0, |latencies| latencies.value_at_quantile(quantile)),
        ))
    };
    Row {
        service: service.to_owned(),
        block: series.block.clone(),
        policy: series.policy.clone(),
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

/// Returns the verdict that `found` is at most `limit`. It never holds for NaN,
/// which stands for a quantity that was not measured.
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
fn to_f64(count: u64) -> f64 {
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
        if let Some(overhead) = &self.added_ms {
            writeln!(
                f,
                "idle target: direct p50 {:.3} ms, p99 {:.3} ms; through an entry p99 {:.3} ms; \
                 added p99 {:.3} ms",
                overhead.direct_p50, overhead.direct_p99, overhead.through_p99, overhead.added_p99
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
            let status = if verdict.holds { "holds" } else { "BROKEN" };
            writeln!(
                f,
                "{status:<6} {} (found {:.3})",
                verdict.expectation, verdict.found
            )?;
        }
        Ok(())
    }
}
