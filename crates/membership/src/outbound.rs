//! Outbound queue and pending queries of a connection.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use carobdrift_units::Incarnation;
use carobdrift_wire::Answer;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::error::LinkError;

/// Capacity of the outbound queue of a connection, in frames.
const QUEUE_FRAMES: usize = 1_024;

/// Reason for which the connection of an [`Outbound`] is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CloseReason {
    QueueFull,
    Replaced,
}

/// Error of a frame that was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PushError {
    Full,
    Closed,
}

/// Sending side of a connection.
#[derive(Debug)]
pub(crate) struct Outbound {
    /// Incarnation of the process on the other side.
    pub(crate) incarnation: Incarnation,
    queue: mpsc::Sender<Bytes>,
    /// Queries that wait for their answer, by request number.
    pending: Mutex<HashMap<u64, oneshot::Sender<Answer>>>,
    closing: CancellationToken,
    reason: Mutex<Option<CloseReason>>,
}

impl Outbound {
    pub(crate) fn open(incarnation: Incarnation) -> (Self, mpsc::Receiver<Bytes>) {
        let (queue, frames) = mpsc::channel(QUEUE_FRAMES);
        let outbound = Self {
            incarnation,
            queue,
            pending: Mutex::default(),
            closing: CancellationToken::new(),
            reason: Mutex::new(None),
        };
        (outbound, frames)
    }

    /// Queues a frame. A full queue closes the connection.
    pub(crate) fn push(&self, frame: Bytes) -> Result<(), PushError> {
        self.queue.try_send(frame).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => {
                self.close(CloseReason::QueueFull);
                PushError::Full
            }
            mpsc::error::TrySendError::Closed(_) => PushError::Closed,
        })
    }

    /// Closes the connection because the address or the incarnation of the peer
    /// changed.
    pub(crate) fn replace(&self) {
        self.close(CloseReason::Replaced);
    }

    /// Registers a query and returns the receiver of its answer. The receiver fails
    /// when the connection is closed.
    pub(crate) fn register_query(&self, request: u64) -> oneshot::Receiver<Answer> {
        let (sender, receiver) = oneshot::channel();
        let mut pending = lock(&self.pending);
        if !self.closing.is_cancelled() {
            pending.insert(request, sender);
        }
        receiver
    }

    /// Removes a query whose caller no longer waits for the answer.
    pub(crate) fn cancel_query(&self, request: u64) {
        lock(&self.pending).remove(&request);
    }

    /// Delivers the answer to a query. An answer to a cancelled query is dropped.
    pub(crate) fn complete_query(&self, request: u64, answer: Answer) {
        if let Some(sender) = lock(&self.pending).remove(&request) {
            let _ = sender.send(answer);
        }
    }

    /// Waits until the connection has to be closed and returns the reason.
    pub(crate) async fn closing(&self) -> LinkError {
        self.closing.cancelled().await;
        match *lock(&self.reason) {
            Some(CloseReason::QueueFull) => LinkError::QueueFull,
            Some(CloseReason::Replaced) => LinkError::Replaced,
            None => LinkError::Closed,
        }
    }

    /// Fails all pending queries. Called when the connection is closed.
    pub(crate) fn fail_pending(&self) {
        self.closing.cancel();
        lock(&self.pending).clear();
    }

    fn close(&self, reason: CloseReason) {
        lock(&self.reason).get_or_insert(reason);
        self.closing.cancel();
    }
}

/// Locks a mutex and ignores poisoning: the protected values stay consistent if a
/// thread panics while it holds the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
