//! Documents and confirmations of an entry.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use carobdrift_membership::{Confirmation, Links};
use carobdrift_units::{Revision, Service, Version};
use carobdrift_wire::Replica;
use tokio::sync::watch;

use crate::edition::{Documents, Stored};
use crate::metrics::Metrics;
use crate::standing::{Own, Standing, VALIDITY};

/// Positions after a gap that are remembered. A longer run is caught up from
/// the change log.
const AHEAD_LIMIT: usize = 1_024;

/// Distance of the zero of the atomic clocks from the start; moments before it
/// are older than any confirmation that still holds.
const BEFORE_START: Duration = Duration::from_secs(10);

/// Everything that an entry knows of the documents.
#[derive(Debug)]
pub(crate) struct State {
    inner: Mutex<Inner>,
    documents: ArcSwap<Documents>,
    changes: watch::Sender<Arc<Documents>>,
    /// Changes whenever the standing may have improved.
    confirmations: watch::Sender<u64>,
    zero: Instant,
    /// Nanoseconds after `zero`; 0 for never. Read before each dispatch.
    confirmed: AtomicU64,
    /// Nanoseconds after `zero`; 0 for no outage.
    outage_until: AtomicU64,
    links: Links,
    metrics: Metrics,
}

#[derive(Debug, Default)]
struct Inner {
    stored: BTreeMap<Service, Stored>,
    /// Position up to which all changes are in force.
    revision: Revision,
    /// Positions in force after a gap.
    ahead: BTreeSet<Revision>,
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
            zero: now.checked_sub(BEFORE_START).unwrap_or(now),
            confirmed: AtomicU64::new(0),
            outage_until: AtomicU64::new(0),
            links,
            metrics,
        }
    }

    /// Takes over documents that are newer than the ones held. Returns the
    /// services and versions that came into force.
    pub(crate) fn adopt(&self, copies: Vec<Replica>, source: &str) -> Vec<(Service, Version)> {
        let newer: Vec<Replica> = {
            let inner = self.lock();
            let newer = copies.into_iter().filter(|copy| inner.lacks(copy));
            newer.collect()
        };
        // Parsed without the lock, because dispatches and pongs wait for it.
        let parsed: Vec<_> = newer
            .into_iter()
            .map(|copy| {
                let stored = Stored::parse(&copy.service, copy.version, copy.body.into());
                (copy.service, stored)
            })
            .collect();
        if parsed.is_empty() {
            return Vec::new();
        }
        let mut inner = self.lock();
        let mut adopted = Vec::new();
        let mut documents = Documents::clone(&self.documents.load());
        for (service, stored) in parsed {
            if inner.version(&service) >= stored.version {
                continue;
            }
            match &stored.held {
                Some(held) => documents.insert(service.clone(), Arc::clone(held)),
                None => documents.remove(&service),
            };
            log::info!(target: "catalog", "version {} of {service} is in force, from {source}", stored.version);
            adopted.push((service.clone(), stored.version));
            inner.stored.insert(service, stored);
        }
        let documents = Arc::new(documents);
        self.documents.store(Arc::clone(&documents));
        self.changes.send_replace(documents);
        self.metrics.count_adoptions(source, adopted.len());
        self.show(&inner);
        adopted
    }

    /// Records that a change is in force if the version that it brought is.
    pub(crate) fn mark(&self, revision: Revision, service: &Service, version: Version) {
        let mut inner = self.lock();
        if inner.version(service) < version || revision <= inner.revision {
            return;
        }
        if inner.ahead.len() < AHEAD_LIMIT {
            inner.ahead.insert(revision);
        }
        let end = inner.revision;
        self.advance(&mut inner, end);
    }

    /// Records that all changes up to a position are in force.
    pub(crate) fn reach(&self, revision: Revision) {
        let mut inner = self.lock();
        self.advance(&mut inner, revision);
    }

    fn advance(&self, inner: &mut Inner, revision: Revision) {
        let mut end = inner.revision.max(revision);
        inner.ahead.retain(|position| *position > end);
        while inner.ahead.remove(&Revision(end.0 + 1)) {
            end = Revision(end.0 + 1);
        }
        if end > inner.revision {
            inner.revision = end;
            self.show(inner);
            self.publish(inner);
        }
    }

    /// Records that the own revision was the newest at `moment`. `revision` is
    /// the one that was the newest then; nothing is recorded while it is not in
    /// force here.
    pub(crate) fn confirm(&self, moment: Instant, revision: Revision) {
        let mut inner = self.lock();
        if inner.revision < revision || inner.confirmed.is_some_and(|at| at >= moment) {
            return;
        }
        inner.confirmed = Some(moment);
        inner.recovered = true;
        self.confirmed.store(self.nanos(moment), Ordering::Release);
        self.publish(&inner);
        self.confirmations.send_modify(|count| *count += 1);
    }

    /// Records that the documents were complete at some moment since the start.
    pub(crate) fn set_recovered(&self) {
        let mut inner = self.lock();
        inner.recovered = true;
        self.publish(&inner);
    }

    /// Records whether the last call to the table succeeded. Returns whether
    /// that is news.
    pub(crate) fn set_store_reachable(&self, reachable: bool) -> bool {
        let mut inner = self.lock();
        let changed = inner.store_reachable != reachable;
        inner.store_reachable = reachable;
        self.publish(&inner);
        changed
    }

    /// Sets the moment until which the standing `Outage` holds.
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
        if confirmed > 0 && age <= VALIDITY {
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

    pub(crate) fn own(&self) -> Own {
        let inner = self.lock();
        Own {
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

    /// The newest known version of a document as it was accepted.
    pub(crate) fn copy(&self, service: &Service) -> Option<Replica> {
        let inner = self.lock();
        inner.stored.get(service).map(|stored| Replica {
            service: service.clone(),
            version: stored.version,
            body: stored.body.to_string(),
        })
    }

    pub(crate) fn version(&self, service: &Service) -> Version {
        self.lock().version(service)
    }

    /// Whether the newest version of a document can't be parsed.
    pub(crate) fn is_unreadable(&self, service: &Service) -> bool {
        let inner = self.lock();
        inner
            .stored
            .get(service)
            .is_some_and(|stored| stored.held.is_none())
    }

    /// The revision, the versions of all services, and those that can't be
    /// parsed.
    pub(crate) fn versions(&self) -> (Revision, Vec<(Service, Version)>, Vec<Service>) {
        let inner = self.lock();
        let versions = inner
            .stored
            .iter()
            .map(|(service, stored)| (service.clone(), stored.version));
        let unreadable = inner
            .stored
            .iter()
            .filter(|(_, stored)| stored.held.is_none())
            .map(|(service, _)| service.clone());
        (inner.revision, versions.collect(), unreadable.collect())
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// States the confirmation to peers; called under the lock, so that an
    /// older statement never replaces a newer one.
    fn publish(&self, inner: &Inner) {
        self.links.publish_confirmation(Confirmation {
            revision: inner.revision,
            at: inner.confirmed,
            store_reachable: inner.store_reachable,
            recovered: inner.recovered,
        });
    }

    fn show(&self, inner: &Inner) {
        let unreadable = inner.stored.values().filter(|stored| stored.held.is_none());
        let unreadable = unreadable.count();
        let documents = inner.stored.len() - unreadable;
        self.metrics
            .show_documents(documents, unreadable, inner.revision.0);
    }

    fn nanos(&self, moment: Instant) -> u64 {
        let since = moment.saturating_duration_since(self.zero);
        u64::try_from(since.as_nanos()).unwrap_or(u64::MAX)
    }
}

impl Inner {
    fn version(&self, service: &Service) -> Version {
        self.stored
            .get(service)
            .map_or(Version::NONE, |stored| stored.version)
    }

    fn lacks(&self, copy: &Replica) -> bool {
        self.version(&copy.service) < copy.version
    }
}
