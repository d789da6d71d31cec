//! Since when services exist, as far as this entry saw it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use carobdrift_membership::Links;
use carobdrift_units::Service;
use tokio::time::{Instant, MissedTickBehavior, interval};

use crate::subject::Subjects;

/// Pause between two looks at the confirmation.
const INTERVAL: Duration = Duration::from_millis(100);

/// Moments at which services are known not to have existed. Nobody can have
/// granted a share of their limits before.
#[derive(Debug, Default)]
pub(crate) struct Absence {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    absent: HashMap<Service, Option<Instant>>,
    /// When the documents were known to be complete, as seen at the latest look
    /// and at the one before. The documents reach the subjects with a delay, so
    /// a service that is new among them is judged by the earlier one.
    confirmed: [Option<Instant>; 2],
}

impl Absence {
    /// A moment at which the service did not exist.
    pub(crate) fn get(&self, service: &Service) -> Option<Instant> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.absent.get(service).copied().flatten()
    }

    /// Follows the services in force until their sender is gone.
    pub(crate) async fn follow(self: Arc<Self>, links: Links, mut subjects: Subjects) {
        let mut ticks = interval(INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let tick = tokio::select! {
                _ = ticks.tick() => true,
                changed = subjects.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    false
                }
            };
            let services = Arc::clone(&subjects.borrow_and_update());
            let services = services.iter().map(|subject| &subject.document.service);
            let confirmed = links.status().confirmed;
            let confirmed = confirmed.and_then(|age| Instant::now().checked_sub(age.duration()));
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            state.observe(services);
            if tick {
                state.confirmed = [state.confirmed[1], confirmed];
            }
        }
    }
}

impl State {
    fn observe<'a>(&mut self, services: impl Iterator<Item = &'a Service>) {
        let earlier = self.confirmed[0];
        for service in services {
            if !self.absent.contains_key(service) {
                self.absent.insert(service.clone(), earlier);
            }
        }
    }
}
