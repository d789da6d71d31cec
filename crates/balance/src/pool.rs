//! Pool of the targets of one service.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use carobdrift_document::Document;
use carobdrift_units::{Class, Instance, Service, Target, Version, Zone};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::call::{Call, Purpose, Shed};
use crate::count::Stage;
use crate::metrics::Metrics;
use crate::node::Node;
use crate::observation::{Departure, Evidence, Observation, Report, Sample};
use crate::permit::Permit;
use crate::policy::Policy;
use crate::queue::Position;
use crate::quota::Quota;
use crate::slot::Slot;
use crate::snapshot::Snapshot;
use crate::state::{Admitted, Effects, State, Ticket};

/// Largest permitted number of entries, by which fixed shares are computed.
const MAX_ENTRIES: u32 = 20;

/// Time between two looks at the queue while calls wait. Estimates decay
/// without an event that would say so.
const TICK: Duration = Duration::from_millis(1);

/// Time after which a hedge that the budget or the slots did not admit is tried
/// again.
pub const HEDGE_RETRY_PAUSE: Duration = Duration::from_millis(2);

/// Age up to which a probe sample is taken in.
const SAMPLE_VALIDITY: Duration = Duration::from_secs(1);

/// What a pool knows of its own entry.
#[derive(Debug, Clone)]
pub struct Config {
    /// Instance id of the entry.
    pub instance: Instance,
    /// Availability zone of the entry.
    pub zone: Zone,
    /// Largest permitted number of entries.
    pub max_entries: u32,
    /// Share of the limits of the service's team, over all of its services.
    pub team_quota: Option<Quota>,
    /// Receives each target that the pool marks as leaving, so that peers can
    /// be told.
    pub departures: Option<mpsc::UnboundedSender<Departure>>,
}

impl Config {
    /// An entry without team limits, of 20 at most.
    #[must_use]
    pub fn new(instance: Instance, zone: Zone) -> Self {
        Self {
            instance,
            zone,
            max_entries: MAX_ENTRIES,
            team_quota: None,
            departures: None,
        }
    }
}

/// Targets of one service with everything that this entry knows of them;
/// cheap to clone.
#[derive(Debug, Clone)]
pub struct Pool {
    shared: Arc<Shared>,
}

#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<State>,
    service: Service,
    quota: Quota,
    departures: Option<mpsc::UnboundedSender<Departure>>,
    metrics: Metrics,
}

impl Pool {
    /// Opens the pool of a document.
    #[must_use]
    pub fn new(
        document: Arc<Document>,
        version: Version,
        config: Config,
        metrics: Metrics,
    ) -> Self {
        let quota = Quota::new(document.limits.clone(), config.max_entries);
        let service = document.service.clone();
        let departures = config.departures.clone();
        let limits = quota.clone();
        let state = State::new(document, version, limits, config, metrics.clone());
        Self {
            shared: Arc::new(Shared {
                state: Mutex::new(state),
                service,
                quota,
                departures,
                metrics,
            }),
        }
    }

    /// Puts another version of the document in force. Targets that stay keep
    /// their state, requests on removed targets run to completion, and waiting
    /// calls stay in their queue. A version that is not newer is ignored.
    pub fn reload(&self, document: Arc<Document>, version: Version) {
        let limits = document.limits.clone();
        let newer = self.shared.change(|state, now, effects| {
            let newer = version > state.version;
            if newer {
                state.reload(document, version, now, effects);
            }
            newer
        });
        if newer {
            self.shared.quota.reload(limits);
            log::info!(target: "balance", "{}: version {version} is in force", self.shared.service);
        }
    }

    /// Admits a call and chooses its target. Waits until the deadline at most.
    ///
    /// # Errors
    ///
    /// Fails with the reason when the call is shed; it was not sent anywhere.
    pub async fn acquire(&self, call: &Call) -> Result<Slot, Shed> {
        let result = self.shared.acquire(call).await;
        if let Err(shed) = result {
            let service = self.shared.service.as_str();
            let labels = [service, call.class.as_str(), shed.reason()];
            self.shared.metrics.sheds.with_label_values(&labels).inc();
        }
        result
    }

    /// Takes one more target for a call and spends the budget of the purpose.
    /// `tried` names the targets of all attempts so far, the last one last. A
    /// call that must not run twice may retry only when nothing was sent.
    #[must_use]
    pub fn try_acquire(&self, call: &Call, purpose: Purpose, tried: &[Target]) -> Option<Slot> {
        let mut state = self.shared.lock();
        let now = Instant::now();
        let (ticket, permit) = state.try_acquire(call, purpose, tried, now)?;
        let node = state.nodes.get(&ticket.node)?;
        Some(self.shared.slot(ticket, node, permit))
    }

    /// Waits until a hedge of a call that was just dispatched is worth sending
    /// and possible, and takes its target. To be raced with the first attempt
    /// and dropped with it. Returns `None` when the call is not to be hedged.
    pub async fn hedge(&self, call: &Call, tried: &[Target]) -> Option<Slot> {
        tokio::time::sleep(self.hedge_delay(call)?).await;
        loop {
            if Instant::now() >= call.deadline {
                return None;
            }
            let slot = self.try_acquire(call, Purpose::Hedge, tried);
            if slot.is_some() {
                return slot;
            }
            tokio::time::sleep(HEDGE_RETRY_PAUSE).await;
        }
    }

    /// Time after the dispatch at which a hedge is worth sending; `None` when
    /// the call is not to be hedged.
    #[must_use]
    pub fn hedge_delay(&self, call: &Call) -> Option<Duration> {
        self.shared.lock().hedge_delay(call)
    }

    /// Marks a target as leaving: from now on it gets nothing new. `start` is
    /// the start id of the process that is leaving, when known. The first
    /// evidence counts and is sent to [`Config::departures`].
    pub fn mark_leaving(&self, target: &Target, evidence: Evidence, start: Option<&str>) {
        self.shared.change(|state, now, effects| {
            state.mark_leaving(target, evidence, start, None, now, effects);
        });
    }

    /// Marks a target as leaving on the word of a peer. `seen` is the document
    /// version that was in force there: the peer may be ahead of this entry, and
    /// adopting what it already had must not bring the target back.
    pub fn mark_leaving_as_of(
        &self,
        target: &Target,
        evidence: Evidence,
        start: Option<&str>,
        seen_in: Version,
    ) {
        self.shared.change(|state, now, effects| {
            state.mark_leaving(target, evidence, start, Some(seen_in), now, effects);
        });
    }

    /// Learns the start id of a target's process from the instance list.
    pub fn record_start(&self, target: &Target, start: &str) {
        self.shared.change(|state, now, _| {
            if let Some(node) = state.node_mut(target) {
                node.record_start(start, now);
            }
        });
    }

    /// Learns the result of a probe. One that is older than a second is
    /// ignored.
    pub fn record_sample(&self, sample: &Sample) {
        self.shared.change(|state, now, effects| {
            let Some(node) = state.node_mut(&sample.target) else {
                return;
            };
            let start = sample.start.as_deref();
            if start.is_some_and(|start| node.tenure.is_past(start)) {
                return;
            }
            if let Some(start) = start {
                node.record_start(start, now);
            }
            let taken = now
                .checked_sub(sample.age)
                .filter(|_| sample.age <= SAMPLE_VALIDITY);
            if let Some(taken) = taken {
                node.probe(sample.in_flight, taken);
                if sample.healthy {
                    node.health.probed(taken);
                }
            }
            if sample.draining {
                state.mark_leaving(
                    &sample.target,
                    Evidence::Response,
                    start,
                    None,
                    now,
                    effects,
                );
            }
        });
    }

    /// This entry's share of the service's limits.
    #[must_use]
    pub fn quota(&self) -> Quota {
        self.shared.quota.clone()
    }

    /// This entry's shares of the service's limits and of those of its classes
    /// that have limits.
    #[must_use]
    pub fn quotas(&self) -> Vec<(Option<Class>, Quota)> {
        let now = Instant::now();
        let mut state = self.shared.lock();
        let document = Arc::clone(&state.document);
        let classes = document.classes.iter();
        let limited = classes.filter(|c| c.max_in_flight.is_some() || c.max_per_second.is_some());
        let mut quotas = vec![(None, self.shared.quota.clone())];
        for class in limited {
            let limit = state.traffic(&class.name, now).limit.clone();
            quotas.push((Some(class.name.clone()), limit));
        }
        quotas
    }

    /// The policy in force.
    #[must_use]
    pub fn policy(&self) -> Policy {
        self.shared.lock().policy.clone()
    }

    /// The targets of the document as this entry sees them.
    #[must_use]
    pub fn snapshots(&self) -> Vec<Snapshot> {
        let now = Instant::now();
        let state = self.shared.lock();
        let listed = state.nodes.values().filter(|node| !node.retired);
        listed.map(|node| node.snapshot(now)).collect()
    }
}

impl Shared {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the state, sends the waiting calls that have become possible,
    /// and then, without the lock, does what follows from it.
    fn change<T>(
        self: &Arc<Self>,
        change: impl FnOnce(&mut State, Instant, &mut Effects) -> T,
    ) -> T {
        let now = Instant::now();
        let mut effects = Effects::default();
        let result = {
            let mut state = self.lock();
            let result = change(&mut state, now, &mut effects);
            state.dispatch(
                now,
                |ticket, node, permit| self.slot(ticket, node, permit),
                &mut effects,
            );
            if !state.queue.is_empty()
                && !state.ticking
                && let Ok(runtime) = Handle::try_current()
            {
                state.ticking = true;
                runtime.spawn(tick(Arc::downgrade(self)));
            }
            result
        };
        for (sender, answer) in effects.answers {
            // A slot that nobody receives any more gives itself back.
            drop(sender.send(answer));
        }
        if let Some(departures) = &self.departures {
            for departure in effects.departures {
                // Without a receiver the entry is stopping.
                let _ = departures.send(departure);
            }
        }
        result
    }

    /// Sends a call or lets it wait in the queue.
    pub(crate) fn admit(self: &Arc<Self>, call: &Call, stage: Stage) -> Result<Reply, Shed> {
        self.change(|state, now, _| {
            Ok(match state.admit(call, stage, now)? {
                Admitted::Sent(ticket, permit) => match state.nodes.get(&ticket.node) {
                    Some(node) => Ok(self.slot(ticket, node, permit)),
                    None => return Err(Shed::NoTarget),
                },
                Admitted::Waiting(position, receiver) => Err(Waiting {
                    shared: Arc::clone(self),
                    class: call.class.clone(),
                    position,
                    receiver,
                }),
            })
        })
    }

    async fn acquire(self: &Arc<Self>, call: &Call) -> Result<Slot, Shed> {
        let admitted = match self.admit(call, Stage::First) {
            Err(Shed::Limit(scope)) => self.wait_for_share(call, scope).await?,
            result => result?,
        };
        match admitted {
            Ok(slot) => Ok(slot),
            Err(mut waiting) => {
                match tokio::time::timeout_at(call.deadline, &mut waiting.receiver).await {
                    Ok(Ok(answer)) => answer,
                    Ok(Err(_)) | Err(_) => Err(Shed::Deadline),
                }
            }
        }
    }

    fn slot(self: &Arc<Self>, ticket: Ticket, node: &Node, permit: Permit) -> Slot {
        Slot {
            shared: Arc::clone(self),
            ticket,
            target: node.endpoint.id.clone(),
            address: node.endpoint.address,
            finished: false,
            _permit: permit,
        }
    }

    pub(crate) fn report(self: &Arc<Self>, ticket: &Ticket, report: &Report) {
        self.change(|state, now, effects| state.report(ticket, report, now, effects));
    }

    pub(crate) fn finish(self: &Arc<Self>, ticket: &Ticket, observation: Option<&Observation>) {
        self.change(|state, now, effects| state.finish(ticket, observation, now, effects));
    }
}

/// A slot, or the place of the call in the queue.
pub(crate) type Reply = Result<Slot, Waiting>;

/// A call that waits for its slot; dropping it leaves the queue.
#[derive(Debug)]
pub(crate) struct Waiting {
    shared: Arc<Shared>,
    class: Class,
    position: Position,
    receiver: oneshot::Receiver<Result<Slot, Shed>>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        // The waiter holds a permit, which is dropped after the lock.
        let _waiter = self.shared.lock().queue.remove(&self.class, self.position);
    }
}

/// Looks at the queue until nothing waits.
async fn tick(shared: Weak<Shared>) {
    loop {
        tokio::time::sleep(TICK).await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let waits = shared.change(|state, _, _| {
            state.ticking = !state.queue.is_empty();
            state.ticking
        });
        if !waits {
            return;
        }
    }
}
