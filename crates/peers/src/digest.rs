//! What a hub states of the entries of its zone.
//!
//! A hub tells every entry of its zone four times a second which entries there
//! are. Stating each one each time would cost the square of the zone's size, so
//! a digest states one by one only the entries about which something changed,
//! and confirms the rest with one fingerprint. An entry that knows other ones
//! than the hub confirms asks for all of them.

use std::collections::HashMap;
use std::net::IpAddr;

use rapidhash::v3::rapidhash_v3;

use crate::datagram::{Member, Phase, Rest, StoreHealth};

/// Digests in which a change is stated: two seconds of them, so that a few lost
/// ones are made up for.
const REPEATS: u8 = 8;

/// Age of an entry's last word, in milliseconds, from which the entry is stated
/// one by one. It covers one lost beat.
const CONFIRMED_AGE_MS: u32 = 400;

/// A rate is stated when it moved by more than this part of the one stated last,
/// and by more than [`RATE_STEP`] requests a second.
const RATE_PART: u32 = 4;
const RATE_STEP: u32 = 8;

/// Entries of each digest that are stated in turn, changed or not, so that
/// nothing that was missed stays unknown.
const ROTATING: usize = 1;

/// What was stated last of each entry.
#[derive(Debug, Default)]
pub(crate) struct Statements {
    last: HashMap<IpAddr, Last>,
    /// Entry that is next in turn.
    turn: usize,
}

#[derive(Debug)]
struct Last {
    stated: Stated,
    rate: u32,
    /// Digests in which it is still stated.
    repeats: u8,
}

/// What must reach the other entries when it changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Stated {
    started_ms: u64,
    phase: Phase,
    capacity: u32,
    store: StoreHealth,
}

impl Statements {
    /// Divides the entries of a zone into those that the next digest states one
    /// by one, and the rest that it confirms. The entries are sorted by address.
    pub(crate) fn divide(&mut self, members: &[Member]) -> (Vec<Member>, Rest) {
        let position =
            |address: &IpAddr| members.binary_search_by_key(address, |member| member.address);
        self.last.retain(|address, _| position(address).is_ok());
        let count = members.len();
        let first = self.turn % count.max(1);
        self.turn = first + ROTATING;
        let in_turn = |index: usize| (first..first + ROTATING).contains(&index);
        let mut rest = Rest::default();
        let mut stated = Vec::new();
        for (index, member) in members.iter().enumerate() {
            if self.note(member) || in_turn(index) {
                stated.push(member.clone());
            } else {
                rest.add(member.address, member.started_ms);
                rest.oldest_ms = rest.oldest_ms.max(member.age_ms);
            }
        }
        (stated, rest)
    }

    /// Notes an entry; returns whether it must be stated.
    fn note(&mut self, member: &Member) -> bool {
        let stated = Stated {
            started_ms: member.started_ms,
            phase: member.phase,
            capacity: member.capacity,
            store: member.store,
        };
        let last = self.last.entry(member.address).or_insert(Last {
            stated,
            rate: member.rate,
            repeats: REPEATS,
        });
        if last.stated != stated || member.age_ms > CONFIRMED_AGE_MS {
            last.stated = stated;
            last.repeats = REPEATS;
        }
        let step = RATE_STEP.max(last.rate / RATE_PART);
        let moved = member.rate.abs_diff(last.rate) > step;
        if last.repeats == 0 && !moved {
            return false;
        }
        last.repeats = last.repeats.saturating_sub(1);
        last.rate = member.rate;
        true
    }
}

impl Rest {
    /// Adds a process of an entry to the fingerprint, whatever the order.
    pub(crate) fn add(&mut self, address: IpAddr, started_ms: u64) {
        let mut bytes = Vec::with_capacity(24);
        match address {
            IpAddr::V4(address) => bytes.extend_from_slice(&address.octets()),
            IpAddr::V6(address) => bytes.extend_from_slice(&address.octets()),
        }
        bytes.extend_from_slice(&started_ms.to_le_bytes());
        self.fingerprint = self.fingerprint.wrapping_add(rapidhash_v3(&bytes));
    }
}
