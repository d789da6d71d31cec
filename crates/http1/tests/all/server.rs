//! Server connections.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio_util::sync::CancellationToken;

use crate::fixture::{Echo, read_all, server};

/// Guards against pipelined requests that wait for each other, and against
/// answers in another order than the requests.
#[tokio::test]
async fn pipelined_requests_run_together_and_are_answered_in_order() {
    let echo = Arc::new(Echo::default());
    let mut stream = server(Arc::clone(&echo), CancellationToken::new()).await;
    let begin = Instant::now();

    let requests = b"GET /120 HTTP/1.1\r\n\r\nGET /20 HTTP/1.1\r\n\r\nGET /121 HTTP/1.1\r\nconnection: close\r\n\r\n";
    stream.write_all(requests).await.unwrap();
    let answers = read_all(&mut stream).await;

    let bodies: Vec<&str> = answers.split("\r\n\r\n").skip(1).collect();
    assert!(bodies[0].starts_with("/120"), "{answers}");
    assert!(bodies[1].starts_with("/20"), "{answers}");
    assert!(bodies[2].starts_with("/121"), "{answers}");
    assert!(begin.elapsed() < Duration::from_millis(230));
}

/// Guards against work for a caller that has left.
#[tokio::test]
async fn a_request_is_cancelled_when_its_caller_leaves() {
    let echo = Arc::new(Echo::default());
    let mut stream = server(Arc::clone(&echo), CancellationToken::new()).await;
    stream
        .write_all(b"GET /300 HTTP/1.1\r\n\r\n")
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;

    drop(stream);
    tokio::time::sleep(Duration::from_millis(400)).await;

    assert_eq!(echo.begun.load(Ordering::SeqCst), 1);
    assert_eq!(echo.ended.load(Ordering::SeqCst), 0);
}

/// Guards against a request that is hidden in another one.
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
        let answer = read_all(&mut stream).await;

        assert!(answer.starts_with("HTTP/1.1 400"), "{case:?}: {answer:?}");
        assert!(answer.contains("connection: close"), "{case:?}");
        assert_eq!(echo.begun.load(Ordering::SeqCst), 0, "{case:?}");
    }
}

/// Guards against limits that do not hold.
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
        let answer = read_all(&mut stream).await;

        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{answer:?}"
        );
        assert_eq!(echo.begun.load(Ordering::SeqCst), 0);
    }
}

/// Guards against a slow head that holds a connection, and against a limit that
/// also runs while a connection idles.
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

/// Guards against a closing answer with requests behind it that ran: callers
/// send those again.
#[tokio::test]
async fn a_closing_answer_is_the_last_one() {
    let echo = Arc::new(Echo {
        closing: true,
        ..Echo::default()
    });
    let mut stream = server(Arc::clone(&echo), CancellationToken::new()).await;

    let requests = b"GET /50 HTTP/1.1\r\n\r\nGET /51 HTTP/1.1\r\n\r\n";
    stream.write_all(requests).await.unwrap();
    let answers = read_all(&mut stream).await;

    assert_eq!(answers.matches("HTTP/1.1 200").count(), 2, "{answers}");
    assert_eq!(answers.matches("connection: close").count(), 1, "{answers}");
    assert!(answers.find("connection: close") > answers.find("/50"));
}

/// Guards against a stop that cuts off a request in progress.
#[tokio::test]
async fn a_stop_lets_requests_in_progress_end() {
    let echo = Arc::new(Echo::default());
    let stop = CancellationToken::new();
    let mut stream = server(Arc::clone(&echo), stop.clone()).await;
    stream
        .write_all(b"GET /150 HTTP/1.1\r\n\r\n")
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;

    stop.cancel();
    let answer = read_all(&mut stream).await;

    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    assert!(answer.contains("connection: close"), "{answer:?}");
}

/// Guards against bodies in chunks that lose bytes.
#[tokio::test]
async fn a_body_in_chunks_arrives_whole() {
    let echo = Arc::new(Echo::default());
    let mut stream = server(Arc::clone(&echo), CancellationToken::new()).await;

    let head = b"POST /0 HTTP/1.1\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n";
    stream.write_all(head).await.unwrap();
    for part in [&b"5\r\nab"[..], b"cde\r\n", b"0\r\n\r\n"] {
        stream.write_all(part).await.unwrap();
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let answer = read_all(&mut stream).await;

    assert!(answer.ends_with("/0abcde"), "{answer:?}");
}
