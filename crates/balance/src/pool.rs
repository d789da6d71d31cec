//! Pool of the targets of one service.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use carobdrift_document::{Document, Endpoint, Policy, State};
use carobdrift_units::{Instance, Target, Version, Zone};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::call::{Call, Purpose, Shed};
use crate::metrics::Metrics;
use crate::observation::{Departure, Evidence, Observation, Report, Sample};
use crate::slot::{Slot, Ticket};
use crate::view::{Standing, TargetView};

/// What a pool knows of its own entry.
#[derive(Debug, Clone)]
pub struct Local {
    /// Instance id of the entry.
    pub instance: Instance,
    /// Availability zone of the entry.
    pub zone: Zone,
    /// Receives each target that the pool marks as leaving, so that peers can
    /// be told.
    pub departures: Option<mpsc::UnboundedSender<Departure>>,
}

/// Targets of one service with everything that this entry knows of them;
/// cheap to clone.
#[derive(Debug, Clone)]
pub struct Pool {
    shared: Arc<Shared>,
}

#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<Targets>,
    local: Local,
    metrics: Metrics,
}

#[derive(Debug)]
struct Targets {
    document: Arc<Document>,
    nodes: Vec<Node>,
    next: usize,
    attempts: u64,
}

#[derive(Debug)]
struct Node {
    serial: u64,
    endpoint: Endpoint,
    leaving: Option<Evidence>,
    in_flight: BTreeMap<u64, Instant>,
}

impl Pool {
    /// Opens the pool of a document.
    #[must_use]
    pub fn open(document: Arc<Document>, _: Version, local: Local, metrics: Metrics) -> Self {
        let nodes = document.targets.iter().zip(0..);
        let nodes = nodes.map(|(endpoint, serial)| Node::new(serial, endpoint.clone()));
        let targets = Targets {
            nodes: nodes.collect(),
            document,
            next: 0,
            attempts: 0,
        };
        Self {
            shared: Arc::new(Shared {
                state: Mutex::new(targets),
                local,
                metrics,
            }),
        }
    }

    /// Puts another version of the document in force. Targets that stay keep
    /// their state; requests on removed targets run to completion.
    pub fn reload(&self, document: Arc<Document>, _: Version) {
        let mut state = self.shared.lock();
        let mut serial = state
            .nodes
            .iter()
            .map(|node| node.serial)
            .max()
            .unwrap_or(0);
        let mut nodes = Vec::new();
        for endpoint in &document.targets {
            let found = state
                .nodes
                .iter()
                .position(|n| n.endpoint.id == endpoint.id);
            if let Some(index) = found {
                let mut node = state.nodes.swap_remove(index);
                node.endpoint = endpoint.clone();
                nodes.push(node);
            } else {
                serial += 1;
                nodes.push(Node::new(serial, endpoint.clone()));
            }
        }
        state.nodes = nodes;
        state.document = document;
    }

    /// Admits a call and chooses its target. Waits until the deadline at most.
    ///
    /// # Errors
    ///
    /// Fails with the reason when the call is shed; it was not sent anywhere.
    #[expect(clippy::unused_async, reason = "calls wait once admission is by slots")]
    pub async fn acquire(&self, call: &Call) -> Result<Slot, Shed> {
        let slot = self.shared.take(call, &[]).ok_or(Shed::NoTarget);
        if let Err(shed) = slot {
            let service = self.shared.lock().document.service.clone();
            let labels = [service.as_str(), call.class.as_str(), shed.reason()];
            self.shared.metrics.sheds.with_label_values(&labels).inc();
        }
        slot
    }

    /// Takes one more target for a call and spends the budget of the purpose.
    /// `tried` names the targets of all attempts so far, the last one last.
    #[must_use]
    pub fn try_another(&self, call: &Call, purpose: Purpose, tried: &[Target]) -> Option<Slot> {
        let slot = self.shared.take(call, tried)?;
        let service = self.shared.lock().document.service.clone();
        let labels = [service.as_str(), call.class.as_str()];
        let metrics = &self.shared.metrics;
        let counter = match purpose {
            Purpose::Retry | Purpose::Reconnect => &metrics.retries,
            Purpose::Hedge => &metrics.hedges,
        };
        counter.with_label_values(&labels).inc();
        Some(slot)
    }

    /// Time after which a hedge is worth sending; `None` when the call is not
    /// to be hedged.
    #[must_use]
    pub fn hedge_delay(&self, _: &Call) -> Option<Duration> {
        None
    }

    /// Marks a target as leaving: from now on it gets nothing new. `start` is
    /// the start id of the process that is leaving, when known. Returns whether
    /// the mark is new.
    pub fn mark_leaving(&self, target: &Target, evidence: Evidence, start: Option<&str>) -> bool {
        let departure = {
            let mut state = self.shared.lock();
            let service = state.document.service.clone();
            let Some(node) = state.nodes.iter_mut().find(|n| n.endpoint.id == *target) else {
                return false;
            };
            if node.leaving.is_some() {
                return false;
            }
            node.leaving = Some(evidence);
            Departure {
                service,
                target: target.clone(),
                evidence,
                start: start.map(str::to_owned),
            }
        };
        if let Some(departures) = &self.shared.local.departures {
            let _ = departures.send(departure);
        }
        true
    }

    /// Learns the start id of a target's process from the instance list.
    pub fn learn_start(&self, _: &Target, _: &str) {}

    /// Learns the result of a probe.
    pub fn learn(&self, sample: &Sample) {
        if sample.draining {
            self.mark_leaving(&sample.target, Evidence::Response, sample.start.as_deref());
        }
    }

    /// The targets as this entry sees them.
    #[must_use]
    pub fn view(&self) -> Vec<TargetView> {
        let state = self.shared.lock();
        let view = state.nodes.iter().map(|node| TargetView {
            target: node.endpoint.id.clone(),
            address: node.endpoint.address,
            zone: node.endpoint.zone.clone(),
            slots: node.endpoint.slots,
            standing: node.leaving.map_or(Standing::Active, Standing::Leaving),
            in_flight: u32::try_from(node.in_flight.len()).unwrap_or(u32::MAX),
            foreign: 0.0,
            latency: None,
            last_answer: None,
            cold: false,
            start: None,
        });
        view.collect()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Targets> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(self: &Arc<Self>, call: &Call, tried: &[Target]) -> Option<Slot> {
        let mut state = self.lock();
        let count = state.nodes.len();
        let policy = state.document.balancing.policy;
        let first = state.next;
        let candidates = (0..count).map(|offset| (first + offset) % count);
        let candidates = candidates.filter(|index| {
            let node = &state.nodes[*index];
            node.leaving.is_none() && !tried.contains(&node.endpoint.id)
        });
        let index = match policy {
            Policy::RoundRobin => candidates.into_iter().next(),
            _ => candidates.min_by_key(|index| state.nodes[*index].in_flight.len()),
        }?;
        state.next = (index + 1) % count;
        state.attempts += 1;
        let attempt = state.attempts;
        let node = &mut state.nodes[index];
        let started = Instant::now();
        node.in_flight.insert(attempt, started);
        Some(Slot {
            shared: Arc::clone(self),
            ticket: Ticket {
                node: node.serial,
                attempt,
                class: call.class.clone(),
                started,
            },
            target: node.endpoint.id.clone(),
            address: node.endpoint.address,
            finished: false,
        })
    }

    pub(crate) fn report(self: &Arc<Self>, ticket: &Ticket, report: &Report) {
        if !report.draining {
            return;
        }
        let target = {
            let state = self.lock();
            let node = state.nodes.iter().find(|node| node.serial == ticket.node);
            node.map(|node| node.endpoint.id.clone())
        };
        if let Some(target) = target {
            let pool = Pool {
                shared: Arc::clone(self),
            };
            pool.mark_leaving(&target, Evidence::Response, report.start.as_deref());
        }
    }

    pub(crate) fn finish(self: &Arc<Self>, ticket: &Ticket, observation: &Observation) {
        self.report(ticket, &observation.report);
        let service = self.lock().document.service.clone();
        let labels = [service.as_str(), ticket.class.as_str()];
        let attempts = self.metrics.attempts.with_label_values(&labels);
        attempts.observe(ticket.started.elapsed().as_secs_f64());
        self.cancel(ticket);
    }

    pub(crate) fn cancel(&self, ticket: &Ticket) {
        let mut state = self.lock();
        let node = state
            .nodes
            .iter_mut()
            .find(|node| node.serial == ticket.node);
        if let Some(node) = node {
            node.in_flight.remove(&ticket.attempt);
        }
    }
}

impl Node {
    fn new(serial: u64, endpoint: Endpoint) -> Self {
        Self {
            serial,
            leaving: (endpoint.state == State::Leaving).then_some(Evidence::Document),
            endpoint,
            in_flight: BTreeMap::new(),
        }
    }
}
