//! Choice of one target among those that may be sent to.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use carobdrift_document::Kind;
use carobdrift_units::{Target, Zone};
use rand::seq::IteratorRandom;
use tokio::time::Instant;

use crate::health::Admission;
use crate::node::Node;
use crate::number::count;

/// Cost of the hop to another zone.
const ZONE_HOP: Duration = Duration::from_micros(1_400);

/// Time that stands in for the usual one until there are enough results.
const ASSUMED_USUAL_SECONDS: f64 = 0.01;

/// Multiple of the usual time from which the age of the oldest request counts.
/// Healthy requests often take twice their median.
const OLD_AGE: f64 = 2.0;

/// Weight of the share of failures in the score.
const FAILURE_WEIGHT: f64 = 4.0;

/// Estimated requests of other entries that still count as none.
const NO_REQUEST: f64 = 0.1;

/// Relative size of the random part of a score, which keeps entries that know
/// the same from choosing the same.
const JITTER: f64 = 0.1;

/// Rule by which a pool chooses targets.
#[derive(Debug, Clone)]
pub struct Policy {
    rule: carobdrift_document::Policy,
    last: u64,
}

/// How strictly slots are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Admit {
    /// A slot is free by own and estimated other requests.
    Free,
    /// A slot is free by own requests.
    OwnFree,
    /// A connection is free.
    Connection,
}

/// What is asked of a policy.
#[derive(Debug)]
pub(crate) struct Ask<'a> {
    pub(crate) now: Instant,
    pub(crate) kind: Kind,
    pub(crate) admit: Admit,
    /// Whether the request may be the trial of an ejected target.
    pub(crate) trial: bool,
    pub(crate) tried: &'a [Target],
    pub(crate) zone: &'a Zone,
    /// Usual time of the class in seconds, when known.
    pub(crate) usual: Option<f64>,
    pub(crate) max_connections: u32,
}

impl Policy {
    /// A policy with the rule that a document names.
    #[must_use]
    pub fn new(rule: carobdrift_document::Policy) -> Self {
        Self { rule, last: 0 }
    }

    /// The rule.
    #[must_use]
    pub fn rule(&self) -> carobdrift_document::Policy {
        self.rule
    }

    /// Whether calls are admitted by slots and wait at the entry.
    pub(crate) fn admits_by_slots(&self) -> bool {
        self.rule == carobdrift_document::Policy::Adaptive
    }

    /// Chooses a target; `None` when none may be sent to.
    pub(crate) fn choose(&mut self, nodes: &BTreeMap<u64, Node>, ask: &Ask<'_>) -> Option<u64> {
        if ask.trial
            && let Some(node) = nodes.values().find(|node| ask.is_trial(node))
        {
            return Some(node.serial);
        }
        let chosen = match self.rule {
            carobdrift_document::Policy::RoundRobin => {
                let after = (Bound::Excluded(self.last), Bound::Unbounded);
                let rest = nodes.range(after).chain(nodes.range(..=self.last));
                rest.map(|(_, node)| node).find(|node| ask.is_open(node))
            }
            carobdrift_document::Policy::PowerOfTwo => {
                let open = nodes.values().filter(|node| ask.is_open(node));
                let two = open.sample(&mut rand::rng(), 2);
                two.into_iter().min_by_key(|node| node.in_flight())
            }
            carobdrift_document::Policy::LeastInFlight => {
                let open = nodes.values().filter(|node| ask.is_open(node));
                open.min_by_key(|node| (node.in_flight(), rand::random::<u32>()))
            }
            carobdrift_document::Policy::Adaptive => Self::adaptive(nodes, ask),
        }?;
        self.last = chosen.serial;
        Some(chosen.serial)
    }

    fn adaptive<'a>(nodes: &'a BTreeMap<u64, Node>, ask: &Ask<'_>) -> Option<&'a Node> {
        let usable = nodes.values().filter(|node| node.is_usable());
        let (cold, warm): (Vec<_>, Vec<_>) = usable.partition(|node| node.warmth(ask.now) < 1.0);
        // Slow start shifts load to warm targets; without enough of them it
        // would only take capacity away.
        let ramp = cold.len() <= warm.len();
        let open = warm.into_iter().chain(cold);
        let open = open.filter(|node| ask.is_open(node) && ask.has_room(node, ramp));
        let scored = open.map(|node| (ask.score(node, ramp), node));
        let best = scored.min_by(|(a, _), (b, _)| a.total_cmp(b));
        best.map(|(_, node)| node)
    }
}

impl Ask<'_> {
    fn is_trial(&self, node: &Node) -> bool {
        let Admission::Trial { any } = node.health.admission(self.now) else {
            return false;
        };
        node.is_usable()
            && (any || self.kind == Kind::Idempotent)
            && !self.tried.contains(&node.endpoint.id)
    }

    fn is_open(&self, node: &Node) -> bool {
        node.is_usable()
            && node.health.admission(self.now) == Admission::Open
            && node.in_flight() < usize::try_from(self.max_connections).unwrap_or(usize::MAX)
            && !self.tried.contains(&node.endpoint.id)
    }

    fn has_room(&self, node: &Node, ramp: bool) -> bool {
        let own = count(node.in_flight());
        let slots = f64::from(node.endpoint.slots);
        let usable = if ramp {
            (slots * node.warmth(self.now)).ceil().max(1.0)
        } else {
            slots
        };
        match self.admit {
            Admit::Free => {
                !node.is_paused(self.now)
                    && own < usable
                    && own + node.foreign(self.now) < slots - 1.0 + NO_REQUEST
            }
            Admit::OwnFree => !node.is_paused(self.now) && own < usable,
            Admit::Connection => true,
        }
    }

    /// Expected cost of sending to a target, in usual service times.
    fn score(&self, node: &Node, ramp: bool) -> f64 {
        let usual = self.usual.unwrap_or(ASSUMED_USUAL_SECONDS);
        let oldest = node.oldest(self.now);
        let aged = if oldest > OLD_AGE { oldest } else { 0.0 };
        let slowdown = node.slowdown(self.now).max(aged);
        let slots = f64::from(node.endpoint.slots);
        let load = (count(node.in_flight()) + node.foreign(self.now)) / slots;
        let mut cost = slowdown * (1.0 + load);
        cost *= 1.0 + FAILURE_WEIGHT * node.health.failing(self.now);
        if ramp {
            cost *= 2.0 - node.warmth(self.now);
        }
        if node.endpoint.zone != *self.zone {
            cost += ZONE_HOP.as_secs_f64() / usual;
        }
        cost * (1.0 + JITTER * rand::random::<f64>())
    }
}
