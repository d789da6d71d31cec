//! Probes of the targets of the shards that this entry holds.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use carobdrift_balance::{Sample, Snapshot, Standing};
use carobdrift_units::Service;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::leases::Leases;
use crate::metrics::Metrics;
use crate::pacer::{Completion, Pacer};
use crate::probe::{self, Failure, Health};
use crate::shard::Shard;
use crate::subject::{Subject, Subjects};

/// Time without an answer after which a target is probed.
const SILENCE: Duration = Duration::from_millis(250);

/// Pause between two looks at the targets.
const LOOK: Duration = Duration::from_millis(20);

/// Called between the check of a lease and the send of a probe.
type BeforeSend = Arc<dyn Fn() + Send + Sync>;

/// The running prober; stops when dropped.
#[derive(Debug)]
pub struct Prober {
    _guard: DropGuard,
}

/// A target is told apart by its address, because the budget is spent there.
type Key = (Service, SocketAddr);

struct Task {
    leases: Leases,
    subjects: Subjects,
    samples: mpsc::Sender<carobdrift_wire::Sample>,
    metrics: Metrics,
    before_send: BeforeSend,
    pacers: HashMap<Key, Pacer>,
    running: JoinSet<Done>,
}

/// A probe that ended.
struct Done {
    subject: Subject,
    view: Snapshot,
    result: Result<Health, Failure>,
    /// Time from the start of the probe to its end.
    elapsed: Duration,
}

impl Prober {
    /// Starts to probe. Results go to the pool of the service and to `samples`,
    /// which drops them while it is full.
    #[must_use]
    pub fn spawn(
        leases: Leases,
        subjects: Subjects,
        samples: mpsc::Sender<carobdrift_wire::Sample>,
        metrics: Metrics,
    ) -> Self {
        Self::spawn_with_hook(leases, subjects, samples, metrics, Arc::new(|| {}))
    }

    /// Like [`Prober::spawn`], with a call between the check of a lease and the
    /// send of a probe, in which a test can pause the whole process.
    #[doc(hidden)]
    #[must_use]
    pub fn spawn_with_hook(
        leases: Leases,
        subjects: Subjects,
        samples: mpsc::Sender<carobdrift_wire::Sample>,
        metrics: Metrics,
        before_send: Arc<dyn Fn() + Send + Sync>,
    ) -> Self {
        let stopped = CancellationToken::new();
        let task = Task {
            leases,
            subjects,
            samples,
            metrics,
            before_send,
            pacers: HashMap::new(),
            running: JoinSet::new(),
        };
        tokio::spawn({
            let stopped = stopped.clone();
            async move { stopped.run_until_cancelled(task.run()).await }
        });
        Self {
            _guard: stopped.drop_guard(),
        }
    }
}

impl Task {
    async fn run(mut self) {
        loop {
            self.look();
            let wake = sleep_until(Instant::now() + LOOK);
            let mut wake = std::pin::pin!(wake);
            loop {
                tokio::select! {
                    () = &mut wake => break,
                    Some(done) = self.running.join_next() => match done {
                        Ok(done) => self.end(done),
                        Err(error) => {
                            log::error!(target: "measure", "a probe was aborted: {error}");
                        }
                    },
                }
            }
            if self.subjects.has_changed().is_err() {
                return;
            }
        }
    }

    /// Starts the probes that are due.
    fn look(&mut self) {
        let now = Instant::now();
        self.pacers.retain(|_, pacer| !pacer.is_idle(now));
        let subjects = Arc::clone(&self.subjects.borrow());
        for subject in subjects.iter() {
            let budget = budget(subject);
            let service = &subject.document.service;
            if budget < 2 || self.leases.tenure(Shard::of(service)).is_none() {
                continue;
            }
            for view in subject.pool.snapshots() {
                if !is_wanted(&view) {
                    continue;
                }
                let key = (service.clone(), view.address);
                let pacer = self.pacers.entry(key).or_insert_with(|| Pacer::new(now));
                if let Some(answer) = view.last_answer.and_then(|age| now.checked_sub(age)) {
                    pacer.record_answer(answer);
                }
                if pacer.is_probe_allowed(budget, now) {
                    pacer.start_probe();
                    let probe = run_probe(
                        self.leases.clone(),
                        subject.clone(),
                        view,
                        Arc::clone(&self.before_send),
                    );
                    self.running.spawn(probe);
                }
            }
        }
    }

    fn end(&mut self, done: Done) {
        let service = &done.subject.document.service;
        let (ending, label) = match &done.result {
            Ok(_) => (Completion::Answered, "answered"),
            Err(Failure::TimedOut) => (Completion::Unanswered, "timed-out"),
            Err(Failure::Broken(_)) => (Completion::Undeliverable, "broken"),
            Err(Failure::Connect(_) | Failure::ConnectTimedOut) => {
                (Completion::Undeliverable, "unreachable")
            }
            Err(Failure::Refused) => (Completion::Undeliverable, "not-sent"),
            Err(Failure::Request(_)) => (Completion::Undeliverable, "malformed"),
        };
        let key = (service.clone(), done.view.address);
        if let Some(pacer) = self.pacers.get_mut(&key) {
            pacer.end_probe(ending, Instant::now());
        }
        self.metrics.count_probe(service, label);
        if let Err(error) = &done.result {
            log::debug!(target: "measure", "{service}: probe of {}: {error}", done.view.target);
        }
        if matches!(done.result, Err(Failure::Refused | Failure::Request(_))) {
            return;
        }
        let latency = done.elapsed;
        let health = done.result.unwrap_or_else(|_| Health {
            latency,
            ..Health::default()
        });
        // The answer may have left the target right after the probe arrived,
        // and waited here while this process was paused.
        let age = health.latency;
        done.subject.pool.record_sample(&Sample {
            target: done.view.target.clone(),
            in_flight: health.in_flight,
            latency: health.latency,
            age,
            start: health.start.clone(),
            healthy: health.healthy,
            draining: health.draining,
        });
        let sample = carobdrift_wire::Sample {
            service: service.clone(),
            target: done.view.target,
            in_flight: health.in_flight,
            latency_us: u64::try_from(health.latency.as_micros()).unwrap_or(u64::MAX),
            age: age.into(),
            start: health.start,
            healthy: health.healthy,
        };
        // Full only when the links are behind, and then the sample is stale.
        let _ = self.samples.try_send(sample);
    }
}

async fn run_probe(
    leases: Leases,
    subject: Subject,
    view: Snapshot,
    before_send: BeforeSend,
) -> Done {
    let start = Instant::now();
    let service = &subject.document.service;
    let permit = || {
        let views = subject.pool.snapshots();
        let target = views.iter().find(|now| now.target == view.target);
        let current = target.is_some_and(|now| now.address == view.address && is_open(now));
        current.then(|| leases.permit(Shard::of(service))).flatten()
    };
    let measuring = &subject.document.measuring;
    let result = probe::send(service, view.address, measuring, permit, || before_send()).await;
    Done {
        elapsed: start.elapsed(),
        subject,
        view,
        result,
    }
}

fn budget(subject: &Subject) -> u32 {
    subject.document.measuring.probes_per_second_per_target
}

/// Whether the target may get a probe at all.
fn is_open(view: &Snapshot) -> bool {
    !matches!(view.standing, Standing::Leaving(_))
}

/// Whether a probe tells something that requests don't.
fn is_wanted(view: &Snapshot) -> bool {
    match view.standing {
        Standing::Leaving(_) => false,
        Standing::Ejected(_) | Standing::HalfOpen => true,
        Standing::Active => view.in_slow_start || view.last_answer.is_none_or(|age| age > SILENCE),
    }
}
