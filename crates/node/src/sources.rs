//! Entries that are asked for data in turn.

use std::collections::HashSet;
use std::net::IpAddr;
use std::time::Duration;

use carobdrift_peers::{Answer, FetchError};
use rand::RngExt;
use rand::seq::IndexedRandom;

/// Pauses, in milliseconds, before the first entry is asked again because all known
/// ones are busy. Random, so that requesters do not ask at the same time.
const BUSY_PAUSE_MS: std::ops::Range<u64> = 80..240;

/// Number of times that all known entries may be busy. Then the fetch ends; the next
/// digest of a hub that has the data begins another one.
const MAX_ROUNDS: u32 = 40;

/// Entries that are asked for data in turn: first the one that stated to have it, and
/// while it is busy those to which it refers.
#[derive(Debug)]
pub(crate) struct Sources {
    first: IpAddr,
    /// Entries that are known to have the data and were not asked in this round.
    known: Vec<IpAddr>,
    asked: HashSet<IpAddr>,
    rounds: u32,
    failed: bool,
}

impl Sources {
    /// Creates the sources of data that `first` stated to have.
    pub(crate) fn new(first: IpAddr) -> Self {
        Self {
            first,
            known: vec![first],
            asked: HashSet::new(),
            rounds: 0,
            failed: false,
        }
    }

    /// Returns the entry to ask next, after a pause if all known ones were asked;
    /// `None` if the fetch ends.
    pub(crate) async fn next(&mut self) -> Option<IpAddr> {
        if self.failed {
            return None;
        }
        if self.known.is_empty() {
            self.rounds += 1;
            if self.rounds > MAX_ROUNDS {
                return None;
            }
            let pause = rand::rng().random_range(BUSY_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            self.asked.clear();
            self.known.push(self.first);
        }
        let source = *self.known.choose(&mut rand::rng())?;
        self.known.retain(|known| *known != source);
        self.asked.insert(source);
        Some(source)
    }

    /// Returns the data of an answer. Other answers decide who is asked next.
    pub(crate) fn resolve<T>(
        &mut self,
        source: IpAddr,
        answer: Result<Answer<T>, FetchError>,
    ) -> Option<T> {
        match answer {
            Ok(Answer::Newer(data)) => return Some(data),
            // An entry may be referred to before it has put the data in force. The
            // first one has lost the data if it started again.
            Ok(Answer::Current) => self.failed = source == self.first && self.known.is_empty(),
            Ok(Answer::Busy(others)) => {
                for other in others {
                    if !self.asked.contains(&other) && !self.known.contains(&other) {
                        self.known.push(other);
                    }
                }
            }
            Err(error) => {
                log::warn!(target: "peers", "event=fetch-failed peer={source} error=\"{error}\"");
                // The first one may be gone, and others have sent digests meanwhile.
                self.failed = source == self.first && self.known.is_empty();
            }
        }
        None
    }

    /// Allows a source to be asked again in this round.
    pub(crate) fn retry(&mut self, source: IpAddr) {
        self.known.push(source);
    }
}
