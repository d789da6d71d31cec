//! The entry's side of one key: tokens that it holds and demand that it observes.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::allowance::Allowance;
use crate::key::Key;
use crate::message::{Demand, Grant};
use crate::window::Window;

/// Time from a request for tokens for which they are valid.
pub(crate) const VALIDITY: Duration = Duration::from_millis(500);

/// Time without a response after which the grantor counts as out of contact, and for
/// which a caller's request is held at most.
pub(crate) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(60);

/// Time after which tokens are requested again. A response takes a few milliseconds
/// between zones, so the datagram is lost by then.
pub(crate) const REPEAT_INTERVAL: Duration = Duration::from_millis(30);

/// Expected use in this time is requested in advance, in seconds.
const ADVANCE_TIME_S: f64 = 0.25;

/// Fewest tokens that are requested in advance.
const MIN_ADVANCE: u32 = 2;

/// Length of the slots in which requests of callers are counted.
const DEMAND_SLOT: Duration = Duration::from_millis(50);

/// Slots over which the expected use is measured, the current one included. A caller that
/// moves to another entry leaves unused tokens behind for this time.
const DEMAND_SLOTS: u64 = 6;

/// Time that the full [`DEMAND_SLOTS`] cover, in seconds.
const DEMAND_TIME_S: f64 = 0.25;

/// Length of the slots in which admitted requests are counted.
const USE_SLOT: Duration = Duration::from_millis(150);

/// Slots over which the former rate is measured, from which the allowance is derived.
const USE_SLOTS: u64 = 13;

/// Time that the [`USE_SLOTS`] cover, in seconds.
const USE_TIME_S: f64 = 1.95;

/// Newest slots that the former rate leaves out. A grantor that was cut off takes all
/// tokens of its key itself until it notices.
const USE_SLOTS_SKIPPED: u64 = 6;

/// `Retry-After` time if the grantor does not respond and the allowance is used up.
const UNANSWERED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time without requests of callers after which the account is discarded.
const IDLE_PERIOD: Duration = Duration::from_secs(30);

/// Permission to send one request to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use]
pub struct Token {
    pub(crate) key: Key,
    /// End of the validity of the grant.
    pub(crate) expires: Instant,
    /// Whether the grantor issued the token; it is an allowance otherwise.
    pub(crate) is_granted: bool,
}

/// Decision about a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The request may be sent.
    Admitted(Token),
    /// A token has to be requested; the caller may wait for it.
    Wait,
    /// The limit is reached; a token is expected after this time.
    Refused(Duration),
}

impl Token {
    /// Returns whether the token may still be spent.
    #[must_use]
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.expires
    }
}

/// Tokens of one grant.
#[derive(Debug)]
struct Lot {
    expires: Instant,
    tokens: u32,
}

/// Tokens that an entry holds of one key, and the demand of its callers.
#[derive(Debug)]
pub(crate) struct Account {
    lots: VecDeque<Lot>,
    /// Tokens of requests to which no response has arrived, with the times of these
    /// requests.
    pending: VecDeque<(u32, u32, Instant)>,
    /// Callers' requests that are held until a token arrives.
    pub(crate) waiting: u32,
    /// Tokens that were missing since the last request, for requests that are not held.
    missing: u32,
    demand: Window,
    used: Window,
    last_demand: Instant,
    /// Time at which the next token is due, by the grantor.
    refused_until: Option<Instant>,
    /// Time of the first request for tokens after the last response.
    unanswered_since: Option<Instant>,
    allowance: Option<Allowance>,
}

impl Account {
    pub(crate) fn open(now: Instant) -> Self {
        Self {
            lots: VecDeque::new(),
            pending: VecDeque::new(),
            waiting: 0,
            missing: 0,
            demand: Window::open(DEMAND_SLOT, now),
            used: Window::open(USE_SLOT, now),
            last_demand: now,
            refused_until: None,
            unanswered_since: None,
            allowance: None,
        }
    }

    /// Counts a request of a caller.
    pub(crate) fn record_demand(&mut self, now: Instant) {
        self.demand.record(1, now);
        self.last_demand = now;
    }

    /// Decides about a request. `is_last` states that it waited for as long as it may.
    pub(crate) fn decide(
        &mut self,
        key: &Key,
        allows: bool,
        is_last: bool,
        now: Instant,
    ) -> Decision {
        if let Some(expires) = self.spend(now) {
            return Decision::Admitted(Token {
                key: key.clone(),
                expires,
                is_granted: true,
            });
        }
        if let Some(until) = self.refused_until.filter(|until| *until > now) {
            return Decision::Refused(until.saturating_duration_since(now));
        }
        if !is_last && !self.is_unanswered(now) {
            return Decision::Wait;
        }
        let admitted = allows && self.spend_allowance(now);
        if admitted {
            self.used.record(1, now);
            return Decision::Admitted(Token {
                key: key.clone(),
                expires: now + VALIDITY,
                is_granted: false,
            });
        }
        Decision::Refused(UNANSWERED_RETRY_AFTER)
    }

    /// Counts a token that a request misses that is not held for it.
    pub(crate) fn record_missing(&mut self) {
        self.missing = self.missing.saturating_add(1);
    }

    /// Makes a token usable again whose request was not sent.
    pub(crate) fn put_back(&mut self, expires: Instant) {
        let position = self.lots.partition_point(|lot| lot.expires <= expires);
        self.lots.insert(position, Lot { expires, tokens: 1 });
    }

    /// Returns what to request of the grantor, if anything; `in_advance` also for
    /// requests that are expected.
    pub(crate) fn demand(&mut self, in_advance: bool, now: Instant) -> Option<Demand> {
        self.discard_expired(now);
        let held: u32 = self.lots.iter().map(|lot| lot.tokens).sum();
        let expected = self.expected(now);
        let is_refused = self.refused_until.is_some_and(|until| until > now);
        let mut needed = self
            .waiting
            .saturating_add(std::mem::take(&mut self.missing));
        if in_advance && !self.is_unanswered(now) {
            needed += expected;
        }
        let pending = self.pending.iter();
        let pending = pending.filter(|(.., sent)| *sent + REPEAT_INTERVAL > now);
        let available = held + pending.map(|(_, wanted, _)| *wanted).sum::<u32>();
        let mut demand = Demand::default();
        if !is_refused {
            demand.wanted = needed.saturating_sub(available);
        }
        // One token shows when the grantor, or its successor, responds again.
        if in_advance && demand.wanted == 0 && self.is_unanswered(now) && available == 0 {
            demand.wanted = u32::from(self.demand.sum(0, DEMAND_SLOTS, now) > 0);
        }
        if in_advance && demand.wanted == 0 && self.waiting == 0 {
            demand.returned = self.give_up(held, expected);
        }
        (demand != Demand::default()).then_some(demand)
    }

    /// Records that tokens were requested.
    pub(crate) fn record_request(&mut self, sequence: u32, wanted: u32, now: Instant) {
        if wanted > 0 {
            self.unanswered_since.get_or_insert(now);
            self.pending.push_back((sequence, wanted, now));
        }
    }

    /// Applies a grant to a request that was sent at a time.
    pub(crate) fn apply(&mut self, sequence: u32, sent: Instant, grant: Grant, now: Instant) {
        self.pending.retain(|(other, ..)| *other != sequence);
        self.unanswered_since = None;
        self.allowance = None;
        if grant.tokens > 0 {
            let expires = sent + VALIDITY;
            let position = self.lots.partition_point(|lot| lot.expires <= expires);
            let tokens = grant.tokens;
            self.lots.insert(position, Lot { expires, tokens });
        }
        self.refused_until = (grant.due_ms > 0).then(|| now + grant.due());
    }

    pub(crate) fn is_idle(&self, now: Instant) -> bool {
        self.waiting == 0 && now.saturating_duration_since(self.last_demand) > IDLE_PERIOD
    }

    /// Whether the grantor has not responded for some time.
    pub(crate) fn is_unanswered(&self, now: Instant) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.saturating_duration_since(since) >= RESPONSE_TIMEOUT)
    }

    /// Spends the token that expires first. Returns the end of its validity.
    fn spend(&mut self, now: Instant) -> Option<Instant> {
        self.discard_expired(now);
        let lot = self.lots.front_mut()?;
        lot.tokens -= 1;
        let expires = lot.expires;
        if lot.tokens == 0 {
            self.lots.pop_front();
        }
        self.used.record(1, now);
        Some(expires)
    }

    fn spend_allowance(&mut self, now: Instant) -> bool {
        let since = self.unanswered_since.unwrap_or(now);
        let used = &mut self.used;
        let allowance = self.allowance.get_or_insert_with(|| {
            let rate = f64::from(used.sum(USE_SLOTS_SKIPPED, USE_SLOTS, now)) / USE_TIME_S;
            Allowance::open(rate, since)
        });
        allowance.take(now)
    }

    /// Returns the requests expected before the next grant can be used up.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a count of requests, which is not negative, and the cast saturates"
    )]
    fn expected(&mut self, now: Instant) -> u32 {
        let rate = f64::from(self.demand.sum(0, DEMAND_SLOTS, now)) / DEMAND_TIME_S;
        let expected = (rate * ADVANCE_TIME_S) as u32;
        if expected >= MIN_ADVANCE { expected } else { 0 }
    }

    /// Gives up the tokens that are certainly not needed. Returns their number.
    fn give_up(&mut self, held: u32, expected: u32) -> u32 {
        if held <= expected * 2 {
            return 0;
        }
        let mut left = held - expected;
        let given_up = left;
        // Those that expire last would be lost last, and are kept.
        while let Some(lot) = self.lots.front_mut() {
            let tokens = lot.tokens.min(left);
            lot.tokens -= tokens;
            left -= tokens;
            if lot.tokens > 0 {
                break;
            }
            self.lots.pop_front();
        }
        given_up
    }

    fn discard_expired(&mut self, now: Instant) {
        while self.lots.front().is_some_and(|lot| lot.expires <= now) {
            self.lots.pop_front();
        }
        let is_current = |sent: Instant| sent + VALIDITY > now;
        self.pending.retain(|(.., sent)| is_current(*sent));
    }
}
