//! Outbound queue of one connection.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use carobdrift_units::Incarnation;
use carobdrift_wire::Answer;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::error::LinkError;

/// Frames that wait to be written to one connection.
const QUEUE_FRAMES: usize = 1_024;

/// Why the connection of an [`Outbound`] must close.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reason {
    QueueFull,
    Replaced,
}

/// Why a frame was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PushError {
    Full,
    Closed,
}

/// Sending side of one connection.
#[derive(Debug)]
pub(crate) struct Outbound {
    /// Incarnation of the process on the other side.
    pub(crate) incarnation: Incarnation,
    queue: mpsc::Sender<Bytes>,
    pending: Mutex<HashMap<u64, oneshot::Sender<Answer>>>,
    closing: CancellationToken,
    reason: Mutex<Option<Reason>>,
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
                self.close(Reason::QueueFull);
                PushError::Full
            }
            mpsc::error::TrySendError::Closed(_) => PushError::Closed,
        })
    }

    /// Makes the connection close because the peer moved or restarted.
    pub(crate) fn replace(&self) {
        self.close(Reason::Replaced);
    }

    /// Registers a query, whose answer arrives at the receiver. The receiver
    /// fails once the connection has closed.
    pub(crate) fn expect(&self, request: u64) -> oneshot::Receiver<Answer> {
        let (sender, receiver) = oneshot::channel();
        let mut pending = lock(&self.pending);
        if !self.closing.is_cancelled() {
            pending.insert(request, sender);
        }
        receiver
    }

    /// Drops a query that nobody waits for any more.
    pub(crate) fn forget(&self, request: u64) {
        lock(&self.pending).remove(&request);
    }

    /// Hands an answer to its query. Late answers have no taker.
    pub(crate) fn settle(&self, request: u64, answer: Answer) {
        if let Some(sender) = lock(&self.pending).remove(&request) {
            let _ = sender.send(answer);
        }
    }

    /// Waits until the connection has to close, and tells why.
    pub(crate) async fn closing(&self) -> LinkError {
        self.closing.cancelled().await;
        match *lock(&self.reason) {
            Some(Reason::QueueFull) => LinkError::QueueFull,
            Some(Reason::Replaced) => LinkError::Replaced,
            None => LinkError::Closed,
        }
    }

    /// Fails all queries that still wait; called once the connection is closed.
    pub(crate) fn shut(&self) {
        self.closing.cancel();
        lock(&self.pending).clear();
    }

    fn close(&self, reason: Reason) {
        lock(&self.reason).get_or_insert(reason);
        self.closing.cancel();
    }
}

/// Locks a mutex; a panic elsewhere leaves the plain values behind it usable.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
