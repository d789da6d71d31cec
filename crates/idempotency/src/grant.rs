//! Grants, which give one attempt the right to run its request.

use std::sync::Arc;
use std::time::Duration;

use carobdrift_units::Instance;
use carobdrift_wire::{Attempt, Key, Query, Response};
use log::warn;

use crate::claims::Shared;
use crate::table::ClaimRow;

/// Number of attempts to deliver a settlement or a release to the deciding entry.
const DELIVERY_ATTEMPTS: u32 = 6;

/// Time limit of one delivery attempt.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before the second delivery attempt; doubles with each further one.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Right to run a request that was not dispatched yet. Dropping the grant
/// releases the claim, because the request did not run.
#[derive(Debug)]
#[must_use = "dropping a grant releases the claim"]
pub struct Grant {
    claim: Option<Claim>,
}

/// Claim whose request was dispatched and may have run. Dropping it leaves the
/// key claimed until the key expires.
#[derive(Debug)]
pub struct Dispatch {
    claim: Option<Claim>,
}

/// Claim that an attempt holds.
#[derive(Debug)]
pub(crate) struct Claim {
    pub(crate) shared: Arc<Shared>,
    pub(crate) key: Key,
    pub(crate) attempt: Attempt,
    pub(crate) location: Location,
}

/// Location of the record of a claim.
#[derive(Debug)]
pub(crate) enum Location {
    Ledger,
    Peer(Instance),
    Table(ClaimRow),
}

impl Grant {
    pub(crate) fn new(claim: Claim) -> Self {
        Self { claim: Some(claim) }
    }

    /// Marks the request as being sent to a target.
    #[must_use]
    pub fn dispatch(mut self) -> Dispatch {
        Dispatch {
            claim: self.claim.take(),
        }
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if let Some(claim) = self.claim.take() {
            claim.release();
        }
    }
}

impl Dispatch {
    /// Records that the request ran, with its response if the response is kept
    /// for replay.
    pub fn settle(self, recorded: Option<Response>) {
        if let Some(claim) = self.claim {
            claim.settle(recorded);
        }
    }

    /// Releases the claim, because the request is known not to have run.
    pub fn release(self) {
        if let Some(claim) = self.claim {
            claim.release();
        }
    }
}

impl Claim {
    fn settle(self, recorded: Option<Response>) {
        match self.location {
            Location::Ledger => {
                self.shared.ledger.settle(&self.key, self.attempt, recorded);
                self.shared.update_ledger_metric();
            }
            Location::Peer(peer) => {
                let query = Query::Settle {
                    key: self.key,
                    attempt: self.attempt,
                    recorded,
                };
                deliver(self.shared, peer, query);
            }
            Location::Table(row) => {
                spawn(async move { self.shared.table.settle(row, recorded).await });
            }
        }
    }

    pub(crate) fn release(self) {
        let scheme = match &self.location {
            Location::Table(_) => "caller",
            _ => "issued",
        };
        let released = &self.shared.metrics.released_grants;
        released.with_label_values(&[scheme]).inc();
        match self.location {
            Location::Ledger => {
                self.shared.ledger.release(&self.key, self.attempt);
            }
            Location::Peer(peer) => {
                let query = Query::Release {
                    key: self.key,
                    attempt: self.attempt,
                };
                deliver(self.shared, peer, query);
            }
            Location::Table(row) => {
                spawn(async move { self.shared.table.release(row).await });
            }
        }
    }
}

/// Delivers a settlement or a release to the deciding entry in the background.
/// If all attempts fail, the key stays claimed until it expires.
fn deliver(shared: Arc<Shared>, peer: Instance, query: Query) {
    spawn(async move {
        let mut retry_delay = FIRST_RETRY_DELAY;
        for _ in 0..DELIVERY_ATTEMPTS {
            let answer = shared
                .peers
                .query(&peer, query.clone(), DELIVERY_TIMEOUT)
                .await;
            if answer.is_ok() {
                return;
            }
            tokio::time::sleep(retry_delay).await;
            retry_delay *= 2;
        }
        warn!(target: "keys", "instance {peer} did not accept the settlement or release of a claim; its key stays claimed");
    });
}

/// Spawns a task unless the runtime has shut down, as at the end of the process.
fn spawn(task: impl Future<Output = ()> + Send + 'static) {
    if let Ok(runtime) = tokio::runtime::Handle::try_current() {
        runtime.spawn(task);
    }
}
