use std::net::SocketAddr;
use std::time::{Duration, Instant};

use carobdrift_test_support::target::Faults;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::fixture::{Entry, client, document, get, raw, send};

/// A target that answers one request with these bytes, and returns the head
/// that it got.
async fn scripted(answer: &'static str) -> (SocketAddr, tokio::task::JoinHandle<String>) {
    scripted_until(answer, Duration::ZERO).await
}

/// A scripted target that keeps its connection open for a time after its
/// answer.
async fn scripted_until(
    answer: &'static str,
    open: Duration,
) -> (SocketAddr, tokio::task::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("bound");
    let target = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("loopback");
        let mut head = vec![0; 8192];
        let length = stream.read(&mut head).await.expect("a request");
        stream
            .write_all(answer.as_bytes())
            .await
            .expect("the entry reads");
        tokio::time::sleep(open).await;
        String::from_utf8_lossy(&head[..length]).into_owned()
    });
    (address, target)
}

const TIME: Duration = Duration::from_millis(300);

/// Guards against header fields of one connection that leak into another, and
/// against requests without what targets rely on.
#[tokio::test]
async fn header_fields_follow_the_rules() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: x-hop\r\nx-hop: 1\r\n\
        keep-alive: timeout=5\r\nx-kept: 1\r\ncarobdrift-outcome: not-run\r\n\
        carobdrift-load: 1/2\r\n\r\nok";
    let (address, target) = scripted(answer).await;
    let entry = Entry::with_targets(Vec::new(), |text| *text = document(&[address])).await;
    let request = "GET /heats/7?lane=2 HTTP/1.1\r\nhost: sheets.example:80\r\n\
        connection: x-private, keep-alive\r\nx-private: 1\r\nte: trailers\r\n\
        upgrade: websocket\r\nproxy-authorization: Basic eA==\r\nx-kept: 1\r\n\
        x-forwarded-for: 192.0.2.7\r\ncarobdrift-retries-left: 1\r\n\
        carobdrift-request-id: abc-1\r\ncarobdrift-deadline-ms: 300\r\n\r\n";

    let answer = raw(entry.address(), request.as_bytes(), TIME).await;
    let head = target.await.expect("the target got the request");

    assert!(
        head.starts_with("GET /heats/7?lane=2 HTTP/1.1\r\n"),
        "{head}"
    );
    let expected = [
        "host: sheets.example:80",
        "x-kept: 1",
        "x-forwarded-for: 192.0.2.7, 127.0.0.1",
        "via: 1.1 entry-1",
        "carobdrift-request-id: abc-1",
        "carobdrift-retries-left: 1",
    ];
    for field in expected {
        assert!(
            head.contains(&format!("\r\n{field}\r\n")),
            "{field} in {head}"
        );
    }
    let removed = [
        "connection",
        "x-private",
        "te:",
        "upgrade",
        "proxy-authorization",
        "content-length",
        "transfer-encoding",
    ];
    for field in removed {
        assert!(!head.contains(&format!("\r\n{field}")), "{field} in {head}");
    }
    let deadline = head
        .split("carobdrift-deadline-ms: ")
        .nth(1)
        .expect("a deadline");
    let deadline: u64 = deadline
        .split('\r')
        .next()
        .and_then(|n| n.parse().ok())
        .expect("ms");
    assert!((200..=300).contains(&deadline), "{deadline} ms left");

    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    assert!(answer.ends_with("\r\n\r\nok"), "{answer}");
    for field in [
        "x-kept: 1",
        "via: 1.1 entry-1",
        "carobdrift-request-id: abc-1",
    ] {
        assert!(
            answer.contains(&format!("\r\n{field}\r\n")),
            "{field} in {answer}"
        );
    }
    for field in [
        "x-hop",
        "keep-alive",
        "carobdrift-outcome",
        "carobdrift-load",
    ] {
        assert!(
            !answer.contains(&format!("\r\n{field}")),
            "{field} in {answer}"
        );
    }
}

/// Guards against a response that looks complete although its end can't be
/// told from a failure, or is not a response at all.
#[tokio::test]
async fn responses_without_a_certain_end_are_refused() {
    let cases = [
        "HTTP/1.1 200 OK\r\n\r\nthe end is the end of the connection",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok",
        "not a response\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-le",
    ];
    for case in cases {
        let (address, _target) = scripted(case).await;
        let entry = Entry::with_targets(Vec::new(), |text| *text = document(&[address])).await;
        let ask = get("case").with("carobdrift-retries-left", "0");

        let answer = entry.ask(ask).await.expect("the entry answers");

        let expected = (502, Some("unknown"), Some("target-failed"));
        assert_eq!(answer.summary(), expected, "{case:?}");
    }
}

/// Guards against responses without a body that are taken for truncated ones.
#[tokio::test]
async fn responses_without_a_body_pass() {
    let entry = Entry::with_faults(&[Faults::default()]).await;
    for http2 in [false, true] {
        let mut ask = get("head").with("stand-in-bytes", "5000");
        ask.method = http::Method::HEAD;

        let answer = send(&client(http2), &ask, entry.address())
            .await
            .expect("answers");

        assert_eq!(answer.summary(), (200, None, None), "HTTP/2 {http2}");
        assert!(answer.body.is_empty());
        let next = entry.ask(get("next")).await.expect("the entry answers");
        assert!(next.is_own("next", ""));
    }
}

/// Guards against requests that are accepted although nothing says for which
/// service they are, or whose response could end without notice.
#[tokio::test]
async fn unserved_requests_are_refused() {
    let entry = Entry::with_faults(&[Faults::default()]).await;
    let cases = [
        (
            "GET /heats/7 HTTP/1.1\r\nhost: nowhere.example\r\n\r\n",
            "404",
            "no-service",
        ),
        ("GET /heats/7 HTTP/1.1\r\n\r\n", "400", "host"),
        (
            "GET /heats/7 HTTP/1.1\r\nhost: sheets.a\r\nhost: sheets.b\r\n\r\n",
            "400",
            "host",
        ),
        (
            "GET /heats/7 HTTP/1.0\r\nhost: sheets.example\r\n\r\n",
            "400",
            "http-version",
        ),
        (
            "GET /heats/7 HTTP/1.1\r\nhost: Sheets!.example\r\n\r\n",
            "400",
            "service-name",
        ),
    ];
    for (request, status, reason) in cases {
        let answer = raw(entry.address(), request.as_bytes(), TIME).await;
        assert!(
            answer.contains(&format!(" {status} ")),
            "{request:?}: {answer}"
        );
        let field = format!("carobdrift-reason: {reason}\r\n");
        assert!(answer.contains(&field), "{request:?}: {answer}");
        assert!(
            answer.contains("carobdrift-outcome: not-run\r\n"),
            "{request:?}: {answer}"
        );
    }
    assert!(entry.runs().is_empty());
}

/// Guards against a response that stalls in its middle and holds its caller
/// past the deadline, or then looks complete.
#[tokio::test]
async fn a_response_that_stalls_ends_at_the_deadline() {
    let cases = [
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nheat",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nheat\r\n",
    ];
    for case in cases {
        for http2 in [false, true] {
            let open = Duration::from_secs(3);
            let (address, _target) = scripted_until(case, open).await;
            let entry = Entry::with_targets(Vec::new(), |text| *text = document(&[address])).await;
            let ask = get("case").with("carobdrift-deadline-ms", "200");
            let begin = Instant::now();

            let answer = send(&client(http2), &ask, entry.address()).await;

            assert!(answer.is_err(), "{case:?}, HTTP/2 {http2}: {answer:?}");
            let took = begin.elapsed();
            assert!(took < Duration::from_millis(700), "{case:?}: {took:?}");
            assert_eq!(entry.in_flight(), 0);
        }
    }
}
