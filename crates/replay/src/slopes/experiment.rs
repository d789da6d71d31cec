//! The experiments.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use carobdrift_test_support::caller::Caller;
use carobdrift_test_support::fleet::{Fleet, Service};
use carobdrift_test_support::load;
use clap::ValueEnum;
use http::Method;
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::Error;
use super::probe::{self, Usage};

/// Availability zones of the installations.
const ZONES: [&str; 3] = ["hobart", "launceston", "burnie"];

/// Time to settle before an observation.
const SETTLE: Duration = Duration::from_secs(2);

/// Length of an observation.
const OBSERVATION: Duration = Duration::from_secs(5);

/// Time within which entries must become ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Edits whose spreading is timed at each point.
const TIMED_EDITS: u32 = 10;

/// Targets of each service where their number is not what is varied; the
/// average at the stated size is 22,000 endpoints in 3,300 services.
const TARGETS_PER_SERVICE: usize = 7;

/// Port of targets that are never called.
const UNUSED_PORT: u16 = 9;

/// A size that is varied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Experiment {
    /// Services, each with one document and 7 endpoints
    Services,
    /// Endpoints of one service
    Endpoints,
    /// Entries of the cell
    Entries,
    /// Open connections of callers
    Connections,
    /// Calls per second at one entry
    Calls,
    /// Edits per second
    Changes,
    /// Non-idempotent calls with issued keys per second at one entry
    Keys,
}

/// Quantities with their points.
pub(super) type Figures = BTreeMap<&'static str, Vec<(f64, f64)>>;

impl Experiment {
    /// All experiments.
    pub const ALL: [Self; 7] = [
        Self::Services,
        Self::Endpoints,
        Self::Entries,
        Self::Connections,
        Self::Calls,
        Self::Changes,
        Self::Keys,
    ];

    /// Name of the size that is varied.
    #[must_use]
    pub fn size(self) -> &'static str {
        match self {
            Self::Services => "services",
            Self::Endpoints => "endpoints",
            Self::Entries => "entries",
            Self::Connections => "connections",
            Self::Calls => "calls per second",
            Self::Changes => "changes per second",
            Self::Keys => "keyed calls",
        }
    }

    fn points(self) -> &'static [u32] {
        match self {
            Self::Services => &[100, 500, 1500, 3300],
            Self::Endpoints => &[10, 100, 300, 600],
            Self::Entries => &[3, 6, 10, 15],
            Self::Connections => &[0, 500, 1000, 2000],
            Self::Calls => &[0, 1000, 2000, 4000],
            Self::Changes => &[0, 2, 5, 10],
            Self::Keys => &[200, 500, 1000],
        }
    }
}

pub(super) async fn run(
    experiment: Experiment,
    examples: &Path,
    logs: Option<&Path>,
) -> Result<Figures, Error> {
    let mut figures = Figures::new();
    for point in experiment.points() {
        let entries = if experiment == Experiment::Entries {
            *point
        } else {
            3
        };
        let site = Site::set_up(entries, examples, logs).await?;
        match experiment {
            Experiment::Services => site.vary_services(*point, &mut figures).await?,
            Experiment::Endpoints => site.vary_endpoints(*point, &mut figures).await?,
            Experiment::Entries => site.vary_entries(*point, &mut figures).await?,
            Experiment::Connections => site.vary_connections(*point, &mut figures).await?,
            Experiment::Calls => site.vary_calls(*point, &mut figures).await?,
            Experiment::Changes => site.vary_changes(*point, &mut figures).await?,
            Experiment::Keys => site.vary_keys(*point, &mut figures).await?,
        }
    }
    Ok(figures)
}

/// An installation for one point.
struct Site {
    fleet: Fleet,
    template: Value,
}

impl Site {
    async fn set_up(entries: u32, examples: &Path, logs: Option<&Path>) -> Result<Self, Error> {
        let text = std::fs::read_to_string(examples.join("sheets.json"))?;
        let template = serde_json::from_str(&text)?;
        let mut fleet = Fleet::spawn(&ZONES, logs.map(Path::to_owned)).await?;
        for _ in 0..entries {
            fleet.start_entry(&[]).await?;
        }
        for entry in &fleet.entries {
            if !fleet.wait_ready(entry.admin, READY_LIMIT).await {
                return Err(Error::NotReady(entry.id.to_string()));
            }
        }
        Ok(Self { fleet, template })
    }

    async fn vary_services(&self, services: u32, figures: &mut Figures) -> Result<(), Error> {
        for number in 0..services {
            let name = format!("service-{number}");
            let body = self.document(&name, unused_targets(TARGETS_PER_SERVICE));
            self.put(&name, 0, &body).await?;
        }
        let usage = self.observe().await?;
        note(figures, services, &usage);
        Ok(())
    }

    async fn vary_endpoints(&self, endpoints: u32, figures: &mut Figures) -> Result<(), Error> {
        let body = self.document("wide", unused_targets(endpoints as usize));
        self.put("wide", 0, &body).await?;
        let usage = self.observe().await?;
        note(figures, endpoints, &usage);
        Ok(())
    }

    async fn vary_entries(&self, entries: u32, figures: &mut Figures) -> Result<(), Error> {
        let body = self.document("spread", unused_targets(TARGETS_PER_SERVICE));
        let mut version = self.put("spread", 0, &body).await?;
        let usage = self.observe().await?;
        note(figures, entries, &usage);
        let mut times = Vec::new();
        for _ in 0..TIMED_EDITS {
            let accepted = Instant::now();
            version = self.put("spread", version, &body).await?;
            self.await_version("spread", version).await?;
            times.push(accepted.elapsed().as_secs_f64() * 1000.0);
        }
        times.sort_by(f64::total_cmp);
        add(
            figures,
            "edit to in force, median ms",
            entries,
            times[times.len() / 2],
        );
        add(
            figures,
            "edit to in force, longest ms",
            entries,
            times[times.len() - 1],
        );
        Ok(())
    }

    async fn vary_connections(&self, connections: u32, figures: &mut Figures) -> Result<(), Error> {
        let entry = &self.fleet.entries[0];
        let mut open = Vec::new();
        for _ in 0..connections {
            let stream = TcpStream::connect(entry.caller)
                .await
                .map_err(|_| Error::Figure("a caller connection"))?;
            open.push(stream);
        }
        // An entry closes connections that send no header in time, so the
        // memory is read at once.
        tokio::time::sleep(Duration::from_millis(500)).await;
        let usage = probe::observe(&self.fleet, entry, Duration::from_secs(1)).await?;
        add(figures, "memory MB", connections, usage.memory_mb);
        drop(open);
        Ok(())
    }

    async fn vary_calls(mut self, rate: u32, figures: &mut Figures) -> Result<(), Error> {
        let length = SETTLE + OBSERVATION + Duration::from_secs(1);
        let running = self.start_load(rate, false, length).await?;
        tokio::time::sleep(SETTLE).await;
        let usage = self.observe_busiest().await?;
        add(figures, "memory MB", rate, usage.memory_mb);
        add(
            figures,
            "processor % of a core",
            rate,
            usage.processor_percent,
        );
        let records = running.await.unwrap_or_default();
        if rate > 0 {
            let whole = records
                .iter()
                .filter(|record| record.outcome == load::Outcome::Complete)
                .count();
            add(
                figures,
                "whole answers per second",
                rate,
                whole_rate(whole, length),
            );
        }
        Ok(())
    }

    /// Measures what the records of keys take, against the number of calls.
    async fn vary_keys(mut self, rate: u32, figures: &mut Figures) -> Result<(), Error> {
        let running = self.start_load(rate, true, OBSERVATION).await?;
        let records = running.await.unwrap_or_default();
        let whole = records
            .iter()
            .filter(|record| record.outcome == load::Outcome::Complete)
            .count();
        let mut bytes = 0.0;
        for entry in &self.fleet.entries {
            let metrics = self.fleet.metrics(entry).await?;
            bytes += probe::sum(&metrics, "carobdrift_ledger_bytes");
        }
        let size = u32::try_from(whole).unwrap_or(u32::MAX);
        add(figures, "records in KB, all entries", size, bytes / 1000.0);
        Ok(())
    }

    /// Calls a service whose callers are all in one availability zone, so that
    /// one entry gets all calls.
    async fn start_load(
        &mut self,
        rate: u32,
        keyed: bool,
        length: Duration,
    ) -> Result<JoinHandle<Vec<load::Record>>, Error> {
        let service = Service {
            name: "sheets".to_owned(),
            targets: 9,
            slots: 32,
            zones: ZONES.map(str::to_owned).to_vec(),
            mean_ms: 2.0,
            sigma: 0.2,
            noise: None,
        };
        self.fleet.start_targets(&service).await?;
        let mut body = self.document("sheets", self.fleet.document_targets("sheets"));
        body["routes"] = json!([
            {"name": "view", "methods": ["GET"], "path": "/views", "kind": "idempotent", "class": "view", "deadline_ms": 1000},
            {"name": "seed", "methods": ["POST"], "path": "/seeds", "kind": "non-idempotent", "class": "view", "deadline_ms": 1000, "keys": "issued"},
        ]);
        body["classes"] = json!([{"name": "view", "weight": 1, "max_queue": 1000}]);
        self.put("sheets", 0, &body).await?;
        let admin = self.fleet.entries[0].admin;
        let callers: Vec<Caller> = (0..16)
            .map(|_| Caller::new(ZONES[0], vec![admin]))
            .collect();
        let (method, path) = if keyed {
            (Method::POST, "/seeds")
        } else {
            (Method::GET, "/views")
        };
        let streams = [load::Stream {
            service: "sheets".to_owned(),
            method,
            path: path.to_owned(),
            rate: f64::from(rate),
            keyed,
        }];
        Ok(tokio::spawn(async move {
            if rate == 0 {
                return Vec::new();
            }
            load::run(&streams, &callers, length, 1).await
        }))
    }

    async fn vary_changes(&self, rate: u32, figures: &mut Figures) -> Result<(), Error> {
        let body = self.document("edited", unused_targets(TARGETS_PER_SERVICE));
        let mut version = self.put("edited", 0, &body).await?;
        tokio::time::sleep(SETTLE).await;
        let entry = &self.fleet.entries[1];
        let observation = probe::observe(&self.fleet, entry, OBSERVATION);
        let edits = async {
            if rate == 0 {
                return Ok(());
            }
            let mut ticks = tokio::time::interval(Duration::from_secs(1) / rate);
            let start = Instant::now();
            while start.elapsed() < OBSERVATION {
                ticks.tick().await;
                version = self.put("edited", version, &body).await?;
            }
            Ok::<(), Error>(())
        };
        let (usage, edited) = tokio::join!(observation, edits);
        edited?;
        note(figures, rate, &usage?);
        Ok(())
    }

    fn document(&self, service: &str, targets: Value) -> Value {
        let mut body = self.template.clone();
        body["service"] = json!(service);
        body["targets"] = targets;
        // Targets that don't exist would be probed in vain.
        body["measuring"]["probes_per_second_per_target"] = json!(0);
        body
    }

    async fn put(&self, service: &str, expected: u64, body: &Value) -> Result<u64, Error> {
        let path = format!("/v1/documents/{service}?expected_version={expected}");
        let admin = self.fleet.entries[0].admin;
        let (status, answer) = self
            .fleet
            .call_admin(admin, Method::PUT, &path, Some(body))
            .await?;
        match answer["version"].as_u64() {
            Some(version) if status.is_success() => Ok(version),
            _ => Err(Error::Refused {
                service: service.to_owned(),
                answer: answer.to_string(),
            }),
        }
    }

    async fn await_version(&self, service: &str, version: u64) -> Result<(), Error> {
        let path = format!("/v1/documents/{service}");
        for entry in &self.fleet.entries {
            let start = Instant::now();
            loop {
                let answer = self
                    .fleet
                    .call_admin(entry.admin, Method::GET, &path, None)
                    .await;
                if matches!(answer, Ok((_, body)) if body["version"].as_u64() >= Some(version)) {
                    break;
                }
                if start.elapsed() > READY_LIMIT {
                    return Err(Error::NotReady(entry.id.to_string()));
                }
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        Ok(())
    }

    async fn observe(&self) -> Result<Usage, Error> {
        tokio::time::sleep(SETTLE).await;
        probe::observe(&self.fleet, &self.fleet.entries[1], OBSERVATION).await
    }

    /// Callers choose the entry that the service is steered to.
    async fn observe_busiest(&self) -> Result<Usage, Error> {
        let observations = self
            .fleet
            .entries
            .iter()
            .map(|entry| probe::observe(&self.fleet, entry, OBSERVATION));
        let mut busiest: Option<Usage> = None;
        for usage in futures_util::future::join_all(observations).await {
            let usage = usage?;
            if busiest.is_none_or(|busy| usage.processor_percent > busy.processor_percent) {
                busiest = Some(usage);
            }
        }
        busiest.ok_or(Error::Figure("the busiest entry"))
    }
}

fn unused_targets(count: usize) -> Value {
    (0..count)
        .map(|number| {
            // Each target has an address of its own, which a document requires.
            let [_, _, high, low] = u32::try_from(number).unwrap_or_default().to_be_bytes();
            let address = SocketAddr::from(([127, 1, high, low], UNUSED_PORT));
            let id = format!("target-{number}");
            json!({"id": id, "address": address, "zone": ZONES[number % 3], "slots": 2})
        })
        .collect()
}

fn add(figures: &mut Figures, quantity: &'static str, size: u32, value: f64) {
    figures
        .entry(quantity)
        .or_default()
        .push((f64::from(size), value));
}

fn note(figures: &mut Figures, size: u32, usage: &Usage) {
    add(figures, "memory MB", size, usage.memory_mb);
    add(
        figures,
        "processor % of a core",
        size,
        usage.processor_percent,
    );
    add(
        figures,
        "links KB/s of an entry",
        size,
        usage.link_kilobytes,
    );
    add(
        figures,
        "link frames/s of an entry",
        size,
        usage.link_frames,
    );
    add(
        figures,
        "platform reads/s of all",
        size,
        usage.platform_reads,
    );
    add(
        figures,
        "platform writes/s of all",
        size,
        usage.platform_writes,
    );
}

fn whole_rate(count: usize, length: Duration) -> f64 {
    probe::number(count as u64) / length.as_secs_f64()
}
