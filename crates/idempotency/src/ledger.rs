//! Records of the keys that this process issued.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use carobdrift_units::{ByteSize, Incarnation, Instance, Millis};
use carobdrift_wire::{Answer, Attempt, Decision, Fingerprint, Key, Query, Response};
use tokio::time::Instant;

use crate::prefix::Prefix;

/// Maximum size of a response body that is kept for replay.
pub const MAX_RECORDED_BODY_BYTES: usize = 16 * 1024;

/// Estimated memory of a record without its key and its response.
const RECORD_OVERHEAD_BYTES: usize = 160;

/// Limits of a ledger.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Time after its issue for which a key is valid.
    pub lifetime: Duration,
    /// Memory limit of all records. Beyond the limit the records of the oldest
    /// issue times are evicted.
    pub memory: ByteSize,
}

impl Default for Limits {
    /// Returns a lifetime of 10 minutes and a memory limit of 64 MiB.
    fn default() -> Self {
        Self {
            lifetime: Duration::from_mins(10),
            memory: ByteSize(64 * 1024 * 1024),
        }
    }
}

/// Ledger that decides on the keys that this process issued; cheap to clone.
///
/// A key whose record was dropped is refused because of its issue time, so
/// dropping a record never permits a second run.
#[derive(Debug, Clone)]
pub struct Ledger {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    instance: Instance,
    incarnation: Incarnation,
    start: Instant,
    limits: Limits,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Oldest issue time of valid keys; keys issued before are refused.
    oldest_valid_ms: u64,
    /// Records by the issue time of their keys.
    records: BTreeMap<u64, HashMap<Key, Record>>,
    /// Estimated memory of all records.
    memory_bytes: usize,
}

/// Record of a key.
#[derive(Debug)]
struct Record {
    attempt: Attempt,
    fingerprint: Fingerprint,
    progress: Progress,
}

/// Progress of a claim.
#[derive(Debug)]
enum Progress {
    Claimed,
    /// The request ran; the response is absent if it was not kept.
    Settled(Option<Arc<Response>>),
    Released,
}

impl Ledger {
    /// Creates the ledger of a process. Issue times are relative to its creation.
    #[must_use]
    pub fn open(instance: Instance, incarnation: Incarnation, limits: Limits) -> Self {
        let shared = Shared {
            instance,
            incarnation,
            start: Instant::now(),
            limits,
            state: Mutex::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Issues a prefix for the keys of one caller.
    #[must_use]
    pub fn prefix(&self) -> Prefix {
        Prefix {
            instance: self.shared.instance.clone(),
            incarnation: self.shared.incarnation,
            issued_ms: self.elapsed_ms(),
            nonce: rand::random(),
        }
    }

    /// Returns the time since the creation of the ledger, in which issue times
    /// are given.
    #[must_use]
    pub fn elapsed(&self) -> Millis {
        Millis(self.elapsed_ms())
    }

    /// Returns the entry that this ledger belongs to.
    #[must_use]
    pub fn instance(&self) -> &Instance {
        &self.shared.instance
    }

    /// Decides whether an attempt may run its request.
    #[must_use]
    pub fn claim(&self, key: &Key, attempt: Attempt, fingerprint: Fingerprint) -> Decision {
        let Some(issued_ms) = self.issue_time(key) else {
            return Decision::NotIssuer;
        };
        let elapsed_ms = self.elapsed_ms();
        if issued_ms > elapsed_ms {
            return Decision::NotIssuer;
        }
        let replay = {
            let mut state = self.lock();
            state.remove_expired(elapsed_ms, self.shared.limits.lifetime);
            if issued_ms < state.oldest_valid_ms {
                return Decision::Expired;
            }
            let records = state.records.entry(issued_ms).or_default();
            if let Some(record) = records.get_mut(key) {
                if record.fingerprint != fingerprint {
                    return Decision::Mismatch;
                }
                match &record.progress {
                    Progress::Claimed if record.attempt == attempt => return Decision::Granted,
                    Progress::Claimed => return Decision::InProgress,
                    Progress::Released => {
                        record.attempt = attempt;
                        record.progress = Progress::Claimed;
                        return Decision::Granted;
                    }
                    Progress::Settled(recorded) => recorded.clone(),
                }
            } else {
                let record = Record {
                    attempt,
                    fingerprint,
                    progress: Progress::Claimed,
                };
                let size = record.size(key);
                records.insert(key.clone(), record);
                state.memory_bytes += size;
                state.evict_to_limit(self.shared.limits.memory.bytes());
                return if issued_ms < state.oldest_valid_ms {
                    Decision::Expired
                } else {
                    Decision::Granted
                };
            }
        };
        Decision::AlreadyRun(replay.map(|recorded| Response::clone(&recorded)))
    }

    /// Records that the request of an attempt ran, with its response if the
    /// response is kept for replay. Has no effect if the attempt does not hold
    /// the claim.
    pub fn settle(&self, key: &Key, attempt: Attempt, recorded: Option<Response>) {
        let recorded = recorded.filter(|recorded| recorded.body.len() <= MAX_RECORDED_BODY_BYTES);
        let progress = Progress::Settled(recorded.map(Arc::new));
        self.update(key, attempt, progress);
    }

    /// Releases the claim of an attempt that did not run. Has no effect if the
    /// attempt does not hold the claim.
    pub fn release(&self, key: &Key, attempt: Attempt) {
        self.update(key, attempt, Progress::Released);
    }

    /// Answers a peer's query about a claim; returns `None` if the query is not
    /// about claims.
    #[must_use]
    pub fn answer(&self, query: &Query) -> Option<Answer> {
        match query {
            Query::Claim {
                key,
                attempt,
                fingerprint,
                ..
            } => Some(Answer::Claim(self.claim(key, *attempt, *fingerprint))),
            Query::Settle {
                key,
                attempt,
                recorded,
            } => {
                self.settle(key, *attempt, recorded.clone());
                Some(Answer::Done)
            }
            Query::Release { key, attempt } => {
                self.release(key, *attempt);
                Some(Answer::Done)
            }
            _ => None,
        }
    }

    /// Returns the estimated memory of all records, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.lock().memory_bytes
    }

    fn update(&self, key: &Key, attempt: Attempt, progress: Progress) {
        let Some(issued_ms) = self.issue_time(key) else {
            return;
        };
        let mut state = self.lock();
        let state = &mut *state;
        let records = state.records.get_mut(&issued_ms);
        let Some(record) = records.and_then(|records| records.get_mut(key)) else {
            return;
        };
        if record.attempt != attempt || !matches!(record.progress, Progress::Claimed) {
            return;
        }
        state.memory_bytes -= record.size(key);
        record.progress = progress;
        state.memory_bytes += record.size(key);
        state.evict_to_limit(self.shared.limits.memory.bytes());
    }

    /// Returns the issue time of a key if this process issued it.
    fn issue_time(&self, key: &Key) -> Option<u64> {
        let prefix = Prefix::from_key(key).ok()?;
        let is_own = prefix.instance == self.shared.instance
            && prefix.incarnation == self.shared.incarnation;
        is_own.then_some(prefix.issued_ms)
    }

    fn elapsed_ms(&self) -> u64 {
        millis(self.shared.start.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = &self.shared.state;
        state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Drops the records of keys whose lifetime is over.
    fn remove_expired(&mut self, elapsed_ms: u64, lifetime: Duration) {
        self.oldest_valid_ms = self
            .oldest_valid_ms
            .max(elapsed_ms.saturating_sub(millis(lifetime)));
        while let Some(oldest) = self.records.first_entry() {
            if *oldest.key() >= self.oldest_valid_ms {
                return;
            }
            self.memory_bytes -= total_size(&oldest.remove());
        }
    }

    /// Drops the records of the oldest issue times until the others fit into the
    /// memory limit.
    fn evict_to_limit(&mut self, limit: usize) {
        while self.memory_bytes > limit {
            let Some((issued_ms, records)) = self.records.pop_first() else {
                return;
            };
            self.memory_bytes -= total_size(&records);
            self.oldest_valid_ms = self.oldest_valid_ms.max(issued_ms + 1);
        }
    }
}

impl Record {
    fn size(&self, key: &Key) -> usize {
        let response = match &self.progress {
            Progress::Settled(Some(recorded)) => {
                let headers = recorded.headers.iter();
                let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
                headers + recorded.body.len()
            }
            _ => 0,
        };
        RECORD_OVERHEAD_BYTES + key.as_str().len() + response
    }
}

fn total_size(records: &HashMap<Key, Record>) -> usize {
    records.iter().map(|(key, record)| record.size(key)).sum()
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
