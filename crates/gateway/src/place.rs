//! Selection of a target for a request, and waiting for one.

use std::sync::Arc;
use std::time::Duration;

use carobdrift_placement::{Choice, Criteria, Endpoint, Estimate, Outcome, Rank, Snapshot};
use carobdrift_units::{Service, Target};
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use crate::call::Call;
use crate::gateway::Gateway;
use crate::refusal::Refusal;

/// Fraction of the route's target latency for which a request waits for a fast
/// target while all targets with free slots are slow.
const FAST_WAIT_FRACTION: f64 = 0.15;

/// Interval at which a waiting request checks the targets again.
const POLL_INTERVAL: Duration = Duration::from_millis(15);

/// Margin on the mean service time: this multiple of it must be left when a
/// request leaves the queue.
const SERVICE_TIME_MARGIN: f64 = 1.3;

/// Guard of one attempt on a target. Dropping the guard without an outcome
/// records the attempt as cancelled.
#[derive(Debug)]
pub(crate) struct Placement {
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    pub(crate) endpoint: Endpoint,
    /// State by which the target was chosen.
    pub(crate) snapshot: Option<Snapshot>,
    attempt: u64,
    ended: bool,
}

impl Placement {
    /// Ends the attempt with its outcome.
    pub(crate) fn end(mut self, outcome: Outcome) {
        self.ended = true;
        let services = &self.gateway.services;
        services.end_attempt(&self.call.route, &self.endpoint, self.attempt, outcome);
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        if !self.ended {
            let services = &self.gateway.services;
            let outcome = Outcome::Cancelled;
            services.end_attempt(&self.call.route, &self.endpoint, self.attempt, outcome);
        }
    }
}

/// Limits on the wait of a request for a target.
#[derive(Debug, Clone, Copy)]
struct Limits {
    /// End of the wait for a fast target while slow ones have free slots.
    fast_until: Instant,
    /// Last time at which an attempt can start and still meet the soft deadline.
    latest_on_time: Instant,
    /// End of the wait in the queue, after which the request is refused.
    queue_deadline: Instant,
}

impl Limits {
    fn new(call: &Call, estimate: &Estimate) -> Self {
        let margin = estimate.mean().mul_f64(SERVICE_TIME_MARGIN);
        let fast_until = call.received + call.route.target_latency.mul_f64(FAST_WAIT_FRACTION);
        let latest_start = |end: Instant| end.checked_sub(margin).unwrap_or(call.received);
        Self {
            fast_until,
            latest_on_time: latest_start(call.soft_deadline()),
            queue_deadline: latest_start(call.deadline)
                .min(call.soft_deadline())
                .max(fast_until),
        }
    }
}

/// Waiter in the queue of a service; dropping the waiter removes it from the
/// queue.
struct Waiter {
    gateway: Arc<Gateway>,
    service: Service,
    rank: Rank,
    notify: Arc<Notify>,
    queued: bool,
}

impl Waiter {
    fn new(gateway: &Arc<Gateway>, call: &Call) -> Self {
        let rank = Rank {
            late: false,
            priority: call.priority,
            received: call.received,
            sequence: gateway.services.next_sequence(&call.service),
        };
        Self {
            gateway: Arc::clone(gateway),
            service: call.service.clone(),
            rank,
            notify: Arc::default(),
            queued: false,
        }
    }

    fn is_first(&self) -> bool {
        self.gateway.services.is_first(&self.service, &self.rank)
    }

    fn enqueue(&mut self) {
        if !self.queued {
            let services = &self.gateway.services;
            services.enqueue(&self.service, self.rank, Arc::clone(&self.notify));
            self.queued = true;
        }
    }

    fn dequeue(&mut self, dispatched: bool) {
        if std::mem::take(&mut self.queued) {
            let services = &self.gateway.services;
            services.dequeue(&self.service, &self.rank, dispatched);
        }
    }

    /// Waits in the queue until a slot may be free, at most for the poll interval.
    /// Returns whether the wait timed out.
    async fn wait(&mut self, limits: &Limits) -> Result<bool, Refusal> {
        let now = Instant::now();
        if now >= limits.queue_deadline {
            return Err(Refusal::Busy);
        }
        if now >= limits.latest_on_time {
            self.mark_late();
        }
        if !self.queued {
            let services = &self.gateway.services;
            let wait = services.expected_wait(&self.service, &self.rank);
            if now + wait > limits.queue_deadline {
                return Err(Refusal::Busy);
            }
            self.enqueue();
        }
        let next_poll = (now + POLL_INTERVAL).min(limits.queue_deadline);
        Ok(tokio::time::timeout_at(next_poll, self.notify.notified())
            .await
            .is_err())
    }

    /// Moves the request behind those that can still be answered in time.
    fn mark_late(&mut self) {
        if !self.rank.late {
            let queued = self.queued;
            self.dequeue(false);
            self.rank.late = true;
            if queued {
                self.enqueue();
            }
        }
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.dequeue(false);
    }
}

impl Gateway {
    /// Selects a target that the request was not sent to before. Waits for a
    /// better target while one is likely to be found in time, and in the queue
    /// while no target would answer in time.
    pub(crate) async fn place(
        self: &Arc<Self>,
        call: &Arc<Call>,
        tried: &[Target],
    ) -> Result<Placement, Refusal> {
        let estimate = self.services.estimate(&call.route);
        let limits = Limits::new(call, &estimate);
        let mut waiter = Waiter::new(self, call);
        let mut probed = Vec::new();
        // Probes would add to the load of an overloaded machine.
        let mut immediate = self.is_overloaded();
        loop {
            let chosen = if waiter.is_first() {
                // A request is not sent if its response would miss the soft
                // deadline, until the request is marked as late: the slot could
                // serve a waiting request in time.
                let respond_by = if waiter.rank.late {
                    call.deadline
                } else {
                    call.soft_deadline().min(call.deadline)
                };
                self.choose(call, tried, &probed, immediate, &estimate, respond_by)
            } else {
                Some((Choice::Saturated, 0, None))
            };
            match chosen {
                None | Some((Choice::NoTarget, ..)) => return Err(Refusal::NoTarget),
                Some((Choice::Send(endpoint), attempt, snapshot)) => {
                    waiter.dequeue(true);
                    return Ok(Placement {
                        gateway: Arc::clone(self),
                        call: Arc::clone(call),
                        endpoint,
                        snapshot,
                        attempt,
                        ended: false,
                    });
                }
                Some((Choice::Probe(targets), ..)) => {
                    probed.extend(targets.iter().map(|target| target.id.clone()));
                    self.probe_any(call, targets).await;
                    continue;
                }
                Some((Choice::Slow, ..)) => {
                    // This request waits for a fast target outside the queue, so
                    // that it does not block requests that accept a slow one.
                    waiter.dequeue(false);
                    if Instant::now() < limits.fast_until && !immediate {
                        let next_poll = (Instant::now() + POLL_INTERVAL).min(limits.fast_until);
                        tokio::time::sleep_until(next_poll).await;
                        probed.clear();
                    }
                }
                Some((Choice::Paused(until), ..)) if until >= limits.queue_deadline => {
                    let pause = until.saturating_duration_since(Instant::now());
                    return Err(Refusal::Paused(pause));
                }
                Some((Choice::Saturated | Choice::Paused(_), ..)) => {
                    if waiter.wait(&limits).await? {
                        probed.clear();
                    }
                }
            }
            immediate |= Instant::now() >= limits.fast_until;
        }
    }

    fn choose(
        &self,
        call: &Call,
        tried: &[Target],
        probed: &[Target],
        immediate: bool,
        estimate: &Estimate,
        respond_by: Instant,
    ) -> Option<(Choice, u64, Option<Snapshot>)> {
        let criteria = Criteria {
            tried,
            probed,
            idempotent: call.is_idempotent(),
            immediate,
            max_cost: respond_by
                .saturating_duration_since(Instant::now())
                .div_duration_f64(estimate.mean()),
        };
        let is_limited = self.warmup(&call.service).is_some();
        self.services.with_pool(&call.service, |pool, now| {
            let (choice, _token) = self.choose_permitted(pool, criteria, is_limited, now);
            let (attempt, snapshot) = match &choice {
                Choice::Send(endpoint) => {
                    let snapshot = pool.snapshot(&endpoint.id, now);
                    (
                        pool.begin_attempt(&endpoint.id, estimate.mean(), now),
                        snapshot,
                    )
                }
                _ => (0, None),
            };
            (choice, attempt, snapshot)
        })
    }

    /// Probes targets and returns as soon as a suitable target is known. The other
    /// probes finish in the background; their reports serve later requests.
    async fn probe_any(self: &Arc<Self>, call: &Arc<Call>, targets: Vec<Endpoint>) {
        let (sender, mut results) = mpsc::channel(targets.len().max(1));
        for endpoint in targets {
            let gateway = Arc::clone(self);
            let call = Arc::clone(call);
            let sender = sender.clone();
            tokio::spawn(async move {
                gateway.probe(&endpoint, &call.health_path).await;
                // The receiver is gone if the request has found its target.
                let _ = sender.send(()).await;
            });
        }
        drop(sender);
        while results.recv().await.is_some() {
            let found = self
                .services
                .with_pool(&call.service, |pool, now| pool.has_suitable(now));
            if found == Some(true) {
                return;
            }
        }
    }
}
