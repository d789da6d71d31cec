//! Targets that slow down when nearly all of their slots are in use.

use std::time::Duration;

use carobdrift_placement::{Choice, Criteria, Endpoint, Load, Outcome, Pool};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

use crate::fixture::{criteria, endpoint, target};

const SERVICE_TIME: Duration = Duration::from_millis(100);

const SLOTS: u32 = 4;

fn load(running: u32, slots: u32) -> Load {
    Load {
        running,
        waiting: 0,
        slots,
        slowdown: 1.0,
    }
}

fn pool_with_slots(names: &[&str], slots: u32, now: Instant) -> Pool {
    let mut pool = Pool::new("z1".parse().unwrap());
    for name in names {
        let endpoint = Endpoint {
            slots,
            ..endpoint(name)
        };
        pool.put(endpoint, now);
        pool.record_load(&target(name), load(0, slots), now);
    }
    pool
}

fn immediate() -> Criteria<'static> {
    Criteria {
        immediate: true,
        ..criteria()
    }
}

/// Sends requests to the only target until none is accepted. Returns their number.
fn accepted_requests(pool: &mut Pool, now: Instant) -> u32 {
    let mut count = 0;
    while let Choice::Send(endpoint) = pool.choose(immediate(), now) {
        pool.begin_attempt(&endpoint.id, SERVICE_TIME, now);
        count += 1;
        assert!(count < 100, "no limit");
    }
    count
}

/// Runs requests one after the other beside `others` requests that keep running,
/// each of which takes `duration`.
fn observe(pool: &mut Pool, others: u32, duration: Duration, start: Instant) {
    let name = target("a");
    pool.record_load(&name, load(others, SLOTS), start);
    for _ in 0..400 {
        let attempt = pool.begin_attempt(&name, SERVICE_TIME, start);
        pool.end_attempt(&name, attempt, Outcome::Success, start + duration);
    }
}

/// Guards against filling targets that complete fewer requests when they are full.
#[test]
fn slots_beyond_the_knee_of_a_target_are_left_free() {
    let now = Instant::now();

    let accepted = [4, 5, 6, 10, 20].map(|slots| {
        let mut pool = pool_with_slots(&["a"], slots, now);
        (slots, accepted_requests(&mut pool, now))
    });

    assert_eq!(accepted, [(4, 3), (5, 4), (6, 4), (10, 8), (20, 16)]);
}

/// Guards against leaving slots free at targets that do not slow down, and against
/// forgetting what the pool learned when the load falls.
#[test]
fn the_slots_in_use_follow_the_observed_service_times() {
    let now = Instant::now();
    let mut constant = pool_with_slots(&["a"], SLOTS, now);
    let mut slowing = pool_with_slots(&["a"], SLOTS, now);

    for pool in [&mut constant, &mut slowing] {
        observe(pool, 0, SERVICE_TIME, now);
    }
    observe(&mut constant, 3, SERVICE_TIME, now);
    observe(&mut slowing, 3, SERVICE_TIME.mul_f64(1.7), now);

    for (pool, expected) in [(&mut constant, SLOTS), (&mut slowing, SLOTS - 1)] {
        pool.record_load(&target("a"), load(0, SLOTS), now);
        for _ in 0..expected {
            let Choice::Send(endpoint) = pool.choose(immediate(), now) else {
                panic!("a usable slot is not used");
            };
            pool.begin_attempt(&endpoint.id, SERVICE_TIME, now);
        }
    }
    let next = slowing.choose(immediate(), now);
    assert_eq!(next, Choice::Saturated);
}

/// Guards against a limit that lasts for ever because the slots beyond it are
/// never tried.
#[test]
fn slots_beyond_the_limit_are_tried_at_times() {
    let now = Instant::now();
    let mut pool = pool_with_slots(&["a"], SLOTS, now);
    accepted_requests(&mut pool, now);

    let mut trials = 0;
    for millis in (0..10_000).step_by(10) {
        let later = now + Duration::from_millis(millis);
        pool.record_load(&target("a"), load(SLOTS - 1, SLOTS), later);
        trials += u32::from(matches!(pool.choose(immediate(), later), Choice::Send(_)));
    }

    assert!((5..=10).contains(&trials), "{trials} trials in 10 s");
}

/// Requests that arrive at a service with targets of four slots, which take 1.7
/// times as long while all of their slots are in use. A burst comes first. Returns
/// the share of the requests that are answered in time.
fn share_in_time(policy: Policy, seed: u64) -> f64 {
    const TARGETS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
    const REQUESTS: usize = 4000;
    const AIM_MS: f64 = 300.0;
    const BURST_REQUESTS: usize = 300;
    const BURST_INTERVAL_MS: f64 = 1000.0 / 250.0;
    // 6 targets with 3 slots complete 180 requests a second, with 4 slots 141.
    const INTERVAL_MS: f64 = 1000.0 / 160.0;
    let slots = usize::try_from(SLOTS).unwrap();
    let mut random = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut pool = pool_with_slots(&TARGETS, SLOTS, start);
    let mut running: Vec<Running> = Vec::new();
    let mut waiting: Vec<f64> = Vec::new();
    let (mut arrived, mut in_time) = (0, 0);
    let mut next_arrival = 0.0;
    let mut now_ms: f64 = 0.0;
    while arrived < REQUESTS || !running.is_empty() {
        now_ms += 1.0;
        let now = start + Duration::from_secs_f64(now_ms / 1000.0);
        for name in TARGETS {
            let own = running.iter().filter(|r| r.target == name).count();
            let rate = if own >= slots { 1.0 / 1.7 } else { 1.0 };
            for request in running.iter_mut().filter(|r| r.target == name) {
                request.left_ms -= rate;
            }
        }
        for request in running.extract_if(.., |request| request.left_ms <= 0.0) {
            let id = target(request.target);
            pool.end_attempt(&id, request.attempt, Outcome::Success, now);
            in_time += usize::from(now_ms - request.arrived_ms <= AIM_MS);
        }
        while next_arrival <= now_ms && arrived < REQUESTS {
            waiting.push(next_arrival);
            arrived += 1;
            let uniform: f64 = random.random_range(f64::EPSILON..1.0);
            let mean_interval_ms = if arrived < BURST_REQUESTS {
                BURST_INTERVAL_MS
            } else {
                INTERVAL_MS
            };
            next_arrival -= mean_interval_ms * uniform.ln();
        }
        for name in TARGETS {
            let own = running.iter().filter(|r| r.target == name).count();
            pool.record_load(&target(name), load(u32::try_from(own).unwrap(), SLOTS), now);
        }
        // A request that can no longer be answered in time is refused.
        waiting.retain(|arrived_ms| now_ms - arrived_ms <= AIM_MS - 100.0);
        while let Some(arrived_ms) = waiting.first().copied() {
            let in_use = |name: &str| running.iter().filter(|r| r.target == name).count();
            let chosen = match policy {
                Policy::Pool => match pool.choose(immediate(), now) {
                    Choice::Send(endpoint) => Some(endpoint.id.to_string()),
                    _ => None,
                },
                Policy::LeastRequests => TARGETS
                    .into_iter()
                    .min_by_key(|name| in_use(name))
                    .map(str::to_owned),
            };
            let name = TARGETS
                .into_iter()
                .find(|name| Some(*name) == chosen.as_deref() && in_use(name) < slots);
            let Some(name) = name else {
                break;
            };
            waiting.remove(0);
            running.push(Running {
                target: name,
                attempt: pool.begin_attempt(&target(name), SERVICE_TIME, now),
                arrived_ms,
                left_ms: 100.0,
            });
        }
    }
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    let share = in_time as f64 / REQUESTS as f64;
    share
}

/// Policy by which a target is chosen.
#[derive(Debug, Clone, Copy)]
enum Policy {
    /// The pool.
    Pool,
    /// The target with the fewest requests, if it has a free slot.
    LeastRequests,
}

struct Running {
    target: &'static str,
    attempt: u64,
    arrived_ms: f64,
    /// Remaining work at full speed.
    left_ms: f64,
}

/// Load between what targets complete with all of their slots in use and what they
/// complete with three quarters of them. Targets that were once filled by a burst
/// never recover, unless slots are left free.
#[test]
fn a_service_recovers_from_a_burst_when_slots_are_left_free() {
    for seed in 0..3 {
        let of_pool = share_in_time(Policy::Pool, seed);
        let of_baseline = share_in_time(Policy::LeastRequests, seed);

        assert!(of_pool > 0.9, "{of_pool:.3}");
        assert!(of_baseline < 0.8, "{of_baseline:.3}");
    }
}
