//! Tail latency of the policies in a model of one service: several entries
//! share 20 targets of 2 slots, whose machines are slowed down at times by
//! other workloads.
//!
//! The clock is simulated, so the figures depend on the policies and not on the
//! machine. Run with
//! `cargo bench -p carobdrift-balance --bench spread -- [seconds] [runs]`.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use carobdrift_balance::{Call, Config, Load, Metrics, Observation, Outcome, Pool, Report, Slot};
use carobdrift_document::{Document, Kind, Policy};
use carobdrift_units::{Target, Version};
use hdrhistogram::Histogram;
use prometheus::Registry;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use tokio::sync::Semaphore;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::time::{Instant, sleep_until};

const TARGETS: u32 = 20;
const SLOTS_PER_TARGET: u32 = 2;
const MEAN_SERVICE_MS: f64 = 10.0;
const UTILIZATION: f64 = 0.7;

/// Factor by which another workload slows a machine down.
const SLOWDOWN: f64 = 4.0;
const SLOW_PERIOD_MS: f64 = 60.0;
const SLOW_TIME_SHARE: f64 = 0.08;

/// Time from the start whose results are not counted.
const WARM_UP_SECONDS: f64 = 2.0;

/// Machine of a target: a queue and the slots behind it.
struct Machine {
    slots: Semaphore,
    in_flight: AtomicU32,
    epoch: Instant,
    /// Slow periods in milliseconds since the epoch.
    slow: Vec<(f64, f64)>,
}

/// Request on a machine. Dropping `Running` cancels the request.
struct Running<'a>(&'a Machine);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Machine {
    fn new(epoch: Instant, seconds: f64, random: &mut StdRng) -> Self {
        let gap = Exp::new(SLOW_TIME_SHARE / (SLOW_PERIOD_MS * (1.0 - SLOW_TIME_SHARE)))
            .expect("the rate is positive");
        let mut slow = Vec::new();
        let mut at = gap.sample(random);
        while at < seconds * 1_000.0 {
            slow.push((at, at + SLOW_PERIOD_MS));
            at += SLOW_PERIOD_MS + gap.sample(random);
        }
        Self {
            slots: Semaphore::new(SLOTS_PER_TARGET as usize),
            in_flight: AtomicU32::new(0),
            epoch,
            slow,
        }
    }

    /// Executes `work` milliseconds; returns the load at the end.
    async fn serve(&self, work: f64) -> Load {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let _running = Running(self);
        let _slot = self
            .slots
            .acquire()
            .await
            .expect("the semaphore is never closed");
        let begin = self.epoch.elapsed().as_secs_f64() * 1_000.0;
        let end = self.finish(begin, work);
        sleep_until(self.epoch + Duration::from_secs_f64(end / 1_000.0)).await;
        Load {
            in_flight: self.in_flight.load(Ordering::Relaxed),
            slots: SLOTS_PER_TARGET,
        }
    }

    fn finish(&self, begin: f64, mut work: f64) -> f64 {
        let mut at = begin;
        let first = self.slow.partition_point(|(_, end)| *end <= begin);
        for (start, end) in &self.slow[first..] {
            let fast = (start - at).max(0.0);
            if work <= fast {
                return at + work;
            }
            work -= fast;
            at = at.max(*start);
            let slowed = (end - at) / SLOWDOWN;
            if work <= slowed {
                return at + work * SLOWDOWN;
            }
            work -= slowed;
            at = *end;
        }
        at + work
    }
}

struct Model {
    machines: Vec<Machine>,
    service: LogNormal<f64>,
}

impl Model {
    fn work(&self) -> f64 {
        self.service.sample(&mut rand::rng())
    }

    async fn attempt(&self, slot: Slot) {
        let index: usize = slot.target().as_str()[1..]
            .parse()
            .expect("targets are numbered");
        let load = self.machines[index].serve(self.work()).await;
        let report = Report {
            load: Some(load),
            ..Report::default()
        };
        slot.finish(&Observation {
            outcome: Outcome::Success,
            report,
        });
    }

    /// Sends a call as the proxy does; returns whether the call was answered.
    async fn send(&self, pool: &Pool, call: &Call) -> bool {
        let Ok(slot) = pool.acquire(call).await else {
            return false;
        };
        let tried: [Target; 1] = [slot.target().clone()];
        let first = self.attempt(slot);
        tokio::pin!(first);
        tokio::select! {
            () = &mut first => {}
            Some(slot) = pool.hedge(call, &tried) => {
                tokio::select! {
                    () = first => {}
                    () = self.attempt(slot) => {}
                }
            }
        }
        true
    }
}

fn document(policy: Policy) -> Document {
    let targets = (0..TARGETS).map(|index| {
        serde_json::json!({"id": format!("t{index}"), "zone": "hobart", "slots": SLOTS_PER_TARGET,
            "address": format!("127.0.0.1:{}", 4000 + index)})
    });
    let text = serde_json::json!({
        "service": "sheets", "team": "meets", "targets": targets.collect::<Vec<_>>(),
        "routes": [{"name": "view", "methods": ["GET"], "path": "/**", "kind": "idempotent",
            "class": "view", "deadline_ms": 2000}],
        "classes": [{"name": "view", "weight": 1, "max_queue": 1000}],
        "limits": {"max_in_flight": 100_000, "max_per_second": 10_000_000}
    });
    let mut document = Document::parse(text.to_string().as_bytes()).expect("the document is valid");
    document.balancing.policy = policy;
    document
}

fn pools(policy: Policy, count: u32) -> Vec<Pool> {
    let open = |index| {
        let metrics = Metrics::register(&Registry::new()).expect("the registry is new");
        let name = format!("entry-{index}").parse().expect("the name is valid");
        let config = Config::new(name, "hobart".parse().expect("the name is valid"));
        let pool = Pool::new(Arc::new(document(policy)), Version(1), config, metrics);
        pool.quota().set_even_split(Some(1));
        pool
    };
    (0..count).map(open).collect()
}

async fn generate(
    model: Arc<Model>,
    pools: Vec<Pool>,
    seconds: f64,
    mut random: StdRng,
    results: UnboundedSender<(f64, bool)>,
) {
    let rate = UTILIZATION * f64::from(TARGETS * SLOTS_PER_TARGET) / MEAN_SERVICE_MS;
    let gap = Exp::new(rate).expect("the rate is positive");
    let epoch = model.machines[0].epoch;
    let mut at = 0.0;
    while at < seconds * 1_000.0 {
        at += gap.sample(&mut random);
        let arrival = epoch + Duration::from_secs_f64(at / 1_000.0);
        sleep_until(arrival).await;
        let pool = pools[random.random_range(0..pools.len())].clone();
        let (model, results) = (Arc::clone(&model), results.clone());
        let counted = at >= WARM_UP_SECONDS * 1_000.0;
        tokio::spawn(async move {
            let begin = Instant::now();
            let call = Call {
                class: "view".parse().expect("the name is valid"),
                kind: Kind::Idempotent,
                deadline: begin + Duration::from_secs(2),
            };
            let answered = model.send(&pool, &call).await;
            let millis = begin.elapsed().as_secs_f64() * 1_000.0;
            if counted {
                let _ = results.send((millis, answered));
            }
        });
    }
}

/// Returns the latencies in microseconds and the number of calls that were
/// shed.
async fn run(
    policy: Policy,
    entries: u32,
    sigma: f64,
    seconds: f64,
    seed: u64,
) -> (Histogram<u64>, u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let epoch = Instant::now();
    let machines = (0..TARGETS).map(|_| Machine::new(epoch, seconds, &mut random));
    let location = MEAN_SERVICE_MS.ln() - sigma * sigma / 2.0;
    let model = Arc::new(Model {
        machines: machines.collect(),
        service: LogNormal::new(location, sigma).expect("sigma is positive"),
    });
    let (sender, mut results) = unbounded_channel();
    let calls = generate(model, pools(policy, entries), seconds, random, sender);
    tokio::spawn(calls);
    let mut latencies = Histogram::new(3).expect("the precision is valid");
    let mut sheds = 0;
    while let Some((millis, answered)) = results.recv().await {
        if answered {
            let micros = Duration::from_secs_f64(millis / 1_000.0).as_micros();
            latencies
                .record(u64::try_from(micros).unwrap_or(u64::MAX))
                .expect("the histogram grows");
        } else {
            sheds += 1;
        }
    }
    (latencies, sheds)
}

fn main() {
    let mut arguments = std::env::args()
        .skip(1)
        .filter(|argument| !argument.starts_with('-'));
    let seconds = arguments
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(20.0);
    let runs: u64 = arguments
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(3);
    let cases = [
        (Policy::RoundRobin, 15),
        (Policy::PowerOfTwo, 15),
        (Policy::LeastInFlight, 15),
        (Policy::LeastInFlight, 3),
        (Policy::Adaptive, 15),
        (Policy::Adaptive, 3),
    ];
    for sigma in [0.5, 0.8, 1.0] {
        println!("sigma {sigma}");
        let mut baselines = Vec::new();
        for (policy, entries) in cases {
            let threads = (0..runs).map(|seed| {
                std::thread::spawn(move || {
                    let mut builder = tokio::runtime::Builder::new_current_thread();
                    let runtime = builder.enable_time().start_paused(true).build();
                    let runtime = runtime.expect("the runtime starts");
                    runtime.block_on(run(policy, entries, sigma, seconds, seed))
                })
            });
            let threads: Vec<_> = threads.collect();
            let mut all = Histogram::<u64>::new(3).expect("the precision is valid");
            let mut sheds = 0;
            for thread in threads {
                let (latencies, shed) = thread.join().expect("the run succeeds");
                all.add(latencies).expect("the bounds agree");
                sheds += shed;
            }
            let at = |quantile| {
                let latency = Duration::from_micros(all.value_at_quantile(quantile));
                latency.as_secs_f64() * 1_000.0
            };
            let p99 = at(0.99);
            baselines.push(p99);
            let of = |index: usize| baselines.get(index).map_or(f64::NAN, |base| p99 / base);
            println!(
                "{policy:?} x {entries}: p50 {:.1} p90 {:.1} p99 {p99:.1} p99.9 {:.1} ms, \
                 {:.2} of round robin, {:.2} of least in-flight x 15, {} calls, {sheds} shed",
                at(0.5),
                at(0.9),
                at(0.999),
                of(0),
                of(2),
                all.len(),
            );
        }
    }
}
