//! Routing of claims to the ledger, peer or table that decides on them.

use std::sync::Arc;
use std::time::Duration;

use carobdrift_platform::Client;
use carobdrift_units::Service;
use carobdrift_wire::{Answer, Attempt, Fingerprint, Key, Query};
use prometheus::Registry;
use tokio::sync::oneshot;

use crate::grant::{Claim, Grant, Location};
use crate::ledger::Ledger;
use crate::metrics::Metrics;
use crate::peers::{PeerError, Peers};
use crate::prefix::Prefix;
use crate::refusal::Refusal;
use crate::table::Table;

/// Time limit for the answer of the deciding entry. Longer than the time that a
/// caller waits, so that a grant that arrives late is released.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Settings of claims.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Maximum time that a claim waits for another entry or for the table.
    pub timeout: Duration,
    /// Maximum writes per second to the table, for keys that callers choose.
    pub table_writes_per_second: u32,
}

impl Default for Settings {
    /// Returns a timeout of 1 s and a limit of 10 writes per second.
    fn default() -> Self {
        Self {
            timeout: Duration::from_secs(1),
            table_writes_per_second: 10,
        }
    }
}

/// Scheme by which the keys of a route are made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scheme {
    /// Keys start with a prefix that an entry issued.
    Issued,
    /// Keys are chosen by the caller.
    Caller,
}

/// Request that asks for the right to run.
#[derive(Debug, Clone)]
pub struct Request {
    /// Service of the request.
    pub service: Service,
    /// Idempotency key of the request.
    pub key: Key,
    /// Key scheme of the request's route.
    pub scheme: Scheme,
    /// Fingerprint of the service, method and path.
    pub fingerprint: Fingerprint,
    /// Time until the deadline of the request.
    pub remaining: Duration,
}

impl Request {
    /// Returns the fingerprint of a service, method and path. A key may be used
    /// only with one fingerprint.
    #[must_use]
    pub fn fingerprint(service: &Service, method: &str, path: &str) -> Fingerprint {
        // Neither a service nor a method contains a line feed, so different
        // parts never give the same text.
        let text = format!("{service}\n{method}\n{path}");
        Fingerprint(rapidhash::v3::rapidhash_v3(text.as_bytes()))
    }
}

/// Entry point for claims; cheap to clone.
#[derive(Debug, Clone)]
pub struct Claims {
    shared: Arc<Shared>,
}

/// State that all claims share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) ledger: Ledger,
    pub(crate) peers: Arc<dyn Peers>,
    pub(crate) table: Arc<Table>,
    pub(crate) metrics: Metrics,
    settings: Settings,
}

impl Claims {
    /// Creates an entry point for claims.
    ///
    /// # Errors
    ///
    /// Fails when a metric of the same name is already registered.
    pub fn open(
        settings: Settings,
        ledger: Ledger,
        peers: Arc<dyn Peers>,
        platform: Client,
        registry: &Registry,
    ) -> Result<Self, prometheus::Error> {
        let shared = Shared {
            ledger,
            peers,
            table: Table::open(platform, settings.table_writes_per_second),
            metrics: Metrics::register(registry)?,
            settings,
        };
        Ok(Self {
            shared: Arc::new(shared),
        })
    }

    /// Claims the right to run a request.
    ///
    /// # Errors
    ///
    /// Fails when the request must not run, or when no decision can be obtained.
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
        let claims = &self.shared.metrics.claims;
        claims.with_label_values(&[scheme, decision]).inc();
        result
    }

    async fn decide(&self, request: Request) -> Result<Grant, Refusal> {
        let attempt = Attempt(rand::random());
        let timeout = self.shared.settings.timeout.min(request.remaining);
        let shared = Arc::clone(&self.shared);
        match request.scheme {
            Scheme::Caller => {
                let pending = spawn_claim(shared.claim_in_table(request, attempt));
                await_grant(pending, timeout, Refusal::StoreUnavailable).await
            }
            Scheme::Issued => {
                let prefix = Prefix::from_key(&request.key)?;
                if prefix.instance == *shared.ledger.instance() {
                    return shared.claim_in_ledger(request, attempt);
                }
                let pending = spawn_claim(shared.claim_at_peer(prefix, request, attempt));
                await_grant(pending, timeout, Refusal::DeciderUnreachable).await
            }
        }
    }
}

impl Shared {
    pub(crate) fn update_ledger_metric(&self) {
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
        self.update_ledger_metric();
        match Refusal::from_decision(decision) {
            Some(refusal) => Err(refusal),
            None => Ok(self.grant(request.key, attempt, Location::Ledger)),
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
        match self
            .peers
            .query(&prefix.instance, query, LATE_ANSWER_TIMEOUT)
            .await
        {
            Ok(Answer::Claim(decision)) => match Refusal::from_decision(decision) {
                Some(refusal) => Err(refusal),
                None => Ok(self.grant(request.key, attempt, Location::Peer(prefix.instance))),
            },
            Err(PeerError::NotConnected) => Err(Refusal::DeciderUnreachable),
            Ok(_) | Err(PeerError::NoAnswer) => {
                // The claim may have been recorded. Releasing a claim that was
                // not recorded has no effect.
                drop(self.grant(request.key, attempt, Location::Peer(prefix.instance)));
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
        Ok(self.grant(request.key, attempt, Location::Table(claimed)))
    }

    fn grant(self: Arc<Self>, key: Key, attempt: Attempt, location: Location) -> Grant {
        Grant::new(Claim {
            shared: self,
            key,
            attempt,
            location,
        })
    }
}

type PendingGrant = oneshot::Receiver<Result<Grant, Refusal>>;

/// Makes a claim in a task that outlives its caller. A grant that is no longer
/// awaited is dropped, which releases the claim.
fn spawn_claim(
    claim: impl Future<Output = Result<Grant, Refusal>> + Send + 'static,
) -> PendingGrant {
    let (sender, receiver) = oneshot::channel();
    tokio::spawn(async move {
        drop(sender.send(claim.await));
    });
    receiver
}

async fn await_grant(
    pending: PendingGrant,
    timeout: Duration,
    on_timeout: Refusal,
) -> Result<Grant, Refusal> {
    match tokio::time::timeout(timeout, pending).await {
        Ok(Ok(result)) => result,
        Ok(Err(_)) | Err(_) => Err(on_timeout),
    }
}
