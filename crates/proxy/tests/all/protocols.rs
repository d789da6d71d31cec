//! Tests of HTTP messages and header fields.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use carobdrift_test_support::target::Faults;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::fixture::{Entry, client, document, get, send, send_raw};

/// Starts a target that responds to one request with these bytes; its task
/// returns the head of the request.
async fn scripted_target(response: &'static str) -> (SocketAddr, tokio::task::JoinHandle<String>) {
    scripted_target_open_for(response, Duration::ZERO).await
}

/// Starts a scripted target that keeps its connection open for a time after its
/// response.
async fn scripted_target_open_for(
    response: &'static str,
    open: Duration,
) -> (SocketAddr, tokio::task::JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback is available");
    let address = listener.local_addr().expect("the listener is bound");
    let target = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("loopback is available");
        let mut head = vec![0; 8192];
        let length = stream.read(&mut head).await.expect("a request arrives");
        stream
            .write_all(response.as_bytes())
            .await
            .expect("the entry reads");
        tokio::time::sleep(open).await;
        String::from_utf8_lossy(&head[..length]).into_owned()
    });
    (address, target)
}

/// Time to wait for the response to a raw request.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Guards against forwarded hop-by-hop fields, and against missing fields that
/// targets and callers rely on.
#[tokio::test]
async fn header_fields_are_rewritten() {
    let response = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: x-hop\r\nx-hop: 1\r\n\
        keep-alive: timeout=5\r\nx-kept: 1\r\ncarobdrift-outcome: not-run\r\n\
        carobdrift-load: 1/2\r\n\r\nok";
    let (address, target) = scripted_target(response).await;
    let entry = Entry::with_targets(Vec::new(), |text| *text = document(&[address])).await;
    let request = "GET /heats/7?lane=2 HTTP/1.1\r\nhost: sheets.example:80\r\n\
        connection: x-private, keep-alive\r\nx-private: 1\r\nte: trailers\r\n\
        upgrade: websocket\r\nproxy-authorization: Basic eA==\r\nx-kept: 1\r\n\
        x-forwarded-for: 192.0.2.7\r\ncarobdrift-retries-left: 1\r\n\
        carobdrift-request-id: abc-1\r\ncarobdrift-deadline-ms: 300\r\n\r\n";

    let response = send_raw(entry.address(), request.as_bytes(), RESPONSE_TIMEOUT).await;
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
        .expect("the request has a deadline");
    let deadline: u64 = deadline
        .split('\r')
        .next()
        .and_then(|n| n.parse().ok())
        .expect("the deadline is a number");
    assert!((200..=300).contains(&deadline), "{deadline} ms left");

    assert!(response.starts_with("HTTP/1.1 200 OK\r\n"), "{response}");
    assert!(response.ends_with("\r\n\r\nok"), "{response}");
    for field in [
        "x-kept: 1",
        "via: 1.1 entry-1",
        "carobdrift-request-id: abc-1",
    ] {
        assert!(
            response.contains(&format!("\r\n{field}\r\n")),
            "{field} in {response}"
        );
    }
    for field in [
        "x-hop",
        "keep-alive",
        "carobdrift-outcome",
        "carobdrift-load",
    ] {
        assert!(
            !response.contains(&format!("\r\n{field}")),
            "{field} in {response}"
        );
    }
}

/// Guards against a response that looks complete although its end cannot be
/// distinguished from a failure, and against bytes that are not a response.
#[tokio::test]
async fn responses_without_a_detectable_end_are_refused() {
    let cases = [
        "HTTP/1.1 200 OK\r\n\r\nthe end is the end of the connection",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok",
        "not a response\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-le",
    ];
    for case in cases {
        let (address, _target) = scripted_target(case).await;
        let entry = Entry::with_targets(Vec::new(), |text| *text = document(&[address])).await;
        let call = get("case").with_header("carobdrift-retries-left", "0");

        let response = entry.send(call).await.expect("the entry responds");

        let expected = (502, Some("unknown"), Some("target-failed"));
        assert_eq!(response.summary(), expected, "{case:?}");
    }
}

/// Guards against responses without a body that are taken for truncated
/// responses.
#[tokio::test]
async fn responses_without_a_body_are_forwarded() {
    let entry = Entry::with_faults(&[Faults::default()]).await;
    for http2 in [false, true] {
        let mut call = get("head").with_header("stand-in-bytes", "5000");
        call.method = http::Method::HEAD;

        let response = send(&client(http2), &call, entry.address())
            .await
            .expect("the entry responds");

        assert_eq!(response.summary(), (200, None, None), "HTTP/2 {http2}");
        assert!(response.body.is_empty());
        let next = entry.send(get("next")).await.expect("the entry responds");
        assert!(next.echoes("next", ""));
    }
}

/// Guards against accepting requests that name no valid service, or whose
/// response could be truncated without notice.
#[tokio::test]
async fn requests_without_a_valid_service_or_version_are_refused() {
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
        let response = send_raw(entry.address(), request.as_bytes(), RESPONSE_TIMEOUT).await;
        assert!(
            response.contains(&format!(" {status} ")),
            "{request:?}: {response}"
        );
        let field = format!("carobdrift-reason: {reason}\r\n");
        assert!(response.contains(&field), "{request:?}: {response}");
        assert!(
            response.contains("carobdrift-outcome: not-run\r\n"),
            "{request:?}: {response}"
        );
    }
    assert!(entry.runs().is_empty());
}

/// Guards against a stalled response that keeps its caller waiting after the
/// deadline, or that looks complete.
#[tokio::test]
async fn a_stalled_response_ends_at_the_deadline() {
    let cases = [
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nheat",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nheat\r\n",
    ];
    for case in cases {
        for http2 in [false, true] {
            let open = Duration::from_secs(3);
            let (address, _target) = scripted_target_open_for(case, open).await;
            let entry = Entry::with_targets(Vec::new(), |text| *text = document(&[address])).await;
            let call = get("case").with_header("carobdrift-deadline-ms", "200");
            let begin = Instant::now();

            let response = send(&client(http2), &call, entry.address()).await;

            assert!(response.is_err(), "{case:?}, HTTP/2 {http2}: {response:?}");
            let took = begin.elapsed();
            assert!(took < Duration::from_millis(700), "{case:?}: {took:?}");
            assert_eq!(entry.in_flight(), 0);
        }
    }
}
