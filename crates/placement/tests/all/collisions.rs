//! Sends of several entries to the same targets, without a network.
//!
//! 107 targets of 2 slots work 5 times slower for 30% of the time, redrawn every 150 ms.
//! A target that is full rejects a request.

use std::collections::HashSet;
use std::time::Duration;

use carobdrift_placement::{Choice, Criteria, Load, Outcome, Pool};
use carobdrift_units::Target;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

use crate::fixture::{load, pool, target};

const TARGETS: usize = 107;
const SERVICE_TIME_MS: f64 = 120.0;
const TARGET_LATENCY_MS: u32 = 400;
/// One-way latency between an entry and a target.
const LATENCY_MS: u32 = 2;
const POLL_MS: u32 = 15;
const RUN_MS: u32 = 6_000;

/// Request at an entry, or on its way.
struct Request {
    entry: usize,
    arrived_ms: u32,
    /// Time of the next step.
    at_ms: u32,
    step: Step,
    tried: Vec<Target>,
    probed: Vec<Target>,
}

enum Step {
    Choose,
    /// Load of the targets at the time of the probe, on its way to the entry.
    Report(Vec<(usize, Load)>),
    Probe(Vec<usize>),
    Send(usize, u64),
}

struct Running {
    entry: usize,
    attempt: u64,
    left_ms: f64,
}

#[derive(Debug, Default)]
struct Counts {
    sends: f64,
    rejected: f64,
    started: f64,
    probes: f64,
    wait_ms: f64,
    requests: f64,
    connections: HashSet<(usize, usize)>,
}

/// Entries and targets at one time.
struct World {
    now_ms: u32,
    epoch: Instant,
    ids: Vec<Target>,
    pools: Vec<Pool>,
    slowdowns: [f64; TARGETS],
    running: Vec<Vec<Running>>,
    random: SmallRng,
    counts: Counts,
}

impl World {
    fn new(entries: usize, seed: u64) -> Self {
        let epoch = Instant::now();
        let names: Vec<String> = (0..TARGETS).map(|n| format!("t{n}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        Self {
            now_ms: 0,
            epoch,
            ids: names.iter().map(|name| target(name)).collect(),
            pools: (0..entries).map(|_| pool(&names, epoch)).collect(),
            slowdowns: [1.0; TARGETS],
            running: (0..TARGETS).map(|_| Vec::new()).collect(),
            random: SmallRng::seed_from_u64(seed),
            counts: Counts::default(),
        }
    }

    fn now(&self) -> Instant {
        self.epoch + Duration::from_millis(self.now_ms.into())
    }

    fn load(&self, target: usize) -> Load {
        let running = u32::try_from(self.running[target].len()).unwrap();
        load(running, self.slowdowns[target])
    }

    /// Works on the requests in the slots for 1 ms.
    fn advance(&mut self) {
        if self.now_ms.is_multiple_of(150) {
            let mut draw = || {
                if self.random.random_bool(0.3) {
                    5.0
                } else {
                    1.0
                }
            };
            self.slowdowns = [(); TARGETS].map(|()| draw());
        }
        let now = self.now();
        for target in 0..TARGETS {
            let running = &mut self.running[target];
            let contention = if running.len() > 1 { 1.7 } else { 1.0 };
            for request in running.iter_mut() {
                request.left_ms -= 1.0 / (self.slowdowns[target] * contention);
            }
            let ended: Vec<Running> = running.extract_if(.., |r| r.left_ms <= 0.0).collect();
            let load = self.load(target);
            for Running { entry, attempt, .. } in ended {
                let pool = &mut self.pools[entry];
                pool.end_attempt(&self.ids[target], attempt, Outcome::Success, now);
                pool.record_load(&self.ids[target], load, now);
            }
        }
    }

    /// Takes the next step of a request. Returns whether there is another one.
    fn step(&mut self, request: &mut Request, idempotent: bool) -> bool {
        let now = self.now();
        match std::mem::replace(&mut request.step, Step::Choose) {
            Step::Probe(targets) => {
                let loads = targets.iter().map(|target| (*target, self.load(*target)));
                request.step = Step::Report(loads.collect());
                request.at_ms = self.now_ms + LATENCY_MS;
                return true;
            }
            Step::Send(target, attempt) => {
                self.counts.sends += 1.0;
                self.counts.connections.insert((request.entry, target));
                if self.running[target].len() < 2 {
                    self.begin(request, target, attempt);
                    return false;
                }
                self.counts.rejected += 1.0;
                let load = self.load(target);
                let pool = &mut self.pools[request.entry];
                pool.end_attempt(&self.ids[target], attempt, Outcome::Refused, now);
                pool.record_load(&self.ids[target], load, now);
                request.tried.push(self.ids[target].clone());
            }
            Step::Report(loads) => {
                for (target, load) in loads {
                    self.counts.connections.insert((request.entry, target));
                    self.pools[request.entry].record_load(&self.ids[target], load, now);
                }
            }
            Step::Choose => {}
        }
        self.choose(request, idempotent)
    }

    fn begin(&mut self, request: &Request, target: usize, attempt: u64) {
        let waited_ms = self.now_ms - request.arrived_ms;
        self.counts.wait_ms += f64::from(waited_ms);
        self.counts.started += 1.0;
        self.running[target].push(Running {
            entry: request.entry,
            attempt,
            left_ms: SERVICE_TIME_MS * self.random.random_range(0.5..1.5),
        });
    }

    fn choose(&mut self, request: &mut Request, idempotent: bool) -> bool {
        let now = self.now();
        let waited_ms = self.now_ms - request.arrived_ms;
        if waited_ms > TARGET_LATENCY_MS {
            return false;
        }
        let criteria = Criteria {
            tried: &request.tried,
            probed: &request.probed,
            idempotent,
            immediate: f64::from(waited_ms) > 0.15 * f64::from(TARGET_LATENCY_MS),
            max_cost: f64::from(TARGET_LATENCY_MS - waited_ms) / SERVICE_TIME_MS,
        };
        let index = |id: &Target| self.ids.iter().position(|other| other == id).unwrap();
        let pool = &mut self.pools[request.entry];
        request.at_ms = self.now_ms + LATENCY_MS;
        match pool.choose(criteria, now) {
            Choice::Send(endpoint) => {
                let service_time = Duration::from_secs_f64(SERVICE_TIME_MS / 1000.0);
                let attempt = pool.begin_attempt(&endpoint.id, service_time, now);
                request.step = Step::Send(index(&endpoint.id), attempt);
            }
            Choice::Probe(targets) => {
                let probed: Vec<usize> = targets.iter().map(|t| index(&t.id)).collect();
                self.counts.probes += f64::from(u32::try_from(probed.len()).unwrap());
                request.probed.extend(targets.into_iter().map(|t| t.id));
                request.step = Step::Probe(probed);
            }
            _ => {
                request.probed.clear();
                request.at_ms = self.now_ms + POLL_MS;
            }
        }
        true
    }
}

/// Plays `rate` requests per second at `entries` entries.
fn play(entries: usize, rate: f64, idempotent: bool, seed: u64) -> Counts {
    let mut world = World::new(entries, seed);
    let mut requests: Vec<Request> = Vec::new();
    for now_ms in 0..RUN_MS {
        world.now_ms = now_ms;
        world.advance();
        if world.random.random_bool(rate / 1000.0) {
            world.counts.requests += 1.0;
            requests.push(Request {
                entry: world.random.random_range(0..entries),
                arrived_ms: now_ms,
                at_ms: now_ms,
                step: Step::Choose,
                tried: Vec::new(),
                probed: Vec::new(),
            });
        }
        requests.retain_mut(|request| request.at_ms > now_ms || world.step(request, idempotent));
    }
    world.counts
}

/// Largest share of sends that may reach a full target at the usual rate: a third of the
/// 9 of 1,000 that did when the last slot was used like any other.
const MAX_REJECTED: f64 = 0.003;

/// Plays several rates and numbers of entries, and checks the share of sends that reach
/// a full target.
fn check(idempotent: bool) {
    let mut shares = Vec::new();
    for rate in [337.0, 500.0, 700.0] {
        let (mut sends, mut rejected) = (0.0, 0.0);
        for entries in [20, 94, 132] {
            let counts = play(entries, rate, idempotent, 1);
            println!(
                "{entries} entries, {rate}/s, idempotent {idempotent}: rejected {:.4} of \
                 sends, started in time {:.3}, {} connections, {:.2} probes and {:.1} ms a request",
                counts.rejected / counts.sends,
                counts.started / counts.requests,
                counts.connections.len(),
                counts.probes / counts.requests,
                counts.wait_ms / counts.requests
            );
            sends += counts.sends;
            rejected += counts.rejected;
            assert!(counts.started / counts.requests >= 0.99);
        }
        shares.push(rejected / sends);
    }
    assert!(shares[0] <= MAX_REJECTED, "{shares:?}");
}

/// Guards against requests that must not be repeated and that are lost because another
/// entry took the slot.
#[test]
fn few_sends_that_must_not_be_repeated_reach_a_full_target() {
    check(false);
}

/// Guards against sends that are repeated because another entry took the slot.
#[test]
fn few_sends_that_may_be_repeated_reach_a_full_target() {
    check(true);
}
