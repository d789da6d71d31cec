//! Limit for the transfers that an entry sends at a time.
//!
//! Entries that all need the same data ask at the same time. If one link were shared
//! by all of them, each would wait for the time that all need. Few at a time get the
//! data early and then serve others.

use std::sync::{Arc, Mutex, PoisonError};

use carobdrift_units::BitRate;
use tokio::time::Instant;

use crate::fetch::STALL_TIMEOUT;

/// Bandwidth that each transfer of a link should have.
const TRANSFER_RATE: BitRate = BitRate(5_000_000);

/// Smallest number of transfers at a time, so that one receiver that has gone silent
/// does not keep others waiting.
const MIN_TRANSFERS: usize = 2;

/// Transfers that an entry sends.
#[derive(Debug)]
pub(crate) struct Transfers {
    limit: usize,
    /// Times of the last progress of the running transfers, by their numbers.
    running: Mutex<Vec<(u64, Instant)>>,
}

/// Running transfer; ends when dropped.
#[derive(Debug)]
pub(crate) struct Transfer {
    transfers: Arc<Transfers>,
    number: u64,
}

impl Transfers {
    /// Creates the limit for an entry whose link has this bandwidth.
    pub(crate) fn new(link: BitRate) -> Self {
        let limit = usize::try_from(link.0 / TRANSFER_RATE.0).unwrap_or(usize::MAX);
        Self {
            limit: limit.max(MIN_TRANSFERS),
            running: Mutex::default(),
        }
    }

    /// Begins a transfer, unless as many are running as the link should carry. Those
    /// whose receiver has given up, because nothing arrived, do not count.
    pub(crate) fn try_begin(self: &Arc<Self>, now: Instant) -> Option<Transfer> {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        let active = running
            .iter()
            .filter(|(_, progress)| now.saturating_duration_since(*progress) < STALL_TIMEOUT);
        if active.count() >= self.limit {
            return None;
        }
        let number = running.last().map_or(0, |(number, _)| number + 1);
        running.push((number, now));
        Some(Transfer {
            transfers: Arc::clone(self),
            number,
        })
    }
}

impl Transfer {
    /// Records that the connection took a part of the data.
    pub(crate) fn record_progress(&self, now: Instant) {
        let running = self.transfers.running.lock();
        let mut running = running.unwrap_or_else(PoisonError::into_inner);
        if let Some((_, progress)) = running
            .iter_mut()
            .find(|(number, _)| *number == self.number)
        {
            *progress = now;
        }
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        let running = self.transfers.running.lock();
        let mut running = running.unwrap_or_else(PoisonError::into_inner);
        running.retain(|(number, _)| *number != self.number);
    }
}
