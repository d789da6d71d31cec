//! Limit on the requests to cold targets in sum over all entries.

use carobdrift_placement::{Choice, Criteria, Endpoint, Pool};
use carobdrift_quota::{Key, Token};
use carobdrift_routing::Warmup;
use carobdrift_units::{Service, Target};
use tokio::time::Instant;

use crate::gateway::Gateway;

impl Gateway {
    /// Returns what the targets of a service tolerate while they are cold.
    pub(crate) fn warmup(&self, service: &Service) -> Option<Warmup> {
        let table = self.table()?;
        table.state().services.get(service)?.warmup
    }

    /// Returns what a target tolerates while it is cold, if this entry knows the target
    /// and there is a limit.
    #[must_use]
    pub fn target_warmup(&self, target: &Target) -> Option<Warmup> {
        self.warmup(&self.services.service_of(target)?)
    }

    /// Whether any service limits the requests to its cold targets.
    #[must_use]
    pub fn limits_cold_targets(&self) -> bool {
        self.table().is_some_and(|table| {
            let mut services = table.state().services.values();
            services.any(|service| service.warmup.is_some())
        })
    }

    /// Chooses a target. A cold one is chosen only with a token, which is returned with
    /// it; without a token it is left out until one is expected.
    pub(crate) fn choose_permitted(
        &self,
        pool: &mut Pool,
        criteria: Criteria<'_>,
        is_limited: bool,
        now: Instant,
    ) -> (Choice, Option<Token>) {
        pool.limit_cold_targets(is_limited);
        loop {
            let choice = pool.choose(criteria, now);
            let Choice::Send(endpoint) = &choice else {
                return (choice, None);
            };
            if !is_limited || !pool.is_cold(&endpoint.id, now) {
                return (choice, None);
            }
            match self.quotas.take_or_request(&key(endpoint)) {
                Ok(token) => return (choice, Some(token)),
                Err(expected) => pool.withhold(&endpoint.id, now + expected),
            }
        }
    }
}

/// Returns the key of the limit of a cold target.
fn key(endpoint: &Endpoint) -> Key {
    Key::Target(endpoint.id.clone(), endpoint.started_ms)
}
