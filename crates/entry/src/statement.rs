//! What the entry states of itself to its peers.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use carobdrift_balance::Quota;
use carobdrift_catalog::Catalog;
use carobdrift_idempotency::Ledger;
use carobdrift_measure::Subjects;
use carobdrift_membership::{Links, Serving};
use carobdrift_proxy::Services;
use carobdrift_units::Service;
use carobdrift_wire::Rate;

use crate::steered::Steered;

/// Pause between two statements.
const INTERVAL: Duration = Duration::from_millis(250);

/// Services whose rates are stated, busiest first. More would make every
/// heartbeat longer, and only busy services are steered to more entries.
const STATED_RATES: usize = 16;

/// Statements between two looks at the rates.
const RATE_INTERVALS: u32 = 4;

/// Statements between two looks at which services are steered here.
const LIMIT_INTERVALS: u32 = 4;

/// Weight of the last second in a rate.
const RATE_WEIGHT: f64 = 0.5;

/// The parts that a statement is made of.
pub(crate) struct Parts {
    pub(crate) links: Links,
    pub(crate) catalog: Catalog,
    pub(crate) ledger: Ledger,
    pub(crate) services: Services,
    pub(crate) subjects: Subjects,
    pub(crate) teams: Vec<Quota>,
    pub(crate) steered: Steered,
    pub(crate) leaving: Arc<AtomicBool>,
}

impl Parts {
    /// States readiness and rates until the entry stops, and adapts the shares
    /// of limits to a store outage.
    pub(crate) fn spawn(self) {
        tokio::spawn(async move {
            let mut interval = tokio::time::interval(INTERVAL);
            let mut rates = Rates::default();
            for number in 0_u32.. {
                interval.tick().await;
                if self.subjects.has_changed().is_err() {
                    return;
                }
                if number % RATE_INTERVALS == 0 {
                    rates.update(&self.services);
                }
                let standing = self.catalog.standing();
                let leaving = self.leaving.load(Ordering::Acquire);
                self.links.publish_serving(Serving {
                    ready: standing.permits_calls() && !leaving,
                    leaving,
                    ledger_age: self.ledger.elapsed(),
                    rates: rates.busiest(),
                });
                if number % LIMIT_INTERVALS == 0 {
                    self.divide_limits();
                }
            }
        });
    }

    /// States to which services callers are steered here.
    fn divide_limits(&self) {
        let candidates = self.steered.candidates(&self.links);
        for subject in self.subjects.borrow().iter() {
            let place = self.steered.place(&subject.document, &candidates);
            for (_, quota) in subject.pool.quotas() {
                quota.set_rank(place);
            }
        }
        let entries = u32::try_from(self.links.cell_size()).unwrap_or(u32::MAX);
        for team in &self.teams {
            // Nobody grants shares of team limits.
            team.set_even_split(Some(entries.max(1)));
        }
    }
}

/// Call rates of the services.
#[derive(Default)]
struct Rates {
    services: HashMap<Service, Meter>,
}

struct Meter {
    ended: u64,
    at: Instant,
    per_second: f64,
}

impl Rates {
    fn update(&mut self, services: &Services) {
        let now = Instant::now();
        for (service, ended) in services.call_counts() {
            let meter = self.services.entry(service).or_insert(Meter {
                ended,
                at: now,
                per_second: 0.0,
            });
            let seconds = now.saturating_duration_since(meter.at).as_secs_f64();
            if seconds > 0.0 {
                let calls = u32::try_from(ended.saturating_sub(meter.ended)).unwrap_or(u32::MAX);
                let current = f64::from(calls) / seconds;
                meter.per_second += RATE_WEIGHT * (current - meter.per_second);
            }
            meter.ended = ended;
            meter.at = now;
        }
    }

    fn busiest(&self) -> Vec<Rate> {
        let mut rates: Vec<Rate> = self
            .services
            .iter()
            .filter(|(_, meter)| meter.per_second >= 1.0)
            .map(|(service, meter)| Rate {
                service: service.clone(),
                per_second: meter.per_second,
            })
            .collect();
        rates.sort_by(|a, b| b.per_second.total_cmp(&a.per_second));
        rates.truncate(STATED_RATES);
        rates
    }
}
