//! State of the catalog: documents, change log position and confirmation.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use carobdrift_membership::{Confirmation, Links};
use carobdrift_units::{Revision, Service, Version};
use carobdrift_wire::Replica;
use tokio::sync::watch;

use crate::edition::{Documents, Record};
use crate::metrics::Metrics;
use crate::standing::{CONFIRMATION_VALIDITY, Snapshot, Standing};

/// Largest number of change log positions kept in [`Inner::out_of_order`]. Any
/// further ones are read from the change log by the next poll.
const MAX_OUT_OF_ORDER_REVISIONS: usize = 1_024;

/// Time by which the epoch of the atomic timestamps precedes the start. It exceeds
/// the validity of a confirmation, so a confirmation from before the epoch has
/// expired.
const EPOCH_OFFSET: Duration = Duration::from_secs(10);

/// State of the documents of an entry.
#[derive(Debug)]
pub(crate) struct State {
    inner: Mutex<Inner>,
    /// Documents in force, readable without the lock.
    documents: ArcSwap<Documents>,
    changes: watch::Sender<Arc<Documents>>,
    /// Counter that is incremented whenever the standing may have improved.
    confirmations: watch::Sender<u64>,
    epoch: Instant,
    /// Time of the newest confirmation in nanoseconds after `epoch`; 0 if there is
    /// none. Atomic because it is read before each dispatch.
    confirmed: AtomicU64,
    /// End of the standing `Outage` in nanoseconds after `epoch`; 0 without an
    /// outage.
    outage_until: AtomicU64,
    links: Links,
    metrics: Metrics,
}

/// State that is protected by the lock.
#[derive(Debug, Default)]
struct Inner {
    records: BTreeMap<Service, Record>,
    /// Position in the change log up to which all changes are in force.
    revision: Revision,
    /// Later positions whose changes are in force although earlier ones are
    /// missing.
    out_of_order: BTreeSet<Revision>,
    confirmed: Option<Instant>,
    store_reachable: bool,
    recovered: bool,
}

impl State {
    pub(crate) fn new(links: Links, metrics: Metrics) -> Self {
        let now = Instant::now();
        Self {
            inner: Mutex::default(),
            documents: ArcSwap::default(),
            changes: watch::Sender::new(Arc::default()),
            confirmations: watch::Sender::new(0),
            epoch: now.checked_sub(EPOCH_OFFSET).unwrap_or(now),
            confirmed: AtomicU64::new(0),
            outage_until: AtomicU64::new(0),
            links,
            metrics,
        }
    }

    /// Stores the replicas that are newer than the stored ones. Returns the
    /// services and versions that were stored.
    pub(crate) fn adopt(&self, replicas: Vec<Replica>, source: &str) -> Vec<(Service, Version)> {
        let newer: Vec<Replica> = {
            let inner = self.lock();
            let newer = replicas
                .into_iter()
                .filter(|replica| inner.is_newer(replica));
            newer.collect()
        };
        // Parsed without holding the lock, because dispatches and pongs wait for
        // it.
        let parsed: Vec<_> = newer
            .into_iter()
            .map(|replica| {
                let record = Record::parse(&replica.service, replica.version, replica.body.into());
                (replica.service, record)
            })
            .collect();
        if parsed.is_empty() {
            return Vec::new();
        }
        let mut inner = self.lock();
        let mut adopted = Vec::new();
        let mut documents = Documents::clone(&self.documents.load());
        for (service, record) in parsed {
            if inner.version(&service) >= record.version {
                continue;
            }
            match &record.edition {
                Some(edition) => documents.insert(service.clone(), Arc::clone(edition)),
                None => documents.remove(&service),
            };
            log::info!(target: "catalog", "version {} of {service} is stored, source {source}", record.version);
            adopted.push((service.clone(), record.version));
            inner.records.insert(service, record);
        }
        let documents = Arc::new(documents);
        self.documents.store(Arc::clone(&documents));
        self.changes.send_replace(documents);
        self.metrics.count_adoptions(source, adopted.len());
        self.update_metrics(&inner);
        adopted
    }

    /// Records that the change at a position is in force, provided that its version
    /// or a newer one is stored.
    pub(crate) fn record_change(&self, revision: Revision, service: &Service, version: Version) {
        let mut inner = self.lock();
        if inner.version(service) < version || revision <= inner.revision {
            return;
        }
        if inner.out_of_order.len() < MAX_OUT_OF_ORDER_REVISIONS {
            inner.out_of_order.insert(revision);
        }
        let current = inner.revision;
        self.advance(&mut inner, current);
    }

    /// Records that all changes up to a position are in force.
    pub(crate) fn advance_to(&self, revision: Revision) {
        let mut inner = self.lock();
        self.advance(&mut inner, revision);
    }

    /// Advances to a position and then over the changes that directly follow it.
    fn advance(&self, inner: &mut Inner, revision: Revision) {
        let mut end = inner.revision.max(revision);
        inner.out_of_order.retain(|position| *position > end);
        while inner.out_of_order.remove(&Revision(end.0 + 1)) {
            end = Revision(end.0 + 1);
        }
        if end > inner.revision {
            inner.revision = end;
            self.update_metrics(inner);
            self.publish(inner);
        }
    }

    /// Records that `revision` was the newest one at `time`, which confirms the
    /// documents. Nothing is recorded if this entry has not reached `revision` or
    /// has a confirmation of that time or later.
    pub(crate) fn confirm(&self, time: Instant, revision: Revision) {
        let mut inner = self.lock();
        if inner.revision < revision || inner.confirmed.is_some_and(|at| at >= time) {
            return;
        }
        inner.confirmed = Some(time);
        inner.recovered = true;
        self.confirmed.store(self.nanos(time), Ordering::Release);
        self.publish(&inner);
        self.confirmations.send_modify(|count| *count += 1);
    }

    /// Records that this entry has had every accepted document at some time since
    /// its start.
    pub(crate) fn set_recovered(&self) {
        let mut inner = self.lock();
        inner.recovered = true;
        self.publish(&inner);
    }

    /// Records whether the last call to the table succeeded. Returns whether the
    /// value changed.
    pub(crate) fn set_store_reachable(&self, reachable: bool) -> bool {
        let mut inner = self.lock();
        let changed = inner.store_reachable != reachable;
        inner.store_reachable = reachable;
        self.publish(&inner);
        changed
    }

    /// Sets the time until which the standing is `Outage`.
    pub(crate) fn set_outage(&self, until: Option<Instant>) {
        let nanos = until.map_or(0, |until| self.nanos(until));
        let before = self.outage_until.swap(nanos, Ordering::AcqRel);
        if nanos > before {
            self.confirmations.send_modify(|count| *count += 1);
        }
    }

    pub(crate) fn standing(&self) -> Standing {
        let now = self.nanos(Instant::now());
        let confirmed = self.confirmed.load(Ordering::Acquire);
        let age = Duration::from_nanos(now.saturating_sub(confirmed));
        if confirmed > 0 && age <= CONFIRMATION_VALIDITY {
            Standing::Confirmed { age }
        } else if now < self.outage_until.load(Ordering::Acquire) {
            Standing::Outage
        } else {
            Standing::Unconfirmed
        }
    }

    pub(crate) fn confirmed(&self) -> Option<Instant> {
        self.lock().confirmed
    }

    pub(crate) fn snapshot(&self) -> Snapshot {
        let inner = self.lock();
        Snapshot {
            revision: inner.revision,
            store_reachable: inner.store_reachable,
            recovered: inner.recovered,
        }
    }

    pub(crate) fn documents(&self) -> Arc<Documents> {
        self.documents.load_full()
    }

    pub(crate) fn watch_documents(&self) -> watch::Receiver<Arc<Documents>> {
        self.changes.subscribe()
    }

    pub(crate) fn watch_confirmations(&self) -> watch::Receiver<u64> {
        self.confirmations.subscribe()
    }

    /// Returns the newest known version of a document in the form in which it was
    /// accepted.
    pub(crate) fn replica(&self, service: &Service) -> Option<Replica> {
        let inner = self.lock();
        inner.records.get(service).map(|record| Replica {
            service: service.clone(),
            version: record.version,
            body: record.body.to_string(),
        })
    }

    pub(crate) fn version(&self, service: &Service) -> Version {
        self.lock().version(service)
    }

    /// Returns whether the newest known version of a document can't be parsed.
    pub(crate) fn is_unreadable(&self, service: &Service) -> bool {
        let inner = self.lock();
        inner
            .records
            .get(service)
            .is_some_and(|record| record.edition.is_none())
    }

    /// Returns the revision, the newest known version of each service, and the
    /// services whose version can't be parsed.
    pub(crate) fn versions(&self) -> (Revision, Vec<(Service, Version)>, Vec<Service>) {
        let inner = self.lock();
        let versions = inner
            .records
            .iter()
            .map(|(service, record)| (service.clone(), record.version));
        let unreadable = inner
            .records
            .iter()
            .filter(|(_, record)| record.edition.is_none())
            .map(|(service, _)| service.clone());
        (inner.revision, versions.collect(), unreadable.collect())
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes the confirmation to the peers. Called with the lock held, so that
    /// an older confirmation never replaces a newer one.
    fn publish(&self, inner: &Inner) {
        self.links.publish_confirmation(Confirmation {
            revision: inner.revision,
            at: inner.confirmed,
            store_reachable: inner.store_reachable,
            recovered: inner.recovered,
        });
    }

    fn update_metrics(&self, inner: &Inner) {
        let unreadable = inner
            .records
            .values()
            .filter(|record| record.edition.is_none());
        let unreadable = unreadable.count();
        let documents = inner.records.len() - unreadable;
        self.metrics
            .set_documents(documents, unreadable, inner.revision.0);
    }

    /// Returns a time in nanoseconds after the epoch.
    fn nanos(&self, time: Instant) -> u64 {
        let since = time.saturating_duration_since(self.epoch);
        u64::try_from(since.as_nanos()).unwrap_or(u64::MAX)
    }
}

impl Inner {
    fn version(&self, service: &Service) -> Version {
        self.records
            .get(service)
            .map_or(Version::NONE, |record| record.version)
    }

    fn is_newer(&self, replica: &Replica) -> bool {
        self.version(&replica.service) < replica.version
    }
}
