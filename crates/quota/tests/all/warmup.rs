//! Limits on cold targets.

use std::time::Duration;

use carobdrift_quota::{Key, Limit};
use carobdrift_units::Rate;

use crate::simulation::Simulation;

/// Bounds of the installations, by the names of their settings.
const WARMUP_WINDOW: Duration = Duration::from_secs(1);
const WARMUP_OVERSHOOT: f64 = 1.5;
const WARMUP_SLACK: f64 = 8.0;

/// Share of its rate that a cold target should get where there is demand.
const LEAST_SHARE: f64 = 0.8;

/// Demand as a multiple of what the target tolerates.
const EXCESS: f64 = 5.0;

const SECOND: Duration = Duration::from_secs(1);

/// Starts a simulation of requests to one cold target that all entries use.
fn start(size: usize, rate: Rate, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(size, Limit { rate, burst: 0 }, seed);
    simulation.key = Key::Target("i-0".parse().unwrap(), 1);
    simulation.demand = rate.per_second() * EXCESS;
    simulation.run(SECOND * 3);
    simulation
}

/// Checks the bound, and returns the number of admitted requests.
fn check(simulation: &Simulation, rate: Rate) -> usize {
    let most = simulation.most(WARMUP_WINDOW, Duration::ZERO);
    let bound = (rate.per_second() * WARMUP_OVERSHOOT + WARMUP_SLACK) as usize;
    assert!(most <= bound, "{most} in a second, not {bound}");
    simulation.admitted.len()
}

/// Guards against entries that each send a cold target what it tolerates, and against a
/// cold target that stays idle.
#[test]
fn a_cold_target_gets_its_rate_and_no_more() {
    for (size, rate) in [
        (13, Rate(5_000)),
        (94, Rate(10_000)),
        (94, Rate(100_000)),
        (472, Rate(20_000)),
        (4_237, Rate(20_000)),
    ] {
        let mut simulation = start(size, rate, 1);
        let before = check(&simulation, rate);

        simulation.run(SECOND * 8);

        let admitted = check(&simulation, rate) - before;
        let share = admitted as f64 / (rate.per_second() * 8.0);
        println!(
            "cold entries={size} rate={} share={share:.3} messages={} bytes={}",
            rate.per_second(),
            simulation.messages,
            simulation.bytes
        );
        assert!(share >= LEAST_SHARE, "{share} at {size}");
    }
}

/// Guards against requests to a cold target that no grantor permitted.
#[test]
fn a_cold_target_gets_nothing_without_a_grantor() {
    for seed in 1..=3 {
        let rate = Rate(20_000);
        let mut simulation = start(94, rate, seed);
        let grantor = simulation.grantor();
        let zone = simulation.zone(grantor % 3);

        simulation.set_running(&[grantor], false);
        simulation.run(SECOND * 4);
        simulation.set_running(&[grantor], true);
        simulation.run(SECOND * 3);
        simulation.cut(&zone);
        simulation.run(SECOND * 6);
        simulation.reconnect();
        simulation.run(SECOND * 4);
        simulation.set_frozen(grantor, true);
        simulation.run(SECOND * 2);
        simulation.set_frozen(grantor, false);
        simulation.run(SECOND * 4);

        check(&simulation, rate);
    }
}
