//! Active services: the document, target pool and connections of each.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use carobdrift_balance::{Config, Pool, Quota};
use carobdrift_catalog::{Catalog, Edition, Standing};
use carobdrift_document::Document;
use carobdrift_units::{Class, Service, Team, Version};

use crate::metrics::{Latencies, Metrics};
use crate::upstream::Upstream;

/// Future that resolves to the standing after a wait for confirmation.
pub type Confirmation = Pin<Box<dyn Future<Output = Standing> + Send>>;

/// Source of the documents in force on this entry.
pub trait Documents: fmt::Debug + Send + Sync {
    /// Returns the edition of a service's document that is in force.
    fn edition(&self, service: &Service) -> Option<Arc<Edition>>;

    /// Returns the standing, which decides whether calls may be dispatched.
    fn standing(&self) -> Standing;

    /// Returns whether the service has a document whose format this build
    /// cannot read.
    fn is_unreadable(&self, service: &Service) -> bool;

    /// Waits at most `max_wait` until calls may be dispatched, and returns the
    /// standing.
    fn wait_for_confirmation(&self, max_wait: Duration) -> Confirmation;
}

impl Documents for Catalog {
    fn edition(&self, service: &Service) -> Option<Arc<Edition>> {
        Self::edition(self, service)
    }

    fn standing(&self) -> Standing {
        Self::standing(self)
    }

    fn is_unreadable(&self, service: &Service) -> bool {
        Self::is_unreadable(self, service)
    }

    fn wait_for_confirmation(&self, max_wait: Duration) -> Confirmation {
        let catalog = self.clone();
        Box::pin(async move { Self::wait_for_confirmation(&catalog, max_wait).await })
    }
}

/// Set of the active services. Clones share the same services.
#[derive(Debug, Clone)]
pub struct Services {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    documents: Arc<dyn Documents>,
    config: Config,
    team_quotas: BTreeMap<Team, Quota>,
    balance_metrics: carobdrift_balance::Metrics,
    metrics: Metrics,
    active: RwLock<HashMap<Service, Arc<ActiveService>>>,
}

/// Active service, with one version of its document.
#[derive(Debug)]
pub(crate) struct ActiveService {
    pub(crate) document: Arc<Document>,
    pub(crate) version: Version,
    pub(crate) pool: Pool,
    upstreams: RwLock<HashMap<SocketAddr, Arc<Upstream>>>,
    latencies: HashMap<Class, Latencies>,
}

impl Services {
    /// Creates the services of an entry. `team_quotas` contains this entry's
    /// quotas of the team limits.
    #[must_use]
    pub fn new(
        documents: Arc<dyn Documents>,
        config: Config,
        team_quotas: BTreeMap<Team, Quota>,
        balance_metrics: carobdrift_balance::Metrics,
        metrics: Metrics,
    ) -> Self {
        Self {
            inner: Arc::new(Inner {
                documents,
                config,
                team_quotas,
                balance_metrics,
                metrics,
                active: RwLock::default(),
            }),
        }
    }

    /// Returns the target pool of a service, with the document in force.
    #[must_use]
    pub fn pool(&self, service: &Service) -> Option<Pool> {
        self.active(service).map(|active| active.pool.clone())
    }

    /// Returns, for each service, the number of requests whose response has
    /// ended since the start of the process.
    #[must_use]
    pub fn call_counts(&self) -> Vec<(Service, u64)> {
        let active = self
            .inner
            .active
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        let calls = active.iter().map(|(service, active)| {
            let counts = active.latencies.values();
            let ended = counts
                .map(|latencies| latencies.requests.get_sample_count())
                .sum();
            (service.clone(), ended)
        });
        calls.collect()
    }

    pub(crate) fn documents(&self) -> &dyn Documents {
        &*self.inner.documents
    }

    pub(crate) fn metrics(&self) -> &Metrics {
        &self.inner.metrics
    }

    /// Returns the service with the document in force.
    pub(crate) fn active(&self, service: &Service) -> Option<Arc<ActiveService>> {
        let edition = self.inner.documents.edition(service)?;
        {
            let active = self
                .inner
                .active
                .read()
                .unwrap_or_else(PoisonError::into_inner);
            if let Some(current) = active.get(service)
                && current.version >= edition.version
            {
                return Some(Arc::clone(current));
            }
        }
        Some(self.activate(service, &edition))
    }

    /// Closes connections to targets that were idle for too long.
    pub(crate) fn close_expired_connections(&self) {
        let active = self
            .inner
            .active
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        for active in active.values() {
            let upstreams = active
                .upstreams
                .read()
                .unwrap_or_else(PoisonError::into_inner);
            for upstream in upstreams.values() {
                upstream.close_expired();
            }
        }
    }

    /// Activates a version of a service, unless this version or a newer one is
    /// already active.
    fn activate(&self, service: &Service, edition: &Edition) -> Arc<ActiveService> {
        let inner = &self.inner;
        let mut active = inner.active.write().unwrap_or_else(PoisonError::into_inner);
        let document = Arc::clone(&edition.document);
        let version = edition.version;
        let (pool, upstreams) = match active.get(service) {
            Some(current) if current.version >= version => return Arc::clone(current),
            Some(current) => {
                current.pool.reload(Arc::clone(&document), version);
                (current.pool.clone(), current.retained_upstreams(&document))
            }
            None => {
                let mut config = inner.config.clone();
                config.team_quota = inner.team_quotas.get(&document.team).cloned();
                let metrics = inner.balance_metrics.clone();
                let pool = Pool::new(Arc::clone(&document), version, config, metrics);
                (pool, HashMap::new())
            }
        };
        let latencies = document.classes.iter().map(|class| {
            let latencies = inner
                .metrics
                .latencies(service.as_str(), class.name.as_str());
            (class.name.clone(), latencies)
        });
        let new = Arc::new(ActiveService {
            latencies: latencies.collect(),
            document,
            version,
            pool,
            upstreams: RwLock::new(upstreams),
        });
        active.insert(service.clone(), Arc::clone(&new));
        new
    }
}

impl ActiveService {
    /// Returns the connection pool of the target at `address`.
    pub(crate) fn upstream(&self, address: SocketAddr) -> Arc<Upstream> {
        let upstreams = self
            .upstreams
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(upstream) = upstreams.get(&address) {
            return Arc::clone(upstream);
        }
        drop(upstreams);
        let mut upstreams = self
            .upstreams
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let upstream = upstreams
            .entry(address)
            .or_insert_with(|| Upstream::new(address, self.document.connections.clone()));
        Arc::clone(upstream)
    }

    pub(crate) fn latencies(&self, class: &Class) -> Option<&Latencies> {
        self.latencies.get(class)
    }

    /// Returns the connection pools that the next version of the document
    /// keeps. The connections of the other pools close once their exchanges
    /// have ended.
    fn retained_upstreams(&self, next: &Document) -> HashMap<SocketAddr, Arc<Upstream>> {
        let upstreams = self
            .upstreams
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        let kept = upstreams.iter().filter(|(address, upstream)| {
            let listed = next
                .targets
                .iter()
                .any(|target| target.address == **address);
            listed && *upstream.settings() == next.connections
        });
        kept.map(|(address, upstream)| (*address, Arc::clone(upstream)))
            .collect()
    }
}
