//! Pool of the targets of one service.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use carobdrift_document::Document;
use carobdrift_units::{Class, Instance, Service, Target, Version, Zone};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::call::{Call, Purpose, Shed};
use crate::candidate::Candidate;
use crate::metrics::Metrics;
use crate::observation::{Departure, Evidence, Observation, Report, Sample};
use crate::permit::Permit;
use crate::policy::Policy;
use crate::queue::Position;
use crate::quota::Quota;
use crate::slot::Slot;
use crate::snapshot::Snapshot;
use crate::state::{Admitted, Effects, State, Ticket};
use crate::usage::Stage;

/// Largest permitted number of entries, from which the fixed shares are
/// computed.
const MAX_ENTRIES: u32 = 20;

/// Interval at which the queue is checked while calls wait. The check is needed
/// because the estimates of other entries' requests decay over time, so a slot
/// can become free without an event.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Pause before a hedge is tried again if the budget or a lack of free slots
/// prevented it.
pub const HEDGE_RETRY_PAUSE: Duration = Duration::from_millis(2);

/// Greatest age of a probe sample that is accepted.
const SAMPLE_VALIDITY: Duration = Duration::from_secs(1);

/// Settings of a pool that come from its own entry.
#[derive(Debug, Clone)]
pub struct Config {
    /// Instance id of the entry.
    pub instance: Instance,
    /// Availability zone of the entry.
    pub zone: Zone,
    /// Largest permitted number of entries.
    pub max_entries: u32,
    /// Quota for the limits of the service's team, shared by all services of
    /// the team.
    pub team_quota: Option<Quota>,
    /// Channel that receives each target that the pool marks as leaving, so
    /// that the peers can be notified.
    pub departures: Option<mpsc::UnboundedSender<Departure>>,
}

impl Config {
    /// Creates settings without team limits, for at most 20 entries.
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

/// Pool of the targets of one service, with the state that this entry keeps of
/// them; cheap to clone.
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
    /// Creates a pool for a document.
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
        let service_quota = quota.clone();
        let state = State::new(document, version, service_quota, config, metrics.clone());
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

    /// Applies another version of the document. Targets that remain keep their
    /// state, requests on removed targets run to completion, and queued calls
    /// remain queued. A version that is not newer is ignored.
    pub fn reload(&self, document: Arc<Document>, version: Version) {
        let limits = document.limits.clone();
        let is_newer = self.shared.change(|state, now, effects| {
            let is_newer = version > state.version;
            if is_newer {
                state.reload(document, version, now, effects);
            }
            is_newer
        });
        if is_newer {
            self.shared.quota.reload(limits);
            log::info!(target: "balance", "{}: version {version} is in force", self.shared.service);
        }
    }

    /// Admits a call and selects its target. Waits for a free slot until the
    /// deadline at most.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the call is shed. The request was not sent to
    /// any target.
    pub async fn acquire(&self, call: &Call) -> Result<Slot, Shed> {
        let result = self.shared.acquire(call).await;
        if let Err(shed) = result {
            let service = self.shared.service.as_str();
            let labels = [service, call.class.as_str(), shed.reason()];
            self.shared.metrics.sheds.with_label_values(&labels).inc();
        }
        result
    }

    /// Selects a target for an additional attempt and spends the budget of the
    /// purpose. `tried` lists the targets of all attempts so far, the latest
    /// one last. The caller must not retry a non-idempotent call after its
    /// request was sent.
    #[must_use]
    pub fn try_acquire(&self, call: &Call, purpose: Purpose, tried: &[Target]) -> Option<Slot> {
        let mut state = self.shared.lock();
        let now = Instant::now();
        let (ticket, permit) = state.try_acquire(call, purpose, tried, now)?;
        let candidate = state.candidates.get(&ticket.candidate)?;
        Some(self.shared.slot(ticket, candidate, permit))
    }

    /// Waits until a hedge of a call is due and possible, and acquires its
    /// slot. The caller starts the future right after the dispatch of the first
    /// attempt, races the two, and drops the future when the first attempt
    /// ends. Returns `None` when the call is not hedged or its deadline has
    /// passed.
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

    /// Returns the time after the dispatch at which a hedge is due; `None` when
    /// the call is not hedged or its class has too few samples.
    #[must_use]
    pub fn hedge_delay(&self, call: &Call) -> Option<Duration> {
        self.shared.lock().hedge_delay(call)
    }

    /// Marks a target as leaving, so that it gets no further requests. `start`
    /// is the start id of the process that is leaving, if known. The first
    /// evidence is kept and sent to [`Config::departures`].
    pub fn mark_leaving(&self, target: &Target, evidence: Evidence, start: Option<&str>) {
        self.shared.change(|state, now, effects| {
            state.mark_leaving(target, evidence, start, None, now, effects);
        });
    }

    /// Marks a target as leaving because a peer reported it. `seen_in` is the
    /// document version that was in force at the peer. The peer may be ahead of
    /// this entry, and the target must not return when this entry applies a
    /// version that the peer already had.
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

    /// Records the start id of a target's process from the instance list.
    pub fn record_start(&self, target: &Target, start: &str) {
        self.shared.change(|state, now, _| {
            if let Some(candidate) = state.candidate_mut(target) {
                candidate.record_start(start, now);
            }
        });
    }

    /// Records the result of a probe. The load and health of a sample older
    /// than one second are ignored.
    pub fn record_sample(&self, sample: &Sample) {
        self.shared.change(|state, now, effects| {
            let Some(candidate) = state.candidate_mut(&sample.target) else {
                return;
            };
            let start = sample.start.as_deref();
            if start.is_some_and(|start| candidate.lifecycle.has_ended(start)) {
                return;
            }
            if let Some(start) = start {
                candidate.record_start(start, now);
            }
            let taken = now
                .checked_sub(sample.age)
                .filter(|_| sample.age <= SAMPLE_VALIDITY);
            if let Some(taken) = taken {
                candidate.record_sample(sample.in_flight, taken);
                if sample.healthy {
                    candidate.health.record_healthy_probe(taken);
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

    /// Returns this entry's quota for the limits of the service.
    #[must_use]
    pub fn quota(&self) -> Quota {
        self.shared.quota.clone()
    }

    /// Returns this entry's quotas for the limits of the service and of each
    /// class that has limits.
    #[must_use]
    pub fn quotas(&self) -> Vec<(Option<Class>, Quota)> {
        let now = Instant::now();
        let mut state = self.shared.lock();
        let document = Arc::clone(&state.document);
        let classes = document.classes.iter();
        let limited =
            classes.filter(|class| class.max_in_flight.is_some() || class.max_per_second.is_some());
        let mut quotas = vec![(None, self.shared.quota.clone())];
        for class in limited {
            let quota = state.class_state(&class.name, now).quota.clone();
            quotas.push((Some(class.name.clone()), quota));
        }
        quotas
    }

    /// Returns the policy in force.
    #[must_use]
    pub fn policy(&self) -> Policy {
        self.shared.lock().policy.clone()
    }

    /// Returns a snapshot of each target in the document.
    #[must_use]
    pub fn snapshots(&self) -> Vec<Snapshot> {
        let now = Instant::now();
        let state = self.shared.lock();
        let listed = state
            .candidates
            .values()
            .filter(|candidate| !candidate.retired);
        listed.map(|candidate| candidate.snapshot(now)).collect()
    }
}

impl Shared {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the state under the lock and sends queued calls that have become
    /// possible. The effects are carried out after the lock is released.
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
                |ticket, candidate, permit| self.slot(ticket, candidate, permit),
                &mut effects,
            );
            if !state.queue.is_empty()
                && !state.polling
                && let Ok(runtime) = Handle::try_current()
            {
                state.polling = true;
                runtime.spawn(poll_queue(Arc::downgrade(self)));
            }
            result
        };
        for (sender, answer) in effects.replies {
            // Dropping a slot whose receiver is gone releases it.
            drop(sender.send(answer));
        }
        if let Some(departures) = &self.departures {
            for departure in effects.departures {
                // The receiver is gone only while the entry stops.
                let _ = departures.send(departure);
            }
        }
        result
    }

    /// Sends a call to a target or queues it.
    pub(crate) fn admit(self: &Arc<Self>, call: &Call, stage: Stage) -> Result<Admission, Shed> {
        self.change(|state, now, _| {
            Ok(match state.admit(call, stage, now)? {
                Admitted::Sent(ticket, permit) => match state.candidates.get(&ticket.candidate) {
                    Some(candidate) => Ok(self.slot(ticket, candidate, permit)),
                    None => return Err(Shed::NoTarget),
                },
                Admitted::Queued(position, receiver) => Err(Pending {
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
            Err(mut pending) => {
                match tokio::time::timeout_at(call.deadline, &mut pending.receiver).await {
                    Ok(Ok(answer)) => answer,
                    Ok(Err(_)) | Err(_) => Err(Shed::Deadline),
                }
            }
        }
    }

    fn slot(self: &Arc<Self>, ticket: Ticket, candidate: &Candidate, permit: Permit) -> Slot {
        Slot {
            shared: Arc::clone(self),
            ticket,
            target: candidate.endpoint.id.clone(),
            address: candidate.endpoint.address,
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

/// Slot, or the queued call that waits for one.
pub(crate) type Admission = Result<Slot, Pending>;

/// Queued call. Dropping `Pending` removes the call from the queue.
#[derive(Debug)]
pub(crate) struct Pending {
    shared: Arc<Shared>,
    class: Class,
    position: Position,
    receiver: oneshot::Receiver<Result<Slot, Shed>>,
}

impl Drop for Pending {
    fn drop(&mut self) {
        // The waiter holds a permit, which must be dropped after the lock.
        let _waiter = self.shared.lock().queue.remove(&self.class, self.position);
    }
}

/// Sends queued calls at each interval until the queue is empty.
async fn poll_queue(shared: Weak<Shared>) {
    loop {
        tokio::time::sleep(QUEUE_POLL_INTERVAL).await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let has_waiters = shared.change(|state, _, _| {
            state.polling = !state.queue.is_empty();
            state.polling
        });
        if !has_waiters {
            return;
        }
    }
}
