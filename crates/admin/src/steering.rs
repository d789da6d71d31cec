//! Which entries callers of a service are sent to.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use carobdrift_units::{Instance, PerSecond, Service, Zone, rank};

/// Part of the permitted rate per entry below which the number of entries
/// halves again. Halving doubles the rate per entry, to at most two thirds of
/// the permitted one, so the number does not swing.
const HALVE_BELOW: f64 = 1.0 / 3.0;

/// An entry that may be part of an answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Instance id.
    pub instance: Instance,
    /// Availability zone.
    pub zone: Zone,
    /// Calls per second of the service that it reports.
    pub rate: f64,
}

/// Entries in the order in which a caller should prefer them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ranking {
    /// The entries.
    pub instances: Vec<Instance>,
    /// How many of them, from the start, are steered entries of the caller's
    /// availability zone. Callers spread their calls over these.
    pub preferred: usize,
    /// How many of them, from the start, are steered entries of any zone.
    pub steered: usize,
}

/// Steers the callers of each service to few entries per availability zone.
#[derive(Debug)]
pub struct Steering {
    permitted: PerSecond,
    doublings: Mutex<HashMap<Service, u32>>,
}

impl Steering {
    /// Starts with the number of entries that each document states; more are
    /// used while the calls per second and steered entry exceed `permitted`.
    #[must_use]
    pub fn new(permitted: PerSecond) -> Self {
        Self {
            permitted,
            doublings: Mutex::default(),
        }
    }

    /// Orders the live and ready entries for a caller in `zone`.
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
        let mut taken: HashMap<&Zone, u32> = HashMap::new();
        let (mut own, mut others, mut fallbacks) = (Vec::new(), Vec::new(), Vec::new());
        for instance in rank(service.as_str(), zones.keys().copied()) {
            let home = zones[instance];
            let taken = taken.entry(home).or_default();
            let group = if *taken >= per_zone {
                &mut fallbacks
            } else if home == zone {
                &mut own
            } else {
                &mut others
            };
            *taken = taken.saturating_add(1);
            group.push(instance.clone());
        }
        let steered = own.len() + others.len();
        // Without an entry in the caller's zone, all zones are equally far.
        // Without steering, all entries are to be used.
        let preferred = if own.is_empty() || entries_per_zone == 0 {
            steered
        } else {
            own.len()
        };
        let instances = [own, others, fallbacks].concat();
        Ranking {
            instances,
            preferred,
            steered,
        }
    }

    /// Doubles the number while the busiest zone exceeds the permitted rate per
    /// entry, and halves it again once the rate is well below.
    ///
    /// The rate is that of the whole zone divided by the number of entries, not
    /// the highest one reported: reports lag behind a doubling by seconds, and
    /// their sum does not change with it.
    fn entries_per_zone(&self, service: &Service, stated: u32, candidates: &[Candidate]) -> u32 {
        let mut zones: HashMap<&Zone, (u32, f64)> = HashMap::new();
        for candidate in candidates {
            let (entries, rate) = zones.entry(&candidate.zone).or_default();
            *entries += 1;
            *rate += candidate.rate;
        }
        let largest = zones.values().map(|(entries, _)| *entries).max();
        let largest = largest.unwrap_or_default();
        let number = |doublings: u32| stated.saturating_mul(2_u32.saturating_pow(doublings));
        let busiest = |doublings: u32| {
            zones
                .values()
                .map(|(entries, rate)| rate / f64::from(number(doublings).min(*entries)))
                .fold(0.0, f64::max)
        };
        let permitted = self.permitted.get();
        let mut all = self
            .doublings
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut doublings = all.get(service).copied().unwrap_or_default();
        while doublings > 0
            && (number(doublings - 1) >= largest || busiest(doublings) < permitted * HALVE_BELOW)
        {
            doublings -= 1;
        }
        while number(doublings) < largest && busiest(doublings) > permitted {
            doublings += 1;
        }
        if doublings == 0 {
            all.remove(service);
        } else {
            all.insert(service.clone(), doublings);
        }
        number(doublings)
    }
}
