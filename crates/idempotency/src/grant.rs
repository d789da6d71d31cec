//! Grants: the right of one attempt to run its request.

use std::sync::Arc;
use std::time::Duration;

use carobdrift_units::Instance;
use carobdrift_wire::{Attempt, Key, Query, Response};
use log::warn;

use crate::claims::Core;
use crate::table::Claimed;

/// Tries to hand a settlement or a release to the deciding entry.
const TRIES: u32 = 6;

/// Time that one try waits for the deciding entry.
const TRY_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause before the second try; doubles with each further one.
const PAUSE: Duration = Duration::from_millis(100);

/// The right to run a request that was not dispatched yet. Dropping it gives
/// the claim back, because the request did not run.
#[derive(Debug)]
#[must_use = "dropping a grant gives the claim back"]
pub struct Grant {
    claim: Option<Claim>,
}

/// A claim whose request was dispatched and may have run. Dropping it leaves
/// the key claimed until it expires.
#[derive(Debug)]
pub struct Dispatch {
    claim: Option<Claim>,
}

/// A claim that an attempt holds.
#[derive(Debug)]
pub(crate) struct Claim {
    pub(crate) core: Arc<Core>,
    pub(crate) key: Key,
    pub(crate) attempt: Attempt,
    pub(crate) place: Place,
}

/// Where the claim is recorded.
#[derive(Debug)]
pub(crate) enum Place {
    Ledger,
    Peer(Instance),
    Table(Claimed),
}

impl Grant {
    pub(crate) fn new(claim: Claim) -> Self {
        Self { claim: Some(claim) }
    }

    /// States that the request is being sent to a target now.
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
    /// Records that the request ran, with its response when it was kept.
    pub fn settle(self, recorded: Option<Response>) {
        if let Some(claim) = self.claim {
            claim.settle(recorded);
        }
    }

    /// Gives the claim back, because the request was truly not run.
    pub fn release(self) {
        if let Some(claim) = self.claim {
            claim.release();
        }
    }
}

impl Claim {
    fn settle(self, recorded: Option<Response>) {
        match self.place {
            Place::Ledger => {
                self.core.ledger.settle(&self.key, self.attempt, recorded);
                self.core.observe_ledger();
            }
            Place::Peer(peer) => {
                let query = Query::Settle {
                    key: self.key,
                    attempt: self.attempt,
                    recorded,
                };
                deliver(self.core, peer, query);
            }
            Place::Table(claimed) => {
                spawn(async move { self.core.table.settle(claimed, recorded).await });
            }
        }
    }

    pub(crate) fn release(self) {
        let scheme = match &self.place {
            Place::Table(_) => "caller",
            _ => "issued",
        };
        let released = &self.core.metrics.late_grants;
        released.with_label_values(&[scheme]).inc();
        match self.place {
            Place::Ledger => {
                self.core.ledger.release(&self.key, self.attempt);
            }
            Place::Peer(peer) => {
                let query = Query::Release {
                    key: self.key,
                    attempt: self.attempt,
                };
                deliver(self.core, peer, query);
            }
            Place::Table(claimed) => {
                spawn(async move { self.core.table.release(claimed).await });
            }
        }
    }
}

/// Hands a settlement or a release to the deciding entry in the background.
/// When all tries fail the key stays claimed until it expires.
fn deliver(core: Arc<Core>, peer: Instance, query: Query) {
    spawn(async move {
        let mut pause = PAUSE;
        for _ in 0..TRIES {
            let answer = core.peers.query(&peer, query.clone(), TRY_TIMEOUT).await;
            if answer.is_ok() {
                return;
            }
            tokio::time::sleep(pause).await;
            pause *= 2;
        }
        warn!(target: "keys", "instance {peer} did not take the end of a claim; its key stays claimed");
    });
}

/// Runs a task unless the runtime is gone, as it is at the end of a process.
fn spawn(task: impl Future<Output = ()> + Send + 'static) {
    if let Ok(runtime) = tokio::runtime::Handle::try_current() {
        runtime.spawn(task);
    }
}
