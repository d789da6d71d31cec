//! Placing a request on a target.

use std::sync::Arc;
use std::time::Duration;

use carobdrift_placement::{Choice, Demand, Endpoint, Outcome};
use carobdrift_units::Target;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::call::Call;
use crate::gateway::Gateway;
use crate::refusal::Refusal;

/// Part of the time that a route aims at for which a request is held while all
/// targets with room are slow.
const HOLD_PART: f64 = 0.15;

/// Time between two looks at the targets while a request is held.
const LOOK_INTERVAL: Duration = Duration::from_millis(15);

/// The right to send one attempt to a target. Dropping it states that the
/// attempt was cancelled.
#[derive(Debug)]
pub(crate) struct Placement {
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    pub(crate) endpoint: Endpoint,
    attempt: u64,
    ended: bool,
}

impl Placement {
    /// Ends the attempt with its result.
    pub(crate) fn end(mut self, outcome: Outcome) {
        self.ended = true;
        let services = &self.gateway.services;
        services.end(&self.call.route, &self.endpoint, self.attempt, outcome);
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        if !self.ended {
            let services = &self.gateway.services;
            let outcome = Outcome::Cancelled;
            services.end(&self.call.route, &self.endpoint, self.attempt, outcome);
        }
    }
}

impl Gateway {
    /// Places a request on a target that it was not sent to before. Waits while
    /// a better target is likely to be found in time.
    pub(crate) async fn place(
        self: &Arc<Self>,
        call: &Arc<Call>,
        tried: &[Target],
    ) -> Result<Placement, Refusal> {
        let work = self.services.work(&call.route);
        let held_until = call.received + call.route.target_latency.mul_f64(HOLD_PART);
        let mut probed = Vec::new();
        // Probes would only add to the load of this machine.
        let mut urgent = self.is_overloaded();
        loop {
            let demand = Demand {
                tried,
                probed: &probed,
                repeatable: call.is_repeatable(),
                urgent,
            };
            let chosen = self.services.with_pool(&call.service, |pool, now| {
                let choice = pool.choose(demand, now);
                let attempt = match &choice {
                    Choice::Send(endpoint) => pool.begin(&endpoint.id, work.mean(), now),
                    _ => 0,
                };
                (choice, attempt)
            });
            match chosen {
                None | Some((Choice::NoTarget, _)) => return Err(Refusal::NoTarget),
                Some((Choice::Send(endpoint), attempt)) => {
                    return Ok(Placement {
                        gateway: Arc::clone(self),
                        call: Arc::clone(call),
                        endpoint,
                        attempt,
                        ended: false,
                    });
                }
                Some((Choice::Probe(targets), _)) => {
                    probed.extend(targets.iter().map(|target| target.id.clone()));
                    self.probe_any(call, targets).await;
                }
                Some((Choice::Wait, _)) => {
                    let now = Instant::now();
                    if now >= call.give_up {
                        return Err(Refusal::Busy);
                    }
                    if now >= held_until {
                        urgent = true;
                        continue;
                    }
                    let look = (now + LOOK_INTERVAL).min(held_until);
                    tokio::select! {
                        () = self.services.freed() => {}
                        () = tokio::time::sleep_until(look) => probed.clear(),
                    }
                }
            }
        }
    }

    /// Probes targets until one of them is good for the request. The others
    /// finish in the background; their reports serve the next requests.
    async fn probe_any(self: &Arc<Self>, call: &Arc<Call>, targets: Vec<Endpoint>) {
        let (sender, mut results) = mpsc::channel(targets.len().max(1));
        for endpoint in targets {
            let gateway = Arc::clone(self);
            let call = Arc::clone(call);
            let sender = sender.clone();
            tokio::spawn(async move {
                gateway.probe(&endpoint, &call.health_path).await;
                // The request may have found its target already.
                let _ = sender.send(()).await;
            });
        }
        drop(sender);
        while results.recv().await.is_some() {
            let found = self
                .services
                .with_pool(&call.service, |pool, now| pool.has_good(now));
            if found == Some(true) {
                return;
            }
        }
    }
}
