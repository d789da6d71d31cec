//! Mutated messages from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use carobdrift_http1::{Connection, encode_request};
use carobdrift_test_support::fuzz;
use http::{HeaderMap, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::fixture::{Echo, connect, server};
use crate::reference;

const SEED: u64 = 20_261_205;

const INPUTS: usize = 1500;

/// Returns a number of the environment, by which longer runs with other seeds are
/// started by hand, or its default.
fn setting(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.map_or(default, |text| text.parse().unwrap())
}

/// Response of a peer: its bytes, the place at which they are sent in two parts, and
/// whether the connection is reset after them.
#[derive(Debug, Clone)]
struct Answer {
    bytes: Vec<u8>,
    cut: usize,
    resets: bool,
}

/// Starts a peer that answers each connection with the next of the responses.
async fn peer(answers: Vec<Answer>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for answer in answers {
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.set_nodelay(true).unwrap();
            let mut request = [0; 64];
            let _ = stream.read(&mut request).await;
            // The client may have closed the connection at the first invalid byte.
            for part in [&answer.bytes[..answer.cut], &answer.bytes[answer.cut..]] {
                let _ = stream.write_all(part).await;
                tokio::task::yield_now().await;
            }
            if answer.resets {
                let socket = socket2::SockRef::from(&stream);
                socket.set_linger(Some(Duration::ZERO)).unwrap();
            } else {
                let _ = stream.shutdown().await;
            }
        }
    });
    address
}

/// Reads the response to a GET request; returns its status and body if it is complete.
async fn read(connection: &mut Connection) -> Option<(u16, Vec<u8>)> {
    let request = encode_request(&Method::GET, "/", &HeaderMap::new(), &[]).freeze();
    let mut sent = 0;
    let response = connection.start(&Method::GET, request, 4, &mut sent).await;
    let response = response.ok()?;
    let mut body = response.body.to_vec();
    while let Some(part) = connection.next_part().await.ok()? {
        body.extend_from_slice(&part);
    }
    Some((response.status.as_u16(), body))
}

/// Guards against a response that panics, blocks or is not what its bytes say: a
/// response is accepted exactly if a second reading finds it complete and well-formed,
/// with the same status and body. After a reset it may be refused.
#[tokio::test]
async fn mutated_responses_are_read_or_refused() {
    let samples = [
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n0123456789",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n01234\r\n5;x=y\r\n56789\r\n0\r\nt: v\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nkeep-alive: timeout=5\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n0123456789",
        "HTTP/1.0 200 OK\r\nconnection: keep-alive\r\ncontent-length: 3\r\n\r\nabc",
        "HTTP/1.1 599 \u{e9}\r\ncontent-length:2\r\nx:\r\ny: \t z \r\n\r\nok",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\nx: y\r\n\r\nok",
        "HTTP/1.1 103 Hints\r\nlink: x\r\n\r\nHTTP/1.1 200\r\ntransfer-encoding: chunked\r\n\r\n2 ;x\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n\r\n\r\n",
    ]
    .map(|sample| sample.as_bytes().to_vec());
    let seed = setting("CAROBDRIFT_FUZZ_SEED", SEED);
    let count = setting("CAROBDRIFT_FUZZ_INPUTS", INPUTS as u64);
    let inputs = fuzz::inputs(seed, &samples, usize::try_from(count).unwrap());
    let answers: Vec<_> = inputs
        .into_iter()
        .enumerate()
        .map(|(index, bytes)| Answer {
            cut: index % (bytes.len() + 1),
            resets: index % 5 == 0,
            bytes,
        })
        .collect();
    let address = peer(answers.clone()).await;
    let mut accepted = 0;

    for answer in answers {
        let mut connection = connect(address).await;
        let response = tokio::time::timeout(Duration::from_secs(5), read(&mut connection)).await;

        let text = String::from_utf8_lossy(&answer.bytes);
        let response = response.unwrap_or_else(|_| panic!("seed {seed}, no end: {text:?}"));
        let expected = reference::read(&answer.bytes, !answer.resets);
        if response.is_some() || !answer.resets {
            assert_eq!(response, expected, "seed {seed}, {answer:?}: {text:?}");
        }
        accepted += usize::from(response.is_some());
    }
    println!("seed {seed}: {accepted} of {count} responses accepted");
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
