//! State of each service and route that requests share.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use carobdrift_placement::{Budget, Endpoint, Estimate, Load, Outcome, Pool};
use carobdrift_routing::{Route, Splits};
use carobdrift_units::{Service, Target, Zone};
use tokio::time::Instant;

use crate::admission::Admission;

/// Share of the permitted retry ratio that is used. The rest covers retries that
/// the targets count in another window.
const RATIO_SHARE: f64 = 0.7;

/// Share of the permitted retry reserve that is used.
const RESERVE_SHARE: f64 = 0.5;

/// Retries permitted over all entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Retries {
    /// Retries as a ratio of the requests in a window.
    pub(crate) ratio: f64,
    /// Additional retries in a window.
    pub(crate) reserve: f64,
    /// Sliding window in which requests and retries are counted.
    pub(crate) window: Duration,
}

/// Services with their pools, waiting requests, retry budgets and estimates; the only
/// state that requests share.
#[derive(Debug)]
pub(crate) struct Services {
    zone: Zone,
    retries: Retries,
    /// Requests that wait for a slot.
    pub(crate) admission: Admission,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    pools: HashMap<Service, Pool>,
    budgets: HashMap<Service, Budget>,
    splits: Splits,
    /// Service time estimates by route name.
    estimates: HashMap<String, Estimate>,
    /// Service of each target.
    targets: HashMap<Target, Service>,
    /// Zones whose targets get no requests.
    evacuated: Arc<HashSet<Zone>>,
    entries: usize,
}

impl Services {
    pub(crate) fn new(zone: Zone, retries: Retries, admission: Admission) -> Self {
        Self {
            zone,
            retries,
            admission,
            state: Mutex::default(),
        }
    }

    /// Adds a target or applies its new registration.
    pub(crate) fn put(&self, endpoint: Endpoint) {
        let now = Instant::now();
        let mut state = self.lock();
        let previous = state
            .targets
            .insert(endpoint.id.clone(), endpoint.service.clone());
        if let Some(previous) = previous
            && previous != endpoint.service
            && let Some(pool) = state.pools.get_mut(&previous)
        {
            pool.remove(&endpoint.id);
        }
        let evacuated = Arc::clone(&state.evacuated);
        let pool = state
            .pools
            .entry(endpoint.service.clone())
            .or_insert_with(|| {
                let mut pool = Pool::new(self.zone.clone());
                pool.set_evacuated(evacuated);
                pool
            });
        let service = endpoint.service.clone();
        pool.put(endpoint, now);
        drop(state);
        self.admission.wake_first(&service);
    }

    pub(crate) fn remove(&self, target: &Target) {
        let mut state = self.lock();
        if let Some(service) = state.targets.remove(target)
            && let Some(pool) = state.pools.get_mut(&service)
        {
            pool.remove(target);
        }
    }

    /// Sets the zones whose targets get no requests.
    pub(crate) fn set_evacuated(&self, zones: HashSet<Zone>) {
        let zones = Arc::new(zones);
        let mut state = self.lock();
        state.evacuated = Arc::clone(&zones);
        for pool in state.pools.values_mut() {
            pool.set_evacuated(Arc::clone(&zones));
        }
        let services: Vec<Service> = state.pools.keys().cloned().collect();
        drop(state);
        for service in services {
            self.admission.wake_first(&service);
        }
    }

    /// Returns the service of a target.
    pub(crate) fn service_of(&self, target: &Target) -> Option<Service> {
        self.lock().targets.get(target).cloned()
    }

    /// Sets the number of entries that share the retry reserve.
    pub(crate) fn set_entries(&self, entries: usize) {
        let mut state = self.lock();
        state.entries = entries;
        let reserve = self.reserve(entries);
        for budget in state.budgets.values_mut() {
            budget.set_reserve(reserve);
        }
    }

    pub(crate) fn retain_routes(&self, routes: &[Arc<Route>]) {
        let names: HashSet<&str> = routes.iter().map(|route| route.name.as_str()).collect();
        let mut state = self.lock();
        state.splits.retain(&names);
        state
            .estimates
            .retain(|name, _| names.contains(name.as_str()));
    }

    pub(crate) fn choose_service(&self, route: &Route) -> Option<Service> {
        self.lock().splits.choose(route).cloned()
    }

    /// Counts a request towards the retry budget.
    pub(crate) fn count_request(&self, service: &Service) {
        self.with_budget(service, Budget::record_request);
    }

    /// Spends one retry if the budget allows it. Returns whether a retry was spent.
    pub(crate) fn try_spend_retry(&self, service: &Service) -> bool {
        self.with_budget(service, Budget::try_spend)
    }

    /// Runs `run` on the pool of a service. Returns `None` if the service has no
    /// pool.
    pub(crate) fn with_pool<T>(
        &self,
        service: &Service,
        run: impl FnOnce(&mut Pool, Instant) -> T,
    ) -> Option<T> {
        let now = Instant::now();
        self.lock()
            .pools
            .get_mut(service)
            .map(|pool| run(pool, now))
    }

    pub(crate) fn estimate(&self, route: &Route) -> Estimate {
        let state = self.lock();
        let estimate = state.estimates.get(&route.name).copied();
        estimate.unwrap_or_else(|| Estimate::new(route.target_latency))
    }

    pub(crate) fn record_load(&self, endpoint: &Endpoint, load: Load) {
        self.with_pool(&endpoint.service, |pool, now| {
            pool.record_load(&endpoint.id, load, now);
        });
        self.admission.wake_first(&endpoint.service);
    }

    /// Records an answer of a target that does not state its load.
    pub(crate) fn record_missing_report(&self, endpoint: &Endpoint) {
        self.with_pool(&endpoint.service, |pool, now| {
            pool.record_missing_report(&endpoint.id, now);
        });
        self.admission.wake_first(&endpoint.service);
    }

    /// Records that a target broke off a response after its attempt had ended.
    pub(crate) fn record_failure(&self, endpoint: &Endpoint) {
        self.with_pool(&endpoint.service, |pool, now| {
            pool.record_failure(endpoint, now);
        });
    }

    /// Records that a target stated that it is leaving. Returns whether this was
    /// not known.
    pub(crate) fn mark_leaving(&self, endpoint: &Endpoint) -> bool {
        let is_new = self.with_pool(&endpoint.service, |pool, now| {
            pool.mark_leaving(endpoint, now)
        });
        is_new == Some(true)
    }

    /// Records that a target wants no requests for some time.
    pub(crate) fn pause(&self, endpoint: &Endpoint, pause: Duration) {
        self.with_pool(&endpoint.service, |pool, now| {
            pool.pause(endpoint, now + pause, now);
        });
    }

    /// Ends an attempt. The duration of a successful attempt updates the estimate
    /// of the route.
    pub(crate) fn end_attempt(
        &self,
        route: &Route,
        endpoint: &Endpoint,
        attempt: u64,
        outcome: Outcome,
    ) {
        let ended = self.with_pool(&endpoint.service, |pool, now| {
            let elapsed = pool.end_attempt(&endpoint.id, attempt, outcome, now);
            elapsed.zip(pool.slowdown(&endpoint.id))
        });
        if outcome == Outcome::Success
            && let Some(Some((elapsed, slowdown))) = ended
        {
            let mut state = self.lock();
            let estimate = state
                .estimates
                .entry(route.name.clone())
                .or_insert_with(|| Estimate::new(route.target_latency));
            estimate.observe(elapsed, slowdown);
        }
        self.admission.wake_first(&endpoint.service);
    }

    fn with_budget<T>(&self, service: &Service, run: impl FnOnce(&mut Budget, Instant) -> T) -> T {
        let mut state = self.lock();
        let reserve = self.reserve(state.entries);
        let budget = state.budgets.entry(service.clone()).or_insert_with(|| {
            let ratio = self.retries.ratio * RATIO_SHARE;
            Budget::new(ratio, reserve, self.retries.window)
        });
        run(budget, Instant::now())
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "an installation has far fewer than 2^52 entries"
    )]
    fn reserve(&self, entries: usize) -> f64 {
        self.retries.reserve * RESERVE_SHARE / entries.max(1) as f64
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
