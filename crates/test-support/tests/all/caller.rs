//! Guards against a caller that gives up although an entry is reachable, that
//! sends a fresh key to an entry that did not issue it, or that records a wrong
//! outcome of its call.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use carobdrift_test_support::caller::{Call, Caller, Error, Key};
use carobdrift_test_support::load::{self, Outcome, Stream};
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpSocket};

type ServerResponse = Response<Full<Bytes>>;

/// HTTP server whose responses are computed by a function from the index of the
/// request and the request itself.
struct Server {
    address: SocketAddr,
    requests: Arc<Mutex<Vec<Request<()>>>>,
}

impl Server {
    async fn start(
        respond: impl Fn(usize, &Request<()>) -> ServerResponse + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let shared = Arc::clone(&requests);
        let respond = Arc::new(respond);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (respond, requests) = (Arc::clone(&respond), Arc::clone(&shared));
                let service = service_fn(move |request: Request<Incoming>| {
                    let request = request.map(|_| ());
                    let mut requests = requests.lock().unwrap();
                    let response = respond(requests.len(), &request);
                    requests.push(request);
                    async move { Ok::<_, std::convert::Infallible>(response) }
                });
                tokio::spawn(async move {
                    let builder = auto::Builder::new(TokioExecutor::new());
                    let _ended = builder
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        });
        Self { address, requests }
    }

    /// Starts an entry that responds as a target does.
    async fn entry() -> Self {
        Self::start(|_, request| complete(request)).await
    }

    /// Starts an administration API that returns the given address lists one
    /// after the other and then repeats the last one.
    async fn discovery(lists: Vec<Value>) -> Self {
        Self::start(move |index, _| {
            let body = &lists[index.min(lists.len() - 1)];
            Response::new(Full::from(body.to_string()))
        })
        .await
    }

    fn request_count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }

    fn keys(&self) -> Vec<String> {
        let requests = self.requests.lock().unwrap();
        requests
            .iter()
            .map(|request| header(request, "idempotency-key"))
            .collect()
    }
}

fn header(request: &Request<()>, name: &str) -> String {
    let value = request.headers().get(name);
    value.map_or_else(String::new, |value| value.to_str().unwrap().to_owned())
}

fn complete(request: &Request<()>) -> ServerResponse {
    Response::builder()
        .header("stand-in-token", header(request, "stand-in-token"))
        .body(Full::default())
        .unwrap()
}

/// Returns the response of an entry that states the outcome of a request.
fn stated(outcome: &str) -> ServerResponse {
    Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .header("carobdrift-outcome", outcome)
        .header("carobdrift-reason", "overload")
        .body(Full::default())
        .unwrap()
}

/// Socket that is bound but does not listen, so that connections to its port are
/// refused and no other test can bind the port.
struct ClosedPort {
    address: SocketAddr,
    _socket: TcpSocket,
}

fn closed_port() -> ClosedPort {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    ClosedPort {
        address: socket.local_addr().unwrap(),
        _socket: socket,
    }
}

/// Returns an address list in which the key prefix of each address is `p` with
/// its position.
fn addresses(listed: &[SocketAddr], ttl_ms: u64) -> Value {
    let listed: Vec<Value> = listed
        .iter()
        .enumerate()
        .map(
            |(position, address)| json!({"address": address, "key_prefix": format!("p{position}")}),
        )
        .collect();
    json!({"addresses": listed, "ttl_ms": ttl_ms})
}

fn call(caller: &Caller, key: Key) -> Call {
    Call {
        service: "draws".to_owned(),
        method: Method::POST,
        path: "/meets/1/seedings".to_owned(),
        body: Bytes::new(),
        key,
        token: caller.fresh_token(),
        deadline: Duration::from_secs(2),
    }
}

#[tokio::test]
async fn refused_call_gets_a_key_of_the_next_entry() {
    let (closed, entry) = (closed_port(), Server::entry().await);
    let lists = vec![addresses(&[closed.address, entry.address], 60_000)];
    let discovery = Server::discovery(lists).await;
    let caller = Caller::new("hobart", vec![discovery.address]);
    let mut call = call(&caller, Key::Fresh);

    let response = caller.send_keyed(&mut call).await.unwrap();

    assert_eq!(response.entry, entry.address);
    assert_eq!(response.token_matches, Some(true));
    let keys = entry.keys();
    assert_eq!(keys.len(), 1);
    assert!(keys[0].starts_with("p1."), "{keys:?}");
    assert_eq!(call.key, Key::Given(keys[0].clone()));
}

#[tokio::test]
async fn given_key_is_kept_at_the_next_entry() {
    let (closed, entry) = (closed_port(), Server::entry().await);
    let lists = vec![addresses(&[closed.address, entry.address], 60_000)];
    let discovery = Server::discovery(lists).await;
    let caller = Caller::new("hobart", vec![discovery.address]);

    let result = caller
        .send(&call(&caller, Key::Given("own-1".to_owned())))
        .await;

    assert!(result.is_ok());
    assert_eq!(entry.keys(), ["own-1"]);
}

#[tokio::test]
async fn addresses_are_fetched_again_when_all_were_tried() {
    let (closed, entry) = (closed_port(), Server::entry().await);
    let lists = vec![
        addresses(&[closed.address], 60_000),
        addresses(&[closed.address, entry.address], 60_000),
    ];
    let discovery = Server::discovery(lists).await;
    let caller = Caller::new("hobart", vec![discovery.address]);

    let response = caller.send(&call(&caller, Key::None)).await.unwrap();

    assert_eq!(response.entry, entry.address);
    assert_eq!(discovery.request_count(), 2);
}

#[tokio::test]
async fn call_fails_when_no_new_address_is_listed() {
    let closed = closed_port();
    let discovery = Server::discovery(vec![addresses(&[closed.address], 60_000)]).await;
    let caller = Caller::new("hobart", vec![discovery.address]);

    let result = caller.send(&call(&caller, Key::None)).await;

    assert!(matches!(result, Err(Error::Connect(entry)) if entry == closed.address));
    assert_eq!(discovery.request_count(), 2);
}

#[tokio::test]
async fn addresses_are_cached_for_their_time_to_live() {
    let entry = Server::entry().await;
    let cached = Server::discovery(vec![addresses(&[entry.address], 60_000)]).await;
    let expired = Server::discovery(vec![addresses(&[entry.address], 0)]).await;

    for discovery in [&cached, &expired] {
        let caller = Caller::new("hobart", vec![discovery.address]);
        for _ in 0..3 {
            caller.send(&call(&caller, Key::None)).await.unwrap();
        }
    }

    assert_eq!(cached.request_count(), 1);
    assert_eq!(expired.request_count(), 3);
}

#[tokio::test]
async fn addresses_come_from_an_entry_that_responds() {
    let entry = Server::entry().await;
    let failing = Server::start(|_, _| stated("not-run")).await;
    let discovery = Server::discovery(vec![addresses(&[entry.address], 60_000)]).await;
    let closed = closed_port();
    let admins = vec![closed.address, failing.address, discovery.address];

    let found = Caller::new("hobart", admins).entries("draws").await;
    let none = Caller::new("hobart", vec![failing.address])
        .entries("draws")
        .await;

    assert_eq!(found.unwrap(), [entry.address]);
    assert!(matches!(none, Err(Error::NoAddress)));
}

/// Runs keyed calls against the entries for 300 ms and returns for each call
/// whether it must run at most once, and its outcome.
async fn outcomes(entries: &[SocketAddr]) -> Vec<(bool, Outcome)> {
    let discovery = Server::discovery(vec![addresses(entries, 60_000)]).await;
    let callers = [Caller::new("hobart", vec![discovery.address])];
    let stream = Stream {
        service: "draws".to_owned(),
        method: Method::POST,
        path: "/meets/1/seedings".to_owned(),
        rate: 100.0,
        keyed: true,
    };
    let records = load::run(&[stream], &callers, Duration::from_millis(300), 1).await;
    assert!(!records.is_empty());
    records
        .iter()
        .map(|record| (record.at_most_once, record.outcome))
        .collect()
}

#[tokio::test]
async fn load_repeats_an_unknown_call_with_its_key() {
    let first = Server::start(|_, _| stated("unknown")).await;
    let second = Server::entry().await;

    let outcomes = outcomes(&[first.address, second.address]).await;

    assert!(
        outcomes
            .iter()
            .all(|outcome| *outcome == (true, Outcome::Complete)),
        "{outcomes:?}"
    );
    // Calls are concurrent, so the order may differ between the entries.
    let (mut first_keys, mut repeated_keys) = (first.keys(), second.keys());
    first_keys.sort();
    repeated_keys.sort();
    assert_eq!(first_keys, repeated_keys);
    assert!(
        first_keys.iter().all(|key| key.starts_with("p0.")),
        "{first_keys:?}"
    );
}

#[tokio::test]
async fn load_keeps_unknown_when_the_repeat_gets_no_response_of_a_target() {
    let first = Server::start(|_, _| stated("unknown")).await;
    let second = Server::start(|_, _| stated("not-run")).await;

    let outcomes = outcomes(&[first.address, second.address]).await;

    assert!(
        outcomes
            .iter()
            .all(|(_, outcome)| *outcome == Outcome::Unknown),
        "{outcomes:?}"
    );
    assert_eq!(second.request_count(), outcomes.len());
}

#[tokio::test]
async fn load_does_not_repeat_a_call_that_was_not_run() {
    let first = Server::start(|_, _| stated("not-run")).await;
    let second = Server::entry().await;

    let outcomes = outcomes(&[first.address, second.address]).await;

    assert!(
        outcomes
            .iter()
            .all(|(_, outcome)| *outcome == Outcome::NotRun),
        "{outcomes:?}"
    );
    assert_eq!(second.request_count(), 0);
}

#[tokio::test]
async fn load_recognises_the_response_to_another_call() {
    let mismatched = |_: usize, _: &Request<()>| {
        Response::builder()
            .header("stand-in-token", "of-another-call")
            .body(Full::default())
            .unwrap()
    };
    let entry = Server::start(mismatched).await;

    let outcomes = outcomes(&[entry.address]).await;

    assert!(
        outcomes
            .iter()
            .all(|(_, outcome)| *outcome == Outcome::Crossed),
        "{outcomes:?}"
    );
}

#[tokio::test]
async fn load_counts_a_call_as_refused_when_no_entry_accepts_it() {
    let closed = closed_port();

    let outcomes = outcomes(&[closed.address]).await;

    assert!(
        outcomes
            .iter()
            .all(|(_, outcome)| *outcome == Outcome::Refused),
        "{outcomes:?}"
    );
}
