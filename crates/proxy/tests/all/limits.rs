//! Tests of size limits, time limits and connection limits.

use std::fmt::Write;
use std::time::{Duration, Instant};

use carobdrift_proxy::Settings;
use carobdrift_test_support::target::{Faults, ServiceTime};
use http_body_util::BodyExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fixture::{Entry, client, get, post, send, send_raw, target, target_with};

const HEAD: &str = "POST /seedings HTTP/1.1\r\nhost: sheets.example\r\nstand-in-token: raw\r\n";

/// Time to wait for the response to a raw request.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Guards against request smuggling: a request whose length is ambiguous must
/// not reach a target.
#[tokio::test]
async fn ambiguous_lengths_are_refused() {
    let cases = [
        "content-length: 4\r\ncontent-length: 5\r\n\r\nheat7",
        "content-length: 4\r\ncontent-length: 4\r\n\r\nheat",
        "content-length: 4, 4\r\n\r\nheat",
        "content-length: +4\r\n\r\nheat",
        "content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\ncontent-length: 4\r\n\r\n0\r\n\r\n",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "transfer-encoding: gzip\r\n\r\nheat",
        "transfer-encoding : chunked\r\n\r\n0\r\n\r\n",
    ];
    for case in cases {
        let entry = Entry::with_faults(&[Faults::default()]).await;
        // The following request must not be taken for a body, nor a body for a
        // request.
        let request = format!("{HEAD}{case}POST /seedings HTTP/1.1\r\nhost: sheets.x\r\n\r\n");

        let response = send_raw(entry.address(), request.as_bytes(), RESPONSE_TIMEOUT).await;

        assert!(response.starts_with("HTTP/1.1 400"), "{case:?}: {response}");
        assert_eq!(
            response.matches("HTTP/1.1 ").count(),
            1,
            "{case:?}: {response}"
        );
        assert!(entry.runs().is_empty(), "{case:?}");
    }
}

/// Guards against headers of unlimited size, over both protocols.
#[tokio::test]
async fn large_headers_are_refused() {
    let entry = Entry::with_faults(&[Faults::default()]).await;
    for http2 in [false, true] {
        let client = client(http2);
        let large = get("large").with_header("x-large", "x".repeat(20_000));
        let mut many = get("many");
        for _ in 0..120 {
            many = many.with_header("x-many", "1");
        }
        for call in [large, many] {
            let response = send(&client, &call, entry.address())
                .await
                .expect("the entry responds");
            let expected = (400, Some("not-run"), Some("header-too-large"));
            assert_eq!(
                response.summary(),
                expected,
                "HTTP/2 {http2}, {}",
                call.token
            );
        }
    }
    let mut unlimited = HEAD.to_owned();
    for _ in 0..4_000 {
        write!(unlimited, "x-endless: {}\r\n", "x".repeat(60))
            .expect("writing to a string succeeds");
    }
    let response = send_raw(entry.address(), unlimited.as_bytes(), RESPONSE_TIMEOUT).await;
    assert!(response.starts_with("HTTP/1.1 431"), "{response}");
    assert!(entry.runs().is_empty());
}

/// Guards against bodies of unlimited size, in both directions, with and
/// without a stated length.
#[tokio::test]
async fn large_bodies_are_refused() {
    let entry = Entry::with_targets(vec![target(Faults::default()).await], |document| {
        document["bodies"] =
            serde_json::json!({"max_request_bytes": 200_000, "max_response_bytes": 200_000});
    })
    .await;
    let too_large = (413, Some("not-run"), Some("body-too-large"));
    for http2 in [false, true] {
        let call = post("stated").body("x".repeat(200_001));
        let response = send(&client(http2), &call, entry.address())
            .await
            .expect("the entry responds");
        assert_eq!(response.summary(), too_large, "HTTP/2 {http2}");
    }

    let mut chunked = format!("{HEAD}transfer-encoding: chunked\r\n\r\n").into_bytes();
    for _ in 0..25 {
        chunked.extend_from_slice(b"2710\r\n");
        chunked.extend_from_slice(&[b'x'; 10_000]);
        chunked.extend_from_slice(b"\r\n");
    }
    chunked.extend_from_slice(b"0\r\n\r\n");
    let response = send_raw(entry.address(), &chunked, RESPONSE_TIMEOUT).await;
    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
    assert!(
        response.contains("carobdrift-outcome: unknown"),
        "{response}"
    );
    assert!(
        entry.runs().is_empty(),
        "an incomplete body was run as a request"
    );

    let call = get("response").with_header("stand-in-bytes", "200001");
    let response = entry.send(call).await.expect("the entry responds");
    assert_eq!(
        response.summary(),
        (502, Some("unknown"), Some("response-too-large"))
    );
}

fn short_timeouts() -> Settings {
    Settings {
        header_timeout: Duration::from_millis(200),
        body_idle_timeout: Duration::from_millis(200),
        ..Settings::default()
    }
}

/// Guards against callers that occupy connections with an incomplete header or
/// body, and against targets that wait for such a body.
#[tokio::test]
async fn slow_senders_time_out() {
    let targets = vec![target(Faults::default()).await];
    let entry = Entry::with_settings(targets, |_| {}, short_timeouts()).await;
    let time = Duration::from_secs(2);

    let begin = Instant::now();
    let partial_head = send_raw(entry.address(), HEAD.as_bytes(), time).await;
    assert_eq!(partial_head, "");
    assert!(
        begin.elapsed() < Duration::from_millis(600),
        "{:?}",
        begin.elapsed()
    );

    let partial_body = format!("{HEAD}content-length: 10\r\n\r\nheat");
    let partial_body = send_raw(entry.address(), partial_body.as_bytes(), time).await;
    assert!(partial_body.starts_with("HTTP/1.1 400"), "{partial_body}");
    assert!(
        partial_body.contains("carobdrift-reason: body-timeout"),
        "{partial_body}"
    );
    assert!(
        partial_body.contains("carobdrift-outcome: not-run"),
        "{partial_body}"
    );

    let mut stream = format!("{HEAD}content-length: 100000\r\n\r\n").into_bytes();
    stream.extend_from_slice("x".repeat(80_000).as_bytes());
    let stream = send_raw(entry.address(), &stream, time).await;
    assert!(stream.starts_with("HTTP/1.1 400"), "{stream}");
    assert!(stream.contains("carobdrift-outcome: unknown"), "{stream}");
    assert!(entry.runs().is_empty());
}

/// Guards against a header time-out that also closes idle connections or aborts
/// long requests.
#[tokio::test]
async fn idle_callers_keep_their_connection() {
    let slow = Faults {
        late_ms: 400,
        ..Faults::default()
    };
    let targets = vec![target(slow).await];
    let entry = Entry::with_settings(targets, |_| {}, short_timeouts()).await;
    let mut stream = TcpStream::connect(entry.address())
        .await
        .expect("loopback is available");
    for _ in 0..2 {
        let request = format!("{HEAD}content-length: 4\r\n\r\nheat");
        stream
            .write_all(request.as_bytes())
            .await
            .expect("the connection is open");
        let mut response = vec![0; 4096];
        let length = stream
            .read(&mut response)
            .await
            .expect("the connection is open");
        let response = String::from_utf8_lossy(&response[..length]).into_owned();
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
}

/// Guards against callers that do not read a large response and thereby occupy
/// connections and slots of targets.
#[tokio::test]
async fn slow_readers_time_out() {
    let targets = vec![target(Faults::default()).await];
    let change = |document: &mut serde_json::Value| {
        document["bodies"]["max_response_bytes"] = 100_000_000.into();
        document["routes"][0]["deadline_ms"] = 20_000.into();
    };
    let entry = Entry::with_settings(targets, change, short_timeouts()).await;
    let mut stream = TcpStream::connect(entry.address())
        .await
        .expect("loopback is available");
    let request = "GET /heats/7 HTTP/1.1\r\nhost: sheets.example\r\n\
        stand-in-bytes: 50000000\r\nstand-in-token: slow\r\n\r\n";
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the connection is open");

    tokio::time::sleep(Duration::from_millis(200)).await;
    let while_reading = entry.in_flight();
    tokio::time::sleep(Duration::from_secs(1)).await;

    assert_eq!(while_reading, 1);
    assert_eq!(entry.in_flight(), 0);
}

/// Guards against callers that do not read a response and thereby occupy slots
/// of targets after the deadline, over both protocols.
#[tokio::test]
async fn a_response_that_is_not_read_ends_at_the_deadline() {
    for http2 in [false, true] {
        let entry = Entry::with_targets(vec![target(Faults::default()).await], |document| {
            document["bodies"]["max_response_bytes"] = 100_000_000.into();
        })
        .await;
        let call = get("unread")
            .with_header("stand-in-bytes", "50000000")
            .with_header("carobdrift-deadline-ms", "700");
        let client = client(http2);
        let response = client.request(call.request(entry.address())).await;
        let response = response.expect("the entry responds");
        let while_reading = entry.in_flight();

        tokio::time::sleep(Duration::from_secs(1)).await;

        assert_eq!(while_reading, 1, "HTTP/2 {http2}");
        assert_eq!(entry.in_flight(), 0, "HTTP/2 {http2}");
        let rest = response.into_body().collect().await;
        assert!(rest.is_err(), "HTTP/2 {http2}");
    }
}

/// Guards against more connections to a target than the document permits, and
/// against requests that are lost while they wait for a connection.
#[tokio::test]
async fn connections_to_a_target_are_limited() {
    let settings = carobdrift_test_support::target::Settings {
        slots: 64,
        service_time: ServiceTime {
            mean_ms: 20.0,
            ..ServiceTime::default()
        },
        ..Default::default()
    };
    let entry = Entry::with_targets(vec![target_with(settings).await], |document| {
        document["targets"][0]["slots"] = 3.into();
        document["connections"]["max_per_target"] = 3.into();
    })
    .await;
    let tokens: Vec<_> = (0..12).map(|n| format!("call-{n}")).collect();
    let calls = tokens.iter().enumerate().map(|(index, token)| {
        entry.send(if index % 2 == 0 {
            get(token)
        } else {
            post(token)
        })
    });

    let responses = futures_util::future::join_all(calls).await;

    for response in responses {
        let response = response.expect("the entry responds");
        assert_eq!(response.status, 200, "{response:?}");
    }
    let runs = entry.runs();
    for run in &runs {
        let concurrent = runs
            .iter()
            .filter(|other| other.begin_us < run.begin_us && other.end_us > Some(run.begin_us));
        assert!(
            concurrent.count() < 3,
            "more than three requests ran at {} us",
            run.begin_us
        );
    }
}

/// Guards against idle connections to targets that are never closed.
#[tokio::test]
async fn idle_connections_are_closed() {
    let entry = Entry::with_targets(vec![target(Faults::default()).await], |document| {
        document["connections"]["idle_timeout_ms"] = 100.into();
    })
    .await;
    let response = entry.send(get("one")).await.expect("the entry responds");
    assert_eq!(response.status, 200);
    assert_eq!(entry.targets[0].connections(), 1);

    tokio::time::sleep(Duration::from_millis(900)).await;

    assert_eq!(entry.targets[0].connections(), 0);
}
