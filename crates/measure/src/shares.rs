//! Shares of limits, requested by every entry and granted by the holder of the
//! service's shard lease.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use carobdrift_balance::{Quota, Share};
use carobdrift_membership::Links;
use carobdrift_units::{Class, Instance, Service};
use carobdrift_wire::{Answer, Demand, Frame, Grant, Query, Requisition};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout_at};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::allocator::{GRANT_VALIDITY, Requester};
use crate::convert;
use crate::holder::Holder;
use crate::leases::Leases;
use crate::metrics::Metrics;
use crate::shard::Shard;
use crate::subject::{Subject, Subjects};

/// Interval between two requests for the shares of a service.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between two requests for the shares of a service without calls.
/// Most services of a large cell have none at any moment, and their requests
/// would make up nearly all bytes on the links. Three requests fit into the
/// validity of a grant.
const IDLE_REFRESH_INTERVAL: Duration = Duration::from_secs(10);

/// Shortest pause between two requests while a share runs short or a request
/// failed. Calls wait 100 ms for the answer, so there is time for another
/// request.
const MIN_PAUSE: Duration = Duration::from_millis(10);

/// Longest pause. Starting at [`MIN_PAUSE`], the pause doubles while nothing
/// changes.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Time within which a request must be answered.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Consecutive failed requests after which an entry uses its part of the limits
/// without a grant. A single failure may be due to a link that is being
/// replaced.
const FALLBACK_FAILURES: u32 = 2;

/// Largest number of services in one query, so that the query fits into a
/// frame.
const SERVICES_PER_QUERY: usize = 64;

/// Shares of the limits of all services; cheap to clone. Requests stop when the
/// last clone is dropped.
#[derive(Debug, Clone)]
pub struct Shares {
    shared: Arc<Shared>,
    _guard: Arc<DropGuard>,
}

#[derive(Debug)]
struct Shared {
    leases: Leases,
    links: Links,
    subjects: Subjects,
    holder: Holder,
    sequence: AtomicU64,
    /// Notifications of each shard's task, sent when shares of its services are
    /// recalled.
    recalls: Vec<Notify>,
}

/// Outcome of a request for shares, from best to worst.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Outcome {
    /// All demands are granted.
    Sufficient,
    /// Less than the demands is granted.
    Partial,
    /// Less than the demands is granted, because the holder can't divide the
    /// limits freely at the moment.
    Unsettled,
    /// Some services were not answered.
    Unanswered,
}

/// Quotas of one service.
type Quotas = Vec<(Option<Class>, Quota)>;

impl Shares {
    /// Starts to request shares. `max_entries` is the largest permitted number
    /// of entries of the cell, the same on all of them.
    #[must_use]
    pub fn spawn(
        leases: Leases,
        links: Links,
        subjects: Subjects,
        max_entries: u32,
        metrics: Metrics,
    ) -> Self {
        let stopped = CancellationToken::new();
        let shared = Arc::new(Shared {
            holder: Holder::new(leases.clone(), max_entries, metrics),
            leases,
            links,
            subjects,
            sequence: AtomicU64::new(0),
            recalls: Shard::all().map(|_| Notify::new()).collect(),
        });
        for shard in Shard::all() {
            let run = Arc::clone(&shared).run(shard);
            tokio::spawn(stopped.clone().run_until_cancelled_owned(run));
        }
        Self {
            shared,
            _guard: Arc::new(stopped.drop_guard()),
        }
    }

    /// Answers a peer's `Query::Share`.
    #[must_use]
    pub fn answer(&self, requester: &Requester, requisitions: &[Requisition]) -> Answer {
        self.shared.answer(requester, requisitions)
    }

    /// Handles a peer's `Frame::Recall`: reports the demand for a service's
    /// limits again.
    pub fn recall(&self, service: &Service) {
        self.shared.recall(service);
    }
}

impl Shared {
    /// Requests the shares of the services of a shard: at each interval, and
    /// when a share runs short or is recalled. Ends when the sender of the
    /// services is dropped.
    async fn run(self: Arc<Self>, shard: Shard) {
        let mut subjects = self.subjects.clone();
        let shortage = Arc::new(Notify::new());
        let mut next_refresh = Instant::now();
        let mut pause = MIN_PAUSE;
        let mut recalled = false;
        let mut failures = 0;
        // Time of the last request for each service without calls. A service
        // that had calls in the previous round is not in the map, so that the
        // next round reports its lower demand.
        let mut last_idle_query: HashMap<Service, Instant> = HashMap::new();
        loop {
            let is_refresh_due = next_refresh <= Instant::now();
            let services: Vec<(Service, Quotas)> = {
                let subjects = subjects.borrow_and_update();
                let services = subjects.iter().filter(|subject| is_in(subject, shard));
                services
                    .map(|subject| (subject.document.service.clone(), subject.pool.quotas()))
                    .collect()
            };
            let mut requested = HashMap::new();
            for (service, quotas) in services {
                for (_, quota) in &quotas {
                    quota.notify_on_shortage(&shortage);
                }
                let is_idle = quotas
                    .iter()
                    .all(|(_, quota)| quota.peak_usage() == Share::default());
                if !is_idle {
                    last_idle_query.remove(&service);
                }
                let last_query = last_idle_query.get(&service);
                let is_idle_due =
                    last_query.is_none_or(|at| *at + IDLE_REFRESH_INTERVAL <= Instant::now());
                let is_short = quotas.iter().any(|(_, quota)| quota.is_short());
                if is_short || is_refresh_due && is_idle_due {
                    if is_idle {
                        last_idle_query.insert(service.clone(), Instant::now());
                    }
                    requested.insert(service, quotas);
                }
            }
            let sent = Instant::now();
            let outcome = self.request_shares(shard, &requested).await;
            if outcome == Outcome::Unanswered {
                last_idle_query.clear();
            }
            pause = match outcome {
                Outcome::Sufficient => MIN_PAUSE,
                _ if recalled => pause,
                _ => (pause * 2).min(MAX_PAUSE),
            };
            failures = match outcome {
                Outcome::Sufficient | Outcome::Partial => 0,
                Outcome::Unsettled | Outcome::Unanswered => failures + 1,
            };
            if failures >= FALLBACK_FAILURES {
                use_fallback(&requested, sent);
            }
            recalled = false;
            if outcome == Outcome::Unanswered {
                next_refresh = sent + pause;
            } else if is_refresh_due {
                next_refresh = sent + REFRESH_INTERVAL;
            }
            let short_after_pause = async {
                sleep_until(sent + pause).await;
                shortage.notified().await;
            };
            tokio::select! {
                _ = timeout_at(next_refresh, short_after_pause) => {}
                () = self.recalls[shard.index()].notified() => recalled = true,
                changed = subjects.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    next_refresh = Instant::now();
                    pause = MIN_PAUSE;
                }
            }
        }
    }

    /// Requests shares from the holder of a shard.
    async fn request_shares(&self, shard: Shard, requested: &HashMap<Service, Quotas>) -> Outcome {
        let requisitions: Vec<Requisition> =
            requested.iter().filter_map(build_requisition).collect();
        if requisitions.is_empty() {
            return Outcome::Sufficient;
        }
        let Some(holder) = self.leases.holder(shard) else {
            return Outcome::Unanswered;
        };
        let mut outcome = Outcome::Sufficient;
        for requisitions in requisitions.chunks(SERVICES_PER_QUERY) {
            let Some((grants, settled)) = self.exchange(&holder, requisitions, requested).await
            else {
                return Outcome::Unanswered;
            };
            outcome = outcome.max(evaluate(requisitions, &grants));
            if outcome == Outcome::Partial && !settled {
                outcome = Outcome::Unsettled;
            }
            // Other entries can use the freed part of a share only after the
            // lower demand is reported.
            let reduced = grants
                .iter()
                .filter(|grant| is_reduced(requisitions, grant));
            let reduced = reduced.filter_map(|grant| requested.get_key_value(&grant.service));
            let updated: Vec<Requisition> = reduced.filter_map(build_requisition).collect();
            if !updated.is_empty() && self.exchange(&holder, &updated, requested).await.is_none() {
                return Outcome::Unanswered;
            }
        }
        outcome
    }

    /// Sends a query and applies the grants.
    async fn exchange(
        &self,
        holder: &Instance,
        requisitions: &[Requisition],
        requested: &HashMap<Service, Quotas>,
    ) -> Option<(Vec<Grant>, bool)> {
        let sent = Instant::now();
        let (grants, validity, settled) = self.query(holder, requisitions).await?;
        for grant in &grants {
            let quotas = requested.get(&grant.service);
            for (class, quota) in quotas.into_iter().flatten() {
                if let Some(allocation) = grant
                    .limits
                    .iter()
                    .find(|allocation| allocation.class == *class)
                {
                    quota.grant(
                        convert::share_from_wire(allocation.granted),
                        sent + validity,
                    );
                }
            }
        }
        Some((grants, settled))
    }

    async fn query(
        &self,
        holder: &Instance,
        requisitions: &[Requisition],
    ) -> Option<(Vec<Grant>, Duration, bool)> {
        let owner = self.leases.owner();
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let answer = if *holder == owner.instance {
            let requester = Requester {
                instance: owner.instance.clone(),
                incarnation: owner.incarnation,
                sequence,
            };
            self.answer(&requester, requisitions)
        } else {
            let query = Query::Share {
                asker: owner.incarnation,
                sequence,
                services: requisitions.to_vec(),
            };
            match self.links.query(holder, query, QUERY_TIMEOUT).await {
                Ok(answer) => answer,
                Err(error) => {
                    log::debug!(target: "measure", "request for shares of limits failed: {error}");
                    return None;
                }
            }
        };
        match answer {
            Answer::Share {
                services,
                valid_ms,
                settled,
            } => {
                let validity = Duration::from_millis(valid_ms).min(GRANT_VALIDITY);
                Some((services, validity, settled))
            }
            _ => None,
        }
    }

    fn recall(&self, service: &Service) {
        let subjects = Arc::clone(&self.subjects.borrow());
        let subject = subjects
            .iter()
            .find(|subject| subject.document.service == *service);
        let quotas = subject.iter().flat_map(|subject| subject.pool.quotas());
        if quotas.filter(|(_, quota)| quota.recall()).count() > 0 {
            self.recalls[Shard::of(service).index()].notify_one();
        }
    }

    fn answer(&self, requester: &Requester, requisitions: &[Requisition]) -> Answer {
        let subjects = Arc::clone(&self.subjects.borrow());
        let reply = self.holder.answer(requester, requisitions, &subjects);
        for service in reply.recalled {
            self.recall(&service);
            self.links.broadcast(&Frame::Recall { service });
        }
        reply.answer
    }
}

fn is_in(subject: &Subject, shard: Shard) -> bool {
    Shard::of(&subject.document.service) == shard
}

/// Builds the requisition for shares of a service's limits; `None` when nothing
/// is wanted or held.
fn build_requisition((service, quotas): (&Service, &Quotas)) -> Option<Requisition> {
    let limits = quotas.iter().filter_map(|(class, quota)| {
        let demand = quota.report_demand()?;
        Some(convert::demand_to_wire(class.as_ref(), demand))
    });
    let limits: Vec<Demand> = limits.collect();
    (!limits.is_empty()).then(|| Requisition {
        service: service.clone(),
        limits,
    })
}

/// Raises the quotas to this entry's part of the limits, because no holder can
/// grant shares.
fn use_fallback(requested: &HashMap<Service, Quotas>, sent: Instant) {
    for (_, quota) in requested.values().flatten() {
        quota.use_fallback(sent + GRANT_VALIDITY);
    }
}

fn evaluate(requisitions: &[Requisition], grants: &[Grant]) -> Outcome {
    if grants.len() < requisitions.len() {
        Outcome::Unanswered
    } else if grants
        .iter()
        .any(|grant| is_below(requisitions, grant, |demand| demand.want))
    {
        Outcome::Partial
    } else {
        Outcome::Sufficient
    }
}

/// Returns whether less is granted of a service's limits than was held.
fn is_reduced(requisitions: &[Requisition], grant: &Grant) -> bool {
    is_below(requisitions, grant, |demand| demand.held)
}

fn is_below(
    requisitions: &[Requisition],
    grant: &Grant,
    bound: fn(&Demand) -> carobdrift_wire::Share,
) -> bool {
    let matching = requisitions
        .iter()
        .filter(|requisition| requisition.service == grant.service);
    matching
        .flat_map(|requisition| &requisition.limits)
        .any(|demand| {
            let allocation = grant
                .limits
                .iter()
                .find(|allocation| allocation.class == demand.class);
            allocation.is_some_and(|allocation| {
                let (granted, bound) = (allocation.granted, bound(demand));
                granted.in_flight < bound.in_flight || granted.per_second < bound.per_second
            })
        })
}
