//! Choice of the connection that gives up memory or its place.
//!
//! Requests whose callers are stalled go first, the one that has made no progress for
//! the longest time before the others. If the large request that began first waits for
//! more memory than others may free, the one that began last gives up its part. The one
//! that began first never does, so that requests complete.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::{Ledger, SMALL_REQUEST_BYTES};

/// Time without progress after which a request counts as stalled.
const STALL_TIME: Duration = Duration::from_millis(500);

/// Time for which a request waits for memory while others hold it; only the one that
/// began first waits for longer.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Time without progress after which a response counts as stalled if responses alone
/// exceed the memory.
const WRITE_STALL_TIME: Duration = Duration::from_secs(2);

/// Bytes that a request is expected to need if it does not state its length.
const UNKNOWN_MISSING_BYTES: usize = 64 * 1024;

/// Shortest time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// No request is complete; a part of one may have been read.
    Idle,
    /// Requests are being served.
    Serving,
    /// A response is being written.
    Writing,
}

/// Connection that uses a budget.
#[derive(Debug)]
pub(crate) struct Holder {
    /// Memory of the request that is being read, in bytes.
    pub(super) held: usize,
    phase: Phase,
    /// Start of the request that is being read.
    started: Instant,
    /// Time of the last progress of reading.
    progress: Instant,
    /// Bytes that were received since then.
    received: usize,
    /// Bytes of the request that have not arrived.
    missing: usize,
    /// Time at which the caller last took a part of a response.
    pub(super) written: Instant,
    /// Start of the wait for memory.
    pub(super) waiting: Option<Instant>,
    /// Whether the connection is to be closed, if it was evicted.
    pub(super) evicted: Option<bool>,
    pub(super) wake: Arc<Notify>,
}

impl Holder {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            held: 0,
            phase: Phase::Idle,
            started: now,
            progress: now,
            received: 0,
            missing: 0,
            written: now,
            waiting: None,
            evicted: None,
            wake: Arc::default(),
        }
    }

    /// Records received bytes, which are progress from `enough` bytes on.
    pub(super) fn receive(&mut self, bytes: usize, enough: usize) {
        self.received += bytes;
        if self.received >= enough {
            self.received = 0;
            self.progress = Instant::now();
        }
    }

    /// Begins another request.
    pub(super) fn restart(&mut self) {
        let now = Instant::now();
        self.started = now;
        self.progress = now;
        self.received = 0;
        self.waiting = None;
    }

    pub(super) fn set_phase(&mut self, phase: Phase) {
        if phase == self.phase {
            return;
        }
        if phase == Phase::Writing {
            self.written = Instant::now();
        }
        self.phase = phase;
    }

    fn evict(&mut self, closes: bool) {
        self.evicted = Some(closes);
        self.wake.notify_one();
    }

    /// Whether the connection holds a part of a request and may lose it.
    fn holds_request(&self) -> bool {
        self.held > 0 && self.evicted.is_none()
    }
}

impl Ledger {
    pub(super) fn is_evicted(&self, id: u64) -> bool {
        let holder = self.holders.get(&id);
        holder.is_some_and(|holder| holder.evicted.is_some())
    }

    /// Records how many bytes of its request a connection still expects.
    pub(super) fn expect(&mut self, id: u64, missing: Option<u64>) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.missing = missing.map_or(UNKNOWN_MISSING_BYTES, |missing| {
                usize::try_from(missing).unwrap_or(usize::MAX)
            });
        }
    }

    /// Returns the memory that is kept for the large request that began first, unless
    /// it is the one of connection `id`. A request gets as much as it has used at most:
    /// an announcement alone costs its caller nothing.
    pub(super) fn kept_for_oldest(&self, id: u64) -> usize {
        match self.oldest_large() {
            Some((oldest, holder)) if oldest != id => holder.missing.min(holder.held),
            _ => 0,
        }
    }

    fn oldest_large(&self) -> Option<(u64, &Holder)> {
        let large = self.holders.iter().filter(|(_, holder)| {
            holder.holds_request()
                && holder.held.saturating_add(holder.missing) > SMALL_REQUEST_BYTES
        });
        large
            .map(|(id, holder)| (*id, holder))
            .min_by_key(|(id, holder)| (holder.started, *id))
    }

    /// Looks for memory for the connection `id`, of which at most `max_waiting` may
    /// wait at a time.
    pub(super) fn relieve(&mut self, id: u64, max_waiting: usize, now: Instant) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        if holder.held == 0 && holder.waiting.is_none() {
            holder.restart();
        }
        let since = *holder.waiting.get_or_insert(now);
        // The memory of evicted requests is about to become free.
        let evicting = |holder: &Holder| holder.evicted.is_some() && holder.held > 0;
        if self.holders.values().any(evicting) {
            return;
        }
        if let Some(stalled) = self.longest_stalled(now) {
            self.evict(stalled, false);
            return;
        }
        let waiting = || {
            let holders = self.holders.iter();
            holders.filter(|(_, holder)| holder.waiting.is_some() && holder.evicted.is_none())
        };
        let Some((&first, _)) = waiting().min_by_key(|(id, holder)| (holder.started, **id)) else {
            return;
        };
        // Those that hold much free more.
        let last = waiting()
            .filter(|(id, _)| **id != first)
            .max_by_key(|(id, holder)| (holder.held > SMALL_REQUEST_BYTES, holder.started, **id));
        let last = last.map_or(first, |(id, _)| *id);
        if self.is_stuck() || waiting().count() > max_waiting {
            self.evict(last, false);
        } else if id != first && now - since >= MAX_WAIT {
            self.evict(id, false);
        }
    }

    /// Returns the request that has made no progress for the longest time, if it is
    /// stalled through its caller.
    fn longest_stalled(&self, now: Instant) -> Option<u64> {
        let stalled = self.holders.iter().filter(|(_, holder)| {
            holder.holds_request()
                && holder.waiting.is_none()
                && now - holder.progress >= STALL_TIME
        });
        let first = stalled.min_by_key(|(id, holder)| (holder.progress, **id));
        first.map(|(id, _)| *id)
    }

    /// Whether what may become free without a refusal is less than the request that
    /// began first waits for.
    fn is_stuck(&self) -> bool {
        let requests = self
            .holders
            .values()
            .filter(|holder| holder.holds_request());
        let reading = requests.filter(|holder| holder.waiting.is_none());
        let may_free = self.in_service + reading.map(|holder| holder.held).sum::<usize>();
        match self.oldest_large() {
            Some((_, oldest)) => oldest.waiting.is_some() && may_free < oldest.missing,
            None => may_free == 0,
        }
    }

    /// Closes the response that has made no progress for the longest time, if it is
    /// stalled.
    pub(super) fn evict_writer(&mut self, now: Instant) {
        let stalled = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.phase == Phase::Writing && holder.evicted.is_none())
            .filter(|(_, holder)| now - holder.written >= WRITE_STALL_TIME)
            .min_by_key(|(id, holder)| (holder.written, **id));
        if let Some((&stalled, _)) = stalled {
            self.evict(stalled, true);
        }
    }

    /// Closes the connection that has been idle for the longest time or, if none is
    /// idle, the one whose request has made no progress for the longest time.
    pub(super) fn evict_connection(&mut self) {
        let closing = |holder: &Holder| holder.evicted == Some(true);
        if self.holders.values().any(closing) {
            return;
        }
        let victim = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.phase == Phase::Idle)
            .min_by_key(|(id, holder)| (holder.held > 0, holder.progress, **id));
        if let Some((&victim, _)) = victim {
            self.evict(victim, true);
        }
    }

    fn evict(&mut self, id: u64, closes: bool) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.evict(closes);
        }
        if closes {
            self.closed += 1;
        } else {
            self.refused += 1;
        }
        let now = Instant::now();
        if self
            .logged
            .is_none_or(|logged| now - logged >= LOG_INTERVAL)
        {
            self.logged = Some(now);
            log::warn!(
                target: "caller",
                "event=over-budget refused={} closed={} held={} connections={}",
                self.refused, self.closed, self.held, self.holders.len()
            );
        }
    }
}
