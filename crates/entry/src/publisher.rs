//! Publication of the entry's status to its peers.

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

use crate::ranker::Ranker;

/// Interval at which the status is published.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(250);

/// Largest number of published call rates, of the busiest services. More would
/// make every heartbeat longer, and only callers of busy services are steered to
/// more entries.
const MAX_RATES: usize = 16;

/// Publications per update of the call rates.
const RATE_INTERVALS: u32 = 4;

/// Publications per update of the quotas.
const QUOTA_INTERVALS: u32 = 4;

/// Weight of the last second in a call rate.
const RATE_GAIN: f64 = 0.5;

/// Publisher of the entry's status, with the components that the status comes
/// from.
pub(crate) struct Publisher {
    pub(crate) links: Links,
    pub(crate) catalog: Catalog,
    pub(crate) ledger: Ledger,
    pub(crate) services: Services,
    pub(crate) subjects: Subjects,
    pub(crate) team_quotas: Vec<Quota>,
    pub(crate) ranker: Ranker,
    pub(crate) leaving: Arc<AtomicBool>,
}

impl Publisher {
    /// Publishes readiness and call rates until the entry stops, and updates the
    /// quotas.
    pub(crate) fn spawn(self) {
        tokio::spawn(async move {
            let mut interval = tokio::time::interval(PUBLISH_INTERVAL);
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
                if number % QUOTA_INTERVALS == 0 {
                    self.update_quotas();
                }
            }
        });
    }

    /// Sets this entry's rank in the quotas of each service, and the even split of
    /// the team quotas.
    fn update_quotas(&self) {
        let members = self.ranker.members(&self.links);
        for subject in self.subjects.borrow().iter() {
            let rank = self.ranker.rank(&subject.document, &members);
            for (_, quota) in subject.pool.quotas() {
                quota.set_rank(rank);
            }
        }
        let entries = u32::try_from(self.links.cell_size()).unwrap_or(u32::MAX);
        for quota in &self.team_quotas {
            // No lease holder grants shares of team limits.
            quota.set_even_split(Some(entries.max(1)));
        }
    }
}

/// Call rates by service.
#[derive(Default)]
struct Rates {
    services: HashMap<Service, Meter>,
}

struct Meter {
    /// Number of completed calls at the last update.
    completed: u64,
    updated: Instant,
    per_second: f64,
}

impl Rates {
    fn update(&mut self, services: &Services) {
        let now = Instant::now();
        for (service, completed) in services.call_counts() {
            let meter = self.services.entry(service).or_insert(Meter {
                completed,
                updated: now,
                per_second: 0.0,
            });
            let seconds = now.saturating_duration_since(meter.updated).as_secs_f64();
            if seconds > 0.0 {
                let calls =
                    u32::try_from(completed.saturating_sub(meter.completed)).unwrap_or(u32::MAX);
                let current = f64::from(calls) / seconds;
                meter.per_second += RATE_GAIN * (current - meter.per_second);
            }
            meter.completed = completed;
            meter.updated = now;
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
        rates.truncate(MAX_RATES);
        rates
    }
}
