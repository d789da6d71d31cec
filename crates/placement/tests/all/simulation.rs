//! Simulation of targets of changing speed against the pool, without a network.
//!
//! 20 targets of 2 slots share their machines: 35 in 100 of the time each works
//! 5 times slower, redrawn every 150 ms. Requests of 90 ms arrive at the normal
//! rate of the service and are to be answered within 230 ms.

use std::time::Duration;

use carobdrift_placement::{Choice, Criteria, Load, Outcome, Pool};
use carobdrift_units::Target;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

use crate::fixture::{criteria, pool, target};

const TARGETS: usize = 20;
const SERVICE_TIME_MS: f64 = 90.0;
const TARGET_LATENCY_MS: f64 = 230.0;
const REDRAW_MS: u32 = 150;
const SLOWDOWN: f64 = 5.0;
const SLOW_SHARE: f64 = 0.35;
const NORMAL_ARRIVAL_MS: u32 = 10;
const OVERLOAD_ARRIVAL_MS: u32 = 2;
const REQUESTS: u32 = 3_000;

struct Machine {
    id: Target,
    slowdown: f64,
    /// End times, in milliseconds, of the requests on the machine.
    ends: Vec<f64>,
    attempts: Vec<(f64, u64)>,
}

/// Simulates one request each `arrival_ms` and returns the share that is answered
/// in time. A request for which `choose` returns no machine is refused.
fn simulate(
    arrival_ms: u32,
    choose: impl Fn(&mut Pool, &mut [Machine], Instant, &mut SmallRng) -> Option<usize>,
) -> f64 {
    let mut random = SmallRng::seed_from_u64(7);
    let names: Vec<String> = (0..TARGETS).map(|n| format!("t{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let epoch = Instant::now();
    let mut pool = pool(&names, epoch);
    let mut machines: Vec<Machine> = names
        .iter()
        .map(|name| Machine {
            id: target(name),
            slowdown: 1.0,
            ends: Vec::new(),
            attempts: Vec::new(),
        })
        .collect();
    let mut in_time = 0_u32;
    for number in 0..REQUESTS {
        let ms = number * arrival_ms;
        let at = f64::from(ms);
        let now = epoch + Duration::from_millis(ms.into());
        for machine in &mut machines {
            if ms.is_multiple_of(REDRAW_MS) {
                let slow = random.random_bool(SLOW_SHARE);
                machine.slowdown = if slow { SLOWDOWN } else { 1.0 };
            }
            machine.ends.retain(|end| *end > at);
            machine.attempts.retain(|(end, attempt)| {
                let ended = *end <= at;
                if ended {
                    pool.end_attempt(&machine.id, *attempt, Outcome::Success, now);
                }
                !ended
            });
        }
        let Some(index) = choose(&mut pool, &mut machines, now, &mut random) else {
            continue;
        };
        let machine = &mut machines[index];
        // The request starts when all but one of the earlier requests have ended.
        let mut ends = machine.ends.clone();
        ends.sort_by(f64::total_cmp);
        let start = if ends.len() < 2 {
            at
        } else {
            ends[ends.len() - 2]
        };
        let end = start.max(at) + SERVICE_TIME_MS * machine.slowdown;
        machine.ends.push(end);
        let service_time = Duration::from_secs_f64(SERVICE_TIME_MS / 1000.0);
        let attempt = pool.begin_attempt(&machine.id, service_time, now);
        machine.attempts.push((end, attempt));
        in_time += u32::from(end - at <= TARGET_LATENCY_MS);
    }
    f64::from(in_time) / f64::from(REQUESTS)
}

/// Chooses by the pool and answers its probes from the machines at once. Targets
/// that would take more than `max_cost` times the normal service time are not
/// used.
fn by_pool(
    max_cost: f64,
) -> impl Fn(&mut Pool, &mut [Machine], Instant, &mut SmallRng) -> Option<usize> {
    move |pool, machines, now, _| {
        let mut probed: Vec<Target> = Vec::new();
        loop {
            let criteria = Criteria {
                probed: &probed,
                immediate: probed.len() >= TARGETS,
                max_cost,
                ..criteria()
            };
            let index = |id: &Target| machines.iter().position(|m| m.id == *id);
            match pool.choose(criteria, now) {
                Choice::Send(endpoint) => return index(&endpoint.id),
                Choice::Probe(targets) => {
                    for target in targets {
                        let machine = &machines[index(&target.id).unwrap()];
                        let total = u32::try_from(machine.ends.len()).unwrap();
                        let reported = Load {
                            running: total.min(2),
                            waiting: total.saturating_sub(2),
                            slots: 2,
                            slowdown: machine.slowdown,
                        };
                        pool.record_load(&target.id, reported, now);
                        probed.push(target.id);
                    }
                }
                Choice::Saturated if probed.len() >= TARGETS => return None,
                _ => probed = machines.iter().map(|m| m.id.clone()).collect(),
            }
        }
    }
}

/// Chooses a target with the fewest requests in flight.
fn by_least_in_flight(
    _: &mut Pool,
    machines: &mut [Machine],
    _: Instant,
    random: &mut SmallRng,
) -> usize {
    let fewest = machines.iter().map(|m| m.ends.len()).min().unwrap();
    let least: Vec<usize> = (0..machines.len())
        .filter(|index| machines[*index].ends.len() == fewest)
        .collect();
    least[random.random_range(0..least.len())]
}

/// Guards against a choice that ignores which targets are slow at the moment: even
/// with exact counts of the requests in flight, a third of the requests are late.
#[test]
fn fresh_reports_answer_more_requests_in_time_than_counts() {
    let counts = simulate(NORMAL_ARRIVAL_MS, |pool, machines, now, random| {
        Some(by_least_in_flight(pool, machines, now, random))
    });

    let reports = simulate(NORMAL_ARRIVAL_MS, by_pool(100.0));

    assert!(counts < 0.85, "{counts}");
    assert!(reports > 0.97, "{reports}");
}

/// Guards against an overload in which all answers are late. With costs bounded by
/// the target latency, the targets answer in time as many requests as they can;
/// with costs bounded by a deadline of 1,200 ms, their queues make nearly all
/// answers late.
#[test]
fn under_overload_the_target_latency_bounds_costs_better_than_the_deadline() {
    let by_deadline = simulate(OVERLOAD_ARRIVAL_MS, by_pool(1200.0 / SERVICE_TIME_MS));

    let by_target_latency = simulate(
        OVERLOAD_ARRIVAL_MS,
        by_pool(TARGET_LATENCY_MS / SERVICE_TIME_MS),
    );

    assert!(by_target_latency > 0.4, "{by_target_latency}");
    assert!(
        by_target_latency > 1.5 * by_deadline,
        "{by_target_latency} against {by_deadline}"
    );
}
