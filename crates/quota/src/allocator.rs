//! The grantor's side: buckets of the keys that this entry grants.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::IpAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::bucket::{Bucket, Limit};
use crate::key::{Key, grantor};
use crate::message::{Demand, Grant};
use crate::window::Window;

/// Changes of the candidates that are kept, to know since when this entry is the
/// grantor of a key that was not requested before.
const MAX_TERMS: usize = 16;

/// Share of the rate granted to a lost entry that is reserved for it. It admits as much
/// without contact.
const RESERVED_SHARE: f64 = 0.5;

/// Time for which a rate is reserved for a lost entry.
const RESERVATION_PERIOD: Duration = Duration::from_secs(10);

/// Length of the slots in which grants to one entry are counted. All slots together
/// cover the time until a lost entry is noticed, and the two seconds before.
const GRANT_SLOT: Duration = Duration::from_millis(250);

/// Slots of the time over which the rate granted to an entry is measured.
const RATE_SLOTS: usize = 8;

/// Time that the [`RATE_SLOTS`] cover, in seconds.
const RATE_TIME_S: f64 = 2.0;

/// Time without requests after which a full bucket is discarded.
const IDLE_PERIOD: Duration = Duration::from_secs(10);

/// Time from the last contact with a grantor after which another one grants. The former
/// one stops after two seconds without contact at the latest.
const TAKEOVER_TIME: Duration = Duration::from_millis(2200);

/// Time from the start or the return of an entry after which it grants. Until the others
/// know that it is back, they get tokens of another one. Hubs pass on the news at once.
const RETURN_TIME: Duration = Duration::from_millis(500);

/// Time before the start of all entries from which their buckets fill: less than the
/// overshoot that a window may have, and than the time that a restart takes.
const START_CREDIT: Duration = Duration::from_millis(400);

/// Time from the start of all entries in which they find each other. The candidates
/// change meanwhile, without an entry that granted before.
const JOIN_TIME: Duration = Duration::from_secs(1);

/// Largest value of the shortest time between the announcements of tokens to two refused
/// entries, which bounds the number of requests while demand exceeds the limit.
const MAX_PROMISE_GAP: Duration = Duration::from_millis(20);

/// Share of the time in which a bucket fills that is the shortest time between two such
/// announcements. A bucket that fills before the next request loses tokens.
const PROMISE_GAP_SHARE: f64 = 0.25;

/// Latest time for which the next token is announced.
const MAX_DUE: Duration = Duration::from_secs(1);

/// Earliest time for which the next token is announced.
const MIN_DUE: Duration = Duration::from_millis(5);

/// Buckets of the keys that this entry grants.
#[derive(Debug)]
pub struct Allocator {
    own: IpAddr,
    /// Candidates with the time since when they were those, oldest first. Empty
    /// candidates stand for a time at which this entry may not grant.
    terms: VecDeque<(Instant, Vec<IpAddr>)>,
    /// Candidates before the last change.
    former: Vec<IpAddr>,
    /// Start of all entries, if they started together.
    common_start: Option<Instant>,
    /// Time from which this entry grants after its start or return.
    returned_at: Option<Instant>,
    accounts: HashMap<Key, Granting>,
    lost: HashSet<IpAddr>,
}

/// Bucket of a key and what was granted from it.
#[derive(Debug)]
struct Granting {
    bucket: Bucket,
    limit: Limit,
    /// Time of the last request; initially that since when this entry is the grantor.
    used_at: Instant,
    /// Time until which all tokens are promised to entries that were refused.
    promised_until: Instant,
    granted: HashMap<IpAddr, Window>,
    /// Rates withheld for lost entries, with the end of each reservation.
    reserved: HashMap<IpAddr, (f64, Instant)>,
}

impl Allocator {
    /// Creates the buckets of an entry that does not know any candidates.
    #[must_use]
    pub fn open(own: IpAddr) -> Self {
        Self {
            own,
            terms: VecDeque::new(),
            former: Vec::new(),
            common_start: None,
            returned_at: None,
            accounts: HashMap::new(),
            lost: HashSet::new(),
        }
    }

    /// Sets the time at which all entries started, if they started together, so that no
    /// entry has granted tokens before.
    pub fn set_common_start(&mut self, start: Option<Instant>) {
        self.common_start = start;
    }

    /// Sets the candidates, in ascending order; none if this entry may not grant,
    /// because it is not in contact with more than half of the entries. `silent` holds
    /// the entries that are not heard, with the time at which they last were. A former
    /// candidate among them may still grant until it notices that it is out of contact,
    /// and is replaced only then.
    pub fn set_candidates(
        &mut self,
        candidates: Vec<IpAddr>,
        silent: &[(IpAddr, Instant)],
        now: Instant,
    ) {
        if self
            .terms
            .back()
            .is_some_and(|(_, last)| *last == candidates)
        {
            return;
        }
        let is_replaced = |entry: &IpAddr| {
            self.former.contains(entry) && !candidates.contains(entry) && *entry != self.own
        };
        let ends = silent.iter().filter(|(entry, _)| is_replaced(entry));
        let ends = ends.map(|(_, heard)| *heard + TAKEOVER_TIME);
        let mut from = ends.max().unwrap_or(now).max(now);
        if self.terms.back().is_none_or(|(_, last)| last.is_empty()) {
            self.returned_at = Some(now + RETURN_TIME);
        }
        from = from.max(self.returned_at.unwrap_or(from));
        if let Some(start) = self.common_start.filter(|start| now < *start + JOIN_TIME) {
            from = start.checked_sub(START_CREDIT).unwrap_or(start);
        }
        if !candidates.is_empty() {
            self.former.clone_from(&candidates);
        }
        self.terms.push_back((from, candidates));
        if self.terms.len() > MAX_TERMS {
            self.terms.pop_front();
        }
    }

    /// Sets the entries that count as lost and whose process was not replaced.
    pub fn set_lost(&mut self, lost: impl IntoIterator<Item = IpAddr>, now: Instant) {
        let lost: HashSet<IpAddr> = lost.into_iter().collect();
        if lost == self.lost {
            return;
        }
        for account in self.accounts.values_mut() {
            account.reserve(&lost, &self.lost, now);
        }
        self.lost = lost;
    }

    /// Empties all buckets, because this entry was suspended.
    pub fn restart(&mut self, now: Instant) {
        self.accounts.clear();
        if let Some((_, candidates)) = self.terms.pop_back() {
            self.terms.clear();
            self.terms.push_back((now + RETURN_TIME, candidates));
        }
    }

    /// Grants tokens of a key to an entry. Returns `None` if this entry is not the
    /// grantor of the key.
    pub fn grant(
        &mut self,
        entry: IpAddr,
        key: &Key,
        demand: Demand,
        limit: Limit,
        now: Instant,
    ) -> Option<Grant> {
        let since = self.since(key).filter(|since| *since <= now)?;
        let account = self
            .accounts
            .entry(key.clone())
            .or_insert_with(|| Granting::open(limit, since));
        // Another entry was the grantor, or this one might not grant, meanwhile.
        if since > account.used_at {
            *account = Granting::open(limit, since);
        }
        Some(account.grant(entry, demand, limit, now))
    }

    /// Discards buckets that are full and were not used for some time.
    pub fn remove_idle(&mut self, now: Instant) {
        self.accounts.retain(|_, account| !account.is_idle(now));
        for account in self.accounts.values_mut() {
            account
                .granted
                .retain(|_, window| window.max_sum(RATE_SLOTS, now) > 0);
        }
    }

    /// Returns the time since when this entry is the grantor of a key.
    fn since(&self, key: &Key) -> Option<Instant> {
        let terms = self.terms.iter().rev();
        let own_terms = terms.take_while(|(_, c)| grantor(key, c) == Some(self.own));
        own_terms.last().map(|(at, _)| *at)
    }
}

impl Granting {
    fn open(limit: Limit, since: Instant) -> Self {
        Self {
            bucket: Bucket::open(since),
            limit,
            used_at: since,
            promised_until: since,
            granted: HashMap::new(),
            reserved: HashMap::new(),
        }
    }

    fn grant(&mut self, entry: IpAddr, demand: Demand, limit: Limit, now: Instant) -> Grant {
        self.reserved.retain(|_, (_, end)| *end > now);
        let reserved = self.reserved.values().map(|(rate, _)| rate).sum();
        self.bucket.fill(limit, reserved, now);
        self.bucket.put_back(demand.returned, limit);
        self.limit = limit;
        self.used_at = now;
        let tokens = self.bucket.take(demand.wanted);
        if tokens > 0 {
            let window = self.granted.entry(entry);
            let window = window.or_insert_with(|| Window::open(GRANT_SLOT, now));
            window.record(tokens, now);
        }
        let due = if tokens < demand.wanted {
            self.promise(now)
        } else {
            Duration::ZERO
        };
        Grant {
            tokens,
            due_ms: u32::try_from(due.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Returns the time until a refused entry gets a token. Each refused entry is told
    /// a later time than the one before, so that they do not all return for the same
    /// token.
    fn promise(&mut self, now: Instant) -> Duration {
        let rate = self.limit.rate.per_second();
        let next = now + self.bucket.time_until(1.0, self.limit).min(MAX_DUE);
        let due = self.promised_until.max(next).min(now + MAX_DUE);
        let taken = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_DUE);
        let gap = self.limit.fill_time().mul_f64(PROMISE_GAP_SHARE);
        self.promised_until = due + taken.min(MAX_DUE).max(gap.min(MAX_PROMISE_GAP));
        due.saturating_duration_since(now).max(MIN_DUE)
    }

    /// Withholds a rate for the entries of `lost` that are not in `known`, and no
    /// longer for those that are not in `lost`.
    fn reserve(&mut self, lost: &HashSet<IpAddr>, known: &HashSet<IpAddr>, now: Instant) {
        self.reserved.retain(|entry, _| lost.contains(entry));
        for entry in lost.difference(known) {
            if let Some(window) = self.granted.get_mut(entry) {
                let rate = f64::from(window.max_sum(RATE_SLOTS, now)) / RATE_TIME_S;
                let reservation = (rate * RESERVED_SHARE, now + RESERVATION_PERIOD);
                self.reserved.insert(*entry, reservation);
            }
        }
    }

    fn is_idle(&self, now: Instant) -> bool {
        let idle_time = self.limit.fill_time().saturating_add(IDLE_PERIOD);
        now.saturating_duration_since(self.used_at) > idle_time
    }
}
