//! A load of shifting targets, played against the pool without a network.
//!
//! 20 targets of 2 slots share their machines: for 35 in 100 of the time each
//! works 5 times slower, redrawn every 150 ms. Requests of 90 ms arrive at the
//! usual rate of the service and are to be answered within 230 ms.

use std::time::Duration;

use carobdrift_placement::{Choice, Demand, Outcome, Pool};
use carobdrift_units::Target;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

use crate::fixture::{demand, load, pool, target};

const TARGETS: usize = 20;
const WORK_MS: f64 = 90.0;
const AIM_MS: f64 = 230.0;
const REDRAW_MS: u32 = 150;
const SLOW: f64 = 5.0;
const SLOW_SHARE: f64 = 0.35;
const ARRIVAL_MS: u32 = 10;
const REQUESTS: u32 = 3_000;

struct Machine {
    id: Target,
    slowdown: f64,
    /// Ends of the requests that it executes.
    ends: Vec<f64>,
    attempts: Vec<(f64, u64)>,
}

/// Plays the load; returns the share answered in time.
fn play(choose: impl Fn(&mut Pool, &mut [Machine], Instant, f64, &mut SmallRng) -> usize) -> f64 {
    let mut random = SmallRng::seed_from_u64(7);
    let names: Vec<String> = (0..TARGETS).map(|n| format!("t{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let begin = Instant::now();
    let mut pool = pool(&names, begin);
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
        let ms = number * ARRIVAL_MS;
        let at = f64::from(ms);
        let now = begin + Duration::from_millis(ms.into());
        for machine in &mut machines {
            if ms.is_multiple_of(REDRAW_MS) {
                let slow = random.random_bool(SLOW_SHARE);
                machine.slowdown = if slow { SLOW } else { 1.0 };
            }
            machine.ends.retain(|end| *end > at);
            machine.attempts.retain(|(end, attempt)| {
                let ended = *end <= at;
                if ended {
                    pool.end(&machine.id, *attempt, Outcome::Success, now);
                }
                !ended
            });
        }
        let index = choose(&mut pool, &mut machines, now, at, &mut random);
        let machine = &mut machines[index];
        let wait = if machine.ends.len() < 2 {
            at
        } else {
            machine.ends.iter().copied().fold(f64::MAX, f64::min)
        };
        let end = wait.max(at) + WORK_MS * machine.slowdown;
        machine.ends.push(end);
        let work = Duration::from_secs_f64(WORK_MS / 1000.0);
        let attempt = pool.begin(&machine.id, work, now);
        machine.attempts.push((end, attempt));
        in_time += u32::from(end - at <= AIM_MS);
    }
    f64::from(in_time) / f64::from(REQUESTS)
}

/// Asks the pool, and answers its probes from the machines at once.
fn by_pool(
    pool: &mut Pool,
    machines: &mut [Machine],
    now: Instant,
    _: f64,
    _: &mut SmallRng,
) -> usize {
    let mut probed: Vec<Target> = Vec::new();
    loop {
        let asked = Demand {
            probed: &probed,
            urgent: probed.len() >= TARGETS,
            ..demand()
        };
        let index = |id: &Target| machines.iter().position(|m| m.id == *id).unwrap();
        match pool.choose(asked, now) {
            Choice::Send(endpoint) => return index(&endpoint.id),
            Choice::Probe(targets) => {
                for target in targets {
                    let machine = &machines[index(&target.id)];
                    let running = u32::try_from(machine.ends.len().min(2)).unwrap();
                    pool.report(&target.id, load(running, machine.slowdown), now);
                    probed.push(target.id);
                }
            }
            _ => probed = machines.iter().map(|m| m.id.clone()).collect(),
        }
    }
}

/// The target with the fewest requests in flight.
fn by_least_in_flight(
    _: &mut Pool,
    machines: &mut [Machine],
    _: Instant,
    _: f64,
    random: &mut SmallRng,
) -> usize {
    let fewest = machines.iter().map(|m| m.ends.len()).min().unwrap();
    let least: Vec<usize> = (0..machines.len())
        .filter(|index| machines[*index].ends.len() == fewest)
        .collect();
    least[random.random_range(0..least.len())]
}

/// Guards against a choice that does not know which targets are slow now: even
/// perfect counts of the requests in flight leave a third of them late.
#[test]
fn fresh_reports_answer_more_requests_in_time_than_counts() {
    let counts = play(by_least_in_flight);

    let reports = play(by_pool);

    assert!(counts < 0.85, "{counts}");
    assert!(reports > 0.97, "{reports}");
}
