//! Ledgers, peers and requests for the tests.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use carobdrift_idempotency::{
    Claims, Ledger, Limits, PeerError, Peers, Refusal, Reply, Request, Scheme, Settings,
};
use carobdrift_platform::Client;
use carobdrift_units::{Incarnation, Instance, Service};
use carobdrift_wire::{Attempt, Fingerprint, Key, Query, Response};
use prometheus::Registry;

pub(crate) const FINGERPRINT: Fingerprint = Fingerprint(7);

/// Time limit that no claim is expected to reach.
pub(crate) const LONG_TIMEOUT: Duration = Duration::from_secs(2);

pub(crate) fn service() -> Service {
    "draws".parse().expect("the name is valid")
}

pub(crate) fn ledger_of(instance: &str, limits: Limits) -> Ledger {
    let instance: Instance = instance.parse().expect("the name is valid");
    Ledger::open(instance, Incarnation::random(), limits)
}

pub(crate) fn ledger(limits: Limits) -> Ledger {
    ledger_of("entry-1", limits)
}

pub(crate) fn key(ledger: &Ledger, suffix: &str) -> Key {
    let text = format!("{}.{suffix}", ledger.prefix());
    text.parse().expect("the key is valid")
}

pub(crate) fn attempt(number: u128) -> Attempt {
    Attempt(number)
}

pub(crate) fn recorded(body: &[u8]) -> Response {
    Response {
        status: 201,
        headers: vec![("location".to_owned(), b"/seedings/9".to_vec())],
        body: body.to_vec(),
    }
}

/// Behavior of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Behavior {
    Prompt,
    /// Decides, and its answer is delayed by this number of milliseconds.
    Late(u64),
    /// Decides, but its answer is lost.
    Lost,
    NotConnected,
}

/// Link to one peer that decides with its own ledger.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) ledger: Ledger,
    behavior: Mutex<Behavior>,
    pub(crate) queries: AtomicU64,
}

impl Link {
    pub(crate) fn new(ledger: Ledger, behavior: Behavior) -> Arc<Self> {
        Arc::new(Self {
            ledger,
            behavior: Mutex::new(behavior),
            queries: AtomicU64::new(0),
        })
    }

    pub(crate) fn set_behavior(&self, behavior: Behavior) {
        *self.behavior.lock().unwrap_or_else(PoisonError::into_inner) = behavior;
    }
}

impl Peers for Link {
    fn query(&self, _: &Instance, query: Query, _: Duration) -> Reply {
        self.queries.fetch_add(1, Ordering::SeqCst);
        let behavior = *self.behavior.lock().unwrap_or_else(PoisonError::into_inner);
        if behavior == Behavior::NotConnected {
            return Box::pin(async { Err(PeerError::NotConnected) });
        }
        let answer = self.ledger.answer(&query);
        Box::pin(async move {
            match behavior {
                Behavior::Late(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
                Behavior::Lost => return Err(PeerError::NoAnswer),
                Behavior::Prompt | Behavior::NotConnected => {}
            }
            answer.ok_or(PeerError::NoAnswer)
        })
    }
}

/// Returns the claims of an entry that has one peer, reached through the link.
/// The table is not reachable.
pub(crate) fn claims(own: Ledger, link: Arc<Link>) -> Claims {
    let unreachable = carobdrift_test_support::platform::open_client(
        ([127, 0, 0, 1], 1).into(),
        Duration::from_millis(100),
    );
    claims_with(own, link, unreachable, Settings::default())
}

pub(crate) fn claims_with(
    own: Ledger,
    link: Arc<Link>,
    platform: Client,
    settings: Settings,
) -> Claims {
    Claims::open(settings, own, link, platform, &Registry::new()).expect("the registry is new")
}

pub(crate) fn request(key: &Key, scheme: Scheme, remaining: Duration) -> Request {
    Request {
        service: service(),
        key: key.clone(),
        scheme,
        fingerprint: FINGERPRINT,
        remaining,
    }
}

/// Returns the reason for which a claim was refused, or `granted`.
pub(crate) fn reason<T>(result: Result<T, Refusal>) -> &'static str {
    match result {
        Ok(_) => "granted",
        Err(refusal) => refusal.reason(),
    }
}
