//! Ledgers, peers and calls for the tests.

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

/// Long enough for every claim that is to be answered.
pub(crate) const PATIENCE: Duration = Duration::from_secs(2);

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

pub(crate) fn key(ledger: &Ledger, own: &str) -> Key {
    let text = format!("{}.{own}", ledger.prefix());
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

/// How a peer answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Manner {
    Prompt,
    /// Decides, and its answer arrives this many milliseconds later.
    Late(u64),
    /// Decides, and its answer is lost.
    Lost,
    NotConnected,
}

/// Link to one peer that decides with its own ledger.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) ledger: Ledger,
    manner: Mutex<Manner>,
    pub(crate) queries: AtomicU64,
}

impl Link {
    pub(crate) fn new(ledger: Ledger, manner: Manner) -> Arc<Self> {
        Arc::new(Self {
            ledger,
            manner: Mutex::new(manner),
            queries: AtomicU64::new(0),
        })
    }

    pub(crate) fn set(&self, manner: Manner) {
        *self.manner.lock().unwrap_or_else(PoisonError::into_inner) = manner;
    }
}

impl Peers for Link {
    fn query(&self, _: &Instance, query: Query, _: Duration) -> Reply {
        self.queries.fetch_add(1, Ordering::SeqCst);
        let manner = *self.manner.lock().unwrap_or_else(PoisonError::into_inner);
        if manner == Manner::NotConnected {
            return Box::pin(async { Err(PeerError::NotConnected) });
        }
        let answer = self.ledger.answer(&query);
        Box::pin(async move {
            match manner {
                Manner::Late(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
                Manner::Lost => return Err(PeerError::NoAnswer),
                Manner::Prompt | Manner::NotConnected => {}
            }
            answer.ok_or(PeerError::NoAnswer)
        })
    }
}

/// Claims of an entry whose only peer is behind the link. Its table is not
/// reachable.
pub(crate) fn claims(own: Ledger, link: Arc<Link>) -> Claims {
    let nowhere = carobdrift_test_support::platform::open_client(
        ([127, 0, 0, 1], 1).into(),
        Duration::from_millis(100),
    );
    claims_with(own, link, nowhere, Settings::default())
}

pub(crate) fn claims_with(
    own: Ledger,
    link: Arc<Link>,
    platform: Client,
    settings: Settings,
) -> Claims {
    Claims::open(settings, own, link, platform, &Registry::new()).expect("the registry is new")
}

pub(crate) fn call(key: &Key, scheme: Scheme, remaining: Duration) -> Request {
    Request {
        service: service(),
        key: key.clone(),
        scheme,
        fingerprint: FINGERPRINT,
        remaining,
    }
}

/// Reason of the refusal of a claim.
pub(crate) fn reason<T>(result: Result<T, Refusal>) -> &'static str {
    match result {
        Ok(_) => "granted",
        Err(refusal) => refusal.reason(),
    }
}
