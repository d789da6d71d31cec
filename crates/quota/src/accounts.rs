//! The entry's side: accounts of all keys that its callers use.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::IpAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::account::{self, Account, Decision, Token, VALIDITY};
use crate::key::Key;
use crate::message::{Demand, Grants, Request};

/// Longest time for which a caller's request is held until a token arrives.
pub const RESPONSE_TIMEOUT: Duration = account::RESPONSE_TIMEOUT;

/// Time after which tokens are requested again.
pub const REPEAT_INTERVAL: Duration = account::REPEAT_INTERVAL;

/// Time after which a token that was requested is expected.
const EXPECTED_RESPONSE_TIME: Duration = Duration::from_millis(10);

/// Largest size of the demands of one request, in bytes, so that it fits into one
/// packet together with its header.
const MAX_REQUEST_BYTES: usize = 1200;

/// Largest size of a demand in addition to the text of its key, in bytes.
const DEMAND_BYTES: usize = 24;

/// Accounts of an entry, one for each key in use.
#[derive(Debug)]
pub struct Accounts {
    keys: HashMap<Key, Account>,
    /// Keys for which callers wait.
    urgent: HashSet<Key>,
    sent: VecDeque<Sent>,
    sequence: u32,
}

/// Request whose response may still arrive.
#[derive(Debug)]
struct Sent {
    sequence: u32,
    to: IpAddr,
    at: Instant,
    keys: Vec<Key>,
}

impl Accounts {
    /// Creates the accounts of an entry. `sequence` is the sequence number of its first
    /// request; it differs between processes on one address.
    #[must_use]
    pub fn open(sequence: u32) -> Self {
        Self {
            keys: HashMap::new(),
            urgent: HashSet::new(),
            sent: VecDeque::new(),
            sequence,
        }
    }

    /// Decides about a request of a caller when it arrives. If the decision is to wait,
    /// the request counts as waiting until [`end_wait`](Self::end_wait).
    pub fn admit(&mut self, key: &Key, now: Instant) -> Decision {
        let account = self.account(key, now);
        account.record_demand(now);
        let decision = account.decide(key, allows(key), false, now);
        if decision == Decision::Wait {
            account.waiting += 1;
            self.urgent.insert(key.clone());
        }
        decision
    }

    /// Decides about a request that waits. `is_last` states that it waited for as long
    /// as it may.
    pub fn decide_waiting(&mut self, key: &Key, is_last: bool, now: Instant) -> Decision {
        let account = self.account(key, now);
        let decision = account.decide(key, allows(key), is_last, now);
        if decision == Decision::Wait {
            self.urgent.insert(key.clone());
        }
        decision
    }

    /// Records that a request no longer waits.
    pub fn end_wait(&mut self, key: &Key) {
        if let Some(account) = self.keys.get_mut(key) {
            account.waiting = account.waiting.saturating_sub(1);
        }
    }

    /// Takes a token for a repeat or a hedge, if one can be spent without waiting.
    pub fn take(&mut self, key: &Key, now: Instant) -> Option<Token> {
        let account = self.account(key, now);
        match account.decide(key, allows(key), false, now) {
            Decision::Admitted(token) => Some(token),
            Decision::Wait | Decision::Refused(_) => None,
        }
    }

    /// Takes a token for a request that can do without, or requests one.
    ///
    /// # Errors
    ///
    /// Without a token, returns the time after which one is expected.
    pub fn take_or_request(&mut self, key: &Key, now: Instant) -> Result<Token, Duration> {
        let account = self.account(key, now);
        account.record_demand(now);
        let is_unanswered = account.is_unanswered(now);
        let expected = match account.decide(key, allows(key), false, now) {
            Decision::Admitted(token) => return Ok(token),
            Decision::Refused(due) if !is_unanswered => return Err(due),
            Decision::Refused(_) => REPEAT_INTERVAL,
            Decision::Wait => EXPECTED_RESPONSE_TIME,
        };
        account.record_missing();
        self.urgent.insert(key.clone());
        Err(expected)
    }

    /// Makes a token usable again whose request was not sent.
    pub fn put_back(&mut self, token: &Token, now: Instant) {
        if token.is_granted && token.is_valid(now) {
            self.account(&token.key, now).put_back(token.expires);
        }
    }

    /// Returns what to request, by the grantor of each key. Without `in_advance`, only
    /// what waiting callers need.
    pub fn requests(
        &mut self,
        in_advance: bool,
        grantor: impl Fn(&Key) -> Option<IpAddr>,
        now: Instant,
    ) -> Vec<(IpAddr, Request)> {
        let mut demands: HashMap<IpAddr, Vec<(Key, Demand)>> = HashMap::new();
        let urgent = std::mem::take(&mut self.urgent);
        let mut collect = |key: &Key, account: &mut Account| {
            if let Some(demand) = account.demand(in_advance, now) {
                match grantor(key) {
                    Some(to) => demands.entry(to).or_default().push((key.clone(), demand)),
                    None => account.record_request(0, demand.wanted, now),
                }
            }
        };
        if in_advance {
            self.keys.retain(|_, account| !account.is_idle(now));
            for (key, account) in &mut self.keys {
                collect(key, account);
            }
        } else {
            for key in &urgent {
                if let Some(account) = self.keys.get_mut(key) {
                    collect(key, account);
                }
            }
        }
        let mut requests = Vec::new();
        for (to, demands) in demands {
            for chunk in chunks(demands) {
                requests.push((to, self.send(to, chunk, now)));
            }
        }
        requests
    }

    /// Applies the response of a grantor. Returns whether it was expected.
    pub fn apply(&mut self, from: IpAddr, grants: &Grants, now: Instant) -> bool {
        self.discard_expired(now);
        let position = self
            .sent
            .iter()
            .position(|sent| sent.sequence == grants.sequence && sent.to == from);
        let Some(sent) = position.and_then(|position| self.sent.remove(position)) else {
            return false;
        };
        for (key, grant) in sent.keys.iter().zip(&grants.grants) {
            if let (Some(grant), Some(account)) = (grant, self.keys.get_mut(key)) {
                account.apply(sent.sequence, sent.at, *grant, now);
            }
        }
        true
    }

    /// Discards all tokens, because this entry was suspended. Waiting requests remain.
    pub fn discard_tokens(&mut self, now: Instant) {
        self.sent.clear();
        for account in self.keys.values_mut() {
            let waiting = account.waiting;
            *account = Account::open(now);
            account.waiting = waiting;
        }
    }

    /// Whether no key is in use.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    fn account(&mut self, key: &Key, now: Instant) -> &mut Account {
        self.keys
            .entry(key.clone())
            .or_insert_with(|| Account::open(now))
    }

    fn send(&mut self, to: IpAddr, demands: Vec<(Key, Demand)>, now: Instant) -> Request {
        self.discard_expired(now);
        self.sequence = self.sequence.wrapping_add(1);
        let sequence = self.sequence;
        for (key, demand) in &demands {
            if let Some(account) = self.keys.get_mut(key) {
                account.record_request(sequence, demand.wanted, now);
            }
        }
        self.sent.push_back(Sent {
            sequence,
            to,
            at: now,
            keys: demands.iter().map(|(key, _)| key.clone()).collect(),
        });
        Request { sequence, demands }
    }

    fn discard_expired(&mut self, now: Instant) {
        while self
            .sent
            .front()
            .is_some_and(|sent| sent.at + VALIDITY <= now)
        {
            self.sent.pop_front();
        }
    }
}

/// Whether requests of a key are admitted without contact to the grantor. A cold target
/// would not survive more than its rate.
fn allows(key: &Key) -> bool {
    matches!(key, Key::Workspace(_))
}

/// Divides demands into parts that fit into one packet.
fn chunks(demands: Vec<(Key, Demand)>) -> Vec<Vec<(Key, Demand)>> {
    let mut chunks = Vec::new();
    let mut chunk = Vec::new();
    let mut size = 0;
    for demand in demands {
        let bytes = demand.0.text_len() + DEMAND_BYTES;
        if size + bytes > MAX_REQUEST_BYTES && !chunk.is_empty() {
            chunks.push(std::mem::take(&mut chunk));
            size = 0;
        }
        size += bytes;
        chunk.push(demand);
    }
    chunks.push(chunk);
    chunks
}
