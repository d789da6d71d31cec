//! Admission of requests by the quotas of their workspaces.

use std::collections::HashSet;
use std::fmt;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use carobdrift_quota::{
    Accounts, Decision, Grants, Key, REPEAT_INTERVAL, RESPONSE_TIMEOUT, Request, Token,
};
use prometheus::IntCounterVec;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::call::Call;

/// Shortest `Retry-After` time of a refusal. The next token is usually for one of many
/// callers, and one that returns for it at once would be refused again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Largest number of workspaces with a metric of their own.
const MAX_NAMED_WORKSPACES: usize = 100;

/// Label of the metric of all other workspaces.
const OTHER_WORKSPACES: &str = "other";

/// Tokens of this entry, and the callers that wait for them.
pub struct Quotas {
    accounts: Mutex<Accounts>,
    /// Notified when a caller starts to wait.
    wanted: Notify,
    /// Notified when tokens or refusals arrive.
    granted: Notify,
    requests: IntCounterVec,
    /// Workspaces with a metric of their own.
    named: Mutex<HashSet<Arc<str>>>,
}

/// Permission of one request, for as many sends as tokens were taken. Dropping it
/// makes the token usable again that was not spent.
pub(crate) struct Permit {
    quotas: Arc<Quotas>,
    key: Key,
    unspent: Option<Token>,
}

/// Token of a send in progress. Dropping it makes the token usable again if nothing of
/// the request was sent.
pub(crate) struct Spending {
    quotas: Arc<Quotas>,
    call: Arc<Call>,
    token: Option<Token>,
}

/// Request that waits for a token; dropping it ends the wait.
struct Waiting<'a> {
    quotas: &'a Quotas,
    key: &'a Key,
}

impl fmt::Debug for Quotas {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Quotas")
            .field("accounts", &self.accounts)
            .finish_non_exhaustive()
    }
}

impl Quotas {
    pub(crate) fn open(requests: IntCounterVec) -> Self {
        Self {
            accounts: Mutex::new(Accounts::open(first_sequence())),
            wanted: Notify::new(),
            granted: Notify::new(),
            requests,
            named: Mutex::default(),
        }
    }

    /// Waits until a caller needs a token.
    pub async fn wanted(&self) {
        self.wanted.notified().await;
    }

    /// Returns what to request, by grantor; `in_advance` also for expected requests.
    pub fn requests(
        &self,
        in_advance: bool,
        grantor: impl Fn(&Key) -> Option<IpAddr>,
    ) -> Vec<(IpAddr, Request)> {
        self.accounts()
            .requests(in_advance, grantor, Instant::now())
    }

    /// Applies the response of a grantor and wakes the callers that wait.
    pub fn apply(&self, from: IpAddr, grants: &Grants) {
        let applied = self.accounts().apply(from, grants, Instant::now());
        if applied {
            self.granted.notify_waiters();
        }
    }

    /// Discards all tokens, because the machine was suspended.
    pub fn discard_tokens(&self) {
        self.accounts().discard_tokens(Instant::now());
    }

    /// Admits a request, or returns the time after which it may be repeated. `admitted`
    /// is the outcome to count if it is admitted.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        key: Key,
        admitted: &str,
    ) -> Result<Permit, Duration> {
        let decision = self.accounts().admit(&key, Instant::now());
        let decided = match decision {
            Decision::Wait => self.wait(&key).await,
            decided => decided,
        };
        let (outcome, result) = match decided {
            Decision::Admitted(token) => {
                let permit = Permit {
                    quotas: Arc::clone(self),
                    key,
                    unspent: Some(token),
                };
                (admitted, Ok(permit))
            }
            Decision::Refused(due) => ("refused", Err((key, due))),
            Decision::Wait => ("refused", Err((key, RESPONSE_TIMEOUT))),
        };
        let key = match &result {
            Ok(permit) => &permit.key,
            Err((key, _)) => key,
        };
        self.record(key, outcome);
        result.map_err(|(_, due)| due.max(MIN_RETRY_AFTER))
    }

    async fn wait(&self, key: &Key) -> Decision {
        let _waiting = Waiting { quotas: self, key };
        let end = Instant::now() + RESPONSE_TIMEOUT;
        self.wanted.notify_one();
        loop {
            let granted = self.granted.notified();
            tokio::pin!(granted);
            granted.as_mut().enable();
            let decision = self.decide(key, false);
            if decision != Decision::Wait {
                return decision;
            }
            let now = Instant::now();
            if now >= end {
                return self.decide(key, true);
            }
            let repeat_at = (now + REPEAT_INTERVAL).min(end);
            if tokio::time::timeout_at(repeat_at, granted).await.is_err() {
                // The request or its response may be lost.
                self.decide(key, false);
                self.wanted.notify_one();
            }
        }
    }

    /// Takes a token without waiting, or requests one.
    ///
    /// # Errors
    ///
    /// Without a token, returns the time after which one is expected.
    pub(crate) fn take_or_request(&self, key: &Key) -> Result<Token, Duration> {
        let taken = self.accounts().take_or_request(key, Instant::now());
        if taken.is_err() {
            self.wanted.notify_one();
        }
        taken
    }

    fn decide(&self, key: &Key, is_last: bool) -> Decision {
        self.accounts().decide_waiting(key, is_last, Instant::now())
    }

    fn record(&self, key: &Key, outcome: &str) {
        let Key::Workspace(name) = key else {
            return;
        };
        let mut named = self.named.lock().unwrap_or_else(PoisonError::into_inner);
        let is_named = named.contains(name)
            || (named.len() < MAX_NAMED_WORKSPACES && named.insert(Arc::clone(name)));
        let label = if is_named { name } else { OTHER_WORKSPACES };
        self.requests.with_label_values(&[label, outcome]).inc();
    }

    fn accounts(&self) -> MutexGuard<'_, Accounts> {
        self.accounts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Spending {
    /// Returns the token once the send has ended, for the case that nothing was sent.
    pub(crate) fn end(mut self) -> Option<Token> {
        self.token.take()
    }
}

impl Drop for Spending {
    fn drop(&mut self) {
        if let Some(token) = self.token.take()
            && !self.call.is_dispatched()
        {
            self.quotas.accounts().put_back(&token, Instant::now());
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.quotas.accounts().end_wait(self.key);
    }
}

impl Permit {
    /// Whether a token for the next send is at hand, or can be taken without waiting.
    pub(crate) fn prepare(&mut self) -> bool {
        let now = Instant::now();
        let held = self.unspent.take().filter(|token| token.is_valid(now));
        self.unspent = held.or_else(|| self.quotas.accounts().take(&self.key, now));
        self.unspent.is_some()
    }

    /// Requests a token for the next send, unless one is at hand.
    pub(crate) fn request(&mut self) {
        if !self.prepare() {
            self.unspent = self.quotas.take_or_request(&self.key).ok();
        }
    }

    /// Spends the token for a send.
    pub(crate) fn spend(&mut self, call: &Arc<Call>) -> Spending {
        Spending {
            quotas: Arc::clone(&self.quotas),
            call: Arc::clone(call),
            token: self.unspent.take(),
        }
    }

    /// Keeps the token of a send that did not take place.
    pub(crate) fn put_back(&mut self, token: Token) {
        if let Some(other) = self.unspent.replace(token) {
            self.quotas.accounts().put_back(&other, Instant::now());
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(token) = self.unspent.take() {
            self.quotas.accounts().put_back(&token, Instant::now());
        }
    }
}

/// Returns a sequence number that the previous process of this address hardly used.
fn first_sequence() -> u32 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.subsec_nanos())
}

/// Returns the key of the quota of a request; `None` if its workspace has none.
pub(crate) fn key(call: &Call) -> Option<Key> {
    let workspace = &call.credential.as_ref()?.workspace;
    workspace.quota?;
    Some(Key::Workspace(workspace.name.as_str().into()))
}
