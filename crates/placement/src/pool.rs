//! Pool of the targets of one service.

mod cold;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use carobdrift_units::{Target, Zone};
use rand::RngExt;
use tokio::time::Instant;

use crate::candidate::{Baseline, Candidate, Endpoint, Lifecycle};
use crate::contention::Contention;
use crate::report::{Load, Outcome, Snapshot};
use crate::statement::Statements;

/// Age up to which a report decides without a probe. The speed of a target
/// changes about every 150 ms, so a report of this age is right nine times out
/// of ten.
const MAX_FRESH_AGE: Duration = Duration::from_millis(25);

/// Age up to which a report of one free slot decides. Of the sends to the last slot, one
/// in four met a full target with reports of 4 to 25 ms, and one in ten with newer ones.
const MAX_LAST_SLOT_AGE: Duration = Duration::from_millis(5);

/// Number of targets that are probed before an idempotent request uses a last slot.
const LAST_SLOT_PROBES: usize = PROBES;

/// The same for a request that is lost if the target is full and resets the connection.
const LAST_SLOT_PROBES_NON_IDEMPOTENT: usize = 2 * PROBES;

/// Slowdown up to which a target counts as fast: above the spread of targets at
/// normal speed, far below the factor of about 5 of a busy machine.
const MAX_FAST_SLOWDOWN: f64 = 1.6;

/// Number of targets that are probed concurrently for one request. With a third
/// of the targets slow, one of two is fast nine times out of ten.
const PROBES: usize = 2;

/// Largest number of targets that are sorted by cost. Even several rounds of
/// probes use fewer.
const MAX_RANKED: usize = 16;

/// Weight of a new report in the mean slowdown: a mean over the last 100 reports,
/// which arrive within some seconds at normal load.
const SLOWDOWN_GAIN: f64 = 0.01;

/// Weight of a new request in the mean request time: a mean over the last 50.
const REQUEST_TIME_GAIN: f64 = 0.02;

/// Mean slowdown before the first report, between that of installations with a
/// quarter and with a third of their targets slow (2.0 and 2.4).
const INITIAL_SLOWDOWN: f64 = 2.0;

/// Mean request time before the first request; the order of magnitude of known
/// services.
const INITIAL_REQUEST_TIME: Duration = Duration::from_millis(150);

/// Additional cost of a target in another availability zone, as a fraction of the
/// normal service time: the network latency, and the traffic between zones.
const REMOTE_COST: f64 = 0.2;

/// Additional cost of a target without a recent answer, as a fraction of the
/// normal service time: the entry would have to open a connection. Each entry
/// therefore keeps using the targets that it knows while these suffice.
const UNKNOWN_COST: f64 = 0.5;

/// Margin by which the cost of a suitable target that was probed may exceed the
/// lowest cost, as a fraction of the normal service time: above the additional
/// cost of another availability zone, far below that of a target on probation.
const PROBED_MARGIN: f64 = 0.5;

/// Time after the first target was added from which new targets count as added
/// later.
const SETTLING_TIME: Duration = Duration::from_secs(5);

/// Age from which an answer no longer indicates an open connection.
const CONNECTION_LIFETIME: Duration = Duration::from_secs(8);

/// Criteria by which a target is selected for a request.
#[derive(Debug, Clone, Copy)]
pub struct Criteria<'a> {
    /// Targets that the request was sent to before.
    pub tried: &'a [Target],
    /// Targets that were probed for the request.
    pub probed: &'a [Target],
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the request goes to the best known target without further
    /// probes.
    pub immediate: bool,
    /// Largest cost of a target, as a multiple of the request's service time at
    /// normal speed, at which its answer is still of use.
    pub max_cost: f64,
}

/// Decision on a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Send the request to this target.
    Send(Endpoint),
    /// Probe these targets and choose again.
    Probe(Vec<Endpoint>),
    /// All targets with a free slot are slow; choose again soon.
    Slow,
    /// No target would answer in time.
    Saturated,
    /// All targets that could be used asked for a pause; the first pause ends at
    /// this time.
    Paused(Instant),
    /// No target accepts requests.
    NoTarget,
}

/// Slots of a target that requests may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SlotUse {
    /// Those with which the target completes the most requests.
    Usable,
    /// All of them.
    All,
}

/// Pool of the targets of one service, as one entry sees them.
#[derive(Debug)]
pub struct Pool {
    zone: Zone,
    candidates: HashMap<Target, Candidate>,
    statements: Statements,
    baseline: Baseline,
    contention: Contention,
    attempts: u64,
    first_added: Option<Instant>,
    /// Zones whose targets get no requests.
    evacuated: Arc<HashSet<Zone>>,
    /// Whether a cold target gets requests only with tokens.
    limits_cold: bool,
}

impl Pool {
    /// Creates a pool without targets, for an entry in the given zone.
    #[must_use]
    pub fn new(zone: Zone) -> Self {
        Self {
            zone,
            candidates: HashMap::new(),
            statements: Statements::default(),
            baseline: Baseline {
                slowdown: INITIAL_SLOWDOWN,
                request_time: INITIAL_REQUEST_TIME,
            },
            contention: Contention::default(),
            attempts: 0,
            first_added: None,
            evacuated: Arc::default(),
            limits_cold: false,
        }
    }

    /// Sets the zones whose targets get neither requests nor probes.
    pub fn set_evacuated(&mut self, zones: Arc<HashSet<Zone>>) {
        self.evacuated = zones;
    }

    /// Adds a target or applies its new registration. A new process under the
    /// same id starts without reports and failures. A target that stated that it
    /// is leaving stays so until its process is replaced.
    pub fn put(&mut self, mut endpoint: Endpoint, now: Instant) {
        if self.statements.is_leaving(&endpoint) {
            endpoint.lifecycle = Lifecycle::Draining;
        }
        let local = endpoint.zone == self.zone;
        match self.candidates.get_mut(&endpoint.id) {
            Some(candidate)
                if candidate.endpoint.started_ms == endpoint.started_ms
                    && candidate.endpoint.address == endpoint.address =>
            {
                candidate.update(endpoint, !self.limits_cold, now);
            }
            _ => {
                let first_added = *self.first_added.get_or_insert(now);
                let added_later = now.saturating_duration_since(first_added) >= SETTLING_TIME;
                let id = endpoint.id.clone();
                let candidate = Candidate::new(endpoint, local, added_later, now);
                self.candidates.insert(id, candidate);
            }
        }
    }

    /// Removes a target.
    pub fn remove(&mut self, target: &Target) {
        self.candidates.remove(target);
    }

    /// Whether the pool has no targets.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Returns the number of ready targets.
    #[must_use]
    pub fn ready_count(&self) -> usize {
        let candidates = self.candidates.values();
        candidates
            .filter(|candidate| candidate.endpoint.lifecycle == Lifecycle::Ready)
            .count()
    }

    /// Whether the target's current process is that of `endpoint` and accepts
    /// new requests.
    #[must_use]
    pub fn accepts(&self, endpoint: &Endpoint, now: Instant) -> bool {
        self.candidates.get(&endpoint.id).is_some_and(|candidate| {
            candidate.endpoint.started_ms == endpoint.started_ms
                && self.is_open(candidate)
                && self
                    .statements
                    .paused_until(&candidate.endpoint, now)
                    .is_none()
        })
    }

    /// Records the statement of a target that it is leaving. It gets no new
    /// requests. Returns whether this was not known.
    pub fn mark_leaving(&mut self, endpoint: &Endpoint, now: Instant) -> bool {
        self.statements.record_leaving(endpoint, now);
        let Some(candidate) = self.candidates.get_mut(&endpoint.id) else {
            return false;
        };
        let known = &mut candidate.endpoint;
        if known.started_ms != endpoint.started_ms || known.address != endpoint.address {
            return false;
        }
        std::mem::replace(&mut known.lifecycle, Lifecycle::Draining) == Lifecycle::Ready
    }

    /// Records a failure of a target outside an attempt.
    pub fn record_failure(&mut self, endpoint: &Endpoint, now: Instant) {
        if let Some(candidate) = self.candidates.get_mut(&endpoint.id)
            && candidate.endpoint.started_ms == endpoint.started_ms
        {
            candidate.record_failure(now);
        }
    }

    /// Records that a target wants neither requests nor probes until a time.
    pub fn pause(&mut self, endpoint: &Endpoint, until: Instant, now: Instant) {
        self.statements.record_pause(endpoint, until, now);
    }

    /// Chooses a target for a request.
    pub fn choose(&mut self, criteria: Criteria<'_>, now: Instant) -> Choice {
        let mut choice = self.evaluate(criteria, SlotUse::Usable, now);
        if choice == Choice::Saturated && self.contention.try_begin_trial(now) {
            choice = self.evaluate(criteria, SlotUse::All, now);
        }
        if let Choice::Probe(targets) = &choice {
            for target in targets {
                if let Some(candidate) = self.candidates.get_mut(&target.id) {
                    candidate.record_probe(now);
                }
            }
        }
        choice
    }

    fn evaluate(&self, criteria: Criteria<'_>, slot_use: SlotUse, now: Instant) -> Choice {
        let mut ranked = self.rank(criteria, now);
        let Some(&(_, best)) = ranked.first() else {
            return match self.first_pause_end(criteria, now) {
                Some(until) => Choice::Paused(until),
                None if self.has_withheld(criteria, now) => Choice::Saturated,
                None => Choice::NoTarget,
            };
        };
        if !criteria.immediate
            && let Some(choice) = self.try_new_target(criteria, now)
        {
            return choice;
        }
        if self.is_safe(best, criteria, now) {
            return Choice::Send(best.endpoint.clone());
        }
        // A suitable target that was probed for this request is preferred to a
        // target with an old report and a slightly lower expected cost.
        if !criteria.probed.is_empty()
            && let Some((cost, suitable)) = ranked
                .iter()
                .find(|(_, candidate)| self.is_safe(candidate, criteria, now))
            && *cost <= ranked[0].0 + PROBED_MARGIN
        {
            return Choice::Send(suitable.endpoint.clone());
        }
        if criteria.immediate {
            // A target that slows down when it is full gets no request beyond its
            // usable slots. The request waits here, where it can still go to
            // whichever target has a usable slot first.
            let preferred = ranked.iter().find(|(_, candidate)| {
                slot_use == SlotUse::All
                    || self.contention.usable_slots(candidate.slots()) == candidate.slots()
                    || self.has_slot(candidate, slot_use, now)
            });
            return match preferred {
                Some((cost, best)) if *cost <= criteria.max_cost => {
                    let is_probed = criteria.probed.contains(&best.endpoint.id);
                    if is_probed || self.is_health_known(best, now) {
                        Choice::Send(best.endpoint.clone())
                    } else {
                        Choice::Probe(vec![best.endpoint.clone()])
                    }
                }
                _ => Choice::Saturated,
            };
        }
        // Without another target to probe, a suitable one is used as it is.
        let suitable = ranked.iter().find(|(cost, candidate)| {
            self.is_suitable(candidate, now) && *cost <= ranked[0].0 + PROBED_MARGIN
        });
        let last_slot = suitable.map(|(_, candidate)| candidate.endpoint.clone());
        ranked.retain(|(_, candidate)| {
            let stale =
                !Self::is_load_known(candidate, now) || !self.is_health_known(candidate, now);
            stale
                && !criteria.probed.contains(&candidate.endpoint.id)
                && !candidate.is_probe_pending(now)
                && self.has_slot(candidate, slot_use, now)
        });
        if ranked.is_empty() {
            return match last_slot {
                Some(endpoint) => Choice::Send(endpoint),
                None => Choice::Slow,
            };
        }
        let probes = ranked.iter().take(PROBES);
        Choice::Probe(
            probes
                .map(|(_, candidate)| candidate.endpoint.clone())
                .collect(),
        )
    }

    /// Sends a target that was added later its first request once a report shows
    /// it to be suitable, and a probe until then. Otherwise the target would stay
    /// idle while others have free slots, because these have reports and open
    /// connections.
    fn try_new_target(&self, criteria: Criteria<'_>, now: Instant) -> Option<Choice> {
        let mut untried = self.candidates.values().filter(|candidate| {
            candidate.is_untried(now)
                && self.is_open(candidate)
                && candidate.is_usable(now)
                && !candidate.is_on_probation()
                && !self.is_paused(candidate, now)
                && !criteria.tried.contains(&candidate.endpoint.id)
        });
        untried.find_map(|candidate| {
            let endpoint = || candidate.endpoint.clone();
            if self.is_suitable(candidate, now) {
                Some(Choice::Send(endpoint()))
            } else if candidate.is_probe_due(now) && criteria.probed.is_empty() {
                Some(Choice::Probe(vec![endpoint()]))
            } else {
                None
            }
        })
    }

    /// Begins an attempt on a target. `service_time` is the expected service time
    /// at normal speed. Returns the number of the attempt.
    pub fn begin_attempt(&mut self, target: &Target, service_time: Duration, now: Instant) -> u64 {
        self.attempts += 1;
        let baseline = self.baseline;
        let request_time = service_time.mul_f64(baseline.slowdown);
        self.baseline.request_time = baseline.request_time.mul_f64(1.0 - REQUEST_TIME_GAIN)
            + request_time.mul_f64(REQUEST_TIME_GAIN);
        if let Some(candidate) = self.candidates.get_mut(target) {
            let expected = service_time.mul_f64(candidate.slowdown(baseline, now).max(1.0));
            let occupancy = candidate.occupancy(baseline, now);
            candidate.begin_attempt(self.attempts, expected, occupancy, now);
        }
        self.attempts
    }

    /// Returns the known state of a target.
    #[must_use]
    pub fn snapshot(&self, target: &Target, now: Instant) -> Option<Snapshot> {
        let candidate = self.candidates.get(target)?;
        Some(Snapshot {
            slowdown: candidate.reported_slowdown(),
            age: candidate.report_age(now).unwrap_or_default(),
            occupancy: candidate.occupancy(self.baseline, now),
            slots: candidate.slots(),
        })
    }

    /// Ends an attempt and returns its duration.
    pub fn end_attempt(
        &mut self,
        target: &Target,
        attempt: u64,
        outcome: Outcome,
        now: Instant,
    ) -> Option<Duration> {
        let candidate = self.candidates.get_mut(target)?;
        let completed = candidate.end_attempt(attempt, outcome, now)?;
        if outcome == Outcome::Success {
            self.contention
                .observe(completed.level, completed.elapsed, completed.expected);
        }
        Some(completed.elapsed)
    }

    /// Records the load that a target reports.
    pub fn record_load(&mut self, target: &Target, load: Load, now: Instant) {
        let Some(candidate) = self.candidates.get_mut(target) else {
            return;
        };
        candidate.record_load(load, now);
        self.baseline.slowdown += SLOWDOWN_GAIN * (load.slowdown - self.baseline.slowdown);
    }

    /// Records an answer of a target that does not state its load.
    pub fn record_missing_report(&mut self, target: &Target, now: Instant) {
        if let Some(candidate) = self.candidates.get_mut(target) {
            candidate.record_missing_report(now);
        }
    }

    /// Records that a target refused a probe, as it refuses requests while it is full.
    pub fn record_refused_probe(&mut self, target: &Target, now: Instant) {
        if let Some(candidate) = self.candidates.get_mut(target) {
            candidate.record_refusal(now);
        }
    }

    /// Whether a usable target is known to be fast and to have a free slot, so
    /// that a request could be sent at once.
    #[must_use]
    pub fn has_suitable(&self, now: Instant) -> bool {
        let mut candidates = self.candidates.values();
        candidates.any(|candidate| {
            self.is_open(candidate)
                && candidate.is_usable(now)
                && !self.is_paused(candidate, now)
                && !self.is_withheld(candidate, now)
                && self.is_suitable(candidate, now)
        })
    }

    /// Records that a target did not answer a probe.
    pub fn record_unanswered_probe(&mut self, target: &Target) {
        if let Some(candidate) = self.candidates.get_mut(target) {
            candidate.record_unanswered_probe();
        }
    }

    /// Ejects a target that can't be reached and discards its report.
    pub fn mark_unreachable(&mut self, target: &Target, now: Instant) {
        if let Some(candidate) = self.candidates.get_mut(target) {
            candidate.mark_unreachable(now);
        }
    }

    /// Returns the slowdown that a target reported last; 1 for a target that answers without
    /// reports.
    #[must_use]
    pub fn slowdown(&self, target: &Target) -> Option<f64> {
        self.candidates.get(target)?.observed_slowdown()
    }

    /// Whether a target accepts new requests and its zone is not evacuated.
    fn is_open(&self, candidate: &Candidate) -> bool {
        candidate.endpoint.lifecycle == Lifecycle::Ready
            && !self.evacuated.contains(&candidate.endpoint.zone)
    }

    /// Whether a target has a slot for another request.
    fn has_slot(&self, candidate: &Candidate, slot_use: SlotUse, now: Instant) -> bool {
        let slots = candidate.slots();
        let limit = match slot_use {
            SlotUse::Usable => self.contention.usable_slots(slots),
            SlotUse::All => slots,
        };
        candidate.occupancy(self.baseline, now) < limit
    }

    /// Whether what is known of the load of a target can decide: a fresh report, or the
    /// requests of this entry if the target answers without reports.
    fn is_load_known(candidate: &Candidate, now: Instant) -> bool {
        if candidate.is_unreported() {
            return !candidate.is_unanswered();
        }
        candidate
            .report_age(now)
            .is_some_and(|age| age <= MAX_FRESH_AGE)
    }

    /// Whether a target is known to be fast and to have a free slot.
    fn is_suitable(&self, candidate: &Candidate, now: Instant) -> bool {
        Self::is_load_known(candidate, now)
            && self.is_health_known(candidate, now)
            && self.has_slot(candidate, SlotUse::Usable, now)
            && candidate.slowdown(self.baseline, now) <= MAX_FAST_SLOWDOWN
    }

    /// Whether a suitable target is unlikely to be filled by another entry before the
    /// request arrives. The last of several slots is used only if the probes found no
    /// target with more.
    fn is_safe(&self, candidate: &Candidate, criteria: Criteria<'_>, now: Instant) -> bool {
        let is_last = candidate.occupancy(self.baseline, now) + 1 == candidate.slots();
        let min_probes = if criteria.idempotent {
            LAST_SLOT_PROBES
        } else {
            LAST_SLOT_PROBES_NON_IDEMPOTENT
        };
        let has_probed = criteria.probed.len() >= min_probes
            && candidate
                .report_age(now)
                .is_some_and(|age| age <= MAX_LAST_SLOT_AGE);
        // No probe would tell more of a target that does not report its load.
        let may_use_last =
            criteria.immediate || candidate.slots() == 1 || has_probed || candidate.is_unreported();
        self.is_suitable(candidate, now) && (!is_last || may_use_last)
    }

    /// Whether a target asked for a pause that is not over.
    fn is_paused(&self, candidate: &Candidate, now: Instant) -> bool {
        let until = self.statements.paused_until(&candidate.endpoint, now);
        until.is_some()
    }

    /// Returns the time at which the first pause of a ready target ends.
    fn first_pause_end(&self, criteria: Criteria<'_>, now: Instant) -> Option<Instant> {
        let ready = self.candidates.values().filter(|candidate| {
            self.is_open(candidate) && !criteria.tried.contains(&candidate.endpoint.id)
        });
        ready
            .filter_map(|candidate| self.statements.paused_until(&candidate.endpoint, now))
            .min()
    }

    /// Returns the usable targets, lowest cost first. Falls back to ejected
    /// targets if no other is left.
    fn rank(&self, criteria: Criteria<'_>, now: Instant) -> Vec<(f64, &Candidate)> {
        let mut random = rand::rng();
        let mut ranked = Vec::with_capacity(self.candidates.len());
        let mut ejected = Vec::new();
        for candidate in self.candidates.values() {
            if !self.is_open(candidate)
                || criteria.tried.contains(&candidate.endpoint.id)
                || self.is_paused(candidate, now)
                || self.is_withheld(candidate, now)
            {
                continue;
            }
            let remote = if candidate.local { 0.0 } else { REMOTE_COST };
            // Spreads requests over targets of equal cost.
            let jitter: f64 = random.random_range(0.0..0.05);
            let unknown = if candidate
                .answer_age(now)
                .is_none_or(|age| age > CONNECTION_LIFETIME)
            {
                UNKNOWN_COST
            } else {
                0.0
            };
            let mut cost = candidate.cost(self.baseline, now) + remote + unknown + jitter;
            if candidate.is_on_probation() && !criteria.idempotent {
                cost *= 4.0;
            }
            if candidate.is_usable(now) {
                ranked.push((cost, candidate));
            } else {
                ejected.push((cost, candidate));
            }
        }
        if ranked.is_empty() {
            ranked = ejected;
        }
        if ranked.len() > MAX_RANKED {
            ranked.select_nth_unstable_by(MAX_RANKED, |a, b| a.0.total_cmp(&b.0));
            ranked.truncate(MAX_RANKED);
        }
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
        ranked
    }
}
