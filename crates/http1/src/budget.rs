//! Budget of a server for memory and connections.
//!
//! Every connection has a [`Share`]. What it holds of a request that is being read
//! counts towards the memory, and so does a [`Hold`] on a request that is being
//! served or on a response. A connection that would exceed the memory stops reading.
//! If no memory becomes free, connections are refused in the order of [`victim`].

mod victim;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::reader::ReadError;

pub(crate) use victim::{Holder, Phase};

/// Size of the kernel's receive buffer of a connection in bytes. The kernel counts
/// twice as much. A caller 16 ms away can still send 16 MB per second.
pub(crate) const RECEIVE_BUFFER_BYTES: usize = 256 * 1024;

/// Memory that the kernel uses for a full receive buffer, in bytes.
const UNREAD_BYTES: usize = 2 * RECEIVE_BUFFER_BYTES;

/// Part of the memory of a machine that requests and responses may use, in
/// sixteenths. The rest is for the state of the process and for the kernel. With 160 MB,
/// a request of 64 MiB fits beside 1,000 idle connections.
const MEMORY_SIXTEENTHS: u64 = 9;

/// Part of the memory of a machine for unread bytes of connections that wait for
/// memory: one of this many.
const UNREAD_SHARE: u64 = 8;

/// Descriptors that are not for connections.
const FILE_DESCRIPTORS: usize = 200;

/// Part of the other descriptors that callers may use: one of this many. The rest is
/// for connections to targets, other entries and the store.
const CALLER_SHARE: usize = 2;

/// Part of the memory that only small requests may use: one of this many.
const SMALL_SHARE: usize = 8;

/// Largest size of a small request, in bytes.
const SMALL_REQUEST_BYTES: usize = 64 * 1024;

/// Memory of a connection without a request, in bytes, rounded up from the
/// measurement in `docs/design/memory.md`.
const CONNECTION_BYTES: usize = 8 * 1024;

/// Bytes that a connection must deliver to count as making progress.
const PROGRESS_BYTES: usize = 16 * 1024;

/// Time between two searches for memory by a waiting connection.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Resources that the connections of a server may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Capacity {
    /// Memory of requests and responses, in bytes.
    pub memory: usize,
    /// Number of connections of callers.
    pub connections: usize,
    /// Number of connections that may wait for memory. The kernel holds unread bytes
    /// of each.
    pub waiting: usize,
}

/// Budget of one server.
#[derive(Debug, Clone)]
pub struct Budget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    capacity: Capacity,
    ledger: Mutex<Ledger>,
    /// Notified when memory or a connection became free.
    freed: Notify,
}

#[derive(Debug, Default)]
struct Ledger {
    /// Memory of all connections and holds, in bytes.
    held: usize,
    /// Part of it that holds have, in bytes.
    in_service: usize,
    next_id: u64,
    holders: HashMap<u64, Holder>,
    /// Requests that were refused since the start.
    refused: u64,
    /// Connections that were closed for others since the start.
    closed: u64,
    /// Time of the last log line.
    logged: Option<Instant>,
}

/// Share of one connection in a budget.
#[derive(Debug)]
pub(crate) struct Share {
    budget: Budget,
    id: u64,
    evicted: Arc<Notify>,
}

/// Memory of a request that is being served, or of a response. Dropping it returns
/// the memory.
#[derive(Debug)]
pub(crate) struct Hold {
    budget: Budget,
    bytes: usize,
}

impl Capacity {
    /// Derives the capacity from the memory of a machine in bytes and the number of
    /// descriptors that the process may open.
    #[must_use]
    pub fn of_machine(memory: u64, descriptors: usize) -> Self {
        let size = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
        Self {
            memory: size(memory / 16 * MEMORY_SIXTEENTHS),
            connections: (descriptors.saturating_sub(FILE_DESCRIPTORS) / CALLER_SHARE).max(1),
            waiting: (size(memory / UNREAD_SHARE) / UNREAD_BYTES).max(1),
        }
    }
}

impl Budget {
    /// Creates a budget of which nothing is in use.
    #[must_use]
    pub fn new(capacity: Capacity) -> Self {
        Self(Arc::new(Shared {
            capacity,
            ledger: Mutex::default(),
            freed: Notify::new(),
        }))
    }

    /// Returns the memory in use, in bytes.
    #[must_use]
    pub fn held(&self) -> usize {
        self.lock().held
    }

    /// Waits until another connection may be accepted. Closes the connection that
    /// has made no progress for the longest time, if that is needed.
    pub(crate) async fn connection_available(&self) {
        loop {
            let freed = self.0.freed.notified();
            {
                let mut ledger = self.lock();
                if ledger.holders.len() < self.0.capacity.connections {
                    return;
                }
                ledger.evict_connection();
            }
            let _ = tokio::time::timeout(RETRY_INTERVAL, freed).await;
        }
    }

    /// Adds a connection.
    pub(crate) fn admit(&self) -> Share {
        let mut ledger = self.lock();
        let id = ledger.next_id;
        ledger.next_id += 1;
        let holder = Holder::new(Instant::now());
        let evicted = Arc::clone(&holder.wake);
        ledger.holders.insert(id, holder);
        ledger.held += CONNECTION_BYTES;
        Share {
            budget: self.clone(),
            id,
            evicted,
        }
    }

    /// Counts memory that can't be refused, because it is already in use.
    pub(crate) fn hold(&self, bytes: usize) -> Hold {
        let mut ledger = self.lock();
        ledger.held += bytes;
        ledger.in_service += bytes;
        if ledger.held > self.0.capacity.memory {
            ledger.evict_writer(Instant::now());
        }
        Hold {
            budget: self.clone(),
            bytes,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.0.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Ledger {
    /// Lets a connection hold `total` bytes if `limit` allows that. A large request may
    /// not take what the large request that began first needs to complete.
    fn try_grow(&mut self, id: u64, total: usize, limit: usize) -> bool {
        let held = self.holders.get(&id).map_or(0, |holder| holder.held);
        let sum = (self.held - held).saturating_add(total);
        if total > held {
            // What is kept is less than what is held, so that a search is seldom needed.
            let is_near = sum.saturating_add(self.held) > limit;
            let kept = if total > SMALL_REQUEST_BYTES && is_near {
                self.kept_for_oldest(id)
            } else {
                0
            };
            if sum.saturating_add(kept) > limit {
                return false;
            }
        }
        self.set(id, total);
        true
    }

    /// Records that a connection holds `total` bytes.
    fn set(&mut self, id: u64, total: usize) {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        if holder.held == 0 && total > 0 && holder.waiting.is_none() {
            holder.restart();
        }
        self.held = self.held - holder.held + total;
        holder.held = total;
        holder.waiting = None;
    }
}

impl Share {
    /// Returns the budget.
    pub(crate) fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Waits until the connection may hold `total` bytes of the request that it
    /// reads, of which `missing` bytes have not arrived, if that is known. Cancel-safe.
    ///
    /// # Errors
    ///
    /// Fails when the request is refused in favour of others.
    pub(crate) async fn reserve(
        &self,
        total: usize,
        missing: Option<u64>,
    ) -> Result<(), ReadError> {
        let capacity = self.budget.0.capacity;
        let limit = if total <= SMALL_REQUEST_BYTES {
            capacity.memory
        } else {
            capacity.memory - capacity.memory / SMALL_SHARE
        };
        loop {
            let freed = self.budget.0.freed.notified();
            {
                let mut ledger = self.budget.lock();
                ledger.expect(self.id, missing);
                if ledger.try_grow(self.id, total, limit) {
                    return Ok(());
                }
                ledger.relieve(self.id, capacity.waiting, Instant::now());
                if ledger.is_evicted(self.id) {
                    return Err(ReadError::Overloaded);
                }
            }
            let _ = tokio::time::timeout(RETRY_INTERVAL, freed).await;
        }
    }

    /// Records that the connection holds `total` bytes of the request that it reads,
    /// at most as many as were reserved, and that `received` bytes arrived.
    pub(crate) fn settle(&self, total: usize, received: usize) {
        let mut ledger = self.budget.lock();
        let before = ledger.held;
        ledger.set(self.id, total);
        let is_freed = ledger.held < before;
        if let Some(holder) = ledger.holders.get_mut(&self.id) {
            holder.receive(received, PROGRESS_BYTES);
        }
        drop(ledger);
        if is_freed {
            self.budget.0.freed.notify_waiters();
        }
    }

    /// Moves what the connection holds of a complete request to a hold.
    pub(crate) fn complete(&self) -> Hold {
        let mut ledger = self.budget.lock();
        let mut bytes = 0;
        if let Some(holder) = ledger.holders.get_mut(&self.id) {
            bytes = std::mem::take(&mut holder.held);
            holder.restart();
        }
        ledger.in_service += bytes;
        Hold {
            budget: self.budget.clone(),
            bytes,
        }
    }

    /// Records what the connection is doing.
    pub(crate) fn set_phase(&self, phase: Phase) {
        let mut ledger = self.budget.lock();
        if let Some(holder) = ledger.holders.get_mut(&self.id) {
            holder.set_phase(phase);
        }
    }

    /// Records that the caller took a part of a response.
    pub(crate) fn record_written(&self) {
        let mut ledger = self.budget.lock();
        if let Some(holder) = ledger.holders.get_mut(&self.id) {
            holder.written = Instant::now();
        }
    }

    /// Waits until the connection is to give up the request that it reads. Returns
    /// whether the connection itself is to be closed.
    pub(crate) async fn evicted(&self) -> bool {
        loop {
            let notified = self.evicted.notified();
            if let Some(closes) = self.eviction() {
                return closes;
            }
            notified.await;
        }
    }

    /// Waits until the connection is to be closed.
    pub(crate) async fn closed(&self) {
        loop {
            let notified = self.evicted.notified();
            if self.eviction() == Some(true) {
                return;
            }
            notified.await;
        }
    }

    fn eviction(&self) -> Option<bool> {
        let ledger = self.budget.lock();
        ledger.holders.get(&self.id)?.evicted
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let mut ledger = self.budget.lock();
        if let Some(holder) = ledger.holders.remove(&self.id) {
            ledger.held -= holder.held + CONNECTION_BYTES;
        }
        drop(ledger);
        self.budget.0.freed.notify_waiters();
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut ledger = self.budget.lock();
        ledger.held -= self.bytes;
        ledger.in_service -= self.bytes;
        drop(ledger);
        self.budget.0.freed.notify_waiters();
    }
}
