//! Evaluation of expectations: a verdict must not hold if the limit is exceeded or
//! nothing was measured.

use std::collections::BTreeMap;

use carobdrift_replay::compare::{Probes, Report, Row, Verdict};
use carobdrift_replay::trace::{Expectation, Quantity};

/// Function that changes one value of a report.
type Mutation = fn(&mut Report);

fn row(policy: &str, p99_ms: f64) -> Row {
    Row {
        service: "sheets".to_owned(),
        block: "choice".to_owned(),
        policy: policy.to_owned(),
        calls: 100,
        p50_ms: 1.0,
        p99_ms,
        p999_ms: p99_ms,
        not_run: 0,
        unknown: 0,
        broken: 0,
        reasons: BTreeMap::new(),
    }
}

fn report() -> Report {
    Report {
        rows: vec![
            row("adaptive:steered", 50.0),
            row("round-robin:spread", 100.0),
        ],
        added_ms: None,
        probes: Vec::new(),
        doubled: 0,
        lost: 0,
        crossed: 0,
        false_not_run: 0,
        in_force_seconds: 0.0,
        failures: Vec::new(),
        verdicts: Vec::new(),
    }
}

fn probes(service: &str, most_in_one_second: u64) -> Probes {
    Probes {
        service: service.to_owned(),
        most_in_one_second,
        budget: 2,
    }
}

fn ratio(limit: f64, baseline: &str) -> Expectation {
    Expectation::Ratio {
        service: "sheets".to_owned(),
        block: "choice".to_owned(),
        policy: "adaptive:steered".to_owned(),
        limit,
        baseline: baseline.to_owned(),
    }
}

fn at_most(quantity: Quantity, limit: f64) -> Expectation {
    Expectation::AtMost { quantity, limit }
}

#[test]
fn quantity_that_was_not_measured_never_holds() {
    let added = report().evaluate(&at_most(Quantity::AddedP99, f64::MAX));
    let baseline = report().evaluate(&ratio(f64::MAX, "least-in-flight:spread"));

    assert!(!added.holds);
    assert!(!baseline.holds);
}

#[test]
fn ratio_holds_up_to_its_limit() {
    let at_limit = report().evaluate(&ratio(0.5, "round-robin:spread"));
    let above = report().evaluate(&ratio(0.49, "round-robin:spread"));

    assert!(at_limit.holds, "{at_limit:?}");
    assert!(!above.holds, "{above:?}");
}

#[test]
fn ratio_ignores_rows_of_other_services_and_blocks() {
    let mut report = report();
    report.rows[0].block = "faults".to_owned();
    report.rows[1].service = "draws".to_owned();

    let verdict = report.evaluate(&ratio(f64::MAX, "round-robin:spread"));

    assert!(!verdict.holds, "{verdict:?}");
}

#[test]
fn probes_are_evaluated_by_the_largest_excess_of_any_service() {
    let mut report = report();
    report.probes = vec![probes("draws", 2), probes("sheets", 2)];
    let within = report.evaluate(&Expectation::ProbesWithinBudget);
    // Unused budget of one service does not offset the excess of another.
    report.probes = vec![probes("draws", 0), probes("sheets", 5)];

    let exceeded = report.evaluate(&Expectation::ProbesWithinBudget);

    assert!(within.holds);
    assert!(!exceeded.holds);
    assert!((exceeded.found - 3.0).abs() < 1e-9, "{exceeded:?}");
}

#[test]
fn probes_that_were_not_counted_never_hold() {
    let verdict = report().evaluate(&Expectation::ProbesWithinBudget);

    assert!(!verdict.holds, "{verdict:?}");
}

#[test]
fn each_quantity_is_evaluated_by_its_own_value() {
    let cases: [(Quantity, Mutation); 5] = [
        (Quantity::Doubled, |report| report.doubled = 1),
        (Quantity::Lost, |report| report.lost = 1),
        (Quantity::Crossed, |report| report.crossed = 1),
        (Quantity::FalseNotRun, |report| report.false_not_run = 1),
        (Quantity::InForce, |report| report.in_force_seconds = 1.0),
    ];
    for (quantity, mutate) in cases {
        let mut report = report();
        let verdicts_before: Vec<Verdict> = cases
            .iter()
            .map(|(quantity, _)| report.evaluate(&at_most(*quantity, 0.0)))
            .collect();

        mutate(&mut report);

        assert!(verdicts_before.iter().all(|verdict| verdict.holds));
        let exceeded: Vec<Quantity> = cases
            .iter()
            .map(|(quantity, _)| *quantity)
            .filter(|quantity| !report.evaluate(&at_most(*quantity, 0.0)).holds)
            .collect();
        assert_eq!(exceeded, [quantity]);
        assert!(report.evaluate(&at_most(quantity, 1.0)).holds);
    }
}

#[test]
fn report_does_not_hold_if_one_verdict_does_not() {
    let mut report = report();
    let verdict = |holds| Verdict {
        expectation: "doubled <= 0".to_owned(),
        found: 0.0,
        holds,
    };
    report.verdicts = vec![verdict(true), verdict(true)];
    let holds_before = report.holds();
    report.verdicts.push(verdict(false));

    assert!(holds_before);
    assert!(!report.holds());
}
