//! Bounds on what all entries admit, for installations of several sizes.

use std::time::Duration;

use carobdrift_quota::Limit;
use carobdrift_units::Rate;

use crate::simulation::Simulation;

/// Sizes of installations, in entries.
const SIZES: [usize; 4] = [13, 94, 472, 4_237];

/// Bounds of the installations, by the names of their settings.
const QUOTA_WINDOW: Duration = Duration::from_secs(5);
const QUOTA_OVERSHOOT: f64 = 0.1;
const QUOTA_SLACK: f64 = 20.0;
const CONFIG_APPLY: Duration = Duration::from_millis(2500);

/// Demand as a multiple of the quota, as the workspaces of installation A send.
const EXCESS: f64 = 7.5;

const LIMIT: Limit = Limit {
    rate: Rate(100_000),
    burst: 50,
};

/// Limits with other proportions of rate and burst, for the smaller installations.
const OTHER_LIMITS: [Limit; 3] = [
    Limit {
        rate: Rate(8_000),
        burst: 16,
    },
    Limit {
        rate: Rate(500_000),
        burst: 0,
    },
    Limit {
        rate: Rate(40_000),
        burst: 400,
    },
];

const SECOND: Duration = Duration::from_secs(1);

/// Returns the largest number of requests that a window may hold.
fn bound(limit: Limit) -> usize {
    let due = limit.rate.per_second() * QUOTA_WINDOW.as_secs_f64() + limit.burst as f64;
    (due * (1.0 + QUOTA_OVERSHOOT) + QUOTA_SLACK) as usize
}

/// Plays a scenario at all sizes, with callers that send far more than their quota on
/// all entries and on two, and checks the bound.
fn check(name: &str, scenario: impl Fn(&mut Simulation)) {
    let mut failures = Vec::new();
    for size in SIZES {
        let seeds = if size > 1000 { 1 } else { 3 };
        for (callers, seed) in (1..=seeds).flat_map(|seed| [(2, seed), (size, seed)]) {
            failures.extend(play(name, size, callers, (LIMIT, seed), &scenario));
        }
    }
    for (limit, size) in OTHER_LIMITS.into_iter().flat_map(|l| [(l, 13), (l, 94)]) {
        failures.extend(play(name, size, size, (limit, 4), &scenario));
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Plays a scenario once. Returns what happened if the bound was exceeded.
fn play(
    name: &str,
    size: usize,
    callers: usize,
    (limit, seed): (Limit, u64),
    scenario: impl Fn(&mut Simulation),
) -> Option<String> {
    let mut simulation = Simulation::new(size, limit, seed);
    simulation.demand = limit.rate.per_second() * EXCESS;
    simulation.callers = simulation.some(callers);
    simulation.run(SECOND * 4);
    scenario(&mut simulation);
    simulation.run(SECOND * 4);
    let most = simulation.most(QUOTA_WINDOW, Duration::ZERO);
    let result = format!(
        "{name} entries={size} callers={callers} rate={} burst={} seed={seed} most={most} \
         bound={} admitted={} refused={} messages={} bytes={} s={}",
        limit.rate.per_second(),
        limit.burst,
        bound(limit),
        simulation.admitted.len(),
        simulation.refused,
        simulation.messages,
        simulation.bytes,
        simulation.elapsed().as_secs()
    );
    println!("{result}");
    (most > bound(limit)).then_some(result)
}

/// Guards against entries that each admit a share of their own.
#[test]
fn callers_far_beyond_their_quota() {
    check("steady", |simulation| simulation.run(SECOND * 8));
}

/// Guards against a share that stays at entries that callers left.
#[test]
fn callers_that_move_between_zones() {
    check("moving", |simulation| {
        for second in 0..10 {
            simulation.callers = simulation.zone(second % 3);
            simulation.run(SECOND);
        }
    });
}

/// Guards against disconnected entries that admit as much as before, while the others
/// admit all of the quota.
#[test]
fn a_third_of_the_entries_disconnected() {
    check("third-cut", |simulation| {
        let zone = simulation.zone(1);
        simulation.cut(&zone);
        simulation.run(SECOND * 14);
        simulation.reconnect();
    });
}

/// Guards against allowances of disconnected entries that had all callers, beside a
/// grantor that admits all of the quota where the callers moved to.
#[test]
fn callers_that_move_out_of_the_disconnected_part() {
    check("moving-out", |simulation| {
        let zone = simulation.zone(1);
        simulation.callers.clone_from(&zone);
        simulation.run(SECOND * 3);
        simulation.cut(&zone);
        simulation.callers = (0..simulation.count()).collect();
        simulation.run(SECOND * 20);
        simulation.reconnect();
    });
}

/// Guards against a successor that grants what the killed grantor granted before.
#[test]
fn the_grantor_killed() {
    check("grantor-killed", |simulation| {
        let grantor = simulation.grantor();
        simulation.set_running(&[grantor], false);
        simulation.run(SECOND * 6);
        simulation.set_running(&[grantor], true);
    });
}

/// Guards against a grantor that resumes with the bucket that it had.
#[test]
fn the_grantor_frozen_and_resumed() {
    for time in [500, 1000, 3000] {
        check("grantor-frozen", |simulation| {
            let grantor = simulation.grantor();
            simulation.set_frozen(grantor, true);
            simulation.run(Duration::from_millis(time));
            simulation.set_frozen(grantor, false);
        });
    }
}

/// Guards against a grantor that goes on granting to its own callers while the others
/// have another one.
#[test]
fn the_grantor_disconnected() {
    check("grantor-cut", |simulation| {
        let grantor = simulation.grantor();
        simulation.callers.push(grantor);
        simulation.cut(&[grantor]);
        simulation.run(SECOND * 14);
        simulation.reconnect();
    });
}

/// Guards against a burst of each entry that starts.
#[test]
fn half_of_the_entries_killed_and_back() {
    check("half-killed", |simulation| {
        let half: Vec<usize> = (0..simulation.count() / 2).collect();
        simulation.set_running(&half, false);
        simulation.run(SECOND * 3);
        simulation.set_running(&half, true);
    });
}

/// Guards against allowances of the other zones beside a grantor that goes on.
#[test]
fn a_zone_lost() {
    check("zone-lost", |simulation| {
        let zone = simulation.zone(0);
        simulation.set_running(&zone, false);
        simulation.run(SECOND * 5);
        simulation.set_running(&zone, true);
    });
}

/// Guards against entries that go on by a limit that was lowered.
#[test]
fn a_limit_lowered_far_below_the_demand() {
    let lowered = Limit {
        rate: Rate(10_000),
        burst: 5,
    };
    for size in SIZES {
        let mut simulation = Simulation::new(size, LIMIT, 1);
        simulation.demand = LIMIT.rate.per_second();
        simulation.run(SECOND * 4);

        for part in 0..5 {
            simulation.set_limit(lowered, |number| number % 5 == part);
            simulation.run(CONFIG_APPLY / 5);
        }
        let from = simulation.elapsed();
        simulation.run(SECOND * 10);

        let most = simulation.most(QUOTA_WINDOW, from);
        assert!(most <= bound(lowered), "{most} at {size}");
    }
}

/// Guards against tokens that are lost at entries that callers left, and requests that
/// are refused although their workspace keeps within its quota.
#[test]
fn a_workspace_within_its_quota_is_admitted() {
    for size in SIZES {
        for per_side in [1, 2, size / 2] {
            let mut simulation = Simulation::new(size, LIMIT, 1);
            simulation.even = true;
            simulation.demand = 0.0;
            // The bucket fills before the callers start.
            simulation.run(SECOND * 2);
            simulation.demand = LIMIT.rate.per_second();
            for _ in 0..10 {
                simulation.callers = simulation.some(per_side);
                simulation.run(SECOND);
            }

            let all = simulation.admitted.len() + simulation.refused;
            let share = simulation.admitted.len() as f64 / all as f64;
            println!(
                "exact entries={size} callers={per_side} share={share:.4} messages={} bytes={} \
                 largest={}",
                simulation.messages, simulation.bytes, simulation.largest
            );
            assert!(
                share >= 0.97,
                "{share} at {size} with callers on {per_side}"
            );
        }
    }
}
