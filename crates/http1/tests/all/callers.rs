//! Requests whose callers have left, and the age of requests that waited.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use carobdrift_http1::{Limits, Request, Response, Service, serve};
use http::StatusCode;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Requests that a connection serves at a time.
const CONCURRENT: usize = 16;

/// Service that records the requests that were passed on, and answers each after the
/// number of milliseconds in its path.
#[derive(Debug, Default)]
struct Record {
    started: AtomicUsize,
    /// Requests whose time in the service passed.
    ended: AtomicUsize,
    received: Mutex<Vec<Instant>>,
}

impl Service for Record {
    fn limits(&self) -> Limits {
        Limits {
            head: 1024,
            body: 100,
        }
    }

    async fn call(self: Arc<Self>, request: Request) -> Response {
        self.started.fetch_add(1, Ordering::SeqCst);
        self.received.lock().unwrap().push(request.received);
        let ms = request.path().trim_start_matches('/').parse().unwrap();
        tokio::time::sleep(Duration::from_millis(ms)).await;
        self.ended.fetch_add(1, Ordering::SeqCst);
        Response::new(StatusCode::OK, "ok".into())
    }
}

/// Connects, and returns the server side and the caller's side of the connection.
async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let caller = TcpStream::connect(listener.local_addr().unwrap());
    let (accepted, caller) = tokio::join!(listener.accept(), caller);
    (accepted.unwrap().0, caller.unwrap())
}

/// Guards against a request that is passed on although its caller closed the
/// connection before the request was read.
#[tokio::test]
async fn a_request_whose_caller_left_is_not_passed_on() {
    for requests in [1, 3] {
        for resets in [false, true] {
            let record = Arc::new(Record::default());
            let (server, mut caller) = connection().await;
            let bytes = "GET /200 HTTP/1.1\r\n\r\n".repeat(requests);
            caller.write_all(bytes.as_bytes()).await.unwrap();
            if resets {
                let socket = socket2::SockRef::from(&caller);
                socket.set_linger(Some(Duration::ZERO)).unwrap();
            }
            drop(caller);
            tokio::time::sleep(Duration::from_millis(50)).await;

            serve(server, Arc::clone(&record), CancellationToken::new()).await;

            let started = record.started.load(Ordering::SeqCst);
            assert_eq!(started, 0, "{requests} requests, reset: {resets}");
        }
    }
}

/// Guards against a pipelined request that waits behind others and is passed on after
/// its caller closed the connection, with unread bytes behind it.
#[tokio::test]
async fn a_waiting_request_is_not_passed_on_after_its_caller_left() {
    for resets in [false, true] {
        let record = Arc::new(Record::default());
        let (server, mut caller) = connection().await;
        let task = tokio::spawn(serve(server, Arc::clone(&record), CancellationToken::new()));
        let slow = "GET /900 HTTP/1.1\r\n\r\n".repeat(CONCURRENT + 3);
        let bytes = format!("GET /500 HTTP/1.1\r\n\r\n{slow}");
        caller.write_all(bytes.as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(50)).await;
        if resets {
            let socket = socket2::SockRef::from(&caller);
            socket.set_linger(Some(Duration::ZERO)).unwrap();
        }
        drop(caller);

        task.await.unwrap();

        let started = record.started.load(Ordering::SeqCst);
        assert_eq!(started, CONCURRENT, "reset: {resets}");
    }
}

/// Guards against requests that continue after their caller closed the connection,
/// because a connection with so many of them is not read.
#[tokio::test]
async fn as_many_requests_as_are_served_at_a_time_are_cancelled_when_their_caller_left() {
    for behind in [0, 2] {
        let record = Arc::new(Record::default());
        let (server, mut caller) = connection().await;
        let task = tokio::spawn(serve(server, Arc::clone(&record), CancellationToken::new()));
        let bytes = "GET /900 HTTP/1.1\r\n\r\n".repeat(CONCURRENT + behind);
        caller.write_all(bytes.as_bytes()).await.unwrap();
        while record.started.load(Ordering::SeqCst) < CONCURRENT {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }

        drop(caller);
        task.await.unwrap();

        assert_eq!(record.ended.load(Ordering::SeqCst), 0, "{behind} behind");
    }
}

/// Guards against a request that waits in the service and is passed on after its caller
/// closed the connection, because the process did not run in between.
#[tokio::test]
async fn a_request_is_not_passed_on_after_a_pause_in_which_its_caller_left() {
    let record = Arc::new(Record::default());
    let (server, mut caller) = connection().await;
    let task = tokio::spawn(serve(server, Arc::clone(&record), CancellationToken::new()));
    caller
        .write_all(b"GET /400 HTTP/1.1\r\n\r\n")
        .await
        .unwrap();
    while record.started.load(Ordering::SeqCst) == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }

    drop(caller);
    std::thread::sleep(Duration::from_millis(600));
    task.await.unwrap();

    assert_eq!(record.started.load(Ordering::SeqCst), 1);
    assert_eq!(record.ended.load(Ordering::SeqCst), 0);
}

/// Guards against an age that begins when a waiting request is decoded: its deadline
/// would be later than its caller's.
#[tokio::test]
async fn the_age_of_a_waiting_request_counts_from_its_arrival() {
    let record = Arc::new(Record::default());
    let (server, mut caller) = connection().await;
    tokio::spawn(serve(server, Arc::clone(&record), CancellationToken::new()));
    let bytes = "GET /200 HTTP/1.1\r\n\r\n".repeat(CONCURRENT + 1);

    caller.write_all(bytes.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;

    let received = record.received.lock().unwrap().clone();
    assert_eq!(received.len(), CONCURRENT + 1);
    let age = received[CONCURRENT].duration_since(received[0]);
    assert!(age < Duration::from_millis(100), "{age:?}");
}

/// Guards against an age that leaves out the time in which the request itself arrived.
#[tokio::test]
async fn the_age_of_a_request_counts_from_its_first_byte() {
    let record = Arc::new(Record::default());
    let (server, mut caller) = connection().await;
    tokio::spawn(serve(server, Arc::clone(&record), CancellationToken::new()));

    caller.write_all(b"POST /0 HTTP/1.1\r\n").await.unwrap();
    tokio::time::sleep(Duration::from_millis(400)).await;
    let rest = b"content-length: 2\r\n\r\nab";
    caller.write_all(rest).await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;

    let received = record.received.lock().unwrap().clone();
    let age = received[0].elapsed();
    assert!(age >= Duration::from_millis(300), "{age:?}");
}
