//! What the entry knows of each service and route.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use carobdrift_placement::{Budget, Endpoint, Estimate, Load, Outcome, Pool, Queue, Rank};
use carobdrift_routing::{Route, Splits};
use carobdrift_units::{Service, Target, Zone};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Share of the permitted ratio of repeats that is used. The rest covers what
/// falls into another window at the targets.
const RATIO_SHARE: f64 = 0.7;

/// Share of the permitted fixed number of repeats that is used.
const RESERVE_SHARE: f64 = 0.5;

/// Bound of repeats in sum over all entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Repeats {
    /// Repeats as a share of the requests of a window.
    pub(crate) ratio: f64,
    /// Further repeats in a window.
    pub(crate) reserve: f64,
    /// The window.
    pub(crate) window: Duration,
}

/// Pools, budgets and estimates; the only state that requests share.
#[derive(Debug)]
pub(crate) struct Services {
    zone: Zone,
    repeats: Repeats,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    pools: HashMap<Service, Pool>,
    /// Requests that wait for a slot.
    lines: HashMap<Service, Queue<Arc<Notify>>>,
    budgets: HashMap<Service, Budget>,
    splits: Splits,
    works: HashMap<String, Estimate>,
    /// Service of each target, to find its pool.
    targets: HashMap<Target, Service>,
    entries: usize,
}

impl State {
    fn line(&mut self, service: &Service) -> &mut Queue<Arc<Notify>> {
        self.lines.entry(service.clone()).or_default()
    }

    /// Wakes the request that is next.
    fn wake(&mut self, service: &Service) {
        if let Some(first) = self.lines.get(service).and_then(Queue::first) {
            first.notify_one();
        }
    }
}

impl Services {
    pub(crate) fn new(zone: Zone, repeats: Repeats) -> Self {
        Self {
            zone,
            repeats,
            state: Mutex::default(),
        }
    }

    /// Adds a target or takes in its new registration.
    pub(crate) fn put(&self, endpoint: Endpoint) {
        let now = Instant::now();
        let mut state = self.lock();
        let known = state
            .targets
            .insert(endpoint.id.clone(), endpoint.service.clone());
        if let Some(known) = known
            && known != endpoint.service
            && let Some(pool) = state.pools.get_mut(&known)
        {
            pool.remove(&endpoint.id);
        }
        let pool = state
            .pools
            .entry(endpoint.service.clone())
            .or_insert_with(|| Pool::new(self.zone.clone()));
        let service = endpoint.service.clone();
        pool.put(endpoint, now);
        state.wake(&service);
    }

    pub(crate) fn remove(&self, target: &Target) {
        let mut state = self.lock();
        if let Some(service) = state.targets.remove(target)
            && let Some(pool) = state.pools.get_mut(&service)
        {
            pool.remove(target);
        }
    }

    /// Learns how many entries share the fixed part of the repeats.
    pub(crate) fn set_entries(&self, entries: usize) {
        let mut state = self.lock();
        state.entries = entries;
        let reserve = self.reserve(entries);
        for budget in state.budgets.values_mut() {
            budget.set_reserve(reserve);
        }
    }

    pub(crate) fn retain_routes(&self, routes: &[Route]) {
        let mut state = self.lock();
        state.splits.retain(routes);
        state
            .works
            .retain(|name, _| routes.iter().any(|route| route.name == *name));
    }

    pub(crate) fn choose_backend(&self, route: &Route) -> Option<Service> {
        self.lock().splits.choose(route).cloned()
    }

    /// Counts a request towards the budget of repeats.
    pub(crate) fn count_request(&self, service: &Service) {
        self.with_budget(service, Budget::record_request);
    }

    /// Spends a repeat if the budget has one.
    pub(crate) fn try_spend(&self, service: &Service) -> bool {
        self.with_budget(service, Budget::try_spend)
    }

    /// Runs `read` on the pool of a service; `None` when it has no targets.
    pub(crate) fn with_pool<T>(
        &self,
        service: &Service,
        read: impl FnOnce(&mut Pool, Instant) -> T,
    ) -> Option<T> {
        let now = Instant::now();
        self.lock()
            .pools
            .get_mut(service)
            .map(|pool| read(pool, now))
    }

    pub(crate) fn work(&self, route: &Route) -> Estimate {
        let state = self.lock();
        let work = state.works.get(&route.name).copied();
        work.unwrap_or_else(|| Estimate::new(route.target_latency))
    }

    pub(crate) fn report(&self, endpoint: &Endpoint, load: Load) {
        self.with_pool(&endpoint.service, |pool, now| {
            pool.record_load(&endpoint.id, load, now);
        });
        self.lock().wake(&endpoint.service);
    }

    /// Ends an attempt and learns from its time.
    pub(crate) fn end(&self, route: &Route, endpoint: &Endpoint, attempt: u64, outcome: Outcome) {
        let ended = self.with_pool(&endpoint.service, |pool, now| {
            let elapsed = pool.end_attempt(&endpoint.id, attempt, outcome, now);
            elapsed.zip(pool.slowdown(&endpoint.id))
        });
        if outcome == Outcome::Success
            && let Some(Some((elapsed, slowdown))) = ended
        {
            let mut state = self.lock();
            let work = state
                .works
                .entry(route.name.clone())
                .or_insert_with(|| Estimate::new(route.target_latency));
            work.observe(elapsed, slowdown);
        }
        self.lock().wake(&endpoint.service);
    }

    /// A number for the rank of a new request.
    pub(crate) fn next_sequence(&self, service: &Service) -> u64 {
        self.lock().line(service).next_sequence()
    }

    /// Whether a request may take a slot now, or others come first.
    pub(crate) fn is_first(&self, service: &Service, rank: &Rank) -> bool {
        self.lock().line(service).is_first(rank)
    }

    /// Lets a request wait; it is woken when a slot may be free for it.
    pub(crate) fn join(&self, service: &Service, rank: Rank, waiter: Arc<Notify>) {
        self.lock().line(service).push(rank, waiter);
    }

    /// Ends the wait of a request, and wakes the next one.
    pub(crate) fn leave(&self, service: &Service, rank: &Rank, departs: bool) {
        let mut state = self.lock();
        let now = departs.then(Instant::now);
        if state.line(service).remove(rank, now).is_some() {
            state.wake(service);
        }
    }

    /// Time that a request of this rank would wait.
    pub(crate) fn expected_wait(&self, service: &Service, rank: &Rank) -> Duration {
        self.lock().line(service).expected_wait(rank)
    }

    fn with_budget<T>(
        &self,
        service: &Service,
        spend: impl FnOnce(&mut Budget, Instant) -> T,
    ) -> T {
        let mut state = self.lock();
        let reserve = self.reserve(state.entries);
        let budget = state.budgets.entry(service.clone()).or_insert_with(|| {
            let ratio = self.repeats.ratio * RATIO_SHARE;
            Budget::new(ratio, reserve, self.repeats.window)
        });
        spend(budget, Instant::now())
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "an installation has far fewer than 2^52 entries"
    )]
    fn reserve(&self, entries: usize) -> f64 {
        self.repeats.reserve * RESERVE_SHARE / entries.max(1) as f64
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
