//! Choice of the connection that gives up memory or its place.
//!
//! Requests that no connection of a stalled caller would complete go first, the one
//! that has made no progress for the longest time before the others. If all requests
//! that hold memory wait for more, the one that began last gives up its part; the one
//! that began first never does, so that requests complete.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::Ledger;

/// Time without progress after which a request counts as stalled.
const STALL_TIME: Duration = Duration::from_millis(500);

/// Time for which a request waits for memory while others hold it; only the one that
/// began first waits for longer.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Time without progress after which a response counts as stalled if responses alone
/// exceed the memory.
const WRITE_STALL_TIME: Duration = Duration::from_secs(2);

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
        let requests = || {
            let holders = self.holders.iter();
            holders.filter(|(_, holder)| holder.holds_request() || holder.waiting.is_some())
        };
        let stalled = requests()
            .filter(|(_, holder)| holder.waiting.is_none() && now - holder.progress >= STALL_TIME)
            .min_by_key(|(id, holder)| (holder.progress, **id));
        if let Some((&stalled, _)) = stalled {
            self.evict(stalled, false);
            return;
        }
        let waiting = || requests().filter(|(_, holder)| holder.waiting.is_some());
        let oldest = waiting().min_by_key(|(id, holder)| (holder.started, **id));
        let youngest = waiting().max_by_key(|(id, holder)| (holder.started, **id));
        let (Some((&oldest, _)), Some((&youngest, _))) = (oldest, youngest) else {
            return;
        };
        let all_wait = waiting().count() == requests().count() && self.in_service == 0;
        if all_wait || waiting().count() > max_waiting {
            self.evict(youngest, false);
        } else if id != oldest && now - since >= MAX_WAIT {
            self.evict(id, false);
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
