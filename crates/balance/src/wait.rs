//! Calls that wait for a larger share of a limit.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use tokio::time::{Instant, timeout_at};

use crate::call::{Call, Scope, Shed};
use crate::count::Stage;
use crate::pool::{Reply, Shared};

/// Longest wait for a larger share. A query is answered within a few
/// milliseconds, or within a few retries after the holder has changed.
const PATIENCE: Duration = Duration::from_millis(100);

/// Rank of a call among those of its class that wait for a larger share;
/// dropping it gives the place back.
#[derive(Debug)]
pub(crate) struct Spot(Arc<AtomicU32>);

impl Spot {
    /// Takes a place unless `waiting` calls leave no room in a queue with
    /// `room` free places.
    pub(crate) fn take(waiting: &Arc<AtomicU32>, room: u32) -> Option<Self> {
        let spot = Self(Arc::clone(waiting));
        // Dropping the spot takes the addition back.
        (waiting.fetch_add(1, Ordering::Relaxed) < room).then_some(spot)
    }
}

impl Drop for Spot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Shared {
    /// Admits a call that found the share of `scope` used up once the share
    /// suffices. Its query is on the way.
    pub(crate) async fn wait_for_share(
        self: &Arc<Self>,
        call: &Call,
        mut scope: Scope,
    ) -> Result<Reply, Shed> {
        let end = call.deadline.min(Instant::now() + PATIENCE);
        let (shares, spot) = {
            let mut state = self.lock();
            let now = Instant::now();
            let room = state.queue.room(&call.class);
            let spot = Spot::take(&state.traffic(&call.class, now).waiting, room);
            (state.shares(&call.class, now), spot)
        };
        let Some(_spot) = spot else {
            return Err(Shed::Limit(scope));
        };
        // Counts as demand for both shares, whichever the call waits for first.
        let now = Instant::now();
        let _waiting = [shares.class.wait(now), shares.service.wait(now)];
        loop {
            let quota = shares.get(scope);
            let mut changed = pin!(quota.changed());
            // Registered before the attempt, so that no change in between is
            // missed.
            changed.as_mut().enable();
            match self.admit(call, Stage::Waited) {
                Err(Shed::Limit(other)) if other != scope => {
                    quota.pass_on();
                    scope = other;
                    continue;
                }
                Err(Shed::Limit(_)) if quota.can_grow() => {}
                result => return result,
            }
            if timeout_at(end, changed).await.is_err() {
                return self.admit(call, Stage::Waited);
            }
        }
    }
}
