//! Guards against a caller that gives up while an entry could be reached, that
//! sends a key to an entry that does not decide on it, or that mistakes what
//! became of its call.

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

type Answer = Response<Full<Bytes>>;

/// A server whose answers a function gives, by the number of the request.
struct Server {
    address: SocketAddr,
    requests: Arc<Mutex<Vec<Request<()>>>>,
}

impl Server {
    async fn start(answer: impl Fn(usize, &Request<()>) -> Answer + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let shared = Arc::clone(&requests);
        let answer = Arc::new(answer);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (answer, requests) = (Arc::clone(&answer), Arc::clone(&shared));
                let service = service_fn(move |request: Request<Incoming>| {
                    let request = request.map(|_| ());
                    let mut requests = requests.lock().unwrap();
                    let response = answer(requests.len(), &request);
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

    /// An entry that answers as a target would.
    async fn entry() -> Self {
        Self::start(|_, request| whole(request)).await
    }

    /// An administration API that gives these address answers in turn, the
    /// last one over and over.
    async fn discovery(answers: Vec<Value>) -> Self {
        Self::start(move |number, _| {
            let body = &answers[number.min(answers.len() - 1)];
            Response::new(Full::from(body.to_string()))
        })
        .await
    }

    fn count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }

    fn keys(&self) -> Vec<String> {
        let requests = self.requests.lock().unwrap();
        requests
            .iter()
            .map(|request| field(request, "idempotency-key"))
            .collect()
    }
}

fn field(request: &Request<()>, name: &str) -> String {
    let value = request.headers().get(name);
    value.map_or_else(String::new, |value| value.to_str().unwrap().to_owned())
}

fn whole(request: &Request<()>) -> Answer {
    Response::builder()
        .header("stand-in-token", field(request, "stand-in-token"))
        .body(Full::default())
        .unwrap()
}

fn stated(outcome: &str) -> Answer {
    Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .header("carobdrift-outcome", outcome)
        .header("carobdrift-reason", "overload")
        .body(Full::default())
        .unwrap()
}

/// A socket that holds its port without listening, so that connections are
/// refused and no other test gets the port.
struct Refusing {
    address: SocketAddr,
    _socket: TcpSocket,
}

fn refusing() -> Refusing {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    Refusing {
        address: socket.local_addr().unwrap(),
        _socket: socket,
    }
}

/// An address answer; each address has its position as the key prefix.
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
async fn refused_connection_moves_on_with_a_key_of_the_next_entry() {
    let (dead, entry) = (refusing(), Server::entry().await);
    let answers = vec![addresses(&[dead.address, entry.address], 60_000)];
    let discovery = Server::discovery(answers).await;
    let caller = Caller::new("hobart", vec![discovery.address]);
    let mut call = call(&caller, Key::Fresh);

    let answer = caller.send_keyed(&mut call).await.unwrap();

    assert_eq!(answer.entry, entry.address);
    assert_eq!(answer.token_matches, Some(true));
    let keys = entry.keys();
    assert_eq!(keys.len(), 1);
    assert!(keys[0].starts_with("p1."), "{keys:?}");
    assert_eq!(call.key, Key::Given(keys[0].clone()));
}

#[tokio::test]
async fn given_key_stays_the_same_at_the_next_entry() {
    let (dead, entry) = (refusing(), Server::entry().await);
    let answers = vec![addresses(&[dead.address, entry.address], 60_000)];
    let discovery = Server::discovery(answers).await;
    let caller = Caller::new("hobart", vec![discovery.address]);

    let sent = caller
        .send(&call(&caller, Key::Given("own-1".to_owned())))
        .await;

    assert!(sent.is_ok());
    assert_eq!(entry.keys(), ["own-1"]);
}

#[tokio::test]
async fn addresses_are_asked_anew_once_used_up() {
    let (dead, entry) = (refusing(), Server::entry().await);
    let answers = vec![
        addresses(&[dead.address], 60_000),
        addresses(&[dead.address, entry.address], 60_000),
    ];
    let discovery = Server::discovery(answers).await;
    let caller = Caller::new("hobart", vec![discovery.address]);

    let answer = caller.send(&call(&caller, Key::None)).await.unwrap();

    assert_eq!(answer.entry, entry.address);
    assert_eq!(discovery.count(), 2);
}

#[tokio::test]
async fn call_ends_when_no_new_address_is_given() {
    let dead = refusing();
    let discovery = Server::discovery(vec![addresses(&[dead.address], 60_000)]).await;
    let caller = Caller::new("hobart", vec![discovery.address]);

    let sent = caller.send(&call(&caller, Key::None)).await;

    assert!(matches!(sent, Err(Error::Connect(entry)) if entry == dead.address));
    assert_eq!(discovery.count(), 2);
}

#[tokio::test]
async fn addresses_are_kept_for_their_time_to_live() {
    let entry = Server::entry().await;
    let kept = Server::discovery(vec![addresses(&[entry.address], 60_000)]).await;
    let expired = Server::discovery(vec![addresses(&[entry.address], 0)]).await;

    for discovery in [&kept, &expired] {
        let caller = Caller::new("hobart", vec![discovery.address]);
        for _ in 0..3 {
            caller.send(&call(&caller, Key::None)).await.unwrap();
        }
    }

    assert_eq!(kept.count(), 1);
    assert_eq!(expired.count(), 3);
}

#[tokio::test]
async fn addresses_come_from_an_entry_that_answers() {
    let entry = Server::entry().await;
    let silent = Server::start(|_, _| stated("not-run")).await;
    let discovery = Server::discovery(vec![addresses(&[entry.address], 60_000)]).await;
    let dead = refusing();
    let asked = vec![dead.address, silent.address, discovery.address];

    let found = Caller::new("hobart", asked).entries("draws").await;
    let none = Caller::new("hobart", vec![silent.address])
        .entries("draws")
        .await;

    assert_eq!(found.unwrap(), [entry.address]);
    assert!(matches!(none, Err(Error::NoAddress)));
}

/// Runs keyed calls for a short while against entries and returns how they
/// ended.
async fn ends(entries: &[SocketAddr]) -> Vec<(bool, Outcome)> {
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
async fn load_sends_an_unknown_call_again_under_its_key() {
    let first = Server::start(|_, _| stated("unknown")).await;
    let second = Server::entry().await;

    let ends = ends(&[first.address, second.address]).await;

    assert!(
        ends.iter().all(|end| *end == (true, Outcome::Complete)),
        "{ends:?}"
    );
    // Calls overlap, so the order may differ between the entries.
    let (mut sent, mut again) = (first.keys(), second.keys());
    sent.sort();
    again.sort();
    assert_eq!(sent, again);
    assert!(sent.iter().all(|key| key.starts_with("p0.")), "{sent:?}");
}

#[tokio::test]
async fn load_keeps_unknown_when_the_second_send_shows_nothing() {
    let first = Server::start(|_, _| stated("unknown")).await;
    let second = Server::start(|_, _| stated("not-run")).await;

    let ends = ends(&[first.address, second.address]).await;

    assert!(
        ends.iter().all(|(_, end)| *end == Outcome::Unknown),
        "{ends:?}"
    );
    assert_eq!(second.count(), ends.len());
}

#[tokio::test]
async fn load_does_not_send_a_call_again_that_was_not_run() {
    let first = Server::start(|_, _| stated("not-run")).await;
    let second = Server::entry().await;

    let ends = ends(&[first.address, second.address]).await;

    assert!(
        ends.iter().all(|(_, end)| *end == Outcome::NotRun),
        "{ends:?}"
    );
    assert_eq!(second.count(), 0);
}

#[tokio::test]
async fn load_recognises_an_answer_of_another_call() {
    let foreign = |_: usize, _: &Request<()>| {
        Response::builder()
            .header("stand-in-token", "of-another-call")
            .body(Full::default())
            .unwrap()
    };
    let entry = Server::start(foreign).await;

    let ends = ends(&[entry.address]).await;

    assert!(
        ends.iter().all(|(_, end)| *end == Outcome::Crossed),
        "{ends:?}"
    );
}

#[tokio::test]
async fn load_counts_a_call_that_no_entry_took_as_refused() {
    let dead = refusing();

    let ends = ends(&[dead.address]).await;

    assert!(
        ends.iter().all(|(_, end)| *end == Outcome::Refused),
        "{ends:?}"
    );
}
