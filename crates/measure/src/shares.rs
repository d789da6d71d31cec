//! Shares of limits: asked for by every entry, granted by the holder of the
//! service's shard lease.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use carobdrift_balance::{Quota, Share};
use carobdrift_membership::Links;
use carobdrift_units::{Class, Instance, Service};
use carobdrift_wire::{Answer, Demand, Frame, Grant, Query, Requirement};
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

/// Pause between two requests for the same share.
const REFRESH: Duration = Duration::from_secs(2);

/// Pause between two requests for the shares of a service without calls. Most
/// services of a large cell have none at any moment, and their requests would
/// make up nearly all bytes on the links. Three of them fit into the validity
/// of a grant.
const IDLE_REFRESH: Duration = Duration::from_secs(10);

/// Shortest pause between two requests while a share runs short or a request
/// failed. Calls wait 100 ms for the answer, so there is time for another one.
const SHORTEST_PAUSE: Duration = Duration::from_millis(10);

/// Pause up to which the shortest one doubles while nothing changes.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// Time within which a request must be answered.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Failed requests in a row after which an entry takes its part of the limits
/// itself. A single one may be a link that is being replaced.
const FAILURES: u32 = 2;

/// Services in one query, so that it fits into a frame.
const SERVICES: usize = 64;

/// Shares of the limits of all services; cheap to clone. Stops asking once the
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
    /// Wakes the task of a shard when shares of its services are recalled.
    recalls: Vec<Notify>,
}

/// What came of a request for shares.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Outcome {
    /// All that was wanted is granted.
    Sufficient,
    /// Less than what was wanted is granted.
    Partial,
    /// The holder only renews what is held.
    Unsettled,
    /// Not all services were answered.
    Unanswered,
}

/// The shares of one service.
type Quotas = Vec<(Option<Class>, Quota)>;

impl Shares {
    /// Starts to ask for shares. `max_entries` is the largest permitted number
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
            holder: Holder::open(leases.clone(), max_entries, metrics),
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

    /// Answers `Query::Share` of a peer.
    #[must_use]
    pub fn answer(&self, asker: &Requester, services: &[Demand]) -> Answer {
        self.shared.answer(asker, services)
    }

    /// Takes in `Frame::Recall` of a peer: states anew what is held of the
    /// limits of a service.
    pub fn recall(&self, service: &Service) {
        self.shared.recall(service);
    }
}

impl Shared {
    /// Asks for the shares of the services of a shard.
    async fn run(self: Arc<Self>, shard: Shard) {
        let mut subjects = self.subjects.clone();
        let alarm = Arc::new(Notify::new());
        let mut refresh = Instant::now();
        let mut pause = SHORTEST_PAUSE;
        let mut recalled = false;
        let mut failures = 0;
        // When a service without calls was last asked for. One that had calls
        // the last time states at the next round that it needs less.
        let mut asked_idle: HashMap<Service, Instant> = HashMap::new();
        loop {
            let whole = refresh <= Instant::now();
            let served: Vec<(Service, Quotas)> = {
                let subjects = subjects.borrow_and_update();
                let served = subjects.iter().filter(|s| is_in(s, shard));
                served
                    .map(|s| (s.document.service.clone(), s.pool.quotas()))
                    .collect()
            };
            let mut asking = HashMap::new();
            for (service, quotas) in served {
                for (_, quota) in &quotas {
                    quota.notify_on_shortage(&alarm);
                }
                let is_idle = quotas
                    .iter()
                    .all(|(_, a)| a.peak_usage() == Share::default());
                if !is_idle {
                    asked_idle.remove(&service);
                }
                let asked = asked_idle.get(&service);
                let is_due = asked.is_none_or(|at| *at + IDLE_REFRESH <= Instant::now());
                let is_short = quotas.iter().any(|(_, a)| a.is_short());
                if is_short || whole && is_due {
                    if is_idle {
                        asked_idle.insert(service.clone(), Instant::now());
                    }
                    asking.insert(service, quotas);
                }
            }
            let sent = Instant::now();
            let result = self.ask(shard, &asking).await;
            if result == Outcome::Unanswered {
                asked_idle.clear();
            }
            pause = match result {
                Outcome::Sufficient => SHORTEST_PAUSE,
                _ if recalled => pause,
                _ => (pause * 2).min(LONGEST_PAUSE),
            };
            failures = match result {
                Outcome::Sufficient | Outcome::Partial => 0,
                Outcome::Unsettled | Outcome::Unanswered => failures + 1,
            };
            if failures >= FAILURES {
                bridge(&asking, sent);
            }
            recalled = false;
            if result == Outcome::Unanswered {
                refresh = sent + pause;
            } else if whole {
                refresh = sent + REFRESH;
            }
            let alarmed = async {
                sleep_until(sent + pause).await;
                alarm.notified().await;
            };
            tokio::select! {
                _ = timeout_at(refresh, alarmed) => {}
                () = self.recalls[shard.index()].notified() => recalled = true,
                changed = subjects.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    refresh = Instant::now();
                    pause = SHORTEST_PAUSE;
                }
            }
        }
    }

    /// Asks the holder of a shard for shares.
    async fn ask(&self, shard: Shard, asking: &HashMap<Service, Quotas>) -> Outcome {
        let asks: Vec<Demand> = asking.iter().filter_map(state).collect();
        if asks.is_empty() {
            return Outcome::Sufficient;
        }
        let Some(holder) = self.leases.holder(shard) else {
            return Outcome::Unanswered;
        };
        let mut outcome = Outcome::Sufficient;
        for asks in asks.chunks(SERVICES) {
            let Some((grants, settled)) = self.exchange(&holder, asks, asking).await else {
                return Outcome::Unanswered;
            };
            outcome = outcome.max(judge(asks, &grants));
            if outcome == Outcome::Partial && !settled {
                outcome = Outcome::Unsettled;
            }
            // Others get what is no longer used once that is stated.
            let reduced = grants.iter().filter(|grant| is_reduced(asks, grant));
            let reduced = reduced.filter_map(|grant| asking.get_key_value(&grant.service));
            let again: Vec<Demand> = reduced.filter_map(state).collect();
            if !again.is_empty() && self.exchange(&holder, &again, asking).await.is_none() {
                return Outcome::Unanswered;
            }
        }
        outcome
    }

    /// Sends a query and takes over the grants.
    async fn exchange(
        &self,
        holder: &Instance,
        asks: &[Demand],
        asking: &HashMap<Service, Quotas>,
    ) -> Option<(Vec<Grant>, bool)> {
        let sent = Instant::now();
        let (grants, validity, settled) = self.query(holder, asks).await?;
        for grant in &grants {
            let quotas = asking.get(&grant.service);
            for (class, quota) in quotas.into_iter().flatten() {
                if let Some(part) = grant.limits.iter().find(|part| part.class == *class) {
                    quota.grant(convert::share(part.granted), sent + validity);
                }
            }
        }
        Some((grants, settled))
    }

    async fn query(
        &self,
        holder: &Instance,
        asks: &[Demand],
    ) -> Option<(Vec<Grant>, Duration, bool)> {
        let owner = self.leases.owner();
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let answer = if *holder == owner.instance {
            let asker = Requester {
                instance: owner.instance.clone(),
                incarnation: owner.incarnation,
                sequence,
            };
            self.answer(&asker, asks)
        } else {
            let query = Query::Share {
                asker: owner.incarnation,
                sequence,
                services: asks.to_vec(),
            };
            match self.links.query(holder, query, TIMEOUT).await {
                Ok(answer) => answer,
                Err(error) => {
                    log::debug!(target: "measure", "no shares of limits: {error}");
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
        let subject = subjects.iter().find(|s| s.document.service == *service);
        let quotas = subject.iter().flat_map(|s| s.pool.quotas());
        if quotas.filter(|(_, quota)| quota.recall()).count() > 0 {
            self.recalls[Shard::of(service).index()].notify_one();
        }
    }

    fn answer(&self, asker: &Requester, services: &[Demand]) -> Answer {
        let subjects = Arc::clone(&self.subjects.borrow());
        let reply = self.holder.answer(asker, services, &subjects);
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

/// What is to be asked for of the limits of a service.
fn state((service, quotas): (&Service, &Quotas)) -> Option<Demand> {
    let limits = quotas.iter().filter_map(|(class, quota)| {
        let demand = quota.report_demand()?;
        Some(convert::want(class.as_ref(), demand))
    });
    let limits: Vec<Requirement> = limits.collect();
    (!limits.is_empty()).then(|| Demand {
        service: service.clone(),
        limits,
    })
}

/// Takes this entry's part of the limits, because nobody can grant it.
fn bridge(asking: &HashMap<Service, Quotas>, sent: Instant) {
    for (_, quota) in asking.values().flatten() {
        quota.use_fallback(sent + GRANT_VALIDITY);
    }
}

fn judge(asks: &[Demand], grants: &[Grant]) -> Outcome {
    if grants.len() < asks.len() {
        Outcome::Unanswered
    } else if grants
        .iter()
        .any(|grant| is_less(asks, grant, |want| want.want))
    {
        Outcome::Partial
    } else {
        Outcome::Sufficient
    }
}

/// Whether less is granted of a service's limits than was held.
fn is_reduced(asks: &[Demand], grant: &Grant) -> bool {
    is_less(asks, grant, |want| want.held)
}

fn is_less(
    asks: &[Demand],
    grant: &Grant,
    than: fn(&Requirement) -> carobdrift_wire::Quota,
) -> bool {
    let stated = asks.iter().filter(|ask| ask.service == grant.service);
    stated.flat_map(|ask| &ask.limits).any(|want| {
        let part = grant.limits.iter().find(|part| part.class == want.class);
        part.is_some_and(|part| {
            let (granted, than) = (part.granted, than(want));
            granted.in_flight < than.in_flight || granted.per_second < than.per_second
        })
    })
}
