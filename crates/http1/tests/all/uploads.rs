//! Responses during an upload whose connection is reset or closed. The cases are those
//! of `docs/design/responses.md`.

use std::net::SocketAddr;
use std::time::Duration;

use carobdrift_http1::encode_request;
use http::{HeaderMap, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::fixture::connect;

/// Size of an upload that the socket buffers of loopback can't hold.
const LONG_UPLOAD_BYTES: usize = 32 * 1024 * 1024;

/// Starts a peer that reads a part of a request, responds without a length, and
/// resets the connection 100 ms later, while the request is still being sent.
async fn resetting_peer(raw_response: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut part = [0; 1024];
        stream.read_exact(&mut part).await.unwrap();
        stream.write_all(raw_response).await.unwrap();
        tokio::time::sleep(Duration::from_millis(100)).await;
        let socket = socket2::SockRef::from(&stream);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    });
    address
}

fn upload() -> bytes::Bytes {
    let body = vec![0; LONG_UPLOAD_BYTES];
    encode_request(&Method::POST, "/", &HeaderMap::new(), &body).freeze()
}

/// Guards against a failed write that hides a reset before the first part of the
/// body is complete: the part that arrived was taken for the whole body.
#[tokio::test]
async fn a_reset_during_an_upload_is_an_error_within_the_first_part() {
    for round in 0..5 {
        let address = resetting_peer(b"HTTP/1.1 200 OK\r\n\r\na part of it").await;
        let mut connection = connect(address).await;
        let mut sent = 0;

        let response = connection
            .start(&Method::POST, upload(), 64 * 1024, &mut sent)
            .await;

        assert!(response.is_err(), "round {round}: {response:?}");
        assert!(sent < LONG_UPLOAD_BYTES);
        assert!(!connection.is_reusable(Duration::ZERO));
    }
}

/// Guards against a failed write that hides a reset after the first part of the body
/// was returned: the part that arrived was taken for the whole body.
#[tokio::test]
async fn a_reset_during_an_upload_is_an_error_after_the_first_part() {
    for round in 0..5 {
        let address = resetting_peer(b"HTTP/1.1 200 OK\r\n\r\na part of it").await;
        let mut connection = connect(address).await;
        let mut sent = 0;
        let response = connection
            .start(&Method::POST, upload(), 4, &mut sent)
            .await;
        let response = response.unwrap();
        assert_eq!(response.body, "a part of it");

        let part = connection.next_part().await;

        assert!(part.is_err(), "round {round}: {part:?}");
        assert!(!connection.is_reusable(Duration::ZERO));
    }
}

/// Guards against refusing a response whose stated length arrived completely
/// although the peer then resets the connection during the upload.
#[tokio::test]
async fn a_reset_during_an_upload_leaves_a_stated_length_complete() {
    let address = resetting_peer(b"HTTP/1.1 413 Large\r\ncontent-length: 2\r\n\r\nno").await;
    let mut connection = connect(address).await;
    let mut sent = 0;

    let response = connection
        .start(&Method::POST, upload(), 64 * 1024, &mut sent)
        .await
        .unwrap();

    assert_eq!(
        (response.status.as_u16(), &response.body[..]),
        (413, &b"no"[..])
    );
    assert!(!connection.is_reusable(Duration::ZERO));
}

/// Guards against losing a response without a length that ends with an orderly close
/// during the upload.
#[tokio::test]
async fn an_orderly_close_during_an_upload_ends_a_body_without_a_length() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut part = [0; 1024];
        stream.read_exact(&mut part).await.unwrap();
        stream
            .write_all(b"HTTP/1.1 200 OK\r\n\r\nall of it")
            .await
            .unwrap();
        stream.shutdown().await.unwrap();
        tokio::time::sleep(Duration::from_secs(30)).await;
    });
    let mut connection = connect(address).await;
    let mut sent = 0;

    let response = connection
        .start(&Method::POST, upload(), 64 * 1024, &mut sent)
        .await;

    assert_eq!(response.unwrap().body, "all of it");
    assert!(!connection.is_reusable(Duration::ZERO));
}
