//! Bodies of requests, in parts.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::buf::Limit;
use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::budget::Hold;

/// Smallest capacity of a part, in bytes.
const MIN_PART_BYTES: usize = 4 * 1024;

/// Largest capacity of a part, in bytes.
const MAX_PART_BYTES: usize = 64 * 1024;

/// Body of a request. Copies share the memory of the parts.
#[derive(Debug, Clone, Default)]
pub struct Body {
    parts: Vec<Bytes>,
    length: usize,
    /// Memory of the request in the budget of the server.
    _hold: Option<Arc<Hold>>,
}

/// Body that is being read. It grows by parts of limited size, because a buffer that
/// doubles needs up to three times the memory of the body while it is copied.
#[derive(Debug, Default)]
pub(crate) struct Segments {
    full: Vec<Bytes>,
    tail: BytesMut,
    /// Bytes of the body.
    length: usize,
    /// Capacity of all parts, in bytes.
    capacity: usize,
}

/// Bytes to send, in parts.
#[derive(Debug, Default)]
pub struct Outgoing(VecDeque<Bytes>);

impl Body {
    /// Returns the number of bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether the body has no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the parts of the body in their order.
    #[must_use]
    pub fn parts(&self) -> &[Bytes] {
        &self.parts
    }
}

impl Segments {
    /// Returns the memory of the parts, in bytes.
    pub(crate) fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns the capacity of the next part; `missing` bytes are still to come, if
    /// that is known.
    pub(crate) fn next_capacity(&self, missing: Option<u64>) -> usize {
        let missing = missing.map_or(usize::MAX, |missing| {
            usize::try_from(missing).unwrap_or(usize::MAX)
        });
        let capacity = self.length.clamp(MIN_PART_BYTES, MAX_PART_BYTES);
        capacity.min(missing)
    }

    /// Returns the number of bytes by which the next read of the body increases the
    /// memory.
    pub(crate) fn growth(&self, missing: Option<u64>) -> usize {
        if self.has_room() {
            0
        } else {
            self.next_capacity(missing)
        }
    }

    /// Returns the free end of the last part, of at most `missing` bytes.
    pub(crate) fn room(&mut self, missing: u64) -> Limit<&mut BytesMut> {
        if !self.has_room() {
            self.add_part(Some(missing));
        }
        let free = self.tail.capacity() - self.tail.len();
        let missing = usize::try_from(missing).unwrap_or(usize::MAX);
        (&mut self.tail).limit(free.min(missing))
    }

    /// Records that bytes were written to the free end of the last part.
    pub(crate) fn record(&mut self, count: usize) {
        self.length += count;
    }

    /// Appends a copy of bytes, after which `missing` bytes are still to come, if that
    /// is known.
    pub(crate) fn extend(&mut self, mut bytes: &[u8], missing: Option<u64>) {
        while !bytes.is_empty() {
            if !self.has_room() {
                let more = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
                self.add_part(missing.map(|missing| missing.saturating_add(more)));
            }
            let count = bytes.len().min(self.tail.capacity() - self.tail.len());
            self.tail.extend_from_slice(&bytes[..count]);
            self.length += count;
            bytes = &bytes[count..];
        }
    }

    /// Returns the complete body.
    pub(crate) fn into_body(mut self, hold: Option<Hold>) -> Body {
        if !self.tail.is_empty() {
            self.full.push(self.tail.freeze());
        }
        Body {
            parts: self.full,
            length: self.length,
            _hold: hold.map(Arc::new),
        }
    }

    fn has_room(&self) -> bool {
        self.tail.len() < self.tail.capacity()
    }

    fn add_part(&mut self, missing: Option<u64>) {
        let capacity = self.next_capacity(missing).max(1);
        let part = BytesMut::with_capacity(capacity);
        self.capacity += part.capacity();
        let tail = std::mem::replace(&mut self.tail, part);
        if !tail.is_empty() {
            self.full.push(tail.freeze());
        }
    }
}

impl Outgoing {
    /// Returns whether all bytes were sent.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn push(&mut self, part: Bytes) {
        if !part.is_empty() {
            self.0.push_back(part);
        }
    }

    /// Returns the first bytes that were not sent.
    pub(crate) fn chunk(&self) -> &[u8] {
        self.0.front().map_or(&[], |part| part)
    }

    /// Removes bytes of [`chunk`](Self::chunk) that were sent.
    pub(crate) fn advance(&mut self, count: usize) {
        if let Some(part) = self.0.front_mut() {
            part.advance(count);
            if part.is_empty() {
                self.0.pop_front();
            }
        }
    }

    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }
}

impl From<Bytes> for Outgoing {
    fn from(bytes: Bytes) -> Self {
        let mut outgoing = Self::default();
        outgoing.push(bytes);
        outgoing
    }
}
