//! Testbed of a replay: platform, entries, targets and callers on loopback.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use carobdrift_test_support::caller::Caller;
use carobdrift_test_support::fleet::{self, Fleet, Service};
use carobdrift_test_support::load;
use http::{Method, StatusCode};
use serde_json::{Value, json};

use super::Error;
use crate::trace::{Policy, Trace};

/// Time within which an entry must become ready after its start.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Time after which an accepted edit that some running entry has not adopted is
/// overdue. It is no longer polled, and the elapsed time counts as its adoption
/// time.
const ADOPTION_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause between two polls of the entries for accepted edits.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Processes of a replay and the documents in use.
pub(super) struct Testbed {
    pub(super) fleet: Fleet,
    callers: Vec<Caller>,
    /// Documents by service.
    documents: BTreeMap<String, Document>,
    /// Time from acceptance to adoption by all running entries, for each edit.
    adoption_times: Vec<Duration>,
    /// Request paths by service.
    paths: BTreeMap<String, String>,
    /// Indexes of the entries that no event killed or stopped.
    pub(super) running: Vec<usize>,
    /// Indexes of the entries suspended with SIGSTOP.
    pub(super) paused: BTreeSet<usize>,
    /// Number of edits sent, from which their ids are made.
    edit_count: u64,
    pending_edits: Vec<PendingEdit>,
}

/// Accepted edit that some running entry has not adopted yet.
struct PendingEdit {
    service: String,
    version: u64,
    accepted_at: Instant,
    /// Indexes of the entries that have not adopted the edit.
    remaining: Vec<usize>,
}

/// Document of a service, as the testbed last put it.
struct Document {
    body: Value,
    version: u64,
}

impl Testbed {
    /// Starts all processes and puts the documents of the services of a trace.
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
            .map(|index| Caller::new(zones[index % zones.len()], discovery.clone()))
            .collect();
        let mut testbed = Self {
            fleet,
            callers,
            documents: BTreeMap::new(),
            adoption_times: Vec::new(),
            paths: trace
                .streams
                .iter()
                .map(|stream| (stream.service.clone(), stream.path.clone()))
                .collect(),
            running,
            paused: BTreeSet::new(),
            edit_count: 0,
            pending_edits: Vec::new(),
        };
        testbed.wait_until_ready().await?;
        for service in &trace.services {
            let body = read_template(examples, service, &testbed.fleet)?;
            let document = Document { body, version: 0 };
            testbed.documents.insert(service.name.clone(), document);
            testbed.edit(&service.name).await?;
        }
        testbed.wait_for_edits().await?;
        Ok(testbed)
    }

    pub(super) fn callers(&self) -> &[Caller] {
        &self.callers
    }

    pub(super) fn adoption_times(&self) -> &[Duration] {
        &self.adoption_times
    }

    pub(super) fn clear_address_caches(&self) {
        for caller in &self.callers {
            for service in self.documents.keys() {
                caller.invalidate_addresses(service);
            }
        }
    }

    /// Returns the path of the stream that calls a service, or `/` without one.
    pub(super) fn stream_path(&self, service: &str) -> String {
        self.paths
            .get(service)
            .cloned()
            .unwrap_or_else(|| "/".to_owned())
    }

    /// Returns the probes per second and target that the document of a service
    /// permits.
    pub(super) fn probe_budget(&self, service: &str) -> u64 {
        self.documents
            .get(service)
            .and_then(|document| {
                document.body["measuring"]["probes_per_second_per_target"].as_u64()
            })
            .unwrap_or_default()
    }

    /// Applies a policy to the documents of all services and waits until the edits
    /// are adopted or overdue.
    pub(super) async fn apply_policy(&mut self, policy: &Policy) -> Result<(), Error> {
        let services: Vec<String> = self.documents.keys().cloned().collect();
        for service in services {
            if let Some(document) = self.documents.get_mut(&service) {
                document.body["balancing"] = json!({"policy": policy.name});
                document.body["steering"]["entries_per_zone"] = json!(u32::from(policy.steered));
            }
            self.edit(&service).await?;
        }
        self.wait_for_edits().await
    }

    /// Puts the current document of a service. Entries that do not respond or are
    /// unavailable are skipped for the next running one. An accepted edit stays
    /// pending until [`Testbed::poll_edits`] finds it adopted or overdue.
    pub(super) async fn edit(&mut self, service: &str) -> Result<(), Error> {
        let document = self
            .documents
            .get(service)
            .ok_or_else(|| Error::UnknownService(service.to_owned()))?;
        // The edit id makes it safe to send an edit with an unknown outcome again
        // through the next entry.
        self.edit_count += 1;
        let path = format!(
            "/v1/documents/{service}?expected_version={}&edit_id=replay-{}",
            document.version, self.edit_count
        );
        let body = document.body.clone();
        let mut last_response = String::new();
        for index in self.running.clone() {
            if self.paused.contains(&index) {
                continue;
            }
            let admin = self.fleet.entry(index)?.admin;
            let response = self
                .fleet
                .call_admin(admin, Method::PUT, &path, Some(&body))
                .await;
            let Ok((status, body)) = response else {
                continue;
            };
            if status.is_success()
                && let Some(version) = body["version"].as_u64()
            {
                if let Some(document) = self.documents.get_mut(service) {
                    document.version = version;
                }
                self.pending_edits.push(PendingEdit {
                    service: service.to_owned(),
                    version,
                    accepted_at: Instant::now(),
                    remaining: self.running.clone(),
                });
                return Ok(());
            }
            last_response = format!("{status} {body}");
            if status != StatusCode::SERVICE_UNAVAILABLE {
                break;
            }
        }
        Err(Error::Edit {
            service: service.to_owned(),
            response: last_response,
        })
    }

    /// Waits until all accepted edits are adopted by all running entries or
    /// overdue.
    pub(super) async fn wait_for_edits(&mut self) -> Result<(), Error> {
        while !self.pending_edits.is_empty() {
            self.poll_edits().await?;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Sleeps until a deadline and polls pending edits meanwhile. A poll is
    /// cancelled at the deadline so that the next event occurs on time.
    pub(super) async fn sleep_until(&mut self, deadline: Instant) -> Result<(), Error> {
        while Instant::now() < deadline && !self.pending_edits.is_empty() {
            if let Ok(result) = tokio::time::timeout_at(deadline.into(), self.poll_edits()).await {
                result?;
            }
            let next = deadline.min(Instant::now() + POLL_INTERVAL);
            tokio::time::sleep_until(next.into()).await;
        }
        tokio::time::sleep_until(deadline.into()).await;
        Ok(())
    }

    /// Polls once, for each pending edit, the entries that have not adopted it. A
    /// suspended entry is not polled, but the time it is suspended counts towards
    /// the adoption time.
    async fn poll_edits(&mut self) -> Result<(), Error> {
        let mut position = 0;
        while let Some(edit) = self.pending_edits.get(position) {
            let path = format!("/v1/documents/{}", edit.service);
            let (version, accepted_at) = (edit.version, edit.accepted_at);
            for index in edit.remaining.clone() {
                if self.paused.contains(&index) {
                    continue;
                }
                let admin = self.fleet.entry(index)?.admin;
                let adopted = match self.fleet.call_admin(admin, Method::GET, &path, None).await {
                    Ok((_, body)) => body["version"].as_u64() >= Some(version),
                    Err(_) => false,
                };
                if adopted || !self.running.contains(&index) {
                    self.pending_edits[position]
                        .remaining
                        .retain(|other| *other != index);
                }
            }
            let elapsed = accepted_at.elapsed();
            if self.pending_edits[position].remaining.is_empty() || elapsed > ADOPTION_TIMEOUT {
                self.pending_edits.remove(position);
                self.adoption_times.push(elapsed);
            } else {
                position += 1;
            }
        }
        Ok(())
    }

    /// Checks that no running entry has exited. Results measured with fewer
    /// entries than the trace states would not be valid.
    pub(super) fn check_entries_alive(&mut self) -> Result<(), Error> {
        for index in self.running.clone() {
            let entry = self.fleet.entry(index)?;
            if let Some(status) = entry.process.try_wait().map_err(fleet::Error::from)? {
                return Err(Error::UnexpectedExit {
                    entry: entry.id.to_string(),
                    status,
                });
            }
        }
        Ok(())
    }

    async fn wait_until_ready(&self) -> Result<(), Error> {
        for entry in &self.fleet.entries {
            if !self.fleet.wait_ready(entry.admin, READY_TIMEOUT).await {
                return Err(Error::NotReady(entry.id.to_string()));
            }
        }
        Ok(())
    }
}

/// Returns the streams of a trace with their rates in calls per second.
pub(super) fn streams(trace: &Trace) -> Result<Vec<load::Stream>, Error> {
    trace
        .streams
        .iter()
        .map(|stream| {
            let service = trace
                .services
                .iter()
                .find(|service| service.name == stream.service)
                .ok_or_else(|| Error::UnknownService(stream.service.clone()))?;
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

fn read_template(examples: &Path, service: &Service, fleet: &Fleet) -> Result<Value, Error> {
    let path = examples.join(format!("{}.json", service.name));
    let path_text = path.display().to_string();
    let text = std::fs::read_to_string(&path).map_err(|error| Error::Template {
        path: path_text.clone(),
        error,
    })?;
    let mut body: Value = serde_json::from_str(&text).map_err(|error| Error::Json {
        path: path_text,
        error,
    })?;
    body["targets"] = fleet.document_targets(&service.name);
    Ok(body)
}
