//! Selection of a target for a request, and waiting for one.

use std::sync::Arc;
use std::time::Duration;

use carobdrift_placement::{
    Choice, Criteria, Demand, Endpoint, Estimate, Outcome, Snapshot, Ticket, retry_after,
};
use carobdrift_units::Target;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::admission::Waiting;
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
    /// Last time at which an attempt can start and still meet the deadline.
    last_start: Instant,
}

impl Limits {
    fn new(call: &Call, estimate: &Estimate) -> Self {
        let margin = estimate.mean().mul_f64(SERVICE_TIME_MARGIN);
        let latest_start = |end: Instant| end.checked_sub(margin).unwrap_or(call.received);
        let fast_until = call.received + call.route.target_latency.mul_f64(FAST_WAIT_FRACTION);
        Self {
            fast_until,
            latest_on_time: latest_start(call.soft_deadline()),
            last_start: latest_start(call.deadline).max(fast_until),
        }
    }
}

/// Request that may have to wait for a slot; dropping the waiter removes it from the
/// queue.
struct Waiter {
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    demand: Demand,
    waiting: Arc<Waiting>,
    ticket: Option<Ticket>,
}

impl Waiter {
    fn new(gateway: &Arc<Gateway>, call: &Arc<Call>, limits: &Limits, work: Duration) -> Self {
        let workspace = call.credential.as_ref().map(|c| &c.workspace.name);
        let demand = Demand {
            priority: call.priority,
            workspace: workspace.map(|name| name.as_str().into()),
            work,
            received: Instant::now(),
            target_latency: call.route.target_latency,
            start_by: limits.latest_on_time,
            last_start: limits.last_start,
        };
        let admission = &gateway.services.admission;
        admission.record_arrival(&call.service, &demand);
        Self {
            gateway: Arc::clone(gateway),
            call: Arc::clone(call),
            demand,
            waiting: Arc::default(),
            ticket: None,
        }
    }

    /// Whether the next slot is for this request.
    fn is_first(&self) -> bool {
        let admission = &self.gateway.services.admission;
        match self.ticket {
            Some(ticket) => admission.is_first(&self.call.service, ticket),
            None => admission.admits_at_once(&self.call.service, &self.demand),
        }
    }

    fn leave(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let admission = &self.gateway.services.admission;
            admission.remove(&self.call.service, ticket, false);
        }
    }

    /// Records that the request got a slot.
    fn start(&mut self) {
        let admission = &self.gateway.services.admission;
        match self.ticket.take() {
            Some(ticket) => admission.remove(&self.call.service, ticket, true),
            None => admission.record_start(&self.call.service, &self.demand),
        }
    }

    /// Waits in the queue until a slot may be free, at most for the poll interval.
    /// Returns whether the wait timed out.
    async fn wait(&mut self) -> Result<bool, Refusal> {
        let admission = &self.gateway.services.admission;
        let service = &self.call.service;
        if self.ticket.is_none() {
            let waiting = Arc::clone(&self.waiting);
            self.ticket = Some(admission.push(service, self.demand.clone(), waiting));
        } else {
            admission.plan(service);
        }
        self.check_refused()?;
        let notified = self.waiting.notify.notified();
        let timed_out = tokio::time::timeout(POLL_INTERVAL, notified).await.is_err();
        self.check_refused()?;
        Ok(timed_out)
    }

    fn check_refused(&self) -> Result<(), Refusal> {
        let Some(capacity_in) = self.waiting.refused.get() else {
            return Ok(());
        };
        let sequence = self.gateway.services.admission.next_refusal();
        let wait = retry_after(*capacity_in, self.call.remaining(), sequence);
        Err(Refusal::Busy(wait))
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.leave();
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
        let mut waiter = Waiter::new(self, call, &limits, estimate.mean());
        let mut probed = Vec::new();
        // Probes would add to the load of an overloaded machine.
        let mut immediate = self.is_overloaded();
        loop {
            let chosen = if waiter.is_first() {
                // A request is not sent if its response would miss the soft
                // deadline, while it can still meet it on another target: the slot
                // could serve a waiting request in time.
                let respond_by = if Instant::now() >= limits.latest_on_time {
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
                    waiter.start();
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
                // Requests already wait: the order of the queue decides which of them
                // gets the next fast target.
                Some((Choice::Slow, ..)) if self.services.admission.has_waiting(&call.service) => {
                    if waiter.wait().await? {
                        probed.clear();
                    }
                }
                Some((Choice::Slow, ..)) => {
                    if Instant::now() < limits.fast_until && !immediate {
                        let next_poll = (Instant::now() + POLL_INTERVAL).min(limits.fast_until);
                        tokio::time::sleep_until(next_poll).await;
                        probed.clear();
                    }
                }
                Some((Choice::Paused(until), ..))
                    if until >= limits.last_start.min(call.soft_deadline()) =>
                {
                    let pause = until.saturating_duration_since(Instant::now());
                    return Err(Refusal::Paused(pause));
                }
                Some((Choice::Saturated | Choice::Paused(_), ..)) => {
                    if waiter.wait().await? {
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
