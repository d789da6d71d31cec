//! This entry's share of limits that hold over all entries.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use carobdrift_document::Limits;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio::time::Instant;

use crate::count::{Count, Stage};
use crate::share::{Demand, Rank, Share, UNLIMITED, fixed_share};

/// Times its demand of the last second that an entry wants, so that a load
/// that grows finds room until the next grant.
const HEADROOM: u32 = 4;

/// Part of a limit, as a divisor, that an entry wants while it is idle if
/// callers are steered to it.
const RESERVE: u32 = 8;

/// This entry's share of the limits of a service, a class or a team; cheap to
/// clone.
///
/// A tenth of each limit is divided into equal fixed shares for the largest
/// permitted number of entries. A grant adds to the fixed share until it
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
    split: Option<u32>,
    /// Whether a new statement is due: the share ran short or was recalled.
    short: bool,
    /// Whether others wait for what this entry does not need.
    recalled: bool,
    /// Whether anything was wanted or held in the last statement.
    stated: bool,
    alarm: Option<Arc<Notify>>,
    count: Count,
}

#[derive(Debug, Clone, Copy)]
struct Grant {
    share: Share,
    expires: Instant,
}

/// A call that waits for a larger share; dropping it ends the wait.
#[derive(Debug)]
pub(crate) struct Waiting<'a>(&'a Quota);

impl Quota {
    /// Opens the share of `limits` for one of at most `max_entries` entries.
    #[must_use]
    pub fn new(limits: Limits, max_entries: u32) -> Self {
        Self {
            state: Arc::new(Mutex::new(State {
                limits,
                max_entries: max_entries.max(1),
                grant: None,
                rank: None,
                split: None,
                short: false,
                recalled: false,
                stated: false,
                alarm: None,
                count: Count::default(),
            })),
            changed: Arc::default(),
        }
    }

    /// Replaces the limits.
    pub fn reload(&self, limits: Limits) {
        self.change(|state| state.limits = limits);
    }

    /// Adds a grant to the fixed share until `expires`; replaces the last one.
    pub fn grant(&self, share: Share, expires: Instant) {
        self.change(|state| {
            state.grant = Some(Grant { share, expires });
        });
    }

    /// Takes the place's part of the whole limit until `expires`, where the
    /// grant in force is smaller. For times in which nobody can grant more.
    pub fn use_fallback(&self, expires: Instant) {
        let now = Instant::now();
        self.change(|state| {
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

    /// States the entry's place among those that callers are steered to; `None`
    /// when they are not steered to it.
    pub fn set_rank(&self, rank: Option<Rank>) {
        let mut state = self.lock();
        let appears = state.rank.is_none() && rank.is_some();
        state.rank = rank;
        if appears {
            state.raise_alarm();
        }
    }

    /// With a number of entries, uses the limits divided by it, at least 1, in
    /// place of fixed share and grant. For limits that nobody grants.
    pub fn set_even_split(&self, entries: Option<u32>) {
        self.change(|state| state.split = entries);
    }

    /// The share in force at this moment.
    #[must_use]
    pub fn share(&self) -> Share {
        self.lock().share(Instant::now())
    }

    /// The share that the calls of the last second would have needed: the
    /// largest number in flight or waiting, and the calls that asked.
    #[must_use]
    pub fn peak_usage(&self) -> Share {
        self.lock().count.peak_usage(Instant::now())
    }

    /// What is wanted and held besides the fixed share; `None` when that is
    /// nothing and was nothing the last time. The statement is binding: the
    /// entry uses no more from now on until the next grant.
    #[must_use]
    pub fn report_demand(&self) -> Option<Demand> {
        let mut state = self.lock();
        let statement = state.state(Instant::now());
        let is_needed = statement != Demand::default();
        // What was stated before is given back by one more statement.
        (std::mem::replace(&mut state.stated, is_needed) || is_needed).then_some(statement)
    }

    /// Notifies `alarm` when the share runs short.
    pub fn notify_on_shortage(&self, alarm: &Arc<Notify>) {
        let mut state = self.lock();
        if !state
            .alarm
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, alarm))
        {
            state.alarm = Some(Arc::clone(alarm));
        }
    }

    /// Requires a new statement of what is held. Returns whether anything is.
    #[must_use]
    pub fn recall(&self) -> bool {
        let mut state = self.lock();
        let granted = state.grant(Instant::now());
        let holds = granted.is_some_and(|grant| grant.share != Share::default());
        state.short |= holds;
        state.recalled |= holds;
        holds
    }

    /// Whether the share ran short or was recalled since it was last stated.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.lock().short
    }

    /// Whether a grant could make the share larger.
    pub(crate) fn can_grow(&self) -> bool {
        self.lock().can_grow(Instant::now())
    }

    /// Counts a call as asking for admission.
    pub(crate) fn ask(&self, now: Instant) {
        self.lock().count.ask(now);
    }

    /// Admits a call or one more attempt of an admitted call.
    pub(crate) fn enter(&self, stage: Stage, now: Instant) -> bool {
        let mut guard = self.lock();
        let share = guard.share(now);
        let entered = guard.count.enter(share, stage, now);
        let whole = guard.whole();
        if guard.count.runs_short(share, whole, now) {
            guard.raise_alarm();
        }
        entered
    }

    pub(crate) fn leave(&self) {
        self.vacate(Count::leave);
    }

    /// Takes an admission back as if it had not been asked for.
    pub(crate) fn undo(&self, stage: Stage, now: Instant) {
        self.vacate(|count| count.undo(stage, now));
    }

    /// Counts a call as waiting.
    pub(crate) fn wait(&self, now: Instant) -> Waiting<'_> {
        self.lock().count.wait(now);
        Waiting(self)
    }

    /// Wakes when the share changed or a request ended.
    pub(crate) fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }

    /// Wakes the next waiting call in place of one that had no use for it.
    pub(crate) fn pass_on(&self) {
        if self.lock().count.is_awaited() {
            self.changed.notify_one();
        }
    }

    fn vacate(&self, change: impl FnOnce(&mut Count)) {
        let awaited = {
            let mut state = self.lock();
            change(&mut state.count);
            state.count.is_awaited()
        };
        if awaited {
            self.changed.notify_one();
        }
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.lock());
        self.changed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.lock().count.stop_waiting();
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

    fn whole(&self) -> Share {
        Share {
            in_flight: self.limits.max_in_flight,
            per_second: self.limits.max_per_second,
        }
    }

    fn share(&self, now: Instant) -> Share {
        let whole = self.whole();
        if let Some(entries) = self.split {
            let part = |limit: u32| match limit {
                UNLIMITED => UNLIMITED,
                _ => (limit / entries.max(1)).max(limit.min(1)),
            };
            return Share {
                in_flight: part(whole.in_flight),
                per_second: part(whole.per_second),
            };
        }
        let granted = self.grant(now).map(|grant| grant.share);
        self.fixed()
            .saturating_add(granted.unwrap_or_default())
            .min(whole)
    }

    fn can_grow(&self, now: Instant) -> bool {
        self.split.is_none() && self.share(now) != self.whole()
    }

    fn state(&mut self, now: Instant) -> Demand {
        self.short = false;
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
        // Requests that were admitted under a larger share still count.
        let used = self.count.used(now).saturating_sub(self.fixed());
        Demand {
            wanted,
            held: kept.max(used),
        }
    }

    fn raise_alarm(&mut self) {
        if self.short || !self.can_grow(Instant::now()) {
            return;
        }
        self.short = true;
        if let Some(alarm) = &self.alarm {
            alarm.notify_one();
        }
    }

    fn wanted(&mut self, now: Instant) -> Share {
        let demand = self.count.peak_usage(now);
        let steered = self.rank.is_some();
        let recalled = std::mem::take(&mut self.recalled);
        let headroom = if recalled { 1 } else { HEADROOM };
        let part = |demand: u32, limit: u32| {
            let reserve = if steered { limit / RESERVE } else { 0 };
            demand.saturating_mul(headroom).max(reserve).min(limit)
        };
        let want = Share {
            in_flight: part(demand.in_flight, self.limits.max_in_flight),
            per_second: part(demand.per_second, self.limits.max_per_second),
        };
        want.saturating_sub(self.fixed())
    }
}
