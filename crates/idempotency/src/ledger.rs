//! Records of the keys that this process issued.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use carobdrift_units::{ByteSize, Incarnation, Instance, Millis};
use carobdrift_wire::{Answer, Attempt, Decision, Fingerprint, Key, Query, Response};
use tokio::time::Instant;

use crate::prefix::Prefix;

/// Largest response body that is kept for replay, in bytes.
pub const MAX_RECORDED_BODY_BYTES: usize = 16 * 1024;

/// Estimated memory of a record besides its key and its response, in bytes.
const RECORD_OVERHEAD: usize = 160;

/// Bounds of a ledger.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Time after its issue for which a key is known.
    pub lifetime: Duration,
    /// Memory of all records; the oldest issue times are given up first.
    pub memory: ByteSize,
}

impl Default for Limits {
    /// 10 minutes and 64 MiB.
    fn default() -> Self {
        Self {
            lifetime: Duration::from_mins(10),
            memory: ByteSize(64 * 1024 * 1024),
        }
    }
}

/// Decides on the keys that this process issued; cheap to clone.
///
/// A key whose record was dropped is refused by its issue time, so dropping
/// records never permits a second run.
#[derive(Debug, Clone)]
pub struct Ledger {
    core: Arc<Core>,
}

#[derive(Debug)]
struct Core {
    instance: Instance,
    incarnation: Incarnation,
    start: Instant,
    limits: Limits,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Keys issued before this moment are refused.
    floor_ms: u64,
    /// Records by the issue time of their keys.
    records: BTreeMap<u64, HashMap<Key, Record>>,
    bytes: usize,
}

#[derive(Debug)]
struct Record {
    attempt: Attempt,
    fingerprint: Fingerprint,
    progress: Progress,
}

#[derive(Debug)]
enum Progress {
    Claimed,
    Settled(Option<Arc<Response>>),
    Released,
}

impl Ledger {
    /// Opens the ledger of a process. Issue times count from this moment.
    #[must_use]
    pub fn open(instance: Instance, incarnation: Incarnation, limits: Limits) -> Self {
        let core = Core {
            instance,
            incarnation,
            start: Instant::now(),
            limits,
            state: Mutex::default(),
        };
        Self {
            core: Arc::new(core),
        }
    }

    /// Issues a prefix for the keys of one caller.
    #[must_use]
    pub fn prefix(&self) -> Prefix {
        Prefix {
            instance: self.core.instance.clone(),
            incarnation: self.core.incarnation,
            issued_ms: self.now_ms(),
            nonce: rand::random(),
        }
    }

    /// Time since the start of the ledger, by which keys are dated.
    #[must_use]
    pub fn elapsed(&self) -> Millis {
        Millis(self.now_ms())
    }

    /// The entry that this ledger belongs to.
    #[must_use]
    pub fn instance(&self) -> &Instance {
        &self.core.instance
    }

    /// Decides whether an attempt may run its request.
    #[must_use]
    pub fn claim(&self, key: &Key, attempt: Attempt, fingerprint: Fingerprint) -> Decision {
        let Some(issued_ms) = self.issued(key) else {
            return Decision::NotIssuer;
        };
        let now_ms = self.now_ms();
        if issued_ms > now_ms {
            return Decision::NotIssuer;
        }
        let replay = {
            let mut state = self.lock();
            state.expire(now_ms, self.core.limits.lifetime);
            if issued_ms < state.floor_ms {
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
                state.bytes += size;
                state.shrink(self.core.limits.memory.bytes());
                return if issued_ms < state.floor_ms {
                    Decision::Expired
                } else {
                    Decision::Granted
                };
            }
        };
        Decision::AlreadyRun(replay.map(|recorded| Response::clone(&recorded)))
    }

    /// Records that the request of an attempt ran, with its response when it
    /// was kept. Has no effect when the attempt does not hold the claim.
    pub fn settle(&self, key: &Key, attempt: Attempt, recorded: Option<Response>) {
        let recorded = recorded.filter(|recorded| recorded.body.len() <= MAX_RECORDED_BODY_BYTES);
        let progress = Progress::Settled(recorded.map(Arc::new));
        self.advance(key, attempt, progress);
    }

    /// Gives a claim back, because the attempt did not run. Has no effect when
    /// the attempt does not hold the claim.
    pub fn release(&self, key: &Key, attempt: Attempt) {
        self.advance(key, attempt, Progress::Released);
    }

    /// Answers a peer's query about a claim; `None` when the query is not about
    /// claims.
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

    /// Memory of all records in bytes, estimated.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.lock().bytes
    }

    fn advance(&self, key: &Key, attempt: Attempt, progress: Progress) {
        let Some(issued_ms) = self.issued(key) else {
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
        state.bytes -= record.size(key);
        record.progress = progress;
        state.bytes += record.size(key);
        state.shrink(self.core.limits.memory.bytes());
    }

    /// Issue time of a key of this process.
    fn issued(&self, key: &Key) -> Option<u64> {
        let prefix = Prefix::from_key(key).ok()?;
        let own =
            prefix.instance == self.core.instance && prefix.incarnation == self.core.incarnation;
        own.then_some(prefix.issued_ms)
    }

    fn now_ms(&self) -> u64 {
        millis(self.core.start.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = &self.core.state;
        state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Drops the records of keys that are older than the lifetime.
    fn expire(&mut self, now_ms: u64, lifetime: Duration) {
        self.floor_ms = self.floor_ms.max(now_ms.saturating_sub(millis(lifetime)));
        while let Some(oldest) = self.records.first_entry() {
            if *oldest.key() >= self.floor_ms {
                return;
            }
            self.bytes -= size_of_all(&oldest.remove());
        }
    }

    /// Drops the records of the oldest issue times until the rest fits.
    fn shrink(&mut self, limit: usize) {
        while self.bytes > limit {
            let Some((issued_ms, records)) = self.records.pop_first() else {
                return;
            };
            self.bytes -= size_of_all(&records);
            self.floor_ms = self.floor_ms.max(issued_ms + 1);
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
        RECORD_OVERHEAD + key.as_str().len() + response
    }
}

fn size_of_all(records: &HashMap<Key, Record>) -> usize {
    records.iter().map(|(key, record)| record.size(key)).sum()
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
