//! Share of one entry of limits that apply to all entries together.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use carobdrift_document::Limits;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio::time::Instant;

use crate::share::{Demand, Rank, Share, UNLIMITED, fixed_share};
use crate::usage::{Stage, Usage};

/// Factor by which the wanted share exceeds the demand of the last second, so
/// that growing load is admitted until the next grant.
const DEMAND_HEADROOM: u32 = 4;

/// Inverse of the part of a limit that an idle entry requests if callers are
/// steered to it.
const STEERED_RESERVE_DIVISOR: u32 = 8;

/// Quota of this entry for the limits of a service, a class or a team; cheap to
/// clone.
///
/// A tenth of each limit is divided into equal fixed shares for the largest
/// permitted number of entries. A grant adds to the fixed share until the grant
/// expires.
#[derive(Debug, Clone)]
pub struct Quota {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

#[derive(Debug)]
struct State {
    limits: Limits,
    max_entries: u32,
    grant: Option<Grant>,
    rank: Option<Rank>,
    even_split: Option<u32>,
    /// Whether a new report of the demand is due, because the share ran short
    /// or was recalled.
    shortage: bool,
    /// Whether other entries wait for the part of the share that this entry
    /// does not need.
    recalled: bool,
    /// Whether the last report wanted or held anything.
    reported: bool,
    shortage_notify: Option<Arc<Notify>>,
    usage: Usage,
}

#[derive(Debug, Clone, Copy)]
struct Grant {
    share: Share,
    expires: Instant,
}

/// Registration of a call that waits for a larger share. Dropping `Waiting`
/// ends the wait.
#[derive(Debug)]
pub(crate) struct Waiting<'a>(&'a Quota);

impl Quota {
    /// Creates the quota for `limits` of one of at most `max_entries` entries.
    #[must_use]
    pub fn new(limits: Limits, max_entries: u32) -> Self {
        Self {
            state: Arc::new(Mutex::new(State {
                limits,
                max_entries: max_entries.max(1),
                grant: None,
                rank: None,
                even_split: None,
                shortage: false,
                recalled: false,
                reported: false,
                shortage_notify: None,
                usage: Usage::default(),
            })),
            changed: Arc::default(),
        }
    }

    /// Replaces the limits.
    pub fn reload(&self, limits: Limits) {
        self.update(|state| state.limits = limits);
    }

    /// Adds a grant to the fixed share until `expires`. Replaces the previous
    /// grant.
    pub fn grant(&self, share: Share, expires: Instant) {
        self.update(|state| {
            state.grant = Some(Grant { share, expires });
        });
    }

    /// Raises the share to this entry's part of the whole limit, by its rank,
    /// until `expires`. A larger grant is kept. Used while no holder of the
    /// lease can grant shares.
    pub fn use_fallback(&self, expires: Instant) {
        let now = Instant::now();
        self.update(|state| {
            let granted = state
                .grant(now)
                .map(|grant| grant.share)
                .unwrap_or_default();
            if let Some(rank) = state.rank {
                let fixed = state.fixed();
                let part = |limit, fixed| rank.part(limit).saturating_sub(fixed);
                let share = Share {
                    in_flight: part(state.limits.max_in_flight, fixed.in_flight),
                    per_second: part(state.limits.max_per_second, fixed.per_second),
                };
                state.grant = Some(Grant {
                    share: share.max(granted),
                    expires,
                });
            }
        });
    }

    /// Sets the entry's rank among those that callers are steered to; `None`
    /// when callers are not steered to this entry.
    pub fn set_rank(&self, rank: Option<Rank>) {
        let mut state = self.lock();
        let is_newly_steered = state.rank.is_none() && rank.is_some();
        state.rank = rank;
        if is_newly_steered {
            state.signal_shortage();
        }
    }

    /// Divides the limits evenly by the given number of entries, leaving at
    /// least 1 to each. The result replaces the fixed share and the grant. Used
    /// for limits that no holder grants.
    pub fn set_even_split(&self, entries: Option<u32>) {
        self.update(|state| state.even_split = entries);
    }

    /// Returns the share in force at this moment.
    #[must_use]
    pub fn share(&self) -> Share {
        self.lock().share(Instant::now())
    }

    /// Returns the share that the calls of the last second would have needed:
    /// the largest number of calls in flight or waiting, and the number of
    /// calls that requested admission.
    #[must_use]
    pub fn peak_usage(&self) -> Share {
        self.lock().usage.peak(Instant::now())
    }

    /// Returns the demand and the held share beyond the fixed share; `None`
    /// when both are nothing, now and in the last report. The report is
    /// binding: the entry uses no more than it reported to hold until the next
    /// grant.
    #[must_use]
    pub fn report_demand(&self) -> Option<Demand> {
        let mut state = self.lock();
        let demand = state.report_demand(Instant::now());
        let is_needed = demand != Demand::default();
        // One more report tells the holder that nothing is held any longer.
        (std::mem::replace(&mut state.reported, is_needed) || is_needed).then_some(demand)
    }

    /// Sets the notification that is sent when the share runs short.
    pub fn notify_on_shortage(&self, shortage_notify: &Arc<Notify>) {
        let mut state = self.lock();
        if !state
            .shortage_notify
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, shortage_notify))
        {
            state.shortage_notify = Some(Arc::clone(shortage_notify));
        }
    }

    /// Requests a new report of the held share. Returns whether a granted share
    /// is held.
    #[must_use]
    pub fn recall(&self) -> bool {
        let mut state = self.lock();
        let granted = state.grant(Instant::now());
        let holds = granted.is_some_and(|grant| grant.share != Share::default());
        state.shortage |= holds;
        state.recalled |= holds;
        holds
    }

    /// Returns whether the share ran short or was recalled since the last
    /// report.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.lock().shortage
    }

    /// Returns whether a grant could raise the share.
    pub(crate) fn can_grow(&self) -> bool {
        self.lock().can_grow(Instant::now())
    }

    /// Records that a call requests admission.
    pub(crate) fn record_request(&self, now: Instant) {
        self.lock().usage.record_request(now);
    }

    /// Counts a call or an additional attempt against the share; returns
    /// whether the request was admitted.
    pub(crate) fn try_admit(&self, stage: Stage, now: Instant) -> bool {
        let mut guard = self.lock();
        let share = guard.share(now);
        let admitted = guard.usage.try_admit(share, stage, now);
        let full = guard.full_share();
        if guard.usage.is_nearly_used_up(share, full, now) {
            guard.signal_shortage();
        }
        admitted
    }

    pub(crate) fn release(&self) {
        self.update_usage(Usage::release);
    }

    /// Reverts an admission, as if it had not been requested.
    pub(crate) fn revert(&self, stage: Stage, now: Instant) {
        self.update_usage(|usage| usage.revert(stage, now));
    }

    /// Registers a call as waiting.
    pub(crate) fn wait(&self, now: Instant) -> Waiting<'_> {
        self.lock().usage.start_waiting(now);
        Waiting(self)
    }

    /// Completes when the share changes or a request ends.
    pub(crate) fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }

    /// Notifies the next waiting call instead of one that cannot use the
    /// change.
    pub(crate) fn wake_next(&self) {
        if self.lock().usage.has_waiters() {
            self.changed.notify_one();
        }
    }

    fn update_usage(&self, update: impl FnOnce(&mut Usage)) {
        let has_waiters = {
            let mut state = self.lock();
            update(&mut state.usage);
            state.usage.has_waiters()
        };
        if has_waiters {
            self.changed.notify_one();
        }
    }

    fn update(&self, update: impl FnOnce(&mut State)) {
        update(&mut self.lock());
        self.changed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.lock().usage.stop_waiting();
    }
}

impl State {
    fn fixed(&self) -> Share {
        Share {
            in_flight: fixed_share(self.limits.max_in_flight, self.max_entries),
            per_second: fixed_share(self.limits.max_per_second, self.max_entries),
        }
    }

    fn grant(&self, now: Instant) -> Option<Grant> {
        self.grant.filter(|grant| now < grant.expires)
    }

    fn full_share(&self) -> Share {
        Share {
            in_flight: self.limits.max_in_flight,
            per_second: self.limits.max_per_second,
        }
    }

    fn share(&self, now: Instant) -> Share {
        let full = self.full_share();
        if let Some(entries) = self.even_split {
            let part = |limit: u32| match limit {
                UNLIMITED => UNLIMITED,
                _ => (limit / entries.max(1)).max(limit.min(1)),
            };
            return Share {
                in_flight: part(full.in_flight),
                per_second: part(full.per_second),
            };
        }
        let granted = self.grant(now).map(|grant| grant.share);
        self.fixed()
            .saturating_add(granted.unwrap_or_default())
            .min(full)
    }

    fn can_grow(&self, now: Instant) -> bool {
        self.even_split.is_none() && self.share(now) != self.full_share()
    }

    fn report_demand(&mut self, now: Instant) -> Demand {
        self.shortage = false;
        let wanted = self.wanted(now);
        let Some(grant) = self.grant(now) else {
            self.grant = None;
            let held = Share::default();
            return Demand { wanted, held };
        };
        let kept = grant.share.min(wanted);
        self.grant = Some(Grant {
            share: kept,
            ..grant
        });
        // Requests in flight that a larger share admitted still count as held.
        let used = self.usage.current(now).saturating_sub(self.fixed());
        Demand {
            wanted,
            held: kept.max(used),
        }
    }

    fn signal_shortage(&mut self) {
        if self.shortage || !self.can_grow(Instant::now()) {
            return;
        }
        self.shortage = true;
        if let Some(shortage_notify) = &self.shortage_notify {
            shortage_notify.notify_one();
        }
    }

    fn wanted(&mut self, now: Instant) -> Share {
        let demand = self.usage.peak(now);
        let is_steered = self.rank.is_some();
        let recalled = std::mem::take(&mut self.recalled);
        let headroom = if recalled { 1 } else { DEMAND_HEADROOM };
        let part = |demand: u32, limit: u32| {
            let reserve = if is_steered {
                limit / STEERED_RESERVE_DIVISOR
            } else {
                0
            };
            demand.saturating_mul(headroom).max(reserve).min(limit)
        };
        let wanted = Share {
            in_flight: part(demand.in_flight, self.limits.max_in_flight),
            per_second: part(demand.per_second, self.limits.max_per_second),
        };
        wanted.saturating_sub(self.fixed())
    }
}
