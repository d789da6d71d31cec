//! Queue of requests that wait for a slot, and their admission.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::capacity::{Arrivals, Capacity, DecayedSum, Flow, MIN_WORK_S};
use crate::demand::{Demand, Floor, Reason, Refused, Ticket};
use crate::plan::{Forecast, Job, Plan, expected_start};

/// Fraction of the target latency within which a request must start. A refusal after a
/// longer wait costs its caller the time for another attempt, and an answer is less
/// likely to be on time when its target becomes slow.
const START_FRACTION: f64 = 0.1;

/// Wait from which a request counts as one that waited for a slot.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Share of the capacity that counts as expected for requests that can no longer be on
/// time. Their forecast reaches further, and a wrong one is a refusal after a long wait.
const SPARE_SHARE: f64 = 0.7;

/// Share of the capacity that is divided fairly. The rest absorbs the variation of the
/// work that the other workspaces request.
const FAIR_SHARE: f64 = 0.8;

/// Time after a refusal for lack of capacity in which no capacity counts as unused; the
/// order of twice the time for which the speed of a target stays constant.
const REFUSAL_MEMORY: Duration = Duration::from_millis(300);

#[derive(Debug)]
struct Waiting<T> {
    ticket: Ticket,
    demand: Demand,
    waiter: T,
    added: Instant,
    /// Whether others waited when the request was added.
    found_others: bool,
    /// Whether it was decided that the request waits for unused capacity.
    is_held: bool,
}

/// Requests of one service that wait at one entry for a slot. A request in this queue
/// can still go to whichever target is free and fast first, or be refused as not
/// executed; a request queued at a target can't.
#[derive(Debug)]
pub struct Queue<T> {
    /// In order of arrival.
    waiting: Vec<Waiting<T>>,
    /// Tickets in the order in which the requests start.
    order: Vec<Ticket>,
    last_ticket: u64,
    capacity: Capacity,
    arrivals: Arrivals,
    usage: HashMap<Option<Arc<str>>, DecayedSum>,
    floors: Vec<Floor>,
    last_refusal: Option<Instant>,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            order: Vec::new(),
            last_ticket: 0,
            capacity: Capacity::default(),
            arrivals: Arrivals::default(),
            usage: HashMap::new(),
            floors: Vec::new(),
            last_refusal: None,
        }
    }
}

impl<T> Queue<T> {
    /// Counts a request that arrived, whether or not it has to wait.
    pub fn record_arrival(&mut self, demand: &Demand, now: Instant) {
        let workspace = demand.workspace.clone();
        self.arrivals
            .record(demand.priority, workspace, demand.work, now);
    }

    /// Adds a request. [`Queue::plan`] decides on it.
    pub fn push(&mut self, demand: Demand, waiter: T, now: Instant) -> Ticket {
        self.capacity.advance(true, now);
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        self.waiting.push(Waiting {
            ticket,
            demand,
            waiter,
            added: now,
            found_others: !self.waiting.is_empty(),
            is_held: false,
        });
        ticket
    }

    /// Removes a request that leaves without a slot.
    pub fn remove(&mut self, ticket: Ticket, now: Instant) -> Option<T> {
        self.take(ticket, now).map(|waiting| waiting.waiter)
    }

    /// Removes a request that a target accepts.
    pub fn start(&mut self, ticket: Ticket, now: Instant) -> Option<T> {
        let Waiting {
            demand,
            waiter,
            added,
            found_others,
            ..
        } = self.take(ticket, now)?;
        // A slot that was free shows nothing about how often slots become free.
        if found_others || now.saturating_duration_since(added) >= MIN_WAIT {
            self.capacity.record_start(demand.work);
        }
        self.record_use(demand.workspace, demand.work, now);
        Some(waiter)
    }

    fn take(&mut self, ticket: Ticket, now: Instant) -> Option<Waiting<T>> {
        let place = self.waiting.iter().position(|w| w.ticket == ticket)?;
        self.order.retain(|other| *other != ticket);
        let taken = self.waiting.remove(place);
        self.capacity.advance(!self.waiting.is_empty(), now);
        Some(taken)
    }

    /// Counts the work of a request that a target accepts towards its workspace.
    pub fn record_use(&mut self, workspace: Option<Arc<str>>, work: Duration, now: Instant) {
        let usage = self.usage.entry(workspace);
        usage
            .or_insert_with(|| DecayedSum::new(now))
            .add(work.as_secs_f64(), now);
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether a new request may take a slot without being added first.
    #[must_use]
    pub fn admits_at_once(&self, demand: &Demand, now: Instant) -> bool {
        let mut floors = self.floors.iter();
        self.waiting.is_empty() && !floors.any(|f| f.until >= now && f.blocks(demand))
    }

    /// Returns the request that gets the next slot.
    #[must_use]
    pub fn first(&self) -> Option<(Ticket, &T)> {
        let first = *self.order.first()?;
        let waiting = self.waiting.iter().find(|w| w.ticket == first)?;
        Some((first, &waiting.waiter))
    }

    /// Returns the work per second that targets accept from this entry while requests
    /// wait, once it is known.
    #[must_use]
    pub fn capacity(&self) -> Option<f64> {
        self.capacity.rate()
    }

    /// Decides on all waiting requests. Removes and returns those that are refused.
    pub fn plan(&mut self, now: Instant) -> Vec<Refused<T>> {
        self.capacity.advance(!self.waiting.is_empty(), now);
        self.floors.retain(|floor| floor.until >= now);
        let (mut forecast, flows) = self.forecast(now);
        let jobs = self.jobs(&mut forecast, &flows, now);
        let plan = Plan::new(&jobs, &mut forecast);
        for index in &plan.late {
            let waiting = &mut self.waiting[*index];
            waiting.is_held |= now >= Self::window_end(&waiting.demand);
        }
        let ticket = |index: &usize| self.waiting[*index].ticket;
        self.order = plan.on_time.iter().chain(&plan.late).map(ticket).collect();
        let planned = plan.on_time.iter().chain(&plan.late);
        let planned_s: f64 = planned.map(|index| jobs[*index].work_s).sum();
        let capacity_in_s = expected_start(planned_s, forecast.unused_rate);
        let refused: Vec<(Ticket, Reason)> = plan
            .refused
            .iter()
            .map(|index| {
                let expired = jobs[*index].last_start_s < 0.0;
                let reason = if expired {
                    Reason::Expired
                } else {
                    Reason::Displaced
                };
                (self.waiting[*index].ticket, reason)
            })
            .collect();
        let instead = self
            .order
            .first()
            .and_then(|first| self.demand(*first))
            .cloned();
        let is_contended = forecast.is_contended;
        let mut result = Vec::with_capacity(refused.len());
        for (ticket, reason) in refused {
            self.record_refusal(ticket, reason, is_contended, now);
            if let Some(Waiting { waiter, demand, .. }) = self.take(ticket, now) {
                result.push(Refused {
                    ticket,
                    waiter,
                    demand,
                    reason,
                    instead: instead.clone(),
                    capacity_in: Duration::try_from_secs_f64(capacity_in_s)
                        .unwrap_or(Duration::MAX),
                });
            }
        }
        result
    }

    fn demand(&self, ticket: Ticket) -> Option<&Demand> {
        let waiting = self.waiting.iter().find(|w| w.ticket == ticket);
        waiting.map(|waiting| &waiting.demand)
    }

    fn record_refusal(&mut self, ticket: Ticket, reason: Reason, is_contended: bool, now: Instant) {
        if reason == Reason::Displaced && is_contended {
            self.last_refusal = Some(now);
        }
        let Some(demand) = self.demand(ticket) else {
            return;
        };
        let floor = Floor {
            until: demand.start_by,
            priority: demand.priority,
            work: demand.work,
        };
        if floor.until > now {
            self.floors.retain(|other| !floor.covers(other));
            if !self.floors.iter().any(|other| other.covers(&floor)) {
                self.floors.push(floor);
            }
        }
    }

    /// Returns the expected capacity, and the arrivals that share it.
    fn forecast(&mut self, now: Instant) -> (Forecast, Vec<Flow>) {
        // Without an observed capacity, only requests that are too late are refused.
        let rate = self.capacity.rate().unwrap_or(f64::INFINITY);
        self.usage.retain(|_, sum| sum.value(now) >= MIN_WORK_S);
        let usage = &self.usage;
        let usage_s = |name: &Option<Arc<str>>| usage.get(name).map_or(0.0, |sum| sum.value(now));
        let flows = self.arrivals.flows(usage_s, now);
        let is_refusing = self
            .last_refusal
            .is_some_and(|at| now.saturating_duration_since(at) < REFUSAL_MEMORY);
        // Without more demand than capacity, requests wait for a moment in which more
        // targets are fast.
        let demand_rate: f64 = flows.iter().map(|flow| flow.rate).sum();
        let is_contended = demand_rate > rate;
        let spare_rate = if is_refusing {
            0.0
        } else if !is_contended {
            f64::INFINITY
        } else {
            rate * SPARE_SHARE - demand_rate
        };
        let forecast = Forecast {
            rate,
            spare_rate,
            unused_rate: rate - demand_rate,
            is_refusing,
            is_contended,
            usage_s: Vec::new(),
        };
        (forecast, flows)
    }

    /// Returns the end of the time within which a request is to start.
    fn window_end(demand: &Demand) -> Instant {
        demand.received + demand.target_latency.mul_f64(START_FRACTION)
    }

    fn jobs(&self, forecast: &mut Forecast, flows: &[Flow], now: Instant) -> Vec<Job> {
        let mut workspaces: HashMap<&Option<Arc<str>>, usize> = HashMap::new();
        let mut jobs = Vec::with_capacity(self.waiting.len());
        for Waiting {
            demand, is_held, ..
        } in &self.waiting
        {
            let workspace = *workspaces.entry(&demand.workspace).or_insert_with(|| {
                let usage = self.usage.get(&demand.workspace);
                forecast
                    .usage_s
                    .push(usage.map_or(0.0, |sum| sum.value(now)));
                forecast.usage_s.len() - 1
            });
            let start_by = if forecast.spare_rate.is_finite() {
                demand.start_by.min(Self::window_end(demand))
            } else {
                demand.start_by
            };
            let usage_s = forecast.usage_s[workspace];
            let preferred: f64 = flows
                .iter()
                .filter(|flow| flow.priority < demand.priority)
                .map(|flow| flow.rate)
                .sum();
            let smaller: f64 = flows
                .iter()
                .filter(|flow| flow.priority == demand.priority && flow.usage_s < usage_s)
                .map(|flow| flow.rate.min(usage_s))
                .sum();
            let is_over_share = forecast.is_refusing
                && smaller > 0.0
                && usage_s > forecast.rate * FAIR_SHARE - preferred - smaller;
            // Without a forecast, a late answer may cost one in time.
            let last_start = if forecast.spare_rate.is_finite() {
                demand.last_start
            } else {
                demand
                    .last_start
                    .min(demand.received + demand.target_latency)
            };
            jobs.push(Job {
                start_by_s: seconds_until(start_by, now),
                blocked: self.floors.iter().any(|floor| floor.blocks(demand)),
                last_start_s: seconds_until(last_start, now),
                work_s: demand.work.as_secs_f64(),
                priority: demand.priority,
                workspace,
                rate: forecast.rate - preferred - smaller,
                is_over_share,
                is_held: *is_held,
            });
        }
        jobs
    }
}

/// Returns the time until `at` in seconds; negative if it has passed.
fn seconds_until(at: Instant, now: Instant) -> f64 {
    let left = at.saturating_duration_since(now);
    let passed = now.saturating_duration_since(at);
    left.as_secs_f64() - passed.as_secs_f64()
}
