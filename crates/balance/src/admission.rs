//! Admission of calls and of further attempts.

use std::time::Duration;

use carobdrift_document::Kind;
use carobdrift_units::{Class, Target};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::call::{Call, Purpose, Scope, Shed};
use crate::class::Traffic;
use crate::count::Stage;
use crate::node::Node;
use crate::permit::{Permit, Shares};
use crate::policy::{Admit, Ask};
use crate::queue::Waiter;
use crate::slot::Slot;
use crate::state::{Admitted, Effects, State, Ticket};

/// Time after which a waiting call no longer heeds the estimate of other
/// entries' requests. The estimate is stale by then, and a slot that is free
/// must not stay unused because of it.
const ESTIMATE_PATIENCE: Duration = Duration::from_millis(2);

impl State {
    /// Admits a call: sends it, lets it wait or sheds it.
    pub(crate) fn admit(
        &mut self,
        call: &Call,
        stage: Stage,
        now: Instant,
    ) -> Result<Admitted, Shed> {
        if call.deadline <= now {
            return Err(Shed::Deadline);
        }
        if !self.nodes.values().any(Node::is_usable) {
            return Err(Shed::NoTarget);
        }
        let permit = self.permit(&call.class, stage, now).map_err(Shed::Limit)?;
        if self.queue.is_empty()
            && let Some(serial) = self.choose(&call.class, call.kind, Admit::Free, true, &[], now)
        {
            self.retries.deposit();
            self.hedges.deposit();
            self.traffic(&call.class, now).queued.observe(0.0);
            return Ok(Admitted::Sent(self.send(serial, &call.class, now), permit));
        }
        let wait = self.queue.expected_wait(&call.class, call.deadline);
        let rest = (call.deadline - now).as_secs_f64();
        if wait.is_some_and(|wait| wait > rest) {
            return Err(Shed::Deadline);
        }
        let (answer, receiver) = oneshot::channel();
        let waiter = Waiter {
            class: call.class.clone(),
            kind: call.kind,
            deadline: call.deadline,
            since: now,
            permit,
            answer,
        };
        let position = self.queue.push(waiter).map_err(|_| Shed::QueueFull)?;
        Ok(Admitted::Waiting(position, receiver))
    }

    /// Sends waiting calls as long as slots are free.
    pub(crate) fn dispatch(
        &mut self,
        now: Instant,
        slot: impl Fn(Ticket, &Node, Permit) -> Slot,
        effects: &mut Effects,
    ) {
        let usable = self.nodes.values().any(Node::is_usable);
        while let Some(waiter) = self.queue.peek() {
            let late = waiter.deadline <= now;
            if late || !usable {
                let shed = if late { Shed::Deadline } else { Shed::NoTarget };
                if let Some(waiter) = self.queue.pop(false, now) {
                    effects.answers.push((waiter.answer, Err(shed)));
                }
                continue;
            }
            let admit = if now - waiter.since >= ESTIMATE_PATIENCE {
                Admit::OwnFree
            } else {
                Admit::Free
            };
            let (class, kind) = (waiter.class.clone(), waiter.kind);
            let Some(serial) = self.choose(&class, kind, admit, true, &[], now) else {
                return;
            };
            let Some(waiter) = self.queue.pop(true, now) else {
                return;
            };
            self.retries.deposit();
            self.hedges.deposit();
            let delay = (now - waiter.since).as_secs_f64();
            self.traffic(&class, now).queued.observe(delay);
            let ticket = self.send(serial, &class, now);
            if let Some(node) = self.nodes.get(&serial) {
                let slot = slot(ticket, node, waiter.permit);
                effects.answers.push((waiter.answer, Ok(slot)));
            }
        }
    }

    /// Takes one more target for an admitted call.
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
        let hedge = purpose == Purpose::Hedge;
        let budget = if hedge { &self.hedges } else { &self.retries };
        if !budget.is_available() {
            return None;
        }
        let class = &call.class;
        if hedge && !self.is_hedged(call) {
            return None;
        }
        let mut choose = |admit, tried| self.choose(class, call.kind, admit, false, tried, now);
        let serial = match purpose {
            // A call that is slow already has waited longer than the calls in
            // the queue; the budget bounds what it takes from them.
            Purpose::Hedge => choose(Admit::Free, tried).or_else(|| choose(Admit::OwnFree, tried)),
            Purpose::Retry => choose(Admit::Free, tried)
                .or_else(|| choose(Admit::Connection, tried))
                .or_else(|| choose(Admit::Connection, &[])),
            Purpose::Reconnect => {
                let last = tried.last()?;
                let others = self.nodes.values().map(|node| &node.endpoint.id);
                let others: Vec<_> = others.filter(|id| *id != last).cloned().collect();
                self.choose(class, call.kind, Admit::Connection, false, &others, now)
                    .or_else(|| self.choose(class, call.kind, Admit::Connection, false, tried, now))
            }
        }?;
        let permit = self.permit(class, Stage::Further, now).ok()?;
        let budget = if hedge {
            &mut self.hedges
        } else {
            &mut self.retries
        };
        if !budget.spend() {
            return None;
        }
        let traffic = self.traffic(class, now);
        if hedge {
            traffic.hedges.inc();
        } else {
            traffic.retries.inc();
        }
        let mut ticket = self.send(serial, class, now);
        ticket.hedge = hedge;
        Some((ticket, permit))
    }

    /// Time after which a hedge of the call is worth sending.
    pub(crate) fn hedge_delay(&self, call: &Call) -> Option<Duration> {
        if !self.is_hedged(call) {
            return None;
        }
        let slow = self.classes.get(&call.class)?.latency.slow()?;
        Some(slow.max(self.document.hedging.min_delay_ms.duration()))
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
        admit: Admit,
        trial: bool,
        tried: &[Target],
        now: Instant,
    ) -> Option<u64> {
        for node in self
            .nodes
            .values_mut()
            .filter(|node| node.health.is_ejected())
        {
            node.health.settle(now);
        }
        let ask = Ask {
            now,
            kind,
            admit,
            trial,
            tried,
            zone: &self.config.zone,
            usual: self
                .classes
                .get(class)
                .and_then(|traffic| traffic.latency.usual()),
            max_connections: self.document.connections.max_per_target,
        };
        self.policy.choose(&self.nodes, &ask)
    }

    fn send(&mut self, serial: u64, class: &Class, now: Instant) -> Ticket {
        self.attempts += 1;
        let usual = self
            .classes
            .get(class)
            .and_then(|traffic| traffic.latency.usual());
        if let Some(node) = self.nodes.get_mut(&serial) {
            node.dispatch(self.attempts, usual, now);
        }
        Ticket {
            node: serial,
            attempt: self.attempts,
            class: class.clone(),
            hedge: false,
        }
    }

    fn permit(&mut self, class: &Class, stage: Stage, now: Instant) -> Result<Permit, Scope> {
        Permit::enter(self.shares(class, now), stage, now)
    }

    /// The shares that a request of a class is counted against.
    pub(crate) fn shares(&mut self, class: &Class, now: Instant) -> Shares {
        Shares {
            class: self.traffic(class, now).limit.clone(),
            service: self.quota.clone(),
            team: self.config.team_quota.clone(),
        }
    }

    pub(crate) fn traffic(&mut self, class: &Class, now: Instant) -> &mut Traffic {
        if !self.classes.contains_key(class) {
            let traffic = Traffic::new(
                &self.document,
                class,
                self.config.max_entries,
                &self.metrics,
                now,
            );
            self.classes.insert(class.clone(), traffic);
        }
        self.classes.entry(class.clone()).or_insert_with(|| {
            Traffic::new(
                &self.document,
                class,
                self.config.max_entries,
                &self.metrics,
                now,
            )
        })
    }
}
