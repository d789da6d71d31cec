//! Routing of claims to the place that decides on them.

use std::sync::Arc;
use std::time::Duration;

use carobdrift_platform::Client;
use carobdrift_units::Service;
use carobdrift_wire::{Answer, Attempt, Fingerprint, Key, Query};
use prometheus::Registry;
use tokio::sync::oneshot;

use crate::grant::{Claim, Grant, Place};
use crate::ledger::Ledger;
use crate::metrics::Metrics;
use crate::peers::{PeerError, Peers};
use crate::prefix::Prefix;
use crate::refusal::Refusal;
use crate::table::Table;

/// Time for which a late answer of the deciding entry is awaited, so that a
/// late grant is given back.
const LATE_ANSWER: Duration = Duration::from_secs(10);

/// How claims are made.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Longest time that a claim waits for another entry or for the table.
    pub timeout: Duration,
    /// Writes per second to the table for keys of the caller's choosing.
    pub table_writes_per_second: u32,
}

impl Default for Settings {
    /// 1 s and 10 writes per second.
    fn default() -> Self {
        Self {
            timeout: Duration::from_secs(1),
            table_writes_per_second: 10,
        }
    }
}

/// Who makes the keys of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scheme {
    /// Keys start with an issued prefix.
    Issued,
    /// Keys are of the caller's choosing.
    Caller,
}

/// A request that asks for the right to run.
#[derive(Debug, Clone)]
pub struct Request {
    /// Service of the request.
    pub service: Service,
    /// Its idempotency key.
    pub key: Key,
    /// Who makes the keys of its route.
    pub scheme: Scheme,
    /// Its method and path.
    pub fingerprint: Fingerprint,
    /// Time that is left to its deadline.
    pub remaining: Duration,
}

impl Request {
    /// Hash of what a key is used for.
    #[must_use]
    pub fn fingerprint(service: &Service, method: &str, path: &str) -> Fingerprint {
        // Method and service can't contain a line feed, so the parts can't run
        // into each other.
        let text = format!("{service}\n{method}\n{path}");
        Fingerprint(rapidhash::v3::rapidhash_v3(text.as_bytes()))
    }
}

/// Makes claims; cheap to clone.
#[derive(Debug, Clone)]
pub struct Claims {
    core: Arc<Core>,
}

#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) ledger: Ledger,
    pub(crate) peers: Arc<dyn Peers>,
    pub(crate) table: Arc<Table>,
    pub(crate) metrics: Metrics,
    settings: Settings,
}

impl Claims {
    /// Opens the way to make claims.
    ///
    /// # Errors
    ///
    /// Fails when a metric of the same name is registered already.
    pub fn open(
        settings: Settings,
        ledger: Ledger,
        peers: Arc<dyn Peers>,
        platform: Client,
        registry: &Registry,
    ) -> Result<Self, prometheus::Error> {
        let core = Core {
            ledger,
            peers,
            table: Table::open(platform, settings.table_writes_per_second),
            metrics: Metrics::register(registry)?,
            settings,
        };
        Ok(Self {
            core: Arc::new(core),
        })
    }

    /// Claims the right to run a request.
    ///
    /// # Errors
    ///
    /// Fails when the request must not run, or when that can't be decided.
    pub async fn claim(&self, request: Request) -> Result<Grant, Refusal> {
        let scheme = match request.scheme {
            Scheme::Issued => "issued",
            Scheme::Caller => "caller",
        };
        let result = self.decide(request).await;
        let decision = match &result {
            Ok(_) => "granted",
            Err(refusal) => refusal.reason(),
        };
        let claims = &self.core.metrics.claims;
        claims.with_label_values(&[scheme, decision]).inc();
        result
    }

    async fn decide(&self, request: Request) -> Result<Grant, Refusal> {
        let attempt = Attempt(rand::random());
        let timeout = self.core.settings.timeout.min(request.remaining);
        let core = Arc::clone(&self.core);
        match request.scheme {
            Scheme::Caller => {
                let decision = in_background(core.claim_in_table(request, attempt));
                wait(decision, timeout, Refusal::StoreUnavailable).await
            }
            Scheme::Issued => {
                let prefix = Prefix::from_key(&request.key)?;
                if prefix.instance == *core.ledger.instance() {
                    return core.claim_in_ledger(request, attempt);
                }
                let decision = in_background(core.claim_at_peer(prefix, request, attempt));
                wait(decision, timeout, Refusal::DeciderUnreachable).await
            }
        }
    }
}

impl Core {
    pub(crate) fn observe_ledger(&self) {
        let bytes = i64::try_from(self.ledger.bytes()).unwrap_or(i64::MAX);
        self.metrics.ledger_bytes.set(bytes);
    }

    fn claim_in_ledger(
        self: Arc<Self>,
        request: Request,
        attempt: Attempt,
    ) -> Result<Grant, Refusal> {
        let decision = self
            .ledger
            .claim(&request.key, attempt, request.fingerprint);
        self.observe_ledger();
        match Refusal::from_decision(decision) {
            Some(refusal) => Err(refusal),
            None => Ok(self.grant(request.key, attempt, Place::Ledger)),
        }
    }

    async fn claim_at_peer(
        self: Arc<Self>,
        prefix: Prefix,
        request: Request,
        attempt: Attempt,
    ) -> Result<Grant, Refusal> {
        let query = Query::Claim {
            service: request.service,
            key: request.key.clone(),
            attempt,
            fingerprint: request.fingerprint,
        };
        match self.peers.query(&prefix.instance, query, LATE_ANSWER).await {
            Ok(Answer::Claim(decision)) => match Refusal::from_decision(decision) {
                Some(refusal) => Err(refusal),
                None => Ok(self.grant(request.key, attempt, Place::Peer(prefix.instance))),
            },
            Err(PeerError::NotConnected) => Err(Refusal::DeciderUnreachable),
            Ok(_) | Err(PeerError::NoAnswer) => {
                // The claim may have been recorded; giving back a claim that
                // was not has no effect.
                drop(self.grant(request.key, attempt, Place::Peer(prefix.instance)));
                Err(Refusal::DeciderUnreachable)
            }
        }
    }

    async fn claim_in_table(
        self: Arc<Self>,
        request: Request,
        attempt: Attempt,
    ) -> Result<Grant, Refusal> {
        let claimed = self
            .table
            .claim(&request.service, &request.key, attempt, request.fingerprint)
            .await?;
        Ok(self.grant(request.key, attempt, Place::Table(claimed)))
    }

    fn grant(self: Arc<Self>, key: Key, attempt: Attempt, place: Place) -> Grant {
        Grant::new(Claim {
            core: self,
            key,
            attempt,
            place,
        })
    }
}

type Decided = oneshot::Receiver<Result<Grant, Refusal>>;

/// Decides on a claim in a task that outlives its caller: a grant that nobody
/// waits for any more is dropped, which gives it back.
fn in_background(claim: impl Future<Output = Result<Grant, Refusal>> + Send + 'static) -> Decided {
    let (sender, receiver) = oneshot::channel();
    tokio::spawn(async move {
        drop(sender.send(claim.await));
    });
    receiver
}

async fn wait(decided: Decided, timeout: Duration, late: Refusal) -> Result<Grant, Refusal> {
    match tokio::time::timeout(timeout, decided).await {
        Ok(Ok(result)) => result,
        Ok(Err(_)) | Err(_) => Err(late),
    }
}
