//! Selection of the entries that a hub lists in its digests.
//!
//! A hub sends a digest of its zone's entries to all of them four times a
//! second. Listing every entry in every digest would cost traffic that grows
//! with the square of the zone's size. A digest therefore lists only the
//! entries that changed and summarises the others in one fingerprint. An entry
//! whose own fingerprint differs requests the full list from the hub.

use std::collections::HashMap;
use std::net::IpAddr;

use rapidhash::v3::rapidhash_v3;

use crate::datagram::{Member, Phase, StoreHealth, Summary};

/// Number of digests that repeat a change. Eight digests span two seconds, so that
/// the loss of a few does not lose the change.
const CHANGE_REPEATS: u8 = 8;

/// Time since an entry was last heard beyond which it is listed individually.
/// Tolerates one lost heartbeat.
const SUMMARY_MAX_AGE_MS: u32 = 400;

/// A request rate is listed again when it changed by more than its last listed
/// value divided by this number, and by more than [`MIN_RATE_CHANGE`].
const RATE_CHANGE_DIVISOR: u32 = 4;
/// Smaller changes of a rate, in requests per second, are not listed.
const MIN_RATE_CHANGE: u32 = 8;

/// Number of entries that each digest lists in rotation, changed or not, so that a
/// missed change reaches every receiver in the end.
const ROTATION_COUNT: usize = 1;

/// Tracker of the state that the digests of this hub last listed.
#[derive(Debug, Default)]
pub(crate) struct Tracker {
    last: HashMap<IpAddr, Advertised>,
    /// Index of the entry that the rotation lists next.
    cursor: usize,
}

/// State of an entry as last listed.
#[derive(Debug)]
struct Advertised {
    attributes: Attributes,
    rate: u32,
    /// Remaining digests that list the entry.
    repeats: u8,
}

/// Attributes of an entry whose every change must reach the other entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Attributes {
    started_ms: u64,
    phase: Phase,
    capacity: u32,
    /// Whether the store answers the entry. When it answers none, hundreds of entries
    /// find that their calls fail, which others need not know.
    is_answered: bool,
}

impl Tracker {
    /// Partitions the entries of a zone, sorted by address, into those that the
    /// next digest lists individually and a summary of the others.
    pub(crate) fn partition(&mut self, members: &[Member]) -> (Vec<Member>, Summary) {
        let position =
            |address: &IpAddr| members.binary_search_by_key(address, |member| member.address);
        self.last.retain(|address, _| position(address).is_ok());
        let count = members.len();
        let first = self.cursor % count.max(1);
        self.cursor = first + ROTATION_COUNT;
        let is_rotating = |index: usize| (first..first + ROTATION_COUNT).contains(&index);
        let mut summary = Summary::default();
        let mut listed = Vec::new();
        for (index, member) in members.iter().enumerate() {
            if self.must_list(member) || is_rotating(index) {
                listed.push(member.clone());
            } else {
                summary.add(member.address, member.started_ms);
                summary.oldest_ms = summary.oldest_ms.max(member.age_ms);
            }
        }
        (listed, summary)
    }

    /// Records the state of an entry and returns whether the next digest must
    /// list the entry.
    fn must_list(&mut self, member: &Member) -> bool {
        let attributes = Attributes {
            started_ms: member.started_ms,
            phase: member.phase,
            capacity: member.capacity,
            is_answered: member.store == StoreHealth::Answering,
        };
        let last = self.last.entry(member.address).or_insert(Advertised {
            attributes,
            rate: member.rate,
            repeats: CHANGE_REPEATS,
        });
        if last.attributes != attributes || member.age_ms > SUMMARY_MAX_AGE_MS {
            last.attributes = attributes;
            last.repeats = CHANGE_REPEATS;
        }
        let threshold = MIN_RATE_CHANGE.max(last.rate / RATE_CHANGE_DIVISOR);
        let rate_changed = member.rate.abs_diff(last.rate) > threshold;
        if last.repeats == 0 && !rate_changed {
            return false;
        }
        last.repeats = last.repeats.saturating_sub(1);
        last.rate = member.rate;
        true
    }
}

impl Summary {
    /// Adds the address and process of an entry to the fingerprint. The order
    /// of additions does not matter.
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
