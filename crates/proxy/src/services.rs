//! Services in force: document, pool and connections of each.

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

/// A standing that is awaited.
pub type Confirmation = Pin<Box<dyn Future<Output = Standing> + Send>>;

/// The documents in force at this entry.
pub trait Documents: fmt::Debug + Send + Sync {
    /// Document in force of a service.
    fn held(&self, service: &Service) -> Option<Arc<Edition>>;

    /// Whether calls may be dispatched now.
    fn standing(&self) -> Standing;

    /// Whether the service's document has a form that this build can't read.
    fn is_unreadable(&self, service: &Service) -> bool;

    /// Waits at most `max_wait` until calls may be dispatched.
    fn confirm(&self, max_wait: Duration) -> Confirmation;
}

impl Documents for Catalog {
    fn held(&self, service: &Service) -> Option<Arc<Edition>> {
        Self::edition(self, service)
    }

    fn standing(&self) -> Standing {
        Self::standing(self)
    }

    fn is_unreadable(&self, service: &Service) -> bool {
        Self::is_unreadable(self, service)
    }

    fn confirm(&self, max_wait: Duration) -> Confirmation {
        let catalog = self.clone();
        Box::pin(async move { Self::wait_for_confirmation(&catalog, max_wait).await })
    }
}

/// Services in force; cheap to clone.
#[derive(Debug, Clone)]
pub struct Services {
    core: Arc<Core>,
}

#[derive(Debug)]
struct Core {
    documents: Arc<dyn Documents>,
    local: Config,
    teams: BTreeMap<Team, Quota>,
    balance: carobdrift_balance::Metrics,
    metrics: Metrics,
    served: RwLock<HashMap<Service, Arc<Served>>>,
}

/// One version of a service in force.
#[derive(Debug)]
pub(crate) struct Served {
    pub(crate) document: Arc<Document>,
    pub(crate) version: Version,
    pub(crate) pool: Pool,
    upstreams: RwLock<HashMap<SocketAddr, Arc<Upstream>>>,
    latencies: HashMap<Class, Latencies>,
}

impl Services {
    /// Opens the services of an entry. `teams` holds the shares of the limits
    /// of teams.
    #[must_use]
    pub fn new(
        documents: Arc<dyn Documents>,
        local: Config,
        teams: BTreeMap<Team, Quota>,
        balance: carobdrift_balance::Metrics,
        metrics: Metrics,
    ) -> Self {
        Self {
            core: Arc::new(Core {
                documents,
                local,
                teams,
                balance,
                metrics,
                served: RwLock::default(),
            }),
        }
    }

    /// The pool of a service, with the document in force.
    #[must_use]
    pub fn pool(&self, service: &Service) -> Option<Pool> {
        self.serve(service).map(|served| served.pool.clone())
    }

    /// Requests of each service that have ended since the start.
    #[must_use]
    pub fn call_counts(&self) -> Vec<(Service, u64)> {
        let served = self
            .core
            .served
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        let calls = served.iter().map(|(service, served)| {
            let counts = served.latencies.values();
            let ended = counts
                .map(|latencies| latencies.requests.get_sample_count())
                .sum();
            (service.clone(), ended)
        });
        calls.collect()
    }

    pub(crate) fn documents(&self) -> &dyn Documents {
        &*self.core.documents
    }

    pub(crate) fn metrics(&self) -> &Metrics {
        &self.core.metrics
    }

    /// The service with the document in force.
    pub(crate) fn serve(&self, service: &Service) -> Option<Arc<Served>> {
        let held = self.core.documents.held(service)?;
        {
            let served = self
                .core
                .served
                .read()
                .unwrap_or_else(PoisonError::into_inner);
            if let Some(found) = served.get(service)
                && found.version >= held.version
            {
                return Some(Arc::clone(found));
            }
        }
        Some(self.put(service, &held))
    }

    /// Closes connections that were idle for too long.
    pub(crate) fn sweep(&self) {
        let served = self
            .core
            .served
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        for served in served.values() {
            let upstreams = served
                .upstreams
                .read()
                .unwrap_or_else(PoisonError::into_inner);
            for upstream in upstreams.values() {
                upstream.sweep();
            }
        }
    }

    /// Puts a version in force unless a newer one is.
    fn put(&self, service: &Service, held: &Edition) -> Arc<Served> {
        let core = &self.core;
        let mut served = core.served.write().unwrap_or_else(PoisonError::into_inner);
        let document = Arc::clone(&held.document);
        let version = held.version;
        let (pool, upstreams) = match served.get(service) {
            Some(found) if found.version >= version => return Arc::clone(found),
            Some(found) => {
                found.pool.reload(Arc::clone(&document), version);
                (found.pool.clone(), found.keep_upstreams(&document))
            }
            None => {
                let mut local = core.local.clone();
                local.team_quota = core.teams.get(&document.team).cloned();
                let metrics = core.balance.clone();
                let pool = Pool::new(Arc::clone(&document), version, local, metrics);
                (pool, HashMap::new())
            }
        };
        let latencies = document.classes.iter().map(|class| {
            let latencies = core
                .metrics
                .latencies(service.as_str(), class.name.as_str());
            (class.name.clone(), latencies)
        });
        let new = Arc::new(Served {
            latencies: latencies.collect(),
            document,
            version,
            pool,
            upstreams: RwLock::new(upstreams),
        });
        served.insert(service.clone(), Arc::clone(&new));
        new
    }
}

impl Served {
    /// Connections to a target.
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

    /// Connections that the next version of the document keeps. The others are
    /// closed once their exchanges have ended.
    fn keep_upstreams(&self, next: &Document) -> HashMap<SocketAddr, Arc<Upstream>> {
        let upstreams = self
            .upstreams
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        let kept = upstreams.iter().filter(|(address, upstream)| {
            let listed = next
                .targets
                .iter()
                .any(|target| target.address == **address);
            listed && *upstream.rules() == next.connections
        });
        kept.map(|(address, upstream)| (*address, Arc::clone(upstream)))
            .collect()
    }
}
