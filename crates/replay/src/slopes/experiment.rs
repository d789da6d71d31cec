//! Experiments, each of which varies one size.

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
use super::usage::{self, Usage};

/// Availability zones of the testbeds.
const ZONES: [&str; 3] = ["hobart", "launceston", "burnie"];

/// Time from the last setup step to a measurement, for a steady state.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Duration of a measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(5);

/// Time within which an entry must become ready, or adopt a document.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of edits whose adoption is timed at each point.
const TIMED_EDITS: u32 = 10;

/// Targets of each service where an experiment does not vary their number: the
/// rounded average at the design scale of 22,000 endpoints in 3,300 services.
const TARGETS_PER_SERVICE: usize = 7;

/// Port of targets that exist only in documents and receive no calls.
const UNUSED_PORT: u16 = 9;

/// Experiment, named after the size that it varies.
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
    /// Completed non-idempotent calls with issued keys
    Keys,
}

/// Points of each quantity, as pairs of size and value.
pub(super) type Measurements = BTreeMap<&'static str, Vec<(f64, f64)>>;

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

    /// Returns the name of the varied size.
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

    /// Returns the sizes to measure; for keys, the rates of calls.
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
) -> Result<Measurements, Error> {
    let mut measurements = Measurements::new();
    for point in experiment.points() {
        let entries = if experiment == Experiment::Entries {
            *point
        } else {
            3
        };
        let testbed = Testbed::set_up(entries, examples, logs).await?;
        match experiment {
            Experiment::Services => testbed.vary_services(*point, &mut measurements).await?,
            Experiment::Endpoints => testbed.vary_endpoints(*point, &mut measurements).await?,
            Experiment::Entries => testbed.vary_entries(*point, &mut measurements).await?,
            Experiment::Connections => testbed.vary_connections(*point, &mut measurements).await?,
            Experiment::Calls => testbed.vary_calls(*point, &mut measurements).await?,
            Experiment::Changes => testbed.vary_changes(*point, &mut measurements).await?,
            Experiment::Keys => testbed.vary_keys(*point, &mut measurements).await?,
        }
    }
    Ok(measurements)
}

/// Platform and entries for the measurement of one point.
struct Testbed {
    fleet: Fleet,
    template: Value,
}

impl Testbed {
    async fn set_up(entries: u32, examples: &Path, logs: Option<&Path>) -> Result<Self, Error> {
        let text = std::fs::read_to_string(examples.join("sheets.json"))?;
        let template = serde_json::from_str(&text)?;
        let mut fleet = Fleet::spawn(&ZONES, logs.map(Path::to_owned)).await?;
        for _ in 0..entries {
            fleet.start_entry(&[]).await?;
        }
        for entry in &fleet.entries {
            if !fleet.wait_ready(entry.admin, READY_TIMEOUT).await {
                return Err(Error::Timeout(entry.id.to_string()));
            }
        }
        Ok(Self { fleet, template })
    }

    async fn vary_services(
        &self,
        services: u32,
        measurements: &mut Measurements,
    ) -> Result<(), Error> {
        for number in 0..services {
            let name = format!("service-{number}");
            let body = self.document(&name, unused_targets(TARGETS_PER_SERVICE));
            self.put_document(&name, 0, &body).await?;
        }
        let usage = self.measure().await?;
        record_usage(measurements, services, &usage);
        Ok(())
    }

    async fn vary_endpoints(
        &self,
        endpoints: u32,
        measurements: &mut Measurements,
    ) -> Result<(), Error> {
        let body = self.document("wide", unused_targets(endpoints as usize));
        self.put_document("wide", 0, &body).await?;
        let usage = self.measure().await?;
        record_usage(measurements, endpoints, &usage);
        Ok(())
    }

    async fn vary_entries(
        &self,
        entries: u32,
        measurements: &mut Measurements,
    ) -> Result<(), Error> {
        let body = self.document("spread", unused_targets(TARGETS_PER_SERVICE));
        let mut version = self.put_document("spread", 0, &body).await?;
        let usage = self.measure().await?;
        record_usage(measurements, entries, &usage);
        let mut adoption_times_ms = Vec::new();
        for _ in 0..TIMED_EDITS {
            let start = Instant::now();
            version = self.put_document("spread", version, &body).await?;
            self.wait_for_version("spread", version).await?;
            adoption_times_ms.push(start.elapsed().as_secs_f64() * 1000.0);
        }
        adoption_times_ms.sort_by(f64::total_cmp);
        record(
            measurements,
            "edit to in force, median ms",
            entries,
            adoption_times_ms[adoption_times_ms.len() / 2],
        );
        record(
            measurements,
            "edit to in force, longest ms",
            entries,
            adoption_times_ms[adoption_times_ms.len() - 1],
        );
        Ok(())
    }

    async fn vary_connections(
        &self,
        connections: u32,
        measurements: &mut Measurements,
    ) -> Result<(), Error> {
        let entry = &self.fleet.entries[0];
        let mut streams = Vec::new();
        for _ in 0..connections {
            let stream = TcpStream::connect(entry.caller)
                .await
                .map_err(|_| Error::Measurement("cannot open a caller connection"))?;
            streams.push(stream);
        }
        // An entry closes connections that send no header in time, so memory is
        // measured soon after they open.
        tokio::time::sleep(Duration::from_millis(500)).await;
        let usage = usage::measure(&self.fleet, entry, Duration::from_secs(1)).await?;
        record(measurements, "memory MB", connections, usage.memory_mb);
        drop(streams);
        Ok(())
    }

    async fn vary_calls(mut self, rate: u32, measurements: &mut Measurements) -> Result<(), Error> {
        let duration = SETTLE_TIME + MEASUREMENT_TIME + Duration::from_secs(1);
        let load = self.start_load(rate, false, duration).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        let usage = self.measure_busiest().await?;
        record(measurements, "memory MB", rate, usage.memory_mb);
        record(
            measurements,
            "processor % of a core",
            rate,
            usage.cpu_percent,
        );
        let records = load.await.unwrap_or_default();
        if rate > 0 {
            let completed = records
                .iter()
                .filter(|record| record.outcome == load::Outcome::Complete)
                .count();
            record(
                measurements,
                "whole answers per second",
                rate,
                per_second(completed, duration),
            );
        }
        Ok(())
    }

    /// Measures the size of the idempotency ledgers against the number of completed
    /// calls.
    async fn vary_keys(mut self, rate: u32, measurements: &mut Measurements) -> Result<(), Error> {
        let load = self.start_load(rate, true, MEASUREMENT_TIME).await?;
        let records = load.await.unwrap_or_default();
        let completed = records
            .iter()
            .filter(|record| record.outcome == load::Outcome::Complete)
            .count();
        let mut bytes = 0.0;
        for entry in &self.fleet.entries {
            let metrics = self.fleet.metrics(entry).await?;
            bytes += usage::sum_series(&metrics, "carobdrift_ledger_bytes");
        }
        let size = u32::try_from(completed).unwrap_or(u32::MAX);
        record(
            measurements,
            "records in KB, all entries",
            size,
            bytes / 1000.0,
        );
        Ok(())
    }

    /// Starts calls to a service. All callers are in one availability zone, so one
    /// entry receives all calls.
    async fn start_load(
        &mut self,
        rate: u32,
        keyed: bool,
        duration: Duration,
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
        self.put_document("sheets", 0, &body).await?;
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
            load::run(&streams, &callers, duration, 1).await
        }))
    }

    async fn vary_changes(&self, rate: u32, measurements: &mut Measurements) -> Result<(), Error> {
        let body = self.document("edited", unused_targets(TARGETS_PER_SERVICE));
        let mut version = self.put_document("edited", 0, &body).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        let entry = &self.fleet.entries[1];
        let measurement = usage::measure(&self.fleet, entry, MEASUREMENT_TIME);
        let edits = async {
            if rate == 0 {
                return Ok(());
            }
            let mut interval = tokio::time::interval(Duration::from_secs(1) / rate);
            let start = Instant::now();
            while start.elapsed() < MEASUREMENT_TIME {
                interval.tick().await;
                version = self.put_document("edited", version, &body).await?;
            }
            Ok::<(), Error>(())
        };
        let (usage, edits_result) = tokio::join!(measurement, edits);
        edits_result?;
        record_usage(measurements, rate, &usage?);
        Ok(())
    }

    fn document(&self, service: &str, targets: Value) -> Value {
        let mut body = self.template.clone();
        body["service"] = json!(service);
        body["targets"] = targets;
        // Most experiments use targets that do not exist; probes of them would
        // only fail.
        body["measuring"]["probes_per_second_per_target"] = json!(0);
        body
    }

    /// Puts a document and returns its new version.
    async fn put_document(
        &self,
        service: &str,
        expected_version: u64,
        body: &Value,
    ) -> Result<u64, Error> {
        let path = format!("/v1/documents/{service}?expected_version={expected_version}");
        let admin = self.fleet.entries[0].admin;
        let (status, response) = self
            .fleet
            .call_admin(admin, Method::PUT, &path, Some(body))
            .await?;
        match response["version"].as_u64() {
            Some(version) if status.is_success() => Ok(version),
            _ => Err(Error::Edit {
                service: service.to_owned(),
                response: response.to_string(),
            }),
        }
    }

    /// Waits until every entry has adopted a version of a document.
    async fn wait_for_version(&self, service: &str, version: u64) -> Result<(), Error> {
        let path = format!("/v1/documents/{service}");
        for entry in &self.fleet.entries {
            let start = Instant::now();
            loop {
                let response = self
                    .fleet
                    .call_admin(entry.admin, Method::GET, &path, None)
                    .await;
                if matches!(response, Ok((_, body)) if body["version"].as_u64() >= Some(version)) {
                    break;
                }
                if start.elapsed() > READY_TIMEOUT {
                    return Err(Error::Timeout(entry.id.to_string()));
                }
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        Ok(())
    }

    /// Measures the resource use of the second entry after the settle time.
    async fn measure(&self) -> Result<Usage, Error> {
        tokio::time::sleep(SETTLE_TIME).await;
        usage::measure(&self.fleet, &self.fleet.entries[1], MEASUREMENT_TIME).await
    }

    /// Measures all entries and returns the resource use of the one with the
    /// highest CPU use, to which the callers are steered.
    async fn measure_busiest(&self) -> Result<Usage, Error> {
        let measurements = self
            .fleet
            .entries
            .iter()
            .map(|entry| usage::measure(&self.fleet, entry, MEASUREMENT_TIME));
        let mut busiest: Option<Usage> = None;
        for usage in futures_util::future::join_all(measurements).await {
            let usage = usage?;
            if busiest.is_none_or(|busiest| usage.cpu_percent > busiest.cpu_percent) {
                busiest = Some(usage);
            }
        }
        busiest.ok_or(Error::Measurement("there is no entry"))
    }
}

/// Returns the targets of a document that receive no calls.
fn unused_targets(count: usize) -> Value {
    (0..count)
        .map(|number| {
            // A document requires a distinct address for each target.
            let [_, _, high, low] = u32::try_from(number).unwrap_or_default().to_be_bytes();
            let address = SocketAddr::from(([127, 1, high, low], UNUSED_PORT));
            let id = format!("target-{number}");
            json!({"id": id, "address": address, "zone": ZONES[number % 3], "slots": 2})
        })
        .collect()
}

/// Adds a point to a quantity.
fn record(measurements: &mut Measurements, quantity: &'static str, size: u32, value: f64) {
    measurements
        .entry(quantity)
        .or_default()
        .push((f64::from(size), value));
}

/// Adds a point to each quantity of resource use.
fn record_usage(measurements: &mut Measurements, size: u32, usage: &Usage) {
    record(measurements, "memory MB", size, usage.memory_mb);
    record(
        measurements,
        "processor % of a core",
        size,
        usage.cpu_percent,
    );
    record(
        measurements,
        "links KB/s of an entry",
        size,
        usage.link_kb_per_second,
    );
    record(
        measurements,
        "link frames/s of an entry",
        size,
        usage.link_frames_per_second,
    );
    record(
        measurements,
        "platform reads/s of all",
        size,
        usage.platform_reads_per_second,
    );
    record(
        measurements,
        "platform writes/s of all",
        size,
        usage.platform_writes_per_second,
    );
}

fn per_second(count: usize, duration: Duration) -> f64 {
    usage::to_f64(count as u64) / duration.as_secs_f64()
}
