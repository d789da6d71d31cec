//! Placing a request on a target.

use std::sync::Arc;
use std::time::Duration;

use carobdrift_placement::{Choice, Criteria, Endpoint, Estimate, Outcome, Rank, Snapshot};
use carobdrift_units::{Service, Target};
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use crate::call::Call;
use crate::gateway::Gateway;
use crate::refusal::Refusal;

/// Part of the time that a route aims at for which a request is held while all
/// targets with room are slow.
const HOLD_PART: f64 = 0.15;

/// Time between two looks at the targets while a request is held.
const LOOK_INTERVAL: Duration = Duration::from_millis(15);

/// Work takes up to this much longer than its mean; time for it must be left
/// when a request leaves the line.
const WORK_MARGIN: f64 = 1.3;

/// The right to send one attempt to a target. Dropping it states that the
/// attempt was cancelled.
#[derive(Debug)]
pub(crate) struct Placement {
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    pub(crate) endpoint: Endpoint,
    /// What the target was chosen by.
    pub(crate) basis: Option<Snapshot>,
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

/// Moments until which a request waits for a target.
#[derive(Debug, Clone, Copy)]
struct Patience {
    /// For a fast target, while there are slow ones with room.
    hold: Instant,
    /// For any target; from here on the answer would be late.
    aim: Instant,
    /// In line at all.
    refuse: Instant,
}

impl Patience {
    fn new(call: &Call, work: &Estimate) -> Self {
        let margin = work.mean().mul_f64(WORK_MARGIN);
        let hold = call.received + call.route.target_latency.mul_f64(HOLD_PART);
        let before = |end: Instant| end.checked_sub(margin).unwrap_or(call.received);
        Self {
            hold,
            aim: before(call.aim()),
            refuse: before(call.give_up).min(call.aim()).max(hold),
        }
    }
}

/// A request in the line of its service; dropping it leaves the line.
struct Waiting {
    gateway: Arc<Gateway>,
    service: Service,
    rank: Rank,
    woken: Arc<Notify>,
    joined: bool,
}

impl Waiting {
    fn new(gateway: &Arc<Gateway>, call: &Call) -> Self {
        let rank = Rank {
            late: false,
            priority: call.route.priority,
            received: call.received,
            sequence: gateway.services.next_sequence(&call.service),
        };
        Self {
            gateway: Arc::clone(gateway),
            service: call.service.clone(),
            rank,
            woken: Arc::default(),
            joined: false,
        }
    }

    fn is_first(&self) -> bool {
        self.gateway.services.is_first(&self.service, &self.rank)
    }

    fn join(&mut self) {
        if !self.joined {
            let services = &self.gateway.services;
            services.join(&self.service, self.rank, Arc::clone(&self.woken));
            self.joined = true;
        }
    }

    fn leave(&mut self, departs: bool) {
        if std::mem::take(&mut self.joined) {
            let services = &self.gateway.services;
            services.leave(&self.service, &self.rank, departs);
        }
    }

    /// Waits in line until a slot may be free, or for a moment. Returns whether
    /// only time has passed.
    async fn wait(&mut self, patience: &Patience) -> Result<bool, Refusal> {
        let now = Instant::now();
        if now >= patience.refuse {
            return Err(Refusal::Busy);
        }
        if now >= patience.aim {
            self.step_back();
        }
        if !self.joined {
            let services = &self.gateway.services;
            let wait = services.expected_wait(&self.service, &self.rank);
            if now + wait > patience.refuse {
                return Err(Refusal::Busy);
            }
            self.join();
        }
        let look = (now + LOOK_INTERVAL).min(patience.refuse);
        Ok(tokio::time::timeout_at(look, self.woken.notified())
            .await
            .is_err())
    }

    /// Lets requests come first that can still be answered in time.
    fn step_back(&mut self) {
        if !self.rank.late {
            let joined = self.joined;
            self.leave(false);
            self.rank.late = true;
            if joined {
                self.join();
            }
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.leave(false);
    }
}

impl Gateway {
    /// Places a request on a target that it was not sent to before. Waits while
    /// a better target is likely to be found in time, and in line while no
    /// target would answer in time.
    pub(crate) async fn place(
        self: &Arc<Self>,
        call: &Arc<Call>,
        tried: &[Target],
    ) -> Result<Placement, Refusal> {
        let work = self.services.work(&call.route);
        let patience = Patience::new(call, &work);
        let mut waiting = Waiting::new(self, call);
        let mut probed = Vec::new();
        // Probes would only add to the load of this machine.
        let mut immediate = self.is_overloaded();
        loop {
            let chosen = if waiting.is_first() {
                // While others wait, nothing is sent that would be late: its slot
                // could serve one of them in time.
                let end = if waiting.rank.late {
                    call.give_up
                } else {
                    call.aim().min(call.give_up)
                };
                self.choose(call, tried, &probed, immediate, &work, end)
            } else {
                Some((Choice::Saturated, 0, None))
            };
            match chosen {
                None | Some((Choice::NoTarget, ..)) => return Err(Refusal::NoTarget),
                Some((Choice::Send(endpoint), attempt, basis)) => {
                    waiting.leave(true);
                    return Ok(Placement {
                        gateway: Arc::clone(self),
                        call: Arc::clone(call),
                        endpoint,
                        basis,
                        attempt,
                        ended: false,
                    });
                }
                Some((Choice::Probe(targets), ..)) => {
                    probed.extend(targets.iter().map(|target| target.id.clone()));
                    self.probe_any(call, targets).await;
                    continue;
                }
                Some((Choice::Slow, ..)) => {
                    // Others need not wait for a better target than they need.
                    waiting.leave(false);
                    if Instant::now() < patience.hold && !immediate {
                        let look = (Instant::now() + LOOK_INTERVAL).min(patience.hold);
                        tokio::time::sleep_until(look).await;
                        probed.clear();
                    }
                }
                Some((Choice::Saturated, ..)) => {
                    if waiting.wait(&patience).await? {
                        probed.clear();
                    }
                }
            }
            immediate |= Instant::now() >= patience.hold;
        }
    }

    fn choose(
        &self,
        call: &Call,
        tried: &[Target],
        probed: &[Target],
        immediate: bool,
        work: &Estimate,
        end: Instant,
    ) -> Option<(Choice, u64, Option<Snapshot>)> {
        let demand = Criteria {
            tried,
            probed,
            idempotent: call.is_idempotent(),
            immediate,
            max_cost: end
                .saturating_duration_since(Instant::now())
                .div_duration_f64(work.mean()),
        };
        self.services.with_pool(&call.service, |pool, now| {
            let choice = pool.choose(demand, now);
            let (attempt, basis) = match &choice {
                Choice::Send(endpoint) => {
                    let basis = pool.snapshot(&endpoint.id, now);
                    (pool.begin_attempt(&endpoint.id, work.mean(), now), basis)
                }
                _ => (0, None),
            };
            (choice, attempt, basis)
        })
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
                .with_pool(&call.service, |pool, now| pool.has_suitable(now));
            if found == Some(true) {
                return;
            }
        }
    }
}
