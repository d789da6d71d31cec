//! Selection of the entries that callers of a service are sent to.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use carobdrift_units::{Instance, PerSecond, Service, Zone, rank};

/// Fraction of the permitted rate per entry below which the number of entries
/// halves again. Halving doubles the rate per entry, to at most two thirds of
/// the permitted rate, so the number does not oscillate.
const HALVING_FRACTION: f64 = 1.0 / 3.0;

/// Entry that callers may be sent to.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Instance id.
    pub instance: Instance,
    /// Availability zone.
    pub zone: Zone,
    /// Calls per second of the service that the entry reports.
    pub rate: f64,
}

/// Ranking of entries in the order in which a caller should prefer them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ranking {
    /// Instance ids of the entries, the most preferred first.
    pub instances: Vec<Instance>,
    /// Number of entries, from the start, that callers spread their calls over:
    /// the steered entries of the caller's availability zone. Without such an
    /// entry, and without steering, all steered entries.
    pub preferred: usize,
    /// Number of entries, from the start, that are steered entries of any zone.
    pub steered: usize,
}

/// Selector of a small number of entries per availability zone for the callers
/// of each service.
#[derive(Debug)]
pub struct Steering {
    max_rate: PerSecond,
    doublings: Mutex<HashMap<Service, u32>>,
}

impl Steering {
    /// Starts with the number of entries that each document states. More
    /// entries are used while the rate of calls per steered entry exceeds
    /// `max_rate`.
    #[must_use]
    pub fn new(max_rate: PerSecond) -> Self {
        Self {
            max_rate,
            doublings: Mutex::default(),
        }
    }

    /// Ranks the available entries for a caller in `zone`.
    ///
    /// `entries_per_zone` is the number that the document states; 0 spreads
    /// callers over all entries.
    #[must_use]
    pub fn rank(
        &self,
        service: &Service,
        zone: &Zone,
        entries_per_zone: u32,
        candidates: &[Candidate],
    ) -> Ranking {
        let zones: HashMap<&Instance, &Zone> = candidates
            .iter()
            .map(|candidate| (&candidate.instance, &candidate.zone))
            .collect();
        let per_zone = if entries_per_zone == 0 {
            u32::MAX
        } else {
            self.entries_per_zone(service, entries_per_zone, candidates)
        };
        let mut counts: HashMap<&Zone, u32> = HashMap::new();
        let (mut own_zone, mut other_zones, mut fallbacks) = (Vec::new(), Vec::new(), Vec::new());
        for instance in rank(service.as_str(), zones.keys().copied()) {
            let entry_zone = zones[instance];
            let count = counts.entry(entry_zone).or_default();
            let group = if *count >= per_zone {
                &mut fallbacks
            } else if entry_zone == zone {
                &mut own_zone
            } else {
                &mut other_zones
            };
            *count = count.saturating_add(1);
            group.push(instance.clone());
        }
        let steered = own_zone.len() + other_zones.len();
        // Without an entry in the caller's zone, no other zone is preferable.
        // Without steering, all entries are to be used.
        let preferred = if own_zone.is_empty() || entries_per_zone == 0 {
            steered
        } else {
            own_zone.len()
        };
        let instances = [own_zone, other_zones, fallbacks].concat();
        Ranking {
            instances,
            preferred,
            steered,
        }
    }

    /// Returns the number of steered entries per zone. The number doubles while
    /// the busiest zone exceeds the permitted rate per entry, and halves again
    /// once the rate is well below the permitted rate.
    ///
    /// The rate per entry is the rate of the whole zone divided by the number
    /// of entries, not the highest reported rate: reports lag behind a doubling
    /// by seconds, but their sum does not change with the doubling.
    fn entries_per_zone(
        &self,
        service: &Service,
        configured: u32,
        candidates: &[Candidate],
    ) -> u32 {
        let mut zones: HashMap<&Zone, (u32, f64)> = HashMap::new();
        for candidate in candidates {
            let (entries, rate) = zones.entry(&candidate.zone).or_default();
            *entries += 1;
            *rate += candidate.rate;
        }
        let largest_zone = zones.values().map(|(entries, _)| *entries).max();
        let largest_zone = largest_zone.unwrap_or_default();
        let entries_after =
            |doublings: u32| configured.saturating_mul(2_u32.saturating_pow(doublings));
        let highest_rate = |doublings: u32| {
            zones
                .values()
                .map(|(entries, rate)| rate / f64::from(entries_after(doublings).min(*entries)))
                .fold(0.0, f64::max)
        };
        let max_rate = self.max_rate.get();
        let mut services = self
            .doublings
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut doublings = services.get(service).copied().unwrap_or_default();
        while doublings > 0
            && (entries_after(doublings - 1) >= largest_zone
                || highest_rate(doublings) < max_rate * HALVING_FRACTION)
        {
            doublings -= 1;
        }
        while entries_after(doublings) < largest_zone && highest_rate(doublings) > max_rate {
            doublings += 1;
        }
        if doublings == 0 {
            services.remove(service);
        } else {
            services.insert(service.clone(), doublings);
        }
        entries_after(doublings)
    }
}
