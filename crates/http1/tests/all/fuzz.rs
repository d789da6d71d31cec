//! Mutated messages from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use carobdrift_http1::encode_request;
use carobdrift_test_support::fuzz;
use http::{HeaderMap, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::fixture::{Echo, connect, server};

const SEED: u64 = 20_261_205;

const INPUTS: usize = 1500;

/// Starts a peer that answers each connection with the next of the responses and
/// closes it.
async fn peer(responses: Vec<Vec<u8>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for response in responses {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut request = [0; 64];
            let _ = stream.read(&mut request).await;
            // The client may have closed the connection at the first invalid byte.
            let _ = stream.write_all(&response).await;
            let _ = stream.shutdown().await;
        }
    });
    address
}

/// Guards against a response that panics, blocks or is not what its bytes say: a
/// body that is returned as complete must have arrived completely.
#[tokio::test]
async fn mutated_responses_are_read_or_refused() {
    let samples = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n0123456789".to_vec(),
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n01234\r\n5;x=y\r\n56789\r\n0\r\nt: v\r\n\r\n"
            .to_vec(),
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nkeep-alive: timeout=5\r\n\r\n".to_vec(),
        b"HTTP/1.1 200 OK\r\n\r\n0123456789".to_vec(),
    ];
    let inputs = fuzz::inputs(SEED, &samples, INPUTS);
    let address = peer(inputs.clone()).await;

    for input in inputs {
        let mut connection = connect(address).await;
        let request = encode_request(&Method::GET, "/", &HeaderMap::new(), &[]).freeze();
        let mut sent = 0;
        let exchange = async {
            let response = connection
                .start(&Method::GET, request, 4, &mut sent)
                .await
                .ok()?;
            let mut length = response.body.len();
            while let Some(part) = connection.next_part().await.ok()? {
                length += part.len();
            }
            Some(length)
        };
        let length = tokio::time::timeout(Duration::from_secs(5), exchange).await;

        let text = String::from_utf8_lossy(&input);
        let length = length.unwrap_or_else(|_| panic!("no end: {text:?}"));
        assert!(length.unwrap_or_default() <= input.len(), "{text:?}");
    }
}

/// Guards against a request that panics or stops the server, and against a request
/// that runs although another one was smuggled inside it.
#[tokio::test]
async fn mutated_requests_are_answered_or_refused() {
    let samples = [
        b"GET /0 HTTP/1.1\r\nhost: meet.example\r\nconnection: close\r\n\r\n".to_vec(),
        b"POST /0 HTTP/1.1\r\ncontent-length: 5\r\nconnection: close\r\n\r\nabcde".to_vec(),
        b"POST /0 HTTP/1.1\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n5\r\nabcde\r\n0\r\n\r\n"
            .to_vec(),
    ];
    for input in fuzz::inputs(SEED, &samples, INPUTS) {
        let echo = Arc::new(Echo::default());
        let mut stream = server(Arc::clone(&echo), CancellationToken::new()).await;
        stream.write_all(&input).await.unwrap();
        let _ = stream.shutdown().await;
        let mut response = Vec::new();
        let read = stream.read_to_end(&mut response);
        let read = tokio::time::timeout(Duration::from_secs(5), read).await;

        let text = String::from_utf8_lossy(&input);
        assert!(read.is_ok(), "no end: {text:?}");
        let requests = text.matches("HTTP/1.").count().max(1);
        assert!(echo.started.load(Ordering::SeqCst) <= requests, "{text:?}");
    }
}
