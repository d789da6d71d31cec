//! Starts a small installation on loopback, sends calls, edits a document and
//! stops the installation.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use carobdrift_test_support::caller::Caller;
use carobdrift_test_support::fleet::{Fleet, OPERATOR_TOKEN, Service};
use carobdrift_test_support::load::{self, Outcome, Record, Stream};
use clap::Parser;
use eyre::{WrapErr, ensure, eyre};
use http::Method;
use serde_json::{Value, json};

/// Availability zones, each with one entry and one target of each service.
const ZONES: [&str; 3] = ["hobart", "launceston", "burnie"];

/// Service that is called with idempotent requests.
const IDEMPOTENT_SERVICE: &str = "sheets";

/// Service that is called with non-idempotent requests.
const NON_IDEMPOTENT_SERVICE: &str = "draws";

/// Path of the idempotent requests.
const IDEMPOTENT_PATH: &str = "/meets/1/heats/1";

/// Path of the non-idempotent requests.
const NON_IDEMPOTENT_PATH: &str = "/meets/1/seedings";

/// Calls per second to each service.
const CALLS_PER_SECOND: f64 = 60.0;

/// Time limit for an entry to become ready, and for an edit to take effect.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Starts the platform stand-in, 6 targets of two services and 3 entries as
/// separate processes on free loopback ports, sends calls, edits a document and
/// stops all processes.
#[derive(Parser)]
struct Arguments {
    /// Keeps the processes running until Ctrl-C and prints commands that call
    /// them
    #[arg(long)]
    keep: bool,
    /// Kills one entry with SIGKILL in the middle of the load
    #[arg(long)]
    kill_entry: bool,
    /// Duration of the load in seconds
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// Directory with the service documents
    #[arg(long, default_value = "examples")]
    examples: PathBuf,
    /// Directory for the logs of the entries
    #[arg(long)]
    logs: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let arguments = Arguments::parse();
    let mut fleet = start(&arguments).await?;
    println!("started processes:");
    print_processes(&fleet);
    for service in [IDEMPOTENT_SERVICE, NON_IDEMPOTENT_SERVICE] {
        let body = document(&arguments, &fleet, service)?;
        let version = put(&fleet, fleet.entries[0].admin, service, 0, &body).await?;
        println!("document of {service} accepted as version {version}");
    }
    let records = call(&arguments, &mut fleet).await?;
    let in_force = edit(&arguments, &fleet).await?;
    let is_complete = summarize(&records, in_force, arguments.kill_entry);
    if arguments.keep {
        print_commands(&fleet);
        tokio::signal::ctrl_c()
            .await
            .wrap_err("could not wait for Ctrl-C")?;
    }
    Ok(if is_complete {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

async fn start(arguments: &Arguments) -> eyre::Result<Fleet> {
    if let Some(logs) = &arguments.logs {
        std::fs::create_dir_all(logs).wrap_err("could not create the log directory")?;
    }
    let mut fleet = Fleet::spawn(&ZONES, arguments.logs.clone()).await?;
    for name in [IDEMPOTENT_SERVICE, NON_IDEMPOTENT_SERVICE] {
        let service = Service {
            name: name.to_owned(),
            targets: 3,
            slots: 2,
            zones: ZONES.map(str::to_owned).to_vec(),
            mean_ms: 10.0,
            sigma: 0.5,
            noise: None,
        };
        fleet.start_targets(&service).await?;
    }
    for _ in ZONES {
        fleet.start_entry(&[]).await?;
    }
    for entry in &fleet.entries {
        let ready = fleet.wait_ready(entry.admin, TIMEOUT).await;
        ensure!(ready, "{} did not become ready", entry.id);
    }
    Ok(fleet)
}

fn document(arguments: &Arguments, fleet: &Fleet, service: &str) -> eyre::Result<Value> {
    let path = arguments.examples.join(format!("{service}.json"));
    let text = std::fs::read_to_string(&path)
        .wrap_err_with(|| format!("could not read {}", path.display()))?;
    let mut body: Value =
        serde_json::from_str(&text).wrap_err_with(|| format!("{} is not JSON", path.display()))?;
    body["targets"] = fleet.document_targets(service);
    Ok(body)
}

async fn put(
    fleet: &Fleet,
    admin: SocketAddr,
    service: &str,
    expected: u64,
    body: &Value,
) -> eyre::Result<u64> {
    let path = format!("/v1/documents/{service}?expected_version={expected}");
    let (status, response) = fleet
        .call_admin(admin, Method::PUT, &path, Some(body))
        .await?;
    ensure!(
        status.is_success(),
        "document of {service} refused: {status} {response}"
    );
    response["version"]
        .as_u64()
        .ok_or_else(|| eyre!("response has no version: {response}"))
}

/// Sends idempotent and non-idempotent calls from each availability zone and
/// kills an entry halfway if asked to.
async fn call(arguments: &Arguments, fleet: &mut Fleet) -> eyre::Result<Vec<Record>> {
    let discovery: Vec<SocketAddr> = fleet.entries.iter().map(|entry| entry.admin).collect();
    let callers: Vec<Caller> = ZONES
        .iter()
        .map(|zone| Caller::new(zone, discovery.clone()))
        .collect();
    let streams = [
        Stream {
            service: IDEMPOTENT_SERVICE.to_owned(),
            method: Method::GET,
            path: IDEMPOTENT_PATH.to_owned(),
            rate: CALLS_PER_SECOND,
            keyed: false,
        },
        Stream {
            service: NON_IDEMPOTENT_SERVICE.to_owned(),
            method: Method::POST,
            path: NON_IDEMPOTENT_PATH.to_owned(),
            rate: CALLS_PER_SECOND,
            keyed: true,
        },
    ];
    let length = Duration::try_from_secs_f64(arguments.seconds)?;
    let load = tokio::spawn(async move { load::run(&streams, &callers, length, 1).await });
    if arguments.kill_entry {
        tokio::time::sleep(length / 2).await;
        println!("killing {}", fleet.entries[2].id);
        fleet.kill_entry(2).await?;
    }
    Ok(load.await?)
}

/// Edits a document through the first entry and returns the time until the edit
/// is in force on all running entries.
async fn edit(arguments: &Arguments, fleet: &Fleet) -> eyre::Result<Duration> {
    let path = format!("/v1/documents/{IDEMPOTENT_SERVICE}");
    let admin = fleet.entries[0].admin;
    let (_, current) = fleet.call_admin(admin, Method::GET, &path, None).await?;
    let version = current["version"].as_u64().unwrap_or_default();
    let mut body = document(arguments, fleet, IDEMPOTENT_SERVICE)?;
    body["retries"] = json!({"max_attempts": 2, "budget_percent": 5});
    let version = put(fleet, admin, IDEMPOTENT_SERVICE, version, &body).await?;
    let accepted = Instant::now();
    let running = if arguments.kill_entry { 2 } else { 3 };
    for entry in &fleet.entries[..running] {
        loop {
            let (_, current) = fleet
                .call_admin(entry.admin, Method::GET, &path, None)
                .await?;
            if current["version"].as_u64() >= Some(version) {
                break;
            }
            ensure!(
                accepted.elapsed() < TIMEOUT,
                "edit is not in force on {} after {TIMEOUT:?}",
                entry.id
            );
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    println!(
        "edit of {IDEMPOTENT_SERVICE} accepted as version {version} and in force on {running} entries"
    );
    Ok(accepted.elapsed())
}

/// Prints a summary and returns whether every call got a complete response.
/// After a kill, calls that failed with [`Outcome::Broken`] are accepted, because
/// the killed entry had calls in progress.
fn summarize(records: &[Record], in_force: Duration, killed: bool) -> bool {
    let complete = records
        .iter()
        .filter(|record| record.outcome == Outcome::Complete)
        .count();
    let broken = records
        .iter()
        .filter(|record| record.outcome == Outcome::Broken)
        .count();
    let mut latencies: Vec<Duration> = records.iter().map(|record| record.latency).collect();
    latencies.sort_unstable();
    let quantile = |percent: usize| {
        let index = latencies.len() * percent / 100;
        latencies
            .get(index)
            .copied()
            .unwrap_or_default()
            .as_secs_f64()
            * 1000.0
    };
    println!();
    println!(
        "calls                                  {:>10}",
        records.len()
    );
    println!("complete responses                     {complete:>10}");
    println!("interrupted calls                      {broken:>10}");
    println!(
        "p50 ms                                 {:>10.1}",
        quantile(50)
    );
    println!(
        "p99 ms                                 {:>10.1}",
        quantile(99)
    );
    println!(
        "seconds until the edit was in force    {:>10.3}",
        in_force.as_secs_f64()
    );
    for record in records
        .iter()
        .filter(|record| record.outcome != Outcome::Complete)
    {
        println!("incomplete call: {record:?}");
    }
    if killed {
        complete + broken == records.len()
    } else {
        complete == records.len()
    }
}

fn print_processes(fleet: &Fleet) {
    let platform = fleet.platform_process.pid();
    println!(
        "  platform stand-in  pid {platform}  {}",
        fleet.platform_address
    );
    for target in &fleet.targets {
        println!(
            "  {}  pid {}  {}",
            target.id,
            target.process.pid(),
            target.address
        );
    }
    for entry in &fleet.entries {
        println!(
            "  {}  pid {}  callers {}  administration {}",
            entry.id,
            entry.process.pid(),
            entry.caller,
            entry.admin
        );
    }
}

fn print_commands(fleet: &Fleet) {
    let entry = &fleet.entries[0];
    let (admin, caller) = (entry.admin, entry.caller);
    println!("\nread a document:");
    println!(
        "  curl -H 'Authorization: Bearer {OPERATOR_TOKEN}' http://{admin}/v1/documents/{IDEMPOTENT_SERVICE}"
    );
    println!("list the entries to use:");
    println!(
        "  curl 'http://{admin}/v1/addresses?service={IDEMPOTENT_SERVICE}&zone={}'",
        entry.zone
    );
    println!("send an idempotent request:");
    println!("  curl -H 'Host: {IDEMPOTENT_SERVICE}' http://{caller}{IDEMPOTENT_PATH}");
    println!("send a non-idempotent request (replace PREFIX by a `key_prefix` of the list):");
    println!(
        "  curl -X POST -H 'Host: {NON_IDEMPOTENT_SERVICE}' -H 'Idempotency-Key: PREFIX.1' http://{caller}{NON_IDEMPOTENT_PATH}"
    );
    println!(
        "edit a document (save the \"document\" of the first response as document.json and change it):"
    );
    println!(
        "  curl -X PUT -H 'Authorization: Bearer {OPERATOR_TOKEN}' -H 'Content-Type: application/json' --data @document.json 'http://{admin}/v1/documents/{IDEMPOTENT_SERVICE}?expected_version=2'"
    );
    println!("show on which instances the edit is in force:");
    println!(
        "  curl -H 'Authorization: Bearer {OPERATOR_TOKEN}' http://{admin}/v1/documents/{IDEMPOTENT_SERVICE}/status"
    );
    println!("read the metrics:");
    println!("  curl http://{admin}/metrics");
    println!("\nCtrl-C stops all processes.");
}
