//! Client connections against peers that misbehave.

use std::time::Duration;

use carobdrift_http1::{ExchangeError, Response, encode_request};
use http::{HeaderMap, Method};

use crate::fixture::{Then, connect, peer};

async fn exchange(
    answer: &'static [u8],
    then: Then,
) -> (
    Result<Response, ExchangeError>,
    carobdrift_http1::Connection,
) {
    let address = peer(answer, then).await;
    let mut connection = connect(address).await;
    let request = encode_request(&Method::GET, "/", &HeaderMap::new(), &[]);
    let mut sent = 0;
    let response = connection.exchange(&Method::GET, &request, &mut sent).await;
    (response, connection)
}

/// Guards against the loss of a connection that could be used again.
#[tokio::test]
async fn a_clean_exchange_leaves_the_connection_reusable() {
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

    let (response, mut connection) = exchange(answer, Then::Keep).await;

    assert_eq!(response.unwrap().body, "ok");
    assert!(connection.is_reusable(Duration::ZERO));
}

/// Guards against bytes of a second answer reaching the next request.
#[tokio::test]
async fn bytes_after_an_answer_spoil_the_connection() {
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n";

    let (response, mut connection) = exchange(answer, Then::Keep).await;

    assert_eq!(response.unwrap().body, "ok");
    assert!(!connection.is_reusable(Duration::ZERO));
}

/// Guards against refusing a whole answer that has no stated length.
#[tokio::test]
async fn an_answer_without_a_length_ends_with_its_connection() {
    let answer = b"HTTP/1.1 200 OK\r\n\r\nall of it";

    let (response, mut connection) = exchange(answer, Then::Close).await;

    assert_eq!(response.unwrap().body, "all of it");
    assert!(!connection.is_reusable(Duration::ZERO));
}

/// Guards against taking a part of an answer for the whole.
#[tokio::test]
async fn an_answer_without_a_length_that_is_reset_is_not_whole() {
    let answer = b"HTTP/1.1 200 OK\r\n\r\na part of it";

    let (response, _) = exchange(answer, Then::Reset).await;

    assert!(response.is_err());
}

/// Guards against passing on an answer that ends early.
#[tokio::test]
async fn answers_that_end_early_are_errors() {
    let cases: [&[u8]; 4] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-le",
        b"not an answer\r\n\r\n",
    ];
    for answer in cases {
        let (response, _) = exchange(answer, Then::Close).await;

        let error = response.unwrap_err();
        assert!(error.sent > 0, "the request was sent");
    }
}

/// Guards against wrong bounds of chunks.
#[tokio::test]
async fn chunks_are_joined() {
    let answer = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
        3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nt: v\r\n\r\n";

    let (response, mut connection) = exchange(answer, Then::Keep).await;

    let response = response.unwrap();
    assert_eq!(response.body, "abcde");
    assert!(!response.headers.contains_key("transfer-encoding"));
    assert!(connection.is_reusable(Duration::ZERO));
}

/// Guards against two statements of a length, which hide a second message.
#[tokio::test]
async fn ambiguous_framing_is_refused() {
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\nok";

    let (response, _) = exchange(answer, Then::Keep).await;

    assert!(response.is_err());
}

/// Guards against other bytes where the rest of a long body is due.
#[tokio::test]
async fn an_answer_before_the_whole_request_ends_the_connection() {
    let answer = b"HTTP/1.1 413 Too Large\r\ncontent-length: 0\r\n\r\n";
    let address = peer(answer, Then::Keep).await;
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

/// Guards against use of a connection that its peer is about to close.
#[tokio::test]
async fn the_stated_idle_time_bounds_the_reuse() {
    let answer = b"HTTP/1.1 200 OK\r\nkeep-alive: timeout=3\r\ncontent-length: 0\r\n\r\n";

    let (response, mut connection) = exchange(answer, Then::Keep).await;

    assert!(response.is_ok());
    assert!(connection.is_reusable(Duration::from_secs(1)));
    assert!(!connection.is_reusable(Duration::from_secs(4)));
}

/// Guards against "not run" for a request that may have arrived: without a
/// connection nothing is sent.
#[tokio::test]
async fn a_closed_kept_connection_is_noticed_before_the_next_send() {
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

    let (response, mut connection) = exchange(answer, Then::Close).await;
    assert!(response.is_ok());
    tokio::time::sleep(Duration::from_millis(50)).await;

    assert!(!connection.is_reusable(Duration::ZERO));
}
