//! Server connections.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::fixture::{Echo, listening_server, read_all, server};

/// Guards against pipelined requests that run one after the other, and against
/// responses that are out of order.
#[tokio::test]
async fn pipelined_requests_run_concurrently_and_get_ordered_responses() {
    let echo = Arc::new(Echo::default());
    let mut stream = server(Arc::clone(&echo), CancellationToken::new()).await;
    let begin = Instant::now();

    let requests = b"GET /120 HTTP/1.1\r\n\r\nGET /20 HTTP/1.1\r\n\r\nGET /121 HTTP/1.1\r\nconnection: close\r\n\r\n";
    stream.write_all(requests).await.unwrap();
    let responses = read_all(&mut stream).await;

    let bodies: Vec<&str> = responses.split("\r\n\r\n").skip(1).collect();
    assert!(bodies[0].starts_with("/120"), "{responses}");
    assert!(bodies[1].starts_with("/20"), "{responses}");
    assert!(bodies[2].starts_with("/121"), "{responses}");
    assert!(begin.elapsed() < Duration::from_millis(230));
}

/// Guards against requests that keep running after their caller disconnected.
#[tokio::test]
async fn a_request_is_cancelled_when_its_caller_disconnects() {
    let echo = Arc::new(Echo::default());
    let mut stream = server(Arc::clone(&echo), CancellationToken::new()).await;
    stream
        .write_all(b"GET /300 HTTP/1.1\r\n\r\n")
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;

    drop(stream);
    tokio::time::sleep(Duration::from_millis(400)).await;

    assert_eq!(echo.started.load(Ordering::SeqCst), 1);
    assert_eq!(echo.finished.load(Ordering::SeqCst), 0);
}

/// Guards against request smuggling.
#[tokio::test]
async fn ambiguous_and_malformed_requests_are_refused() {
    let cases = [
        "POST / HTTP/1.1\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabc",
        "POST / HTTP/1.1\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\nabc",
        "POST / HTTP/1.1\r\ntransfer-encoding: gzip, chunked\r\n\r\nabc",
        "POST / HTTP/1.1\r\ncontent-length: +3\r\n\r\nabc",
        "GET http://other/ HTTP/1.1\r\n\r\n",
        "nonsense\r\n\r\n",
    ];
    for case in cases {
        let echo = Arc::new(Echo::default());
        let mut stream = server(Arc::clone(&echo), CancellationToken::new()).await;

        stream.write_all(case.as_bytes()).await.unwrap();
        let response = read_all(&mut stream).await;

        assert!(
            response.starts_with("HTTP/1.1 400"),
            "{case:?}: {response:?}"
        );
        assert!(response.contains("connection: close"), "{case:?}");
        assert_eq!(echo.started.load(Ordering::SeqCst), 0, "{case:?}");
    }
}

/// Guards against size limits that are not enforced.
#[tokio::test]
async fn requests_over_the_limits_are_refused() {
    let long_head = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(2000));
    let long_body = format!(
        "POST / HTTP/1.1\r\ncontent-length: 101\r\n\r\n{}",
        "y".repeat(101)
    );
    let chunks = format!(
        "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n65\r\n{}\r\n0\r\n\r\n",
        "y".repeat(101)
    );
    for (case, status) in [(long_head, "431"), (long_body, "413"), (chunks, "413")] {
        let echo = Arc::new(Echo::default());
        let mut stream = server(Arc::clone(&echo), CancellationToken::new()).await;

        stream.write_all(case.as_bytes()).await.unwrap();
        let response = read_all(&mut stream).await;

        assert!(
            response.starts_with(&format!("HTTP/1.1 {status}")),
            "{response:?}"
        );
        assert_eq!(echo.started.load(Ordering::SeqCst), 0);
    }
}

/// Guards against slow heads that occupy a connection, and against a head
/// time-out that also runs while the connection is idle.
#[tokio::test]
async fn a_slow_head_is_refused_and_an_idle_connection_is_closed() {
    let echo = Arc::new(Echo::default());
    let mut slow = server(Arc::clone(&echo), CancellationToken::new()).await;
    let mut idle = server(Arc::clone(&echo), CancellationToken::new()).await;

    tokio::time::sleep(Duration::from_millis(250)).await;
    idle.write_all(b"GET /0 HTTP/1.1\r\n\r\n").await.unwrap();
    slow.write_all(b"GET /0 HT").await.unwrap();

    let (idle, slow) = tokio::join!(read_all(&mut idle), read_all(&mut slow));
    assert!(idle.starts_with("HTTP/1.1 200"), "{idle:?}");
    assert!(slow.starts_with("HTTP/1.1 408"), "{slow:?}");
}

/// Guards against `Connection: close` on a response before the last one:
/// callers resend later requests, which may have run.
#[tokio::test]
async fn only_the_last_response_closes_the_connection() {
    let echo = Arc::new(Echo {
        closing: true,
        ..Echo::default()
    });
    let mut stream = server(Arc::clone(&echo), CancellationToken::new()).await;

    let requests = b"GET /50 HTTP/1.1\r\n\r\nGET /51 HTTP/1.1\r\n\r\n";
    stream.write_all(requests).await.unwrap();
    let responses = read_all(&mut stream).await;

    assert_eq!(responses.matches("HTTP/1.1 200").count(), 2, "{responses}");
    assert_eq!(
        responses.matches("connection: close").count(),
        1,
        "{responses}"
    );
    assert!(responses.find("connection: close") > responses.find("/50"));
}

/// Guards against a shutdown that aborts requests in progress.
#[tokio::test]
async fn a_shutdown_lets_requests_in_progress_finish() {
    let echo = Arc::new(Echo::default());
    let stop = CancellationToken::new();
    let mut stream = server(Arc::clone(&echo), stop.clone()).await;
    stream
        .write_all(b"GET /150 HTTP/1.1\r\n\r\n")
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;

    stop.cancel();
    let response = read_all(&mut stream).await;

    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    assert!(response.contains("connection: close"), "{response:?}");
}

/// Guards against a shutdown that closes connections whose requests are on their
/// way: of a connection that was just accepted, of one that is idle, and of one
/// that still waits to be accepted.
#[tokio::test]
async fn a_shutdown_answers_requests_that_are_on_their_way() {
    let echo = Arc::new(Echo {
        closing: true,
        ..Echo::default()
    });
    let stop = CancellationToken::new();
    let (address, connections) = listening_server(Arc::clone(&echo), stop.clone()).await;
    let mut idle = TcpStream::connect(address).await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;

    stop.cancel();
    // Nothing was accepted since the connection attempts, because this task has
    // not yielded.
    let mut waiting = std::net::TcpStream::connect(address).unwrap();
    std::io::Write::write_all(&mut waiting, b"GET /10 HTTP/1.1\r\n\r\n").unwrap();
    waiting.set_nonblocking(true).unwrap();
    let mut waiting = TcpStream::from_std(waiting).unwrap();
    idle.write_all(b"GET /11 HTTP/1.1\r\n\r\n").await.unwrap();
    let (waiting, idle) = tokio::join!(read_all(&mut waiting), read_all(&mut idle));

    for response in [waiting, idle] {
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
        assert!(response.contains("connection: close"), "{response:?}");
    }
    connections.close();
    let ended = tokio::time::timeout(Duration::from_secs(2), connections.wait()).await;
    assert!(ended.is_ok(), "connections outlast the shutdown");
}

/// Guards against lost bytes in chunked request bodies.
#[tokio::test]
async fn a_chunked_body_arrives_complete() {
    let echo = Arc::new(Echo::default());
    let mut stream = server(Arc::clone(&echo), CancellationToken::new()).await;

    let head = b"POST /0 HTTP/1.1\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n";
    stream.write_all(head).await.unwrap();
    for part in [&b"5\r\nab"[..], b"cde\r\n", b"0\r\n\r\n"] {
        stream.write_all(part).await.unwrap();
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let response = read_all(&mut stream).await;

    assert!(response.ends_with("/0abcde"), "{response:?}");
}
