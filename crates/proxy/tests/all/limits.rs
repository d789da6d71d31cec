use std::fmt::Write;
use std::time::{Duration, Instant};

use carobdrift_proxy::Settings;
use carobdrift_test_support::target::{Faults, ServiceTime};
use http_body_util::BodyExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fixture::{Entry, client, get, post, raw, send, target, target_with};

const HEAD: &str = "POST /seedings HTTP/1.1\r\nhost: sheets.example\r\nstand-in-token: raw\r\n";

/// Time for an answer to a raw request.
const PATIENCE: Duration = Duration::from_millis(500);

/// Guards against request smuggling: a request whose length could be read in
/// two ways reaches no target.
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
        // A request that follows must not be taken for a body, or the reverse.
        let request = format!("{HEAD}{case}POST /seedings HTTP/1.1\r\nhost: sheets.x\r\n\r\n");

        let answer = raw(entry.address(), request.as_bytes(), PATIENCE).await;

        assert!(answer.starts_with("HTTP/1.1 400"), "{case:?}: {answer}");
        assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{case:?}: {answer}");
        assert!(entry.runs().is_empty(), "{case:?}");
    }
}

/// Guards against headers without bound, over both protocols.
#[tokio::test]
async fn large_headers_are_refused() {
    let entry = Entry::with_faults(&[Faults::default()]).await;
    for http2 in [false, true] {
        let client = client(http2);
        let large = get("large").with("x-large", "x".repeat(20_000));
        let mut many = get("many");
        for _ in 0..120 {
            many = many.with("x-many", "1");
        }
        for ask in [large, many] {
            let answer = send(&client, &ask, entry.address()).await.expect("answers");
            let expected = (400, Some("not-run"), Some("header-too-large"));
            assert_eq!(answer.summary(), expected, "HTTP/2 {http2}, {}", ask.token);
        }
    }
    let mut endless = HEAD.to_owned();
    for _ in 0..4_000 {
        write!(endless, "x-endless: {}\r\n", "x".repeat(60)).expect("a string takes it");
    }
    let answer = raw(entry.address(), endless.as_bytes(), PATIENCE).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    assert!(entry.runs().is_empty());
}

/// Guards against bodies without bound, in both directions and with and
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
        let ask = post("stated").body("x".repeat(200_001));
        let answer = send(&client(http2), &ask, entry.address())
            .await
            .expect("answers");
        assert_eq!(answer.summary(), too_large, "HTTP/2 {http2}");
    }

    let mut chunked = format!("{HEAD}transfer-encoding: chunked\r\n\r\n").into_bytes();
    for _ in 0..25 {
        chunked.extend_from_slice(b"2710\r\n");
        chunked.extend_from_slice(&[b'x'; 10_000]);
        chunked.extend_from_slice(b"\r\n");
    }
    chunked.extend_from_slice(b"0\r\n\r\n");
    let answer = raw(entry.address(), &chunked, PATIENCE).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(answer.contains("carobdrift-outcome: unknown"), "{answer}");
    assert!(
        entry.runs().is_empty(),
        "no part of a body counts as a request"
    );

    let ask = get("response").with("stand-in-bytes", "200001");
    let answer = entry.ask(ask).await.expect("the entry answers");
    assert_eq!(
        answer.summary(),
        (502, Some("unknown"), Some("response-too-large"))
    );
}

fn impatient() -> Settings {
    Settings {
        header_timeout: Duration::from_millis(200),
        body_idle_timeout: Duration::from_millis(200),
        ..Settings::default()
    }
}

/// Guards against callers that hold connections with half a header or half a
/// body, and against targets that wait for such a body.
#[tokio::test]
async fn slow_senders_time_out() {
    let targets = vec![target(Faults::default()).await];
    let entry = Entry::with_settings(targets, |_| {}, impatient()).await;
    let time = Duration::from_secs(2);

    let begin = Instant::now();
    let half_head = raw(entry.address(), HEAD.as_bytes(), time).await;
    assert_eq!(half_head, "");
    assert!(
        begin.elapsed() < Duration::from_millis(600),
        "{:?}",
        begin.elapsed()
    );

    let half_body = format!("{HEAD}content-length: 10\r\n\r\nheat");
    let half_body = raw(entry.address(), half_body.as_bytes(), time).await;
    assert!(half_body.starts_with("HTTP/1.1 400"), "{half_body}");
    assert!(
        half_body.contains("carobdrift-reason: body-timeout"),
        "{half_body}"
    );
    assert!(
        half_body.contains("carobdrift-outcome: not-run"),
        "{half_body}"
    );

    let mut stream = format!("{HEAD}content-length: 100000\r\n\r\n").into_bytes();
    stream.extend_from_slice("x".repeat(80_000).as_bytes());
    let stream = raw(entry.address(), &stream, time).await;
    assert!(stream.starts_with("HTTP/1.1 400"), "{stream}");
    assert!(stream.contains("carobdrift-outcome: unknown"), "{stream}");
    assert!(entry.runs().is_empty());
}

/// Guards against a time limit for headers that also closes idle connections,
/// and against one that cuts a request which takes longer.
#[tokio::test]
async fn patient_callers_keep_their_connection() {
    let slow = Faults {
        late_ms: 400,
        ..Faults::default()
    };
    let targets = vec![target(slow).await];
    let entry = Entry::with_settings(targets, |_| {}, impatient()).await;
    let mut stream = TcpStream::connect(entry.address()).await.expect("loopback");
    for _ in 0..2 {
        let request = format!("{HEAD}content-length: 4\r\n\r\nheat");
        stream
            .write_all(request.as_bytes())
            .await
            .expect("it is open");
        let mut answer = vec![0; 4096];
        let length = stream.read(&mut answer).await.expect("it is open");
        let answer = String::from_utf8_lossy(&answer[..length]).into_owned();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
}

/// Guards against callers that request a large response and do not read it:
/// they would hold connections and slots of targets.
#[tokio::test]
async fn slow_readers_time_out() {
    let targets = vec![target(Faults::default()).await];
    let change = |document: &mut serde_json::Value| {
        document["bodies"]["max_response_bytes"] = 100_000_000.into();
        document["routes"][0]["deadline_ms"] = 20_000.into();
    };
    let entry = Entry::with_settings(targets, change, impatient()).await;
    let mut stream = TcpStream::connect(entry.address()).await.expect("loopback");
    let request = "GET /heats/7 HTTP/1.1\r\nhost: sheets.example\r\n\
        stand-in-bytes: 50000000\r\nstand-in-token: slow\r\n\r\n";
    stream
        .write_all(request.as_bytes())
        .await
        .expect("it is open");

    tokio::time::sleep(Duration::from_millis(200)).await;
    let while_reading = entry.in_flight();
    tokio::time::sleep(Duration::from_secs(1)).await;

    assert_eq!(while_reading, 1);
    assert_eq!(entry.in_flight(), 0);
}

/// Guards against callers that hold slots of targets past the deadline of their
/// requests by not reading, over both protocols.
#[tokio::test]
async fn a_response_that_is_not_read_ends_at_the_deadline() {
    for http2 in [false, true] {
        let entry = Entry::with_targets(vec![target(Faults::default()).await], |document| {
            document["bodies"]["max_response_bytes"] = 100_000_000.into();
        })
        .await;
        let ask = get("unread")
            .with("stand-in-bytes", "50000000")
            .with("carobdrift-deadline-ms", "700");
        let client = client(http2);
        let response = client.request(ask.request(entry.address())).await;
        let response = response.expect("the entry answers");
        let while_reading = entry.in_flight();

        tokio::time::sleep(Duration::from_secs(1)).await;

        assert_eq!(while_reading, 1, "HTTP/2 {http2}");
        assert_eq!(entry.in_flight(), 0, "HTTP/2 {http2}");
        let rest = response.into_body().collect().await;
        assert!(rest.is_err(), "HTTP/2 {http2}");
    }
}

/// Guards against more connections to a target than its document permits, and
/// against requests that are lost while they wait for one.
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
    let asks = tokens.iter().enumerate().map(|(index, token)| {
        entry.ask(if index % 2 == 0 {
            get(token)
        } else {
            post(token)
        })
    });

    let answers = futures_util::future::join_all(asks).await;

    for answer in answers {
        let answer = answer.expect("the entry answers");
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let runs = entry.runs();
    for run in &runs {
        let beside = runs
            .iter()
            .filter(|other| other.begin_us < run.begin_us && other.end_us > Some(run.begin_us));
        assert!(
            beside.count() < 3,
            "more than three run at {} us",
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
    let answer = entry.ask(get("one")).await.expect("the entry answers");
    assert_eq!(answer.status, 200);
    assert_eq!(entry.targets[0].connections(), 1);

    tokio::time::sleep(Duration::from_millis(900)).await;

    assert_eq!(entry.targets[0].connections(), 0);
}
