//! Targets of one service.

use std::collections::HashMap;
use std::time::Duration;

use carobdrift_units::{Target, Zone};
use rand::RngExt;
use tokio::time::Instant;

use crate::node::{Endpoint, Lifecycle, Node, Usual};
use crate::report::{Load, Outcome, Snapshot};

/// Age up to which a report decides without a probe. The speed of a target
/// changes about every 150 ms, so a report of this age is right nine times out
/// of ten.
const FRESH: Duration = Duration::from_millis(25);

/// Slowdown up to which a target counts as fast: above the spread of targets at
/// usual speed, far below the factor of about 5 of a busy machine.
const FAST: f64 = 1.6;

/// Targets that are probed at a time for one request. With a third of the targets
/// slow, two of them hold a fast one nine times out of ten.
const PROBES: usize = 2;

/// Targets that are weighed against each other in full order; several rounds of
/// probes use fewer.
const RANKED: usize = 16;

/// Weight of a new report in the mean slowdown: a mean over the last 100, some
/// seconds at usual load.
const MEAN_GAIN: f64 = 0.01;

/// Weight of a new request in the usual time: a mean over the last 50.
const TIME_GAIN: f64 = 0.02;

/// Mean slowdown before the first report, between that of installations with a
/// quarter and with a third of their targets slow (2.0 and 2.4).
const FIRST_MEAN: f64 = 2.0;

/// Usual time of a request before the first one; the order of size of known
/// services.
const FIRST_TIME: Duration = Duration::from_millis(150);

/// Cost of a target in another availability zone, as a part of the usual time
/// of a request: the way there, and the bytes between zones.
const REMOTE_COST: f64 = 0.2;

/// Cost of a target that was not heard of lately, as a part of the usual time of
/// a request: a connection would have to be opened. Each entry thus stays with
/// the targets that it knows while these are enough.
const UNKNOWN_COST: f64 = 0.5;

/// Cost by which a good target that was probed may exceed the cheapest one, as a
/// part of the usual time of a request: above that of another availability zone,
/// far below that of a target on trial.
const PROBED_MARGIN: f64 = 0.5;

/// Time after the first target from which targets count as joined.
const SETTLED: Duration = Duration::from_secs(5);

/// Age from which a report does not show that a connection is open.
const FORGOTTEN: Duration = Duration::from_secs(8);

/// A request that needs a target.
#[derive(Debug, Clone, Copy)]
pub struct Criteria<'a> {
    /// Targets that it was sent to before.
    pub tried: &'a [Target],
    /// Targets that were probed for it.
    pub probed: &'a [Target],
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether it goes to the best target there is, without further probes.
    pub immediate: bool,
    /// Largest cost of a target, as a multiple of the usual time of the
    /// request, at which its answer is still of use.
    pub max_cost: f64,
}

/// What to do with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Send it to this target.
    Send(Endpoint),
    /// Probe these targets and ask again.
    Probe(Vec<Endpoint>),
    /// All targets with a free slot are slow; ask again soon.
    Slow,
    /// No target would answer in time.
    Saturated,
    /// No target takes requests.
    NoTarget,
}

/// Targets of one service, as one entry sees them.
#[derive(Debug)]
pub struct Pool {
    zone: Zone,
    nodes: HashMap<Target, Node>,
    usual: Usual,
    attempts: u64,
    /// When the first target was added.
    opened: Option<Instant>,
}

impl Pool {
    /// A pool without targets, for an entry in the given zone.
    #[must_use]
    pub fn new(zone: Zone) -> Self {
        Self {
            zone,
            nodes: HashMap::new(),
            usual: Usual {
                slowdown: FIRST_MEAN,
                time: FIRST_TIME,
            },
            attempts: 0,
            opened: None,
        }
    }

    /// Adds a target, or takes in its new registration. A new process under the
    /// same id starts without a record.
    pub fn put(&mut self, endpoint: Endpoint, now: Instant) {
        let local = endpoint.zone == self.zone;
        match self.nodes.get_mut(&endpoint.id) {
            Some(node)
                if node.endpoint.started_ms == endpoint.started_ms
                    && node.endpoint.address == endpoint.address =>
            {
                node.update(endpoint, now);
            }
            _ => {
                let opened = *self.opened.get_or_insert(now);
                let joined = now.saturating_duration_since(opened) >= SETTLED;
                let id = endpoint.id.clone();
                let node = Node::new(endpoint, local, joined, now);
                self.nodes.insert(id, node);
            }
        }
    }

    /// Removes a target.
    pub fn remove(&mut self, target: &Target) {
        self.nodes.remove(target);
    }

    /// Whether the pool has no targets.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Ready targets.
    #[must_use]
    pub fn ready_count(&self) -> usize {
        let nodes = self.nodes.values();
        nodes
            .filter(|node| node.endpoint.lifecycle == Lifecycle::Ready)
            .count()
    }

    /// Whether a target, in this very process, takes new requests.
    #[must_use]
    pub fn accepts(&self, endpoint: &Endpoint) -> bool {
        self.nodes.get(&endpoint.id).is_some_and(|node| {
            node.endpoint.started_ms == endpoint.started_ms
                && node.endpoint.lifecycle == Lifecycle::Ready
        })
    }

    /// Chooses a target.
    pub fn choose(&mut self, demand: Criteria<'_>, now: Instant) -> Choice {
        let choice = self.decide(demand, now);
        if let Choice::Probe(targets) = &choice {
            for target in targets {
                if let Some(node) = self.nodes.get_mut(&target.id) {
                    node.asked(now);
                }
            }
        }
        choice
    }

    fn decide(&self, demand: Criteria<'_>, now: Instant) -> Choice {
        let mut ranked = self.rank(demand, now);
        let Some(&(_, best)) = ranked.first() else {
            return Choice::NoTarget;
        };
        if !demand.immediate
            && let Some(choice) = self.trial(demand, now)
        {
            return choice;
        }
        if self.is_good(best, now) {
            return Choice::Send(best.endpoint.clone());
        }
        // What the request was probed for counts, also where a target whose
        // report is old is expected to be as fast.
        if !demand.probed.is_empty()
            && let Some((cost, good)) = ranked.iter().find(|(_, node)| self.is_good(node, now))
            && *cost <= ranked[0].0 + PROBED_MARGIN
        {
            return Choice::Send(good.endpoint.clone());
        }
        if demand.immediate {
            let (cost, best) = &ranked[0];
            return if *cost <= demand.max_cost {
                Choice::Send(best.endpoint.clone())
            } else {
                Choice::Saturated
            };
        }
        ranked.retain(|(_, node)| {
            let stale = node.age(now).is_none_or(|age| age > FRESH);
            stale
                && !demand.probed.contains(&node.endpoint.id)
                && !node.is_asked(now)
                && node.has_room(self.usual, now)
        });
        if ranked.is_empty() {
            return Choice::Slow;
        }
        let probes = ranked.iter().take(PROBES);
        Choice::Probe(probes.map(|(_, node)| node.endpoint.clone()).collect())
    }

    /// Gives a target that joined its first request once it is known to be good,
    /// and a probe until then. Otherwise it would stay without work while the
    /// others have room, since they are known and have open connections.
    fn trial(&self, demand: Criteria<'_>, now: Instant) -> Option<Choice> {
        let mut untried = self.nodes.values().filter(|node| {
            node.is_untried(now)
                && node.is_usable(now)
                && !node.is_on_trial()
                && !demand.tried.contains(&node.endpoint.id)
        });
        untried.find_map(|node| {
            let endpoint = || node.endpoint.clone();
            if self.is_good(node, now) {
                Some(Choice::Send(endpoint()))
            } else if node.is_probe_due(now) && demand.probed.is_empty() {
                Some(Choice::Probe(vec![endpoint()]))
            } else {
                None
            }
        })
    }

    /// Begins an attempt on a target, which is expected to take `work` at usual
    /// speed. Returns its number.
    pub fn begin_attempt(&mut self, target: &Target, work: Duration, now: Instant) -> u64 {
        self.attempts += 1;
        let usual = self.usual;
        let time = work.mul_f64(usual.slowdown);
        self.usual.time = usual.time.mul_f64(1.0 - TIME_GAIN) + time.mul_f64(TIME_GAIN);
        if let Some(node) = self.nodes.get_mut(target) {
            let slowdown = node.slowdown(usual, now).max(1.0);
            node.begin(self.attempts, work.mul_f64(slowdown), now);
        }
        self.attempts
    }

    /// What is known of a target now.
    #[must_use]
    pub fn snapshot(&self, target: &Target, now: Instant) -> Option<Snapshot> {
        let node = self.nodes.get(target)?;
        Some(Snapshot {
            slowdown: node.stated_slowdown(),
            age: node.age(now).unwrap_or_default(),
            occupancy: node.occupancy(self.usual, now),
            slots: node.slots(),
        })
    }

    /// Ends an attempt; returns the time that it took.
    pub fn end_attempt(
        &mut self,
        target: &Target,
        attempt: u64,
        outcome: Outcome,
        now: Instant,
    ) -> Option<Duration> {
        self.nodes.get_mut(target)?.end(attempt, outcome, now)
    }

    /// Takes in the load that a target states.
    pub fn record_load(&mut self, target: &Target, load: Load, now: Instant) {
        let Some(node) = self.nodes.get_mut(target) else {
            return;
        };
        node.report(load, now);
        self.usual.slowdown += MEAN_GAIN * (load.slowdown - self.usual.slowdown);
    }

    /// Whether a request could be sent at once.
    #[must_use]
    pub fn has_candidate(&self, now: Instant) -> bool {
        let mut nodes = self.nodes.values();
        nodes.any(|node| node.is_usable(now) && self.is_good(node, now))
    }

    /// Notes that a target left a probe unanswered.
    pub fn record_unanswered_probe(&mut self, target: &Target) {
        if let Some(node) = self.nodes.get_mut(target) {
            node.unanswered();
        }
    }

    /// Notes that a target can't be reached.
    pub fn mark_unreachable(&mut self, target: &Target, now: Instant) {
        if let Some(node) = self.nodes.get_mut(target) {
            node.unreachable(now);
        }
    }

    /// Slowdown that a target stated last.
    #[must_use]
    pub fn slowdown(&self, target: &Target) -> Option<f64> {
        self.nodes.get(target)?.stated_slowdown()
    }

    /// Whether a target is known to be fast and to have a free slot.
    fn is_good(&self, node: &Node, now: Instant) -> bool {
        let fresh = node.age(now).is_some_and(|age| age <= FRESH);
        fresh && node.has_room(self.usual, now) && node.slowdown(self.usual, now) <= FAST
    }

    /// Usable targets, cheapest first. Resting targets are used when there are
    /// no others.
    fn rank(&self, demand: Criteria<'_>, now: Instant) -> Vec<(f64, &Node)> {
        let mut random = rand::rng();
        let mut ranked = Vec::with_capacity(self.nodes.len());
        let mut resting = Vec::new();
        for node in self.nodes.values() {
            if node.endpoint.lifecycle != Lifecycle::Ready
                || demand.tried.contains(&node.endpoint.id)
            {
                continue;
            }
            let remote = if node.local { 0.0 } else { REMOTE_COST };
            // Targets of equal cost are used in turn.
            let noise: f64 = random.random_range(0.0..0.05);
            let unknown = if node.age(now).is_none_or(|age| age > FORGOTTEN) {
                UNKNOWN_COST
            } else {
                0.0
            };
            let mut cost = node.cost(self.usual, now) + remote + unknown + noise;
            if node.is_on_trial() && !demand.idempotent {
                cost *= 4.0;
            }
            if node.is_usable(now) {
                ranked.push((cost, node));
            } else {
                resting.push((cost, node));
            }
        }
        if ranked.is_empty() {
            ranked = resting;
        }
        // Only the first few are looked at.
        if ranked.len() > RANKED {
            ranked.select_nth_unstable_by(RANKED, |a, b| a.0.total_cmp(&b.0));
            ranked.truncate(RANKED);
        }
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
        ranked
    }
}
