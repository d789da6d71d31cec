//! State of a pool, protected by its lock.

use std::collections::BTreeMap;
use std::sync::Arc;

use carobdrift_document::Document;
use carobdrift_units::{Class, Target, Version};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::budget::Budget;
use crate::candidate::Candidate;
use crate::class::ClassState;
use crate::metrics::Metrics;
use crate::observation::{Departure, Evidence, Observation, Outcome, Report};
use crate::permit::Permit;
use crate::policy::Policy;
use crate::pool::Config;
use crate::queue::{Answer, Position, Queue};
use crate::quota::Quota;

/// State of a pool.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) document: Arc<Document>,
    pub(crate) version: Version,
    pub(crate) candidates: BTreeMap<u64, Candidate>,
    pub(crate) policy: Policy,
    pub(crate) queue: Queue,
    pub(crate) polling: bool,
    pub(crate) classes: BTreeMap<Class, ClassState>,
    pub(crate) quota: Quota,
    pub(crate) retries: Budget,
    pub(crate) hedges: Budget,
    pub(crate) config: Config,
    pub(crate) metrics: Metrics,
    serial: u64,
    pub(crate) attempts: u64,
}

/// Effects of a state change, carried out after the lock is released because
/// dropping a slot acquires the lock again.
#[derive(Debug, Default)]
pub(crate) struct Effects {
    pub(crate) replies: Vec<(oneshot::Sender<Answer>, Answer)>,
    pub(crate) departures: Vec<Departure>,
}

/// Identity of an attempt within its pool.
#[derive(Debug, Clone)]
pub(crate) struct Ticket {
    /// Serial number of the candidate that the attempt was sent to.
    pub(crate) candidate: u64,
    /// Serial number of the attempt.
    pub(crate) attempt: u64,
    /// Class of the call.
    pub(crate) class: Class,
    /// Whether the attempt is a hedge.
    pub(crate) hedge: bool,
}

/// Admission of a call: sent to a target, or queued.
#[derive(Debug)]
pub(crate) enum Admitted {
    Sent(Ticket, Permit),
    Queued(Position, oneshot::Receiver<Answer>),
}

impl State {
    pub(crate) fn new(
        document: Arc<Document>,
        version: Version,
        quota: Quota,
        config: Config,
        metrics: Metrics,
    ) -> Self {
        let mut state = Self {
            version,
            candidates: BTreeMap::new(),
            policy: Policy::new(document.balancing.policy),
            queue: Queue::default(),
            polling: false,
            classes: BTreeMap::new(),
            quota,
            retries: Budget::new(document.retries.budget_percent),
            hedges: Budget::new(document.hedging.budget_percent),
            config,
            metrics,
            serial: 0,
            attempts: 0,
            document,
        };
        let document = Arc::clone(&state.document);
        let mut effects = Effects::default();
        // A new entry knows no target. A slow start of all targets would only
        // reduce its capacity.
        state.apply(&document, None, &mut effects);
        state
    }

    /// Applies a document version.
    pub(crate) fn reload(
        &mut self,
        document: Arc<Document>,
        version: Version,
        now: Instant,
        effects: &mut Effects,
    ) {
        self.version = version;
        if self.policy.rule() != document.balancing.policy {
            self.policy = Policy::new(document.balancing.policy);
        }
        self.retries.reload(document.retries.budget_percent);
        self.hedges.reload(document.hedging.budget_percent);
        self.apply(&document, Some(now), effects);
        self.document = document;
    }

    fn apply(&mut self, document: &Document, now: Option<Instant>, effects: &mut Effects) {
        for candidate in self.candidates.values_mut() {
            candidate.retired = true;
        }
        for endpoint in &document.targets {
            let mut candidates = self.candidates.values_mut();
            let is_active = endpoint.state == carobdrift_document::State::Active;
            let candidate = if let Some(candidate) =
                candidates.find(|candidate| candidate.endpoint.id == endpoint.id)
            {
                let has_moved = candidate.endpoint.address != endpoint.address;
                candidate.retired = false;
                candidate.endpoint = endpoint.clone();
                if has_moved && let Some(now) = now {
                    candidate.reset(now);
                }
                candidate
            } else {
                self.serial += 1;
                let candidate = Candidate::new(self.serial, endpoint.clone(), now);
                self.candidates.entry(self.serial).or_insert(candidate)
            };
            let was_leaving = candidate.lifecycle.leaving().is_some();
            let is_reactivated = candidate.lifecycle.reload(self.version, is_active);
            if is_reactivated && let Some(now) = now {
                log::info!(target: "balance", "{}: target {} is back in service", document.service, endpoint.id);
                candidate.reset(now);
            }
            if !is_active && !was_leaving {
                effects.departures.push(Departure {
                    service: document.service.clone(),
                    target: endpoint.id.clone(),
                    evidence: Evidence::Document,
                    start: candidate.lifecycle.start().map(str::to_owned),
                    version: self.version,
                });
            }
        }
        self.candidates
            .retain(|_, candidate| !candidate.retired || candidate.in_flight() > 0);
        let classes = document.classes.iter();
        self.queue
            .reload(classes.map(|class| (&class.name, class.weight, class.max_queue)));
        self.classes
            .retain(|class, _| document.classes.iter().any(|listed| listed.name == *class));
        for (class, class_state) in &mut self.classes {
            class_state.reload(document, class);
        }
        if let Some(now) = now {
            self.enforce_ejection_cap(now);
        }
    }

    /// Records the report in the response headers.
    pub(crate) fn report(
        &mut self,
        ticket: &Ticket,
        report: &Report,
        now: Instant,
        effects: &mut Effects,
    ) {
        let Some(candidate) = self.candidates.get_mut(&ticket.candidate) else {
            return;
        };
        let start = report.start.as_deref();
        if start.is_some_and(|start| candidate.lifecycle.has_ended(start)) {
            return;
        }
        candidate.report(report, now);
        let target = candidate.endpoint.id.clone();
        if let Some(start) = start {
            candidate.record_start(start, now);
        }
        if report.draining {
            self.mark_leaving(&target, Evidence::Response, start, None, now, effects);
        }
    }

    /// Ends an attempt. Without an observation the attempt was cancelled.
    pub(crate) fn finish(
        &mut self,
        ticket: &Ticket,
        observation: Option<&Observation>,
        now: Instant,
        effects: &mut Effects,
    ) {
        if let Some(observation) = observation {
            self.report(ticket, &observation.report, now, effects);
        }
        let Some(candidate) = self.candidates.get_mut(&ticket.candidate) else {
            return;
        };
        let attempt = ticket.attempt;
        let mut should_eject = false;
        let mut latency = None;
        let mut cancelled = None;
        match observation.map(|observation| observation.outcome) {
            Some(Outcome::Success) => latency = candidate.succeed(attempt, now),
            Some(Outcome::Failure) => should_eject = candidate.fail(attempt, true, now),
            Some(Outcome::TimedOut) => should_eject = candidate.fail(attempt, false, now),
            Some(Outcome::Refused) => candidate.refuse(attempt, now),
            Some(Outcome::Connection) => {
                candidate.cancel(attempt, now);
            }
            None => cancelled = candidate.cancel(attempt, now),
        }
        if candidate.retired && candidate.in_flight() == 0 {
            self.candidates.remove(&ticket.candidate);
        } else if should_eject {
            self.eject(ticket.candidate, now);
        }
        if let Some(seconds) = latency {
            let class_state = self.class_state(&ticket.class, now);
            class_state.attempts.observe(seconds);
            if !ticket.hedge {
                class_state.latency.record(seconds, now);
            }
        }
        if let Some(seconds) = cancelled
            && !ticket.hedge
        {
            self.class_state(&ticket.class, now)
                .latency
                .record_cancelled(seconds, now);
        }
    }

    /// Marks a target as leaving. `seen_in` is the document version that was in
    /// force where the departure was seen; `None` stands for the version in
    /// force here.
    pub(crate) fn mark_leaving(
        &mut self,
        target: &Target,
        evidence: Evidence,
        start: Option<&str>,
        seen_in: Option<Version>,
        now: Instant,
        effects: &mut Effects,
    ) {
        let version = seen_in.unwrap_or(self.version);
        let Some(candidate) = self.candidate_mut(target) else {
            return;
        };
        if let Some(start) = start {
            if candidate.lifecycle.has_ended(start) {
                return;
            }
            candidate.record_start(start, now);
        }
        if !candidate.lifecycle.mark(evidence, version) {
            return;
        }
        let start = candidate.lifecycle.start().map(str::to_owned);
        let service = self.document.service.clone();
        log::info!(target: "balance", "{service}: target {target} is leaving ({evidence:?})");
        effects.departures.push(Departure {
            service,
            target: target.clone(),
            evidence,
            start,
            version,
        });
        self.enforce_ejection_cap(now);
    }

    pub(crate) fn candidate_mut(&mut self, target: &Target) -> Option<&mut Candidate> {
        let mut candidates = self.candidates.values_mut();
        candidates.find(|candidate| !candidate.retired && candidate.endpoint.id == *target)
    }
}
