//! Waiting of calls for a larger share of a limit.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use tokio::time::{Instant, timeout_at};

use crate::call::{Call, Scope, Shed};
use crate::pool::{Admission, Shared};
use crate::usage::Stage;

/// Longest wait for a larger share. The holder answers a query within a few
/// milliseconds, or within a few retries after the lease has changed hands.
const SHARE_WAIT_TIMEOUT: Duration = Duration::from_millis(100);

/// Reservation of a place among the calls of a class that wait for a larger
/// share. Dropping `Reservation` frees the place.
#[derive(Debug)]
pub(crate) struct Reservation(Arc<AtomicU32>);

impl Reservation {
    /// Reserves a place; returns `None` if the waiting calls already fill the
    /// free places of the queue.
    pub(crate) fn take(waiting: &Arc<AtomicU32>, free_places: u32) -> Option<Self> {
        let reservation = Self(Arc::clone(waiting));
        // If the result is `None`, dropping the reservation reverts the
        // addition.
        (waiting.fetch_add(1, Ordering::Relaxed) < free_places).then_some(reservation)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Shared {
    /// Admits a call after the quota of `scope` was exhausted, once the share
    /// suffices. The query for a larger share has already been triggered.
    pub(crate) async fn wait_for_share(
        self: &Arc<Self>,
        call: &Call,
        mut scope: Scope,
    ) -> Result<Admission, Shed> {
        let end = call.deadline.min(Instant::now() + SHARE_WAIT_TIMEOUT);
        let (quotas, reservation) = {
            let mut state = self.lock();
            let now = Instant::now();
            let free_places = state.queue.free_places(&call.class);
            let reservation =
                Reservation::take(&state.class_state(&call.class, now).waiting, free_places);
            (state.quotas(&call.class, now), reservation)
        };
        let Some(_reservation) = reservation else {
            return Err(Shed::Limit(scope));
        };
        // Counts as demand for both quotas, whichever the call waits for first.
        let now = Instant::now();
        let _waiting = [quotas.class.wait(now), quotas.service.wait(now)];
        loop {
            let quota = quotas.get(scope);
            let mut changed = pin!(quota.changed());
            // Registered before the attempt, so that a change in between is not
            // missed.
            changed.as_mut().enable();
            match self.admit(call, Stage::AfterWait) {
                Err(Shed::Limit(other)) if other != scope => {
                    quota.wake_next();
                    scope = other;
                    continue;
                }
                Err(Shed::Limit(_)) if quota.can_grow() => {}
                result => return result,
            }
            if timeout_at(end, changed).await.is_err() {
                return self.admit(call, Stage::AfterWait);
            }
        }
    }
}
