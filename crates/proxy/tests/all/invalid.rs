//! Responses of targets that are not complete and well-formed. The cases are those of
//! `docs/design/responses.md`.

use std::net::SocketAddr;
use std::time::Duration;

use carobdrift_test_support::target::Faults;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::fixture::{Entry, Response, client, document, get, post, send, target};

/// Size of an upload that the socket buffers of loopback can't hold.
const LONG_UPLOAD_BYTES: usize = 12 * 1024 * 1024;

/// Behaviour of a target after it sent its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// Keeps the connection open for further requests.
    Keep,
    /// Closes the connection.
    Close,
    /// Resets the connection 100 ms later.
    Reset,
}

/// Starts a target that responds to each request with these parts, 30 ms apart, before
/// it reads the body.
async fn raw_target(parts: &'static [&'static [u8]], ending: Ending) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(respond(stream, parts, ending));
        }
    });
    address
}

async fn respond(mut stream: TcpStream, parts: &[&[u8]], ending: Ending) {
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            match stream.read_u8().await {
                Ok(byte) => head.push(byte),
                Err(_) => return,
            }
        }
        for (index, part) in parts.iter().enumerate() {
            if index > 0 {
                tokio::time::sleep(Duration::from_millis(30)).await;
            }
            if stream.write_all(part).await.is_err() {
                return;
            }
        }
        match ending {
            Ending::Keep => {}
            Ending::Close => return,
            Ending::Reset => {
                tokio::time::sleep(Duration::from_millis(100)).await;
                let socket = socket2::SockRef::from(&stream);
                socket.set_linger(Some(Duration::ZERO)).unwrap();
                return;
            }
        }
    }
}

/// Starts an entry with a target at each of the addresses, in this order.
async fn entry(addresses: &[SocketAddr]) -> Entry {
    let targets = document(addresses)["targets"].clone();
    Entry::with_targets(Vec::new(), |document| {
        document["targets"] = targets;
        document["bodies"]["max_request_bytes"] = json!(64 * 1024 * 1024);
        document["routes"][1]["deadline_ms"] = json!(5000);
    })
    .await
}

fn summary(response: &Result<Response, String>) -> (u16, String) {
    match response {
        Ok(response) => {
            let body = String::from_utf8_lossy(&response.body).into_owned();
            (response.status.as_u16(), body)
        }
        Err(error) => (0, error.clone()),
    }
}

/// Guards against an invalid response that reaches the caller of a request that must
/// not be repeated.
#[tokio::test]
async fn invalid_responses_get_502() {
    let responses: [&'static [&'static [u8]]; 24] = [
        &[b"HTTP/1.1 000 None\r\ncontent-length: 2\r\n\r\nok"],
        &[b"HTTP/1.1 099 Low\r\ncontent-length: 2\r\n\r\nok"],
        &[b"HTTP/1.1 600 High\r\ncontent-length: 2\r\n\r\nok"],
        &[b"HTTP/1.1 999 High\r\ncontent-length: 2\r\n\r\nok"],
        &[b"HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n"],
        &[b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx y: z\r\n\r\nok"],
        &[b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx : z\r\n\r\nok"],
        &[b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx\x01: z\r\n\r\nok"],
        &[b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\nx: z\r\n\r\nok"],
        &[b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx: y\r\n z\r\n\r\nok"],
        &[b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx: y\rz\r\n\r\nok"],
        &[b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx: y\nz: y\r\n\r\nok"],
        &[b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 2\r\n\r\nok"],
        &[b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 1\r\n\r\nok"],
        &[b"HTTP/1.1 200 OK\r\ncontent-length: 2, 2\r\n\r\nok"],
        &[b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"],
        &[b"HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nok"],
        &[b"HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"],
        &[b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n\r\n\r\n"],
        &[b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2 \r\nok\r\n0\r\n\r\n"],
        &[b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nx y: z\r\n\r\n"],
        &[b"HTTP/1.1 200 OK\r\n\r\nno length"],
        &[b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r", b"\n\r\npart"],
        &[b"HTTP/1.1 102 Processing\r\n\r\n"],
    ];
    let mut passed_on = Vec::new();
    for parts in responses {
        let entry = entry(&[raw_target(parts, Ending::Close).await]).await;

        let response = entry.send(post("invalid")).await;

        let text = String::from_utf8_lossy(parts[0]);
        // A response that is cut short after its head was passed on is broken off.
        let is_refused = match &response {
            Ok(response) => response.status == 502,
            Err(_) => parts.len() > 1,
        };
        if !is_refused {
            passed_on.push(format!("{text:?} as {:?}", summary(&response)));
        }
    }
    assert!(passed_on.is_empty(), "{passed_on:#?}");
}

/// Guards against a head that breaks off and reaches the caller as a response with an
/// empty or short body, whether its target closes the connection or resets it.
#[tokio::test]
async fn heads_that_break_off_get_502() {
    const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 12\r\nx: y\r\n\r\n";
    let mut passed_on = Vec::new();
    for length in [1, 15, 17, 36, 37, HEAD.len() - 2, HEAD.len() - 1] {
        for ending in [Ending::Close, Ending::Reset] {
            let parts: &'static [&'static [u8]] = vec![&HEAD[..length]].leak();
            let entry = entry(&[raw_target(parts, ending).await]).await;

            let response = entry.send(post("head")).await;

            if !matches!(&response, Ok(response) if response.status == 502) {
                passed_on.push(format!("{length}, {ending:?}: {:?}", summary(&response)));
            }
        }
    }
    assert!(passed_on.is_empty(), "{passed_on:#?}");
}

/// Guards against a response whose head was passed on and that is ended as complete
/// although the rest of its body is not valid.
#[tokio::test]
async fn an_invalid_rest_breaks_off_the_response() {
    let responses: [&'static [&'static [u8]]; 3] = [
        &[
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
            b"\r\n\r\n",
        ],
        &[
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
            b"0\r\nx y: z\r\n\r\n",
        ],
        &[
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
            b"2 \r\nok\r\n0\r\n\r\n",
        ],
    ];
    for parts in responses {
        let entry = entry(&[raw_target(parts, Ending::Keep).await]).await;

        let response = entry.send(post("rest")).await;

        let text = String::from_utf8_lossy(parts[1]);
        assert!(response.is_err(), "{text:?}: {:?}", summary(&response));
    }
}

/// Guards against a drain that waits for ever for the rest of a response, and against
/// ending that response as if it were complete.
#[tokio::test]
async fn a_drain_breaks_off_a_response_whose_rest_does_not_arrive() {
    let parts: &[&[u8]] = &[b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart"];
    let entry = entry(&[raw_target(parts, Ending::Keep).await]).await;
    let address = entry.address();
    let caller = tokio::spawn(async move { send(&client(false), &get("rest"), address).await });
    tokio::time::sleep(Duration::from_millis(80)).await;

    let ended = entry.listener.drain(Duration::from_millis(200)).await;

    assert!(!ended);
    let response = caller.await.expect("the caller task does not panic");
    assert!(response.is_err(), "{:?}", summary(&response));
}

/// Guards against the part of a response that arrived before a reset during an upload,
/// passed on as the complete response.
#[tokio::test]
async fn a_reset_during_an_upload_is_no_complete_response() {
    let responses: [&'static [&'static [u8]]; 3] = [
        &[b"HTTP/1.1 200 OK\r\n\r\npart"],
        &[b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart"],
        &[b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n"],
    ];
    for parts in responses {
        let entry = entry(&[raw_target(parts, Ending::Reset).await]).await;

        let response = entry
            .send(post("upload").body(vec![0; LONG_UPLOAD_BYTES]))
            .await;

        let text = String::from_utf8_lossy(parts[0]);
        let is_error = response
            .as_ref()
            .map_or(true, |response| response.status == 502);
        assert!(is_error, "{text:?}: {:?}", summary(&response));
    }
}

/// Guards against an invalid response that costs a request which another target can
/// answer.
#[tokio::test]
async fn another_target_answers_after_an_invalid_response() {
    let invalid: &[&[u8]] = &[b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\nx: z\r\n\r\nok"];
    let valid = target(Faults::default()).await;
    let entry = entry(&[raw_target(invalid, Ending::Keep).await, valid.address()]).await;
    for number in 0..4 {
        let token = format!("retry-{number}");

        let response = entry.send(get(&token)).await.unwrap();

        assert!(response.echoes(&token, ""), "{response:?}");
    }
}

/// Guards against bytes after a response that are read as the response to the next
/// request on the connection.
#[tokio::test]
async fn bytes_after_the_end_cost_the_connection() {
    let response: &[&[u8]] = &[
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong",
    ];
    let late: &[&[u8]] = &[
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong",
    ];
    for parts in [response, late] {
        let entry = entry(&[raw_target(parts, Ending::Keep).await]).await;
        for number in 0..6 {
            let response = entry.send(get("surplus")).await;

            assert_eq!(summary(&response), (200, "ok".to_owned()), "{number}");
            tokio::time::sleep(Duration::from_millis(60)).await;
        }
    }
}
