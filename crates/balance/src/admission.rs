//! Admission of calls and of additional attempts.

use std::time::Duration;

use carobdrift_document::Kind;
use carobdrift_units::{Class, Target};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::call::{Call, Purpose, Scope, Shed};
use crate::candidate::Candidate;
use crate::class::ClassState;
use crate::permit::{Permit, Quotas};
use crate::policy::{Criteria, Requirement};
use crate::queue::Waiter;
use crate::slot::Slot;
use crate::state::{Admitted, Effects, State, Ticket};
use crate::usage::Stage;

/// Waiting time after which a call ignores the estimate of other entries'
/// requests. The estimate is out of date by then, and a free slot must not stay
/// unused because of a stale estimate.
const ESTIMATE_TIMEOUT: Duration = Duration::from_millis(2);

impl State {
    /// Admits a call: sends it to a target, queues it or sheds it.
    pub(crate) fn admit(
        &mut self,
        call: &Call,
        stage: Stage,
        now: Instant,
    ) -> Result<Admitted, Shed> {
        if call.deadline <= now {
            return Err(Shed::Deadline);
        }
        if !self.candidates.values().any(Candidate::is_usable) {
            return Err(Shed::NoTarget);
        }
        let permit = self.permit(&call.class, stage, now).map_err(Shed::Limit)?;
        if self.queue.is_empty()
            && let Some(serial) = self.choose(
                &call.class,
                call.kind,
                Requirement::FreeSlot,
                true,
                &[],
                now,
            )
        {
            self.retries.deposit();
            self.hedges.deposit();
            self.class_state(&call.class, now).queue_time.observe(0.0);
            return Ok(Admitted::Sent(
                self.start_attempt(serial, &call.class, now),
                permit,
            ));
        }
        let wait = self.queue.expected_wait(&call.class, call.deadline);
        let remaining = (call.deadline - now).as_secs_f64();
        if wait.is_some_and(|wait| wait > remaining) {
            return Err(Shed::Deadline);
        }
        let (answer, receiver) = oneshot::channel();
        let waiter = Waiter {
            class: call.class.clone(),
            kind: call.kind,
            deadline: call.deadline,
            queued_at: now,
            permit,
            answer,
        };
        let position = self.queue.push(waiter).map_err(|_| Shed::QueueFull)?;
        Ok(Admitted::Queued(position, receiver))
    }

    /// Sends queued calls while slots are free. Sheds those that have expired,
    /// and all of them when no target is usable.
    pub(crate) fn dispatch(
        &mut self,
        now: Instant,
        slot: impl Fn(Ticket, &Candidate, Permit) -> Slot,
        effects: &mut Effects,
    ) {
        let has_usable_target = self.candidates.values().any(Candidate::is_usable);
        while let Some(waiter) = self.queue.peek() {
            let is_late = waiter.deadline <= now;
            if is_late || !has_usable_target {
                let shed = if is_late {
                    Shed::Deadline
                } else {
                    Shed::NoTarget
                };
                if let Some(waiter) = self.queue.pop(false, now) {
                    effects.replies.push((waiter.answer, Err(shed)));
                }
                continue;
            }
            let requirement = if now - waiter.queued_at >= ESTIMATE_TIMEOUT {
                Requirement::OwnFreeSlot
            } else {
                Requirement::FreeSlot
            };
            let (class, kind) = (waiter.class.clone(), waiter.kind);
            let Some(serial) = self.choose(&class, kind, requirement, true, &[], now) else {
                return;
            };
            let Some(waiter) = self.queue.pop(true, now) else {
                return;
            };
            self.retries.deposit();
            self.hedges.deposit();
            let delay = (now - waiter.queued_at).as_secs_f64();
            self.class_state(&class, now).queue_time.observe(delay);
            let ticket = self.start_attempt(serial, &class, now);
            if let Some(candidate) = self.candidates.get(&serial) {
                let slot = slot(ticket, candidate, waiter.permit);
                effects.replies.push((waiter.answer, Ok(slot)));
            }
        }
    }

    /// Selects another target for an admitted call, for a retry, a reconnect or
    /// a hedge.
    pub(crate) fn try_acquire(
        &mut self,
        call: &Call,
        purpose: Purpose,
        tried: &[Target],
        now: Instant,
    ) -> Option<(Ticket, Permit)> {
        let attempts = u32::try_from(tried.len()).unwrap_or(u32::MAX);
        if attempts >= self.document.retries.max_attempts || call.deadline <= now {
            return None;
        }
        let is_hedge = purpose == Purpose::Hedge;
        let budget = if is_hedge {
            &self.hedges
        } else {
            &self.retries
        };
        if !budget.is_available() {
            return None;
        }
        let class = &call.class;
        if is_hedge && !self.is_hedged(call) {
            return None;
        }
        let mut choose =
            |requirement, tried| self.choose(class, call.kind, requirement, false, tried, now);
        let serial = match purpose {
            // The call has already waited longer than those in the queue, so it
            // may take a slot that is free when only the requests of this entry
            // are counted. The hedge budget bounds the slots that hedges take
            // from queued calls.
            Purpose::Hedge => choose(Requirement::FreeSlot, tried)
                .or_else(|| choose(Requirement::OwnFreeSlot, tried)),
            Purpose::Retry => choose(Requirement::FreeSlot, tried)
                .or_else(|| choose(Requirement::Connection, tried))
                .or_else(|| choose(Requirement::Connection, &[])),
            Purpose::Reconnect => {
                let last = tried.last()?;
                let others = self
                    .candidates
                    .values()
                    .map(|candidate| &candidate.endpoint.id);
                let others: Vec<_> = others.filter(|id| *id != last).cloned().collect();
                self.choose(
                    class,
                    call.kind,
                    Requirement::Connection,
                    false,
                    &others,
                    now,
                )
                .or_else(|| {
                    self.choose(class, call.kind, Requirement::Connection, false, tried, now)
                })
            }
        }?;
        let permit = self.permit(class, Stage::Additional, now).ok()?;
        let budget = if is_hedge {
            &mut self.hedges
        } else {
            &mut self.retries
        };
        if !budget.spend() {
            return None;
        }
        let class_state = self.class_state(class, now);
        if is_hedge {
            class_state.hedges.inc();
        } else {
            class_state.retries.inc();
        }
        let mut ticket = self.start_attempt(serial, class, now);
        ticket.hedge = is_hedge;
        Some((ticket, permit))
    }

    /// Returns the time after the dispatch at which a hedge is due; `None` when
    /// the call is not hedged or its class has too few samples.
    pub(crate) fn hedge_delay(&self, call: &Call) -> Option<Duration> {
        if !self.is_hedged(call) {
            return None;
        }
        let threshold = self.classes.get(&call.class)?.latency.slow_threshold()?;
        Some(threshold.max(self.document.hedging.min_delay_ms.duration()))
    }

    fn is_hedged(&self, call: &Call) -> bool {
        self.policy.admits_by_slots()
            && call.kind == Kind::Idempotent
            && self.document.hedging.budget_percent.get() > 0.0
    }

    fn choose(
        &mut self,
        class: &Class,
        kind: Kind,
        requirement: Requirement,
        allow_trial: bool,
        tried: &[Target],
        now: Instant,
    ) -> Option<u64> {
        for candidate in self
            .candidates
            .values_mut()
            .filter(|candidate| candidate.health.is_ejected())
        {
            candidate.health.return_on_probe(now);
        }
        let criteria = Criteria {
            now,
            kind,
            requirement,
            allow_trial,
            tried,
            zone: &self.config.zone,
            median: self
                .classes
                .get(class)
                .and_then(|class_state| class_state.latency.median()),
            max_connections: self.document.connections.max_per_target,
        };
        self.policy.choose(&self.candidates, &criteria)
    }

    fn start_attempt(&mut self, serial: u64, class: &Class, now: Instant) -> Ticket {
        self.attempts += 1;
        let median = self
            .classes
            .get(class)
            .and_then(|class_state| class_state.latency.median());
        if let Some(candidate) = self.candidates.get_mut(&serial) {
            candidate.dispatch(self.attempts, median, now);
        }
        Ticket {
            candidate: serial,
            attempt: self.attempts,
            class: class.clone(),
            hedge: false,
        }
    }

    fn permit(&mut self, class: &Class, stage: Stage, now: Instant) -> Result<Permit, Scope> {
        Permit::acquire(self.quotas(class, now), stage, now)
    }

    /// Returns the quotas that a request of a class is counted against.
    pub(crate) fn quotas(&mut self, class: &Class, now: Instant) -> Quotas {
        Quotas {
            class: self.class_state(class, now).quota.clone(),
            service: self.quota.clone(),
            team: self.config.team_quota.clone(),
        }
    }

    pub(crate) fn class_state(&mut self, class: &Class, now: Instant) -> &mut ClassState {
        if !self.classes.contains_key(class) {
            let class_state = ClassState::new(
                &self.document,
                class,
                self.config.max_entries,
                &self.metrics,
                now,
            );
            self.classes.insert(class.clone(), class_state);
        }
        self.classes.entry(class.clone()).or_insert_with(|| {
            ClassState::new(
                &self.document,
                class,
                self.config.max_entries,
                &self.metrics,
                now,
            )
        })
    }
}
