//! Load beyond the capacity, on the order until 2026-12-07 and on [`Queue`], without a
//! network.
//!
//! 30 targets of 2 slots work 5 times slower for 30% of the time, redrawn every 150 ms,
//! and 1.7 times slower with both slots in use.

use std::time::Duration;

use carobdrift_placement::{Demand, Queue, retry_after};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

use crate::order::{ByAge, Order, workspace};

const TARGETS: usize = 30;
/// Work per second of all targets with both slots in use.
const CAPACITY: f64 = 30.0 * (0.7 + 0.3 / 5.0) * 2.0 / 1.7;
const RUN_MS: u32 = 14_000;
/// Start of a run, with a load below the capacity.
const CALM_MS: f64 = 2_000.0;
const CALM_LOAD: f64 = 0.8;
/// Work, target latency and deadline of the routes, in milliseconds.
const ROUTES: [(f64, u64, u64); 3] = [(60.0, 250, 3000), (160.0, 400, 3000), (300.0, 1500, 5000)];
const MEAN_WORK_S: f64 = (0.06 + 0.16 + 0.3) / 3.0;
/// Time from a refusal to the arrival of an immediate retry.
const ROUND_TRIP_MS: u32 = 4;
const RETRIES: u32 = 3;

/// Request of a caller, with what became of it.
#[derive(Clone)]
struct Request {
    arrived_ms: u32,
    priority: u32,
    workspace: Option<u32>,
    route: usize,
    work_ms: f64,
    /// Whether the caller retries at once instead of waiting.
    hasty: bool,
    sent_ms: u32,
    retries: u32,
    refused_ms: Option<u32>,
    started_ms: Option<u32>,
    ended_ms: Option<u32>,
}

impl Request {
    fn demand(&self, epoch: Instant) -> Demand {
        let (work_ms, target_ms, deadline_ms) = ROUTES[self.route];
        let at = |ms: u64| epoch + Duration::from_millis(ms);
        let work = Duration::from_secs_f64(work_ms / 1000.0);
        let received = at(self.sent_ms.into());
        let target_latency = Duration::from_millis(target_ms);
        Demand {
            priority: self.priority,
            workspace: self.workspace.map(workspace),
            work,
            received,
            target_latency,
            start_by: received + target_latency - work.mul_f64(1.3),
            last_start: at(u64::from(self.arrived_ms) + deadline_ms) - work.mul_f64(1.3),
        }
    }

    fn deadline_ms(&self) -> u32 {
        self.arrived_ms + u32::try_from(ROUTES[self.route].2).unwrap()
    }

    fn target_ms(&self) -> u32 {
        u32::try_from(ROUTES[self.route].1).unwrap()
    }

    /// Whether the answer came within the target latency.
    fn is_on_time(&self) -> bool {
        let latency = self.ended_ms.map(|end| end - self.arrived_ms);
        latency.is_some_and(|latency| latency <= self.target_ms())
    }
}

/// Draws requests of which the number per second is `load` times what the targets can
/// execute.
fn draw(load: f64, seed: u64, mut next: impl FnMut(&mut SmallRng, &mut Request)) -> Vec<Request> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    let mut at_ms = 0.0;
    while at_ms < f64::from(RUN_MS) {
        let load = if at_ms < CALM_MS {
            load.min(CALM_LOAD)
        } else {
            load
        };
        let mean_interval_ms = 1000.0 * MEAN_WORK_S / (CAPACITY * load);
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        at_ms -= mean_interval_ms * uniform.ln();
        let route = random.random_range(0..ROUTES.len());
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "small"
        )]
        let arrived_ms = at_ms as u32;
        let mut request = Request {
            arrived_ms,
            priority: random.random_range(0..3),
            workspace: None,
            route,
            work_ms: ROUTES[route].0 * random.random_range(0.5..1.5),
            hasty: false,
            sent_ms: arrived_ms,
            retries: 0,
            refused_ms: None,
            started_ms: None,
            ended_ms: None,
        };
        next(&mut random, &mut request);
        requests.push(request);
    }
    requests
}

/// Sends the requests to the targets in the given order. Callers retry refused requests
/// if `retry` is set.
fn play(mut requests: Vec<Request>, order: &mut dyn Order, retry: bool) -> Vec<Request> {
    let mut random = SmallRng::seed_from_u64(11);
    let epoch = Instant::now();
    let mut slowdowns = [1.0; TARGETS];
    let mut running: Vec<Vec<(usize, f64)>> = vec![Vec::new(); TARGETS];
    let mut sends: Vec<(u32, usize)> = (0..requests.len())
        .map(|number| (requests[number].sent_ms, number))
        .collect();
    for now_ms in 0..RUN_MS + 6000 {
        let now = epoch + Duration::from_millis(now_ms.into());
        if now_ms.is_multiple_of(150) {
            slowdowns = slowdowns.map(|_| if random.random_bool(0.3) { 5.0 } else { 1.0 });
        }
        for (slots, slowdown) in running.iter_mut().zip(slowdowns) {
            let contention = if slots.len() > 1 { 1.7 } else { 1.0 };
            for (_, left_ms) in slots.iter_mut() {
                *left_ms -= 1.0 / (slowdown * contention);
            }
            for (number, _) in slots.extract_if(.., |(_, left_ms)| *left_ms <= 0.0) {
                requests[number].ended_ms = Some(now_ms);
            }
        }
        for (_, number) in sends.extract_if(.., |(at, _)| *at <= now_ms) {
            requests[number].sent_ms = now_ms;
            order.push(number, requests[number].demand(epoch), now);
        }
        for (sequence, (number, capacity_in)) in order.refuse(now).into_iter().enumerate() {
            let request = &mut requests[number];
            request.refused_ms = Some(now_ms);
            let left_ms = request.deadline_ms().saturating_sub(now_ms);
            if !retry || request.retries >= RETRIES || left_ms < ROUND_TRIP_MS {
                continue;
            }
            request.retries += 1;
            let left = Duration::from_millis(left_ms.into());
            let sequence = u64::from(now_ms) + u64::try_from(sequence).unwrap();
            let wait = retry_after(capacity_in, left, sequence).min(left / 3);
            let wait_ms = u32::try_from(wait.as_millis()).unwrap();
            let wait_ms = if request.hasty { 0 } else { wait_ms };
            sends.push((now_ms + wait_ms + ROUND_TRIP_MS, number));
        }
        while let Some(number) = order.first(now) {
            let target = (0..TARGETS)
                .filter(|index| running[*index].len() < 2)
                .map(|index| {
                    let contention = if running[index].is_empty() { 1.0 } else { 1.7 };
                    (slowdowns[index] * contention, index)
                })
                .min_by(|a, b| a.0.total_cmp(&b.0));
            let request = &mut requests[number];
            let end_ms = if now >= request.demand(epoch).start_by {
                request.deadline_ms()
            } else {
                request.sent_ms + request.target_ms()
            };
            let Some((slowdown, index)) = target else {
                break;
            };
            if f64::from(now_ms) + ROUTES[request.route].0 * slowdown > f64::from(end_ms) {
                break;
            }
            request.started_ms = Some(now_ms);
            running[index].push((number, request.work_ms));
            order.start(now);
        }
    }
    requests
}

fn both(requests: &[Request], retry: bool) -> [Vec<Request>; 2] {
    [
        play(requests.to_vec(), &mut ByAge::default(), retry),
        play(requests.to_vec(), &mut Queue::default(), retry),
    ]
}

fn share(requests: &[Request], of: impl Fn(&Request) -> bool) -> f64 {
    let (mut on_time, mut all) = (0.0, 0.0_f64);
    for request in requests.iter().filter(|request| of(request)) {
        all += 1.0;
        on_time += f64::from(u32::from(request.is_on_time()));
    }
    on_time / all.max(1.0)
}

/// Returns the time from arrival to refusal that 95 in 100 refused requests keep, as a
/// share of the target latency.
fn refusal_time(requests: &[Request]) -> f64 {
    let mut times: Vec<f64> = requests
        .iter()
        .filter_map(|r| Some(f64::from(r.refused_ms? - r.sent_ms) / f64::from(r.target_ms())))
        .collect();
    times.sort_by(f64::total_cmp);
    times.get(times.len() * 95 / 100).copied().unwrap_or(0.0)
}

/// Counts the requests that were refused although one of a lower priority that needs
/// as much work started later, while the answer would have been on time.
fn inversions(requests: &[Request]) -> usize {
    let is_inverted = |high: &&Request| {
        let Some(refused_ms) = high.refused_ms else {
            return false;
        };
        let (work_ms, target_ms, _) = ROUTES[high.route];
        let start_by_ms =
            f64::from(high.sent_ms) + f64::from(u32::try_from(target_ms).unwrap()) - 1.3 * work_ms;
        requests.iter().any(|low| {
            low.priority > high.priority
                && ROUTES[low.route].0 >= work_ms
                && low
                    .started_ms
                    .is_some_and(|at| at > refused_ms && f64::from(at) <= start_by_ms)
        })
    };
    requests.iter().filter(is_inverted).count()
}

/// Requests after the calm start of a run.
fn of_overload(requests: &[Request]) -> Vec<Request> {
    let after = |r: &&Request| f64::from(r.arrived_ms) >= CALM_MS;
    requests.iter().filter(after).cloned().collect()
}

/// Guards against an order that serves too few, refuses late, or refuses the more
/// urgent ones.
#[test]
fn overload_delays_and_refuses_what_costs_callers_least() {
    for (load, least_gain) in [(0.7, 0.98), (1.0, 0.98), (1.5, 1.15), (2.5, 1.15)] {
        let mut shares = [0.0; 2];
        let mut all_new = Vec::new();
        for seed in 1..=3 {
            let requests = draw(load, seed, |_, _| ());
            let played = both(&requests, false).map(|played| of_overload(&played));

            for ((name, played), sum) in ["old", "new"].iter().zip(&played).zip(&mut shares) {
                let by_priority = [0, 1, 2].map(|p| share(played, |r| r.priority == p));
                println!(
                    "{load} seed {seed} {name}: on time {:.3} by priority {by_priority:.3?} \
                     answered {} refused after {:.3} inversions {} of {}",
                    share(played, |_| true),
                    played.iter().filter(|r| r.ended_ms.is_some()).count(),
                    refusal_time(played),
                    inversions(played),
                    played.len(),
                );
                *sum += share(played, |_| true);
            }
            let new = &played[1];
            assert_eq!(inversions(new), 0, "{load} seed {seed}");
            all_new.extend(new.iter().cloned());
        }
        let [old, new] = shares;
        println!(
            "{load}: gain {:.3}, refusals after {:.3}",
            new / old,
            refusal_time(&all_new)
        );
        assert!(refusal_time(&all_new) <= 0.125, "{load}");
        assert!(new >= least_gain * old, "{load}: {new} against {old}");
    }
}

/// Guards against callers that gain by retrying at once, at the cost of others.
#[test]
fn immediate_retries_cost_others_nothing() {
    for seed in 1..=3 {
        let patient = draw(1.5, seed, |_, _| ());
        let mut random = SmallRng::seed_from_u64(seed);
        let mut hasty = patient.clone();
        for request in &mut hasty {
            request.hasty = random.random_bool(0.3);
        }

        let [_, before] = both(&patient, true);
        let [old, after] = both(&hasty, true);

        let served = |played: &[Request], is_hasty: bool| {
            let of = |r: &(&Request, &Request)| r.1.hasty == is_hasty;
            let pairs: Vec<_> = played.iter().zip(&hasty).filter(of).collect();
            let served = pairs.iter().filter(|(r, _)| r.ended_ms.is_some()).count();
            let counts = [served, pairs.len()].map(|n| f64::from(u32::try_from(n).unwrap()));
            counts[0] / counts[1]
        };
        let [was, old, is] =
            [&before, &old, &after].map(|played| [false, true].map(|h| served(played, h)));
        println!("seed {seed}: others, hasty: all patient {was:.3?}, old {old:.3?}, new {is:.3?}");
        assert!(is[0] >= 0.97 * was[0], "seed {seed}: {is:?} after {was:?}");
        assert!(
            is[1] <= 1.03 * is[0],
            "seed {seed}: hasty callers gain: {is:?}"
        );
    }
}
/// Guards against a workspace that takes the capacity of others by sending more.
#[test]
fn a_workspace_that_sends_more_leaves_the_others_their_share() {
    const WORKSPACES: u32 = 20;
    for seed in 1..=3 {
        // The first workspace sends a tenth of the usual load, and then 7.5 times that.
        let usual = draw(0.9, seed, |random, request| {
            request.priority = 1;
            let is_large = random.random_bool(0.1);
            request.workspace = Some(if is_large {
                0
            } else {
                random.random_range(1..WORKSPACES)
            });
        });
        let extra = draw(0.9 * 0.1 * 6.5, seed + 10, |_, request| {
            request.priority = 1;
            request.workspace = Some(0);
        });
        let mut more = [usual.clone(), of_overload(&extra)].concat();
        more.sort_by_key(|request| request.sent_ms);

        let [_, before] = both(&usual, false);
        let [old, after] = both(&more, false);

        let others = |played: &[Request]| {
            let others = || played.iter().filter(|r| r.workspace != Some(0));
            let served = others().filter(|r| r.ended_ms.is_some()).count();
            let counts = [served, others().count()].map(|n| f64::from(u32::try_from(n).unwrap()));
            counts[0] / counts[1]
        };
        let refused = before.iter().filter(|r| r.refused_ms.is_some()).count();
        println!(
            "seed {seed}: refused alone {refused} others on time {:.3} was {:.3}",
            share(&after, |r| r.workspace != Some(0)),
            share(&before, |r| r.workspace != Some(0))
        );
        let [before, old, after] = [before, old, after].map(|played| others(&played));
        println!("seed {seed}: others served {before:.3} alone, {old:.3} old, {after:.3} new");
        assert!(
            after >= 0.97 * before,
            "seed {seed}: {after} after {before}"
        );
    }
}
