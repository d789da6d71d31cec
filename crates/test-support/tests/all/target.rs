//! Guards against a target stand-in that does not inject the configured fault, or
//! whose record is wrong: other tests rely on the record to find requests that
//! ran twice or not at all.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use bytes::Bytes;
use carobdrift_test_support::target::{
    Action, ColdStart, CutBody, Faults, Load, Noise, Reset, ServiceTime, Settings, StandIn, Status,
};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};

use crate::PROGRAM_START;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

struct Response {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl Response {
    fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).map(|value| value.to_str().unwrap());
        value.unwrap_or("")
    }
}

fn client() -> HttpClient {
    Client::builder(TokioExecutor::new()).build_http()
}

async fn call(
    client: &HttpClient,
    method: Method,
    address: SocketAddr,
    path: &str,
    body: &str,
) -> Option<Response> {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("stand-in-token", path)
        .body(Full::from(body.to_owned()))
        .unwrap();
    let exchange = async {
        let (head, body) = client.request(request).await.ok()?.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some(Response {
            status: head.status,
            headers: head.headers,
            body,
        })
    };
    let response = tokio::time::timeout(Duration::from_secs(1), exchange).await;
    response.ok().flatten()
}

async fn get(client: &HttpClient, stand_in: &StandIn, path: &str) -> Option<Response> {
    call(client, Method::GET, stand_in.address(), path, "").await
}

async fn start(configure: impl FnOnce(&mut Settings)) -> StandIn {
    let mut settings = Settings::default();
    configure(&mut settings);
    StandIn::bind(settings).await.unwrap()
}

#[tokio::test]
async fn response_echoes_the_token_and_the_run_is_recorded() {
    let stand_in = start(|_| {}).await;
    let client = client();

    let response = call(&client, Method::POST, stand_in.address(), "/a", "heat 7").await;
    let health = get(&client, &stand_in, "/health").await.unwrap();

    let response = response.unwrap();
    assert_eq!(response.body, "/a\nheat 7");
    assert_eq!(response.header("carobdrift-load"), "1/2");
    assert_eq!(response.header("carobdrift-start"), stand_in.start_id());
    let health: Value = serde_json::from_slice(&health.body).unwrap();
    assert_eq!(health["status"], "ok");
    let runs = stand_in.runs();
    assert_eq!(runs.len(), 1, "a health check is not a run");
    assert_eq!(runs[0].status, Status::Completed);
    assert_eq!(runs[0].request, "POST /a");
    assert_eq!(stand_in.probes_us().len(), 1);
}

#[tokio::test]
async fn each_fault_takes_effect() {
    let cases: [(&str, Faults, Option<u16>, usize); 9] = [
        (
            "fail fast",
            json_faults(json!({"fail_fast": 500})),
            Some(500),
            0,
        ),
        ("shed", json_faults(json!({"shed": true})), Some(503), 0),
        ("before reading", reset(Reset::BeforeReading), None, 0),
        ("mid reading", reset(Reset::MidReading), None, 0),
        ("after running", reset(Reset::AfterRunning), None, 1),
        ("cut, length", cut(CutBody::Length), None, 1),
        ("cut, chunked", cut(CutBody::Chunked), None, 1),
        ("late", json_faults(json!({"late_ms": 1500})), None, 1),
        ("silent", json_faults(json!({"swallow_after": 0})), None, 1),
    ];
    for (name, faults, status, runs) in cases {
        let stand_in = start(|settings| settings.faults = faults).await;

        let response = get(&client(), &stand_in, "/a-path-that-is-long-enough").await;

        let found = response.map(|response| response.status.as_u16());
        assert_eq!(found, status, "{name}");
        assert_eq!(stand_in.runs().len(), runs, "{name}");
    }
}

fn json_faults(faults: Value) -> Faults {
    serde_json::from_value(faults).unwrap()
}

fn reset(at: Reset) -> Faults {
    Faults {
        reset: Some(at),
        ..Faults::default()
    }
}

fn cut(cut: CutBody) -> Faults {
    Faults {
        cut_body: Some(cut),
        ..Faults::default()
    }
}

#[tokio::test]
async fn open_connections_go_silent_and_new_ones_work() {
    let stand_in = start(|_| {}).await;
    let old = client();
    assert!(get(&old, &stand_in, "/before").await.is_some());

    stand_in.perform(&Action::SwallowOpen);

    assert!(get(&old, &stand_in, "/silent").await.is_none());
    assert!(get(&client(), &stand_in, "/new").await.is_some());
    let runs: Vec<_> = stand_in.runs().into_iter().map(|run| run.request).collect();
    assert_eq!(runs, ["GET /before", "GET /new"]);
}

#[tokio::test]
async fn requests_beyond_the_slots_are_queued() {
    let stand_in = start(|settings| settings.service_time.mean_ms = 50.0).await;
    let client = client();
    let paths: Vec<_> = (0..6).map(|n| format!("/{n}")).collect();
    let calls = paths.iter().map(|path| get(&client, &stand_in, path));
    let answers = futures_util::future::join_all(calls).await;
    assert!(answers.iter().all(Option::is_some));

    let runs = stand_in.runs();

    for run in &runs {
        let concurrent = runs
            .iter()
            .filter(|other| other.begin_us < run.begin_us && other.end_us > Some(run.begin_us));
        assert!(
            concurrent.count() < 2,
            "more than two run at {}",
            run.begin_us
        );
    }
}

#[tokio::test]
async fn draining_is_stated_and_closes_the_listener() {
    let stand_in = start(|settings| settings.service_time.mean_ms = 150.0).await;
    let client = client();
    let running = get(&client, &stand_in, "/running");
    let drain = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        stand_in.perform(&Action::Drain { at_least_ms: 10 });
        get(&client, &stand_in, "/health").await
    };
    let (running, health) = tokio::join!(running, drain);

    let health = health.unwrap();
    assert_eq!(health.header("carobdrift-draining"), "1");
    let body: Value = serde_json::from_slice(&health.body).unwrap();
    assert_eq!(body["status"], "draining");
    let running = running.expect("a request in progress was not finished");
    assert_eq!(running.header("carobdrift-draining"), "1");
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(stand_in.is_closed());
    let late = tokio::net::TcpStream::connect(stand_in.address()).await;
    assert!(late.is_err());
}

#[tokio::test]
async fn restart_changes_the_start_id_and_the_load_can_be_overridden() {
    let stand_in = start(|_| {}).await;
    let before = stand_in.start_id();
    stand_in.set_faults(Faults {
        load: Some(Load {
            in_flight: 0,
            slots: 99,
        }),
        ..Faults::default()
    });

    stand_in.perform(&Action::Restart);

    let response = get(&client(), &stand_in, "/a").await.unwrap();
    assert_eq!(response.header("carobdrift-load"), "0/99");
    assert_ne!(response.header("carobdrift-start"), before);
}

/// Returns the mean duration of the runs in milliseconds.
async fn mean_ms(service_time: ServiceTime, faults: Faults, calls: usize) -> f64 {
    let stand_in = start(|settings| {
        settings.slots = 64;
        settings.service_time = service_time;
        settings.faults = faults;
    })
    .await;
    let client = client();
    let mut total_us = 0;
    for _ in 0..calls / 64 {
        let calls = (0..64).map(|_| get(&client, &stand_in, "/a"));
        futures_util::future::join_all(calls).await;
    }
    let runs = stand_in.runs();
    for run in &runs {
        total_us += run.end_us.unwrap() - run.begin_us;
    }
    #[expect(clippy::cast_precision_loss, reason = "the numbers are small")]
    let mean_us = total_us as f64 / runs.len() as f64;
    mean_us / 1e3
}

#[tokio::test]
async fn service_times_follow_their_settings() {
    let plain = ServiceTime {
        mean_ms: 10.0,
        sigma: 0.5,
        noise: None,
        seed: 7,
    };
    let noisy = ServiceTime {
        noise: Some(Noise {
            factor: 4.0,
            duration_ms: 20.0,
            share: 0.5,
        }),
        ..plain
    };
    let cold = Faults {
        cold_start: Some(ColdStart {
            factor: 5.0,
            duration_ms: 60_000,
        }),
        ..Faults::default()
    };
    let slow = Faults {
        slow: Some(3.0),
        ..Faults::default()
    };
    // The timer adds up to 1 ms, and a busy machine more.
    let cases = [
        ("plain", plain, Faults::default(), 9.0, 14.0),
        ("noisy neighbour", noisy, Faults::default(), 16.0, 40.0),
        ("slow", plain, slow, 28.0, 36.0),
        ("cold", plain, cold, 45.0, 56.0),
    ];
    for (name, service_time, faults, least, most) in cases {
        let mean = mean_ms(service_time, faults, 640).await;
        assert!((least..most).contains(&mean), "{name}: {mean} ms");
    }
}

struct Program(Child);

impl Drop for Program {
    fn drop(&mut self) {
        self.0.kill().unwrap();
        self.0.wait().unwrap();
    }
}

#[tokio::test]
async fn the_program_is_controlled_through_its_control_port() {
    let start = PROGRAM_START.lock().await;
    let mut child = Command::new(env!("CARGO_BIN_EXE_target-stand-in"))
        .args(["--mean-ms", "1", "--slots", "3"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let stdout = child.stdout.take().unwrap();
    let _program = Program(child);
    BufReader::new(stdout).read_line(&mut line).unwrap();
    drop(start);
    let line: Value = serde_json::from_str(&line).unwrap();
    let address: SocketAddr = line["address"].as_str().unwrap().parse().unwrap();
    let control: SocketAddr = line["control"].as_str().unwrap().parse().unwrap();
    let client = client();

    let first = call(&client, Method::GET, address, "/first", "")
        .await
        .unwrap();
    let faults = r#"{"shed": true}"#;
    let set = call(&client, Method::PUT, control, "/faults", faults)
        .await
        .unwrap();
    let refused = call(&client, Method::GET, address, "/second", "")
        .await
        .unwrap();
    let unknown = call(&client, Method::PUT, control, "/faults", r#"{"shd": 1}"#)
        .await
        .unwrap();
    let action = r#"{"action": "restart"}"#;
    let performed = call(&client, Method::POST, control, "/actions", action)
        .await
        .unwrap();
    let record = call(&client, Method::GET, control, "/record", "")
        .await
        .unwrap();

    assert_eq!(first.header("carobdrift-load"), "1/3");
    assert_eq!(set.status, StatusCode::OK);
    assert_eq!(refused.header("carobdrift-refused"), "not-processed");
    assert_eq!(unknown.status, StatusCode::BAD_REQUEST);
    assert_eq!(performed.status, StatusCode::OK);
    let record: Value = serde_json::from_slice(&record.body).unwrap();
    assert_eq!(record["runs"].as_array().unwrap().len(), 1);
    assert_eq!(record["runs"][0]["token"], "/first");
}
