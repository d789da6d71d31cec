//! Client connections to peers that end exchanges in different ways, some of
//! them invalid.

use std::time::Duration;

use carobdrift_http1::{ExchangeError, Response, encode_request};
use http::{HeaderMap, Method};

use crate::fixture::{Ending, connect, peer};

async fn exchange(
    raw_response: &'static [u8],
    ending: Ending,
) -> (
    Result<Response, ExchangeError>,
    carobdrift_http1::Connection,
) {
    let address = peer(raw_response, ending).await;
    let mut connection = connect(address).await;
    let request = encode_request(&Method::GET, "/", &HeaderMap::new(), &[]);
    let mut sent = 0;
    let response = connection.exchange(&Method::GET, &request, &mut sent).await;
    (response, connection)
}

/// Guards against discarding a reusable connection.
#[tokio::test]
async fn a_clean_exchange_leaves_the_connection_reusable() {
    let raw_response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

    let (response, mut connection) = exchange(raw_response, Ending::Keep).await;

    assert_eq!(response.unwrap().body, "ok");
    assert!(connection.is_reusable(Duration::ZERO));
}

/// Guards against surplus bytes being read as the response to the next request.
#[tokio::test]
async fn surplus_bytes_after_a_response_prevent_reuse() {
    let raw_response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n";

    let (response, mut connection) = exchange(raw_response, Ending::Keep).await;

    assert_eq!(response.unwrap().body, "ok");
    assert!(!connection.is_reusable(Duration::ZERO));
}

/// Guards against refusing a complete response that has no stated length.
#[tokio::test]
async fn a_response_without_a_length_ends_with_its_connection() {
    let raw_response = b"HTTP/1.1 200 OK\r\n\r\nall of it";

    let (response, mut connection) = exchange(raw_response, Ending::Close).await;

    assert_eq!(response.unwrap().body, "all of it");
    assert!(!connection.is_reusable(Duration::ZERO));
}

/// Guards against a truncated response that is taken for a complete one.
#[tokio::test]
async fn a_response_without_a_length_that_is_reset_is_an_error() {
    let raw_response = b"HTTP/1.1 200 OK\r\n\r\na part of it";

    let (response, _) = exchange(raw_response, Ending::Reset).await;

    assert!(response.is_err());
}

/// Guards against forwarding a truncated response.
#[tokio::test]
async fn truncated_responses_are_errors() {
    let cases: [&[u8]; 4] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-le",
        b"not an answer\r\n\r\n",
    ];
    for raw_response in cases {
        let (response, _) = exchange(raw_response, Ending::Close).await;

        let error = response.unwrap_err();
        assert!(error.sent > 0, "the request was sent");
    }
}

/// Guards against errors at chunk boundaries.
#[tokio::test]
async fn chunks_are_joined() {
    let raw_response = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
        3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nt: v\r\n\r\n";

    let (response, mut connection) = exchange(raw_response, Ending::Keep).await;

    let response = response.unwrap();
    assert_eq!(response.body, "abcde");
    assert!(!response.headers.contains_key("transfer-encoding"));
    assert!(connection.is_reusable(Duration::ZERO));
}

/// Guards against contradictory framing fields, which permit response
/// smuggling.
#[tokio::test]
async fn ambiguous_framing_is_refused() {
    let raw_response =
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\nok";

    let (response, _) = exchange(raw_response, Ending::Keep).await;

    assert!(response.is_err());
}

/// Guards against the reuse of a connection whose request body was sent only in
/// part: the peer would read the next request as the rest of that body.
#[tokio::test]
async fn a_response_before_the_end_of_the_request_prevents_reuse() {
    let raw_response = b"HTTP/1.1 413 Too Large\r\ncontent-length: 0\r\n\r\n";
    let address = peer(raw_response, Ending::Keep).await;
    let mut connection = connect(address).await;
    let body = vec![0; 32 * 1024 * 1024];
    let request = encode_request(&Method::POST, "/", &HeaderMap::new(), &body);
    let mut sent = 0;

    let response = connection
        .exchange(&Method::POST, &request, &mut sent)
        .await;

    assert_eq!(response.unwrap().status, 413);
    assert!(sent < request.len());
    assert!(!connection.is_reusable(Duration::ZERO));
}

/// Guards against the reuse of a connection that the peer is about to close.
#[tokio::test]
async fn the_announced_idle_timeout_limits_reuse() {
    let raw_response = b"HTTP/1.1 200 OK\r\nkeep-alive: timeout=3\r\ncontent-length: 0\r\n\r\n";

    let (response, mut connection) = exchange(raw_response, Ending::Keep).await;

    assert!(response.is_ok());
    assert!(connection.is_reusable(Duration::from_secs(1)));
    assert!(!connection.is_reusable(Duration::from_secs(4)));
}

/// Guards against sending a request on a connection that the peer has closed:
/// the request would then count as possibly run.
#[tokio::test]
async fn a_connection_closed_by_the_peer_is_not_reused() {
    let raw_response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

    let (response, mut connection) = exchange(raw_response, Ending::Close).await;
    assert!(response.is_ok());
    tokio::time::sleep(Duration::from_millis(50)).await;

    assert!(!connection.is_reusable(Duration::ZERO));
}
