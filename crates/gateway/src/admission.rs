//! Requests that wait for a slot, and what is decided about them.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use carobdrift_placement::{Demand, Queue, Reason, Refused, Ticket};
use carobdrift_units::Service;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::metrics::Metrics;

/// Shortest time between two plans of one queue that no new request causes. A plan
/// costs processor time for every waiting request, each of which polls every 15 ms.
const PLAN_INTERVAL: Duration = Duration::from_millis(5);

/// Shortest time between two log lines of one decision class of a service.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Waiting request.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    /// Notified when a slot may be free for the request, or it was refused.
    pub(crate) notify: Notify,
    /// Time until capacity is expected, if the request was refused.
    pub(crate) refused: OnceLock<Duration>,
}

/// Waiting requests of all services.
#[derive(Debug)]
pub(crate) struct Admission {
    queues: Mutex<HashMap<Service, ServiceQueue>>,
    metrics: Metrics,
    refusals: AtomicU64,
}

#[derive(Debug, Default)]
struct ServiceQueue {
    queue: Queue<Arc<Waiting>>,
    planned: Option<Instant>,
    /// Decisions since the last log line of their class, and its time.
    unlogged: HashMap<&'static str, (u64, Option<Instant>)>,
}

impl Admission {
    pub(crate) fn new(metrics: Metrics) -> Self {
        Self {
            queues: Mutex::default(),
            metrics,
            refusals: AtomicU64::new(0),
        }
    }

    /// Counts a request that arrived, whether or not it has to wait.
    pub(crate) fn record_arrival(&self, service: &Service, demand: &Demand) {
        let now = Instant::now();
        let mut queues = self.lock();
        let service = queues.entry(service.clone()).or_default();
        service.queue.record_arrival(demand, now);
    }

    /// Counts a request that got a slot without waiting in the queue.
    pub(crate) fn record_start(&self, service: &Service, demand: &Demand) {
        let mut queues = self.lock();
        if let Some(service) = queues.get_mut(service) {
            let workspace = demand.workspace.clone();
            service
                .queue
                .record_use(workspace, demand.work, Instant::now());
        }
        drop(queues);
        self.count(service, "at-once");
    }

    /// Whether requests of a service wait.
    pub(crate) fn has_waiting(&self, service: &Service) -> bool {
        let queues = self.lock();
        let service = queues.get(service);
        service.is_some_and(|service| !service.queue.is_empty())
    }

    /// Whether a new request may take a slot without being added first.
    pub(crate) fn admits_at_once(&self, service: &Service, demand: &Demand) -> bool {
        let queues = self.lock();
        let service = queues.get(service);
        service.is_none_or(|service| service.queue.admits_at_once(demand, Instant::now()))
    }

    /// Whether a request gets the next slot.
    pub(crate) fn is_first(&self, service: &Service, ticket: Ticket) -> bool {
        let queues = self.lock();
        let first = queues.get(service).and_then(|s| s.queue.first());
        first.is_some_and(|(first, _)| first == ticket)
    }

    /// Adds a request and decides on all that wait.
    pub(crate) fn push(&self, service: &Service, demand: Demand, waiting: Arc<Waiting>) -> Ticket {
        let now = Instant::now();
        let mut queues = self.lock();
        let state = queues.entry(service.clone()).or_default();
        let ticket = state.queue.push(demand, waiting, now);
        self.plan_queue(service, state, now);
        ticket
    }

    /// Decides on all waiting requests of a service, unless it was just done.
    pub(crate) fn plan(&self, service: &Service) {
        let now = Instant::now();
        if let Some(state) = self.lock().get_mut(service)
            && state
                .planned
                .is_none_or(|at| now.saturating_duration_since(at) >= PLAN_INTERVAL)
        {
            self.plan_queue(service, state, now);
        }
    }

    /// Removes a request and wakes the first remaining one. `started` states whether
    /// the request got a slot.
    pub(crate) fn remove(&self, service: &Service, ticket: Ticket, started: bool) {
        let now = Instant::now();
        let mut queues = self.lock();
        let Some(state) = queues.get_mut(service) else {
            return;
        };
        let removed = if started {
            state.queue.start(ticket, now)
        } else {
            state.queue.remove(ticket, now)
        };
        if removed.is_some() {
            state.wake_first();
        }
        drop(queues);
        if started {
            self.count(service, "after-wait");
        }
    }

    /// Wakes the first request in the queue of a service.
    pub(crate) fn wake_first(&self, service: &Service) {
        if let Some(state) = self.lock().get(service) {
            state.wake_first();
        }
    }

    /// Returns a number that differs from refusal to refusal.
    pub(crate) fn next_refusal(&self) -> u64 {
        self.refusals.fetch_add(1, Ordering::Relaxed)
    }

    fn plan_queue(&self, service: &Service, state: &mut ServiceQueue, now: Instant) {
        state.planned = Some(now);
        let refused = state.queue.plan(now);
        let capacity = state.queue.capacity();
        if let Some(capacity) = capacity {
            let metric = &self.metrics.expected_capacity;
            metric.with_label_values(&[service.as_str()]).set(capacity);
        }
        for refused in refused {
            let class = match refused.reason {
                Reason::Expired => "refused-expired",
                Reason::Displaced => "refused-displaced",
            };
            self.count(service, class);
            state.log(service, class, &refused, now);
            let _ = refused.waiter.refused.set(refused.capacity_in);
            refused.waiter.notify.notify_one();
        }
        state.wake_first();
    }

    fn count(&self, service: &Service, decision: &str) {
        let metric = &self.metrics.admissions;
        metric
            .with_label_values(&[service.as_str(), decision])
            .inc();
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Service, ServiceQueue>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServiceQueue {
    fn wake_first(&self) {
        if let Some((_, waiting)) = self.queue.first() {
            waiting.notify.notify_one();
        }
    }

    /// Writes a log line of a refusal, at most one per interval and class.
    fn log(
        &mut self,
        service: &Service,
        class: &'static str,
        refused: &Refused<Arc<Waiting>>,
        now: Instant,
    ) {
        let (count, last) = self.unlogged.entry(class).or_default();
        *count += 1;
        if last.is_some_and(|at| now.saturating_duration_since(at) < LOG_INTERVAL) {
            return;
        }
        *last = Some(now);
        let demand = &refused.demand;
        log::info!(
            target: "admission",
            "event={class} service={service} count={count} priority={} workspace={} work_ms={} \
             waited_ms={} capacity={:.2} capacity_in_ms={} instead={}",
            demand.priority,
            demand.workspace.as_deref().unwrap_or("-"),
            demand.work.as_millis(),
            now.saturating_duration_since(demand.received).as_millis(),
            self.queue.capacity().unwrap_or_default(),
            refused.capacity_in.min(LOG_INTERVAL * 60).as_millis(),
            refused.instead.as_ref().map_or_else(
                || "-".to_owned(),
                |other| format!(
                    "{}/{}/{}ms",
                    other.priority,
                    other.workspace.as_deref().unwrap_or("-"),
                    other.work.as_millis()
                )
            )
        );
        *count = 0;
    }
}
