//! The installation under test.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use carobdrift_test_support::caller::Caller;
use carobdrift_test_support::fleet::{self, Fleet, Service};
use http::{Method, StatusCode};
use serde_json::{Value, json};

use super::Error;
use crate::trace::{Policy, Trace};
use carobdrift_test_support::load;

/// Time within which an entry must become ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Time within which an accepted edit is looked for on all entries.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(10);

/// Time between two looks at the entries for accepted edits.
const WATCH_PAUSE: Duration = Duration::from_millis(10);

pub(super) struct Bench {
    pub(super) fleet: Fleet,
    callers: Vec<Caller>,
    documents: BTreeMap<String, Document>,
    in_force: Vec<Duration>,
    paths: BTreeMap<String, String>,
    /// Entries that take part: not killed and not stopped.
    pub(super) running: Vec<usize>,
    /// Entries that are stopped by SIGSTOP.
    pub(super) paused: BTreeSet<usize>,
    edits: u64,
    watches: Vec<Watch>,
}

/// An accepted edit that is not yet seen on all running entries.
struct Watch {
    service: String,
    version: u64,
    accepted: Instant,
    missing: Vec<usize>,
}

struct Document {
    body: Value,
    version: u64,
}

impl Bench {
    pub(super) async fn set_up(
        trace: &Trace,
        examples: &Path,
        logs: Option<&Path>,
    ) -> Result<Self, Error> {
        let zones: Vec<&str> = trace
            .services
            .first()
            .map(|service| service.zones.iter().map(String::as_str).collect())
            .unwrap_or_default();
        let mut fleet = Fleet::spawn(&zones, logs.map(Path::to_owned)).await?;
        for service in &trace.services {
            fleet.start_targets(service).await?;
        }
        let mut running = Vec::new();
        for _ in 0..trace.entries {
            running.push(fleet.start_entry(&[]).await?);
        }
        let discovery: Vec<SocketAddr> = fleet.entries.iter().map(|entry| entry.admin).collect();
        let callers = (0..trace.callers as usize)
            .map(|number| Caller::new(zones[number % zones.len()], discovery.clone()))
            .collect();
        let mut bench = Self {
            fleet,
            callers,
            documents: BTreeMap::new(),
            in_force: Vec::new(),
            paths: trace
                .streams
                .iter()
                .map(|stream| (stream.service.clone(), stream.path.clone()))
                .collect(),
            running,
            paused: BTreeSet::new(),
            edits: 0,
            watches: Vec::new(),
        };
        bench.wait_ready().await?;
        for service in &trace.services {
            let body = template(examples, service, &bench.fleet)?;
            let document = Document { body, version: 0 };
            bench.documents.insert(service.name.clone(), document);
            bench.edit(&service.name).await?;
        }
        bench.settle().await?;
        Ok(bench)
    }

    pub(super) fn callers(&self) -> &[Caller] {
        &self.callers
    }

    pub(super) fn in_force(&self) -> &[Duration] {
        &self.in_force
    }

    pub(super) fn forget_addresses(&self) {
        for caller in &self.callers {
            for service in self.documents.keys() {
                caller.invalidate_addresses(service);
            }
        }
    }

    /// Path of the stream that calls a service.
    pub(super) fn direct_path(&self, service: &str) -> String {
        self.paths
            .get(service)
            .cloned()
            .unwrap_or_else(|| "/".to_owned())
    }

    /// Probes per second and target that a service's document permits.
    pub(super) fn probe_budget(&self, service: &str) -> u64 {
        self.documents
            .get(service)
            .and_then(|document| {
                document.body["measuring"]["probes_per_second_per_target"].as_u64()
            })
            .unwrap_or_default()
    }

    pub(super) async fn use_policy(&mut self, policy: &Policy) -> Result<(), Error> {
        let services: Vec<String> = self.documents.keys().cloned().collect();
        for service in services {
            if let Some(document) = self.documents.get_mut(&service) {
                document.body["balancing"] = json!({"policy": policy.name});
                document.body["steering"]["entries_per_zone"] = json!(u32::from(policy.steered));
            }
            self.edit(&service).await?;
        }
        self.settle().await
    }

    /// Puts a service's document as the bench holds it. Until the accepted
    /// edit is seen on all running entries, [`Bench::watch_until`] looks for it.
    pub(super) async fn edit(&mut self, service: &str) -> Result<(), Error> {
        let document = self
            .documents
            .get(service)
            .ok_or_else(|| Error::Service(service.to_owned()))?;
        // Under its own id an edit whose outcome is unknown can be sent again
        // to the next entry.
        self.edits += 1;
        let path = format!(
            "/v1/documents/{service}?expected_version={}&edit_id=replay-{}",
            document.version, self.edits
        );
        let body = document.body.clone();
        let mut last = String::new();
        for index in self.running.clone() {
            if self.paused.contains(&index) {
                continue;
            }
            let admin = self.fleet.entry(index)?.admin;
            let answer = self
                .fleet
                .call_admin(admin, Method::PUT, &path, Some(&body))
                .await;
            let Ok((status, answer)) = answer else {
                continue;
            };
            if status.is_success()
                && let Some(version) = answer["version"].as_u64()
            {
                if let Some(document) = self.documents.get_mut(service) {
                    document.version = version;
                }
                self.watches.push(Watch {
                    service: service.to_owned(),
                    version,
                    accepted: Instant::now(),
                    missing: self.running.clone(),
                });
                return Ok(());
            }
            last = format!("{status} {answer}");
            if status != StatusCode::SERVICE_UNAVAILABLE {
                break;
            }
        }
        Err(Error::Edit {
            service: service.to_owned(),
            answer: last,
        })
    }

    /// Waits until all accepted edits are in force or count as overdue.
    pub(super) async fn settle(&mut self) -> Result<(), Error> {
        while !self.watches.is_empty() {
            self.look_for_edits().await?;
            tokio::time::sleep(WATCH_PAUSE).await;
        }
        Ok(())
    }

    /// Looks for accepted edits until a moment, so that faults and further
    /// edits happen at their times.
    pub(super) async fn watch_until(&mut self, moment: Instant) -> Result<(), Error> {
        while Instant::now() < moment && !self.watches.is_empty() {
            if let Ok(result) = tokio::time::timeout_at(moment.into(), self.look_for_edits()).await
            {
                result?;
            }
            let next = moment.min(Instant::now() + WATCH_PAUSE);
            tokio::time::sleep_until(next.into()).await;
        }
        tokio::time::sleep_until(moment.into()).await;
        Ok(())
    }

    /// Asks each entry that is not yet seen with an accepted edit once. One
    /// that is paused can't answer; its time counts all the same.
    async fn look_for_edits(&mut self) -> Result<(), Error> {
        let mut number = 0;
        while let Some(watch) = self.watches.get(number) {
            let path = format!("/v1/documents/{}", watch.service);
            let (version, accepted) = (watch.version, watch.accepted);
            for index in watch.missing.clone() {
                if self.paused.contains(&index) {
                    continue;
                }
                let admin = self.fleet.entry(index)?.admin;
                let seen = match self.fleet.call_admin(admin, Method::GET, &path, None).await {
                    Ok((_, body)) => body["version"].as_u64() >= Some(version),
                    Err(_) => false,
                };
                if seen || !self.running.contains(&index) {
                    self.watches[number].missing.retain(|other| *other != index);
                }
            }
            let elapsed = accepted.elapsed();
            if self.watches[number].missing.is_empty() || elapsed > IN_FORCE_LIMIT {
                self.watches.remove(number);
                self.in_force.push(elapsed);
            } else {
                number += 1;
            }
        }
        Ok(())
    }

    /// Checks that no entry ended by itself: what a replay measures with fewer
    /// entries than the trace states is not what it is to judge.
    pub(super) fn check_running(&mut self) -> Result<(), Error> {
        for index in self.running.clone() {
            let entry = self.fleet.entry(index)?;
            if let Some(status) = entry.process.try_wait().map_err(fleet::Error::from)? {
                return Err(Error::Ended {
                    entry: entry.id.to_string(),
                    status,
                });
            }
        }
        Ok(())
    }

    async fn wait_ready(&self) -> Result<(), Error> {
        for entry in &self.fleet.entries {
            if !self.fleet.wait_ready(entry.admin, READY_LIMIT).await {
                return Err(Error::NotReady(entry.id.to_string()));
            }
        }
        Ok(())
    }
}

/// The trace's streams with their rates.
pub(super) fn streams(trace: &Trace) -> Result<Vec<load::Stream>, Error> {
    trace
        .streams
        .iter()
        .map(|stream| {
            let service = trace
                .services
                .iter()
                .find(|service| service.name == stream.service)
                .ok_or_else(|| Error::Service(stream.service.clone()))?;
            let slots = f64::from(service.targets * service.slots);
            Ok(load::Stream {
                service: stream.service.clone(),
                method: stream.method.parse().unwrap_or(Method::GET),
                path: stream.path.clone(),
                rate: stream.load * slots / (service.mean_ms / 1000.0),
                keyed: stream.keyed,
            })
        })
        .collect()
}

fn template(examples: &Path, service: &Service, fleet: &Fleet) -> Result<Value, Error> {
    let path = examples.join(format!("{}.json", service.name));
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(&path).map_err(|problem| Error::Document {
        path: shown.clone(),
        problem,
    })?;
    let mut body: Value = serde_json::from_str(&text).map_err(|problem| Error::Json {
        path: shown,
        problem,
    })?;
    body["targets"] = fleet.document_targets(&service.name);
    Ok(body)
}
