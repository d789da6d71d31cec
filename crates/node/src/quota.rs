//! Limits on the sum over all entries: tokens that this entry requests of others and
//! grants to them.

use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use carobdrift_gateway::Suspension;
use carobdrift_peers::{Peers, Phase};
use carobdrift_quota::{Allocator, Grants, Key, Limit, Request, grantor};
use tokio::time::Instant;

use crate::node::Shared;
use crate::task;

/// Interval at which tokens are requested in advance, and the candidates are updated.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest interval between two datagrams to one grantor for waiting callers.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// Largest difference between the starts of entries that are started together.
const COMMON_START_RANGE: Duration = Duration::from_secs(1);

/// Time without a run of the task after which the process was frozen. The others
/// replace a grantor that is silent for 0.9 s.
const FROZEN_TIME: Duration = Duration::from_millis(700);

/// Grantor's side of this entry, and the candidates for grantors.
#[derive(Debug)]
pub(crate) struct Quota {
    own: IpAddr,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    allocator: Allocator,
    /// Hubs of all zones, in ascending order.
    candidates: Arc<[IpAddr]>,
    suspension: Suspension,
    checked_at: Instant,
    /// Whether this entry is in contact with enough others to grant.
    is_majority: bool,
}

impl Quota {
    pub(crate) fn open(own: IpAddr) -> Self {
        Self {
            own,
            state: Mutex::new(State {
                allocator: Allocator::open(own),
                candidates: Arc::default(),
                suspension: Suspension::default(),
                checked_at: Instant::now(),
                is_majority: false,
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Empties the buckets if the process was suspended since the last call. Returns
    /// whether it was.
    fn check_suspension(&mut self, now: Instant) -> bool {
        let is_frozen = now.saturating_duration_since(self.checked_at) > FROZEN_TIME;
        let was_suspended = self.suspension.take().is_some() || is_frozen;
        self.checked_at = now;
        if was_suspended {
            log::warn!(target: "quota", "event=buckets-emptied reason=suspended");
            self.allocator.restart(now);
        }
        was_suspended
    }
}

/// Starts to request tokens for this entry's callers.
pub(crate) fn spawn(shared: &Arc<Shared>, peers: &Peers) {
    let (shared, peers) = (Arc::clone(shared), peers.clone());
    task::spawn("quota", move || run(Arc::clone(&shared), peers.clone()));
}

async fn run(shared: Arc<Shared>, peers: Peers) {
    let mut due = Instant::now();
    loop {
        let in_advance = tokio::select! {
            biased;
            () = tokio::time::sleep_until(due) => true,
            () = shared.gateway.quotas().wanted() => false,
        };
        if in_advance {
            due = Instant::now() + ADVANCE_INTERVAL;
            observe(&shared, &peers);
        }
        request(&shared, &peers, in_advance).await;
        if !in_advance {
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
    }
}

/// Updates the candidates, and whether this entry may grant.
fn observe(shared: &Shared, peers: &Peers) {
    let is_limited = shared.gateway.table().is_some_and(|table| {
        let mut workspaces = table.state().workspaces.values();
        workspaces.any(|workspace| workspace.quota.is_some())
    });
    let is_limited = is_limited || shared.gateway.limits_cold_targets();
    let now = Instant::now();
    let mut state = shared.quota.state();
    if state.check_suspension(now) {
        shared.gateway.quotas().discard_tokens();
    }
    if !is_limited {
        state.allocator.set_candidates(Vec::new(), &[], now);
        return;
    }
    let starts_with_all = peers.started_together(COMMON_START_RANGE);
    state
        .allocator
        .set_common_start(starts_with_all.then_some(shared.started_at));
    let contact = peers.contact(shared.phase() == Phase::Leaving);
    if state.is_majority != contact.is_majority {
        state.is_majority = contact.is_majority;
        log::info!(
            target: "quota",
            "event=contact majority={} lost={}",
            contact.is_majority, contact.lost.len()
        );
    }
    state.candidates = contact.hubs.as_slice().into();
    // An entry that is no hub notes the candidates too, to know whom it replaces later.
    let candidates = if contact.is_majority {
        contact.hubs
    } else {
        Vec::new()
    };
    state
        .allocator
        .set_candidates(candidates, &contact.silent, now);
    state.allocator.set_lost(contact.lost, now);
    state.allocator.remove_idle(now);
}

/// Sends what this entry needs to the grantors.
async fn request(shared: &Shared, peers: &Peers, in_advance: bool) {
    let quotas = shared.gateway.quotas();
    let candidates = Arc::clone(&shared.quota.state().candidates);
    let requests = quotas.requests(in_advance, |key| grantor(key, &candidates));
    for (to, request) in requests {
        if to == shared.quota.own {
            let grants = grant(shared, to, &request);
            quotas.apply(to, &grants);
        } else {
            peers.request_tokens(to, request).await;
        }
    }
}

/// Answers a request of another entry for tokens.
pub(crate) async fn answer(shared: &Shared, peers: &Peers, from: IpAddr, request: Request) {
    let grants = grant(shared, from, &request);
    peers.grant_tokens(from, grants).await;
}

fn grant(shared: &Shared, entry: IpAddr, request: &Request) -> Grants {
    let now = Instant::now();
    let mut state = shared.quota.state();
    if state.check_suspension(now) {
        shared.gateway.quotas().discard_tokens();
    }
    let grants = request.demands.iter().map(|(key, demand)| {
        let limit = limit(shared, key)?;
        state.allocator.grant(entry, key, *demand, limit, now)
    });
    Grants {
        sequence: request.sequence,
        grants: grants.collect(),
    }
}

/// Returns the limit of a key by the desired state; `None` if this entry knows none.
fn limit(shared: &Shared, key: &Key) -> Option<Limit> {
    match key {
        Key::Workspace(name) => {
            let table = shared.gateway.table()?;
            let quota = table.state().workspaces.get(&**name)?.quota?;
            Some(Limit {
                rate: quota.rate,
                burst: quota.burst,
            })
        }
        Key::Target(target, _) => {
            let warmup = shared.gateway.target_warmup(target)?;
            Some(Limit {
                rate: warmup.rate,
                burst: 0,
            })
        }
    }
}
