//! Probing of the targets in the shards whose leases this entry holds.

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
use crate::probe::{self, Answer};
use crate::shard::Shard;
use crate::subject::{Subject, Subjects};

/// Time without an answer after which a target is probed.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval between two checks of the targets.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Hook that is called between the check of a lease and the send of a probe.
type BeforeSend = Arc<dyn Fn() + Send + Sync>;

/// Running prober, which stops when dropped.
#[derive(Debug)]
pub struct Prober {
    _guard: DropGuard,
}

/// Key of a target. The key contains the address because the budget applies to
/// the address.
type Key = (Service, SocketAddr);

struct Task {
    leases: Leases,
    subjects: Subjects,
    samples: mpsc::Sender<carobdrift_wire::Sample>,
    metrics: Metrics,
    before_send: BeforeSend,
    pacers: HashMap<Key, Pacer>,
    running: JoinSet<Finished>,
}

/// Probe that ended.
struct Finished {
    subject: Subject,
    snapshot: Snapshot,
    result: Result<Answer, probe::Error>,
    /// Time from the start of the probe to its end.
    elapsed: Duration,
}

impl Prober {
    /// Starts to probe targets. Results are passed to the pool of the service
    /// and to `samples`; while that channel is full, further samples are
    /// dropped.
    #[must_use]
    pub fn spawn(
        leases: Leases,
        subjects: Subjects,
        samples: mpsc::Sender<carobdrift_wire::Sample>,
        metrics: Metrics,
    ) -> Self {
        Self::spawn_with_hook(leases, subjects, samples, metrics, Arc::new(|| {}))
    }

    /// Starts to probe targets like [`Prober::spawn`]. `before_send` is called
    /// between the check of a lease and the send of a probe; a test can pause
    /// the whole process there.
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
            self.start_due_probes();
            let next_check = sleep_until(Instant::now() + CHECK_INTERVAL);
            let mut next_check = std::pin::pin!(next_check);
            loop {
                tokio::select! {
                    () = &mut next_check => break,
                    Some(finished) = self.running.join_next() => match finished {
                        Ok(finished) => self.handle_finished(finished),
                        Err(error) => {
                            log::error!(target: "measure", "probe task failed: {error}");
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
    fn start_due_probes(&mut self) {
        let now = Instant::now();
        self.pacers.retain(|_, pacer| !pacer.is_idle(now));
        let subjects = Arc::clone(&self.subjects.borrow());
        for subject in subjects.iter() {
            let budget = budget(subject);
            let service = &subject.document.service;
            if budget < 2 || self.leases.tenure(Shard::of(service)).is_none() {
                continue;
            }
            for snapshot in subject.pool.snapshots() {
                if !is_probe_useful(&snapshot) {
                    continue;
                }
                let key = (service.clone(), snapshot.address);
                let pacer = self.pacers.entry(key).or_insert_with(|| Pacer::new(now));
                if let Some(answer) = snapshot.last_answer.and_then(|age| now.checked_sub(age)) {
                    pacer.record_answer(answer);
                }
                if pacer.is_probe_allowed(budget, now) {
                    pacer.start_probe();
                    let probe = run_probe(
                        self.leases.clone(),
                        subject.clone(),
                        snapshot,
                        Arc::clone(&self.before_send),
                    );
                    self.running.spawn(probe);
                }
            }
        }
    }

    fn handle_finished(&mut self, finished: Finished) {
        let service = &finished.subject.document.service;
        let (completion, label) = match &finished.result {
            Ok(_) => (Completion::Answered, "answered"),
            Err(probe::Error::TimedOut) => (Completion::Unanswered, "timed-out"),
            Err(probe::Error::Broken(_)) => (Completion::Undeliverable, "broken"),
            Err(probe::Error::Connect(_) | probe::Error::ConnectTimedOut) => {
                (Completion::Undeliverable, "unreachable")
            }
            Err(probe::Error::NotPermitted) => (Completion::Undeliverable, "not-sent"),
            Err(probe::Error::Request(_)) => (Completion::Undeliverable, "malformed"),
        };
        let key = (service.clone(), finished.snapshot.address);
        if let Some(pacer) = self.pacers.get_mut(&key) {
            pacer.end_probe(completion, Instant::now());
        }
        self.metrics.count_probe(service, label);
        if let Err(error) = &finished.result {
            log::debug!(target: "measure", "{service}: probe of target {} failed: {error}", finished.snapshot.target);
        }
        if matches!(
            finished.result,
            Err(probe::Error::NotPermitted | probe::Error::Request(_))
        ) {
            return;
        }
        let latency = finished.elapsed;
        let answer = finished.result.unwrap_or_else(|_| Answer {
            latency,
            ..Answer::default()
        });
        // The target may have sent the answer right after the probe arrived,
        // and the answer may have waited here while this process was paused.
        let age = answer.latency;
        finished.subject.pool.record_sample(&Sample {
            target: finished.snapshot.target.clone(),
            in_flight: answer.in_flight,
            latency: answer.latency,
            age,
            start: answer.start.clone(),
            healthy: answer.healthy,
            draining: answer.draining,
        });
        let sample = carobdrift_wire::Sample {
            service: service.clone(),
            target: finished.snapshot.target,
            in_flight: answer.in_flight,
            latency_us: u64::try_from(answer.latency.as_micros()).unwrap_or(u64::MAX),
            age: age.into(),
            start: answer.start,
            healthy: answer.healthy,
        };
        // The channel is full only when the links are behind, and then the
        // sample would arrive too old.
        let _ = self.samples.try_send(sample);
    }
}

async fn run_probe(
    leases: Leases,
    subject: Subject,
    snapshot: Snapshot,
    before_send: BeforeSend,
) -> Finished {
    let start = Instant::now();
    let service = &subject.document.service;
    let permit = || {
        let snapshots = subject.pool.snapshots();
        let target = snapshots
            .iter()
            .find(|target| target.target == snapshot.target);
        let is_current =
            target.is_some_and(|target| target.address == snapshot.address && may_probe(target));
        is_current
            .then(|| leases.permit(Shard::of(service)))
            .flatten()
    };
    let measuring = &subject.document.measuring;
    let result = probe::send(service, snapshot.address, measuring, permit, || {
        before_send();
    })
    .await;
    Finished {
        elapsed: start.elapsed(),
        subject,
        snapshot,
        result,
    }
}

fn budget(subject: &Subject) -> u32 {
    subject.document.measuring.probes_per_second_per_target
}

/// Returns whether the target may be probed.
fn may_probe(snapshot: &Snapshot) -> bool {
    !matches!(snapshot.standing, Standing::Leaving(_))
}

/// Returns whether a probe provides information that requests do not.
fn is_probe_useful(snapshot: &Snapshot) -> bool {
    match snapshot.standing {
        Standing::Leaving(_) => false,
        Standing::Ejected(_) | Standing::HalfOpen => true,
        Standing::Active => {
            snapshot.in_slow_start || snapshot.last_answer.is_none_or(|age| age > SILENCE_TIMEOUT)
        }
    }
}
