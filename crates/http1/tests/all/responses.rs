//! Responses that are not complete and well-formed. The cases are those of
//! `docs/design/responses.md`.

use std::time::Duration;

use carobdrift_http1::{Connection, ExchangeError, ReadError, Response, encode_request};
use http::{HeaderMap, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::fixture::{Ending, connect, peer};

/// Sends a request with the given method and reads the response, at most for 5 s.
async fn exchange(
    method: &Method,
    raw_response: &'static [u8],
    ending: Ending,
) -> (Result<Response, ExchangeError>, Connection) {
    let address = peer(raw_response, ending).await;
    let mut connection = connect(address).await;
    let request = encode_request(method, "/", &HeaderMap::new(), &[]);
    let mut sent = 0;
    let read = connection.exchange(method, &request, &mut sent);
    let response = tokio::time::timeout(Duration::from_secs(5), read).await;
    let text = String::from_utf8_lossy(raw_response);
    (
        response.unwrap_or_else(|_| panic!("no end: {text:?}")),
        connection,
    )
}

/// Sends requests with the given method and returns the responses of the table that
/// were accepted.
async fn accepted(method: &Method, responses: &[&'static [u8]]) -> Vec<String> {
    let mut accepted = Vec::new();
    for raw_response in responses {
        let (response, _) = exchange(method, raw_response, Ending::Close).await;
        if let Ok(response) = response {
            let text = String::from_utf8_lossy(raw_response);
            accepted.push(format!("{text:?} as {response:?}"));
        }
    }
    accepted
}

/// Guards against passing on a status that callers can't interpret.
#[tokio::test]
async fn invalid_status_lines_are_refused() {
    let responses: [&[u8]; 15] = [
        b"HTTP/1.1 000 None\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 099 Low\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 600 High\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 999 High\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 20 OK\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 2000 OK\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 -20 OK\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1  200 OK\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1\t200 OK\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.2 200 OK\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/2.0 200 OK\r\ncontent-length: 0\r\n\r\n",
        b"http/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        b"\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 200 O\x01K\r\ncontent-length: 0\r\n\r\n",
        b"HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    ];

    let accepted = accepted(&Method::GET, &responses).await;

    assert!(accepted.is_empty(), "{accepted:#?}");
}

/// Guards against passing on a field line that is not valid, and against a body that
/// begins elsewhere because such a line was skipped or taken for the end of the head.
#[tokio::test]
async fn invalid_field_lines_are_refused() {
    let responses: [&[u8]; 16] = [
        b"HTTP/1.1 200 OK\r\ncontent-length : 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ncontent length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\n content-length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx\t: y\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx\x01y: z\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\nx: y\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx\x7f: y\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n: y\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx: y\r\n z\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx: y\0z\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx: y\rz\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx: y\r\rz: y\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx: y\nz: y\r\n\r\nok",
        b"HTTP/1.1 200 OK\ncontent-length: 2\n\nok",
        b"HTTP/1.1 103 Hints\r\nx y: z\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
    ];

    let accepted = accepted(&Method::GET, &responses).await;

    assert!(accepted.is_empty(), "{accepted:#?}");
}

/// Guards against a head that breaks off and counts as that of a response whose body ends
/// with the connection or is empty: the connection ends after each byte of the head, in
/// order or by a reset, on its own or after the response to an earlier exchange.
#[tokio::test]
async fn heads_that_break_off_are_refused() {
    const EARLIER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    const HEADS: [&[u8]; 4] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 12\r\nx: y\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nx: y\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        b"HTTP/1.1 103 Hints\r\nx: y\r\n\r\nHTTP/1.1 204 None\r\n\r\n",
    ];
    let mut cases = Vec::new();
    for head in HEADS {
        for length in 0..head.len() {
            for method in [Method::GET, Method::HEAD] {
                for (earlier, resets) in [(false, false), (false, true), (true, false)] {
                    let start: &[u8] = if earlier { EARLIER } else { b"" };
                    let raw = [start, &head[..length]].concat();
                    cases.push((raw, method.clone(), earlier, resets));
                }
            }
        }
    }

    let results = cases.into_iter().map(|(raw, method, earlier, resets)| {
        tokio::spawn(async move {
            let ending = if resets { Ending::Reset } else { Ending::Close };
            let raw: &'static [u8] = raw.leak();
            let (mut response, mut connection) = exchange(&method, raw, ending).await;
            if earlier && method == Method::GET {
                response = connection.skip_response(&method, usize::MAX, &mut 0).await;
            } else if earlier {
                // The body of the earlier response is no head.
                response = connection.exchange(&method, b"", &mut 0).await;
            }
            let text = String::from_utf8_lossy(raw);
            response
                .ok()
                .map(|accepted| format!("{text:?} as {accepted:?}"))
        })
    });
    let accepted: Vec<_> = futures_util::future::join_all(results).await;

    let accepted: Vec<_> = accepted.into_iter().filter_map(Result::unwrap).collect();
    assert!(accepted.is_empty(), "{accepted:#?}");
}

/// Guards against a byte that the parser accepts within the name of a field although
/// it is not permitted there, at each place of names of different lengths.
#[tokio::test]
async fn names_with_bytes_that_are_not_permitted_are_refused() {
    const PERMITTED: &[u8] = b"!#$%&'*+-.^_`|~:";
    let is_permitted = |byte: u8| byte.is_ascii_alphanumeric() || PERMITTED.contains(&byte);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let names = ["x-name", "x-a-name-of-more-than-thirty-two-bytes-in-total"];
    let cases: Vec<Vec<u8>> = (0..=u8::MAX)
        .filter(|byte| !is_permitted(*byte))
        .flat_map(|byte| {
            names.into_iter().flat_map(move |name| {
                [0, 1, name.len() / 2, name.len()]
                    .into_iter()
                    .map(move |place| {
                        let mut name = name.as_bytes().to_vec();
                        name.insert(place, byte);
                        let mut response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n".to_vec();
                        response.extend_from_slice(&name);
                        response.extend_from_slice(b": v\r\n\r\nok");
                        response
                    })
            })
        })
        .collect();
    let responses = cases.clone();
    tokio::spawn(async move {
        for response in responses {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 64]).await;
            let _ = stream.write_all(&response).await;
        }
    });
    let mut accepted = Vec::new();

    for case in cases {
        let mut connection = connect(address).await;
        let request = encode_request(&Method::GET, "/", &HeaderMap::new(), &[]);
        let mut sent = 0;
        let response = connection.exchange(&Method::GET, &request, &mut sent).await;
        if let Ok(response) = response {
            let text = String::from_utf8_lossy(&case);
            accepted.push(format!("{text:?} as {response:?}"));
        }
    }

    assert!(accepted.is_empty(), "{accepted:#?}");
}

/// Guards against a body that ends elsewhere for another recipient, because its
/// framing is not stated once and clearly.
#[tokio::test]
async fn invalid_framing_is_refused() {
    let responses: [&[u8]; 14] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 1\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2, 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ncontent-length: +2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ncontent-length: 0x2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ncontent-length: 18446744073709551618\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ncontent-length:\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ncontent-length: 7\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 204 No Content\r\ncontent-length: 0\r\ncontent-length: 2\r\n\r\n",
    ];

    let accepted_get = accepted(&Method::GET, &responses).await;
    let conflicting: [&[u8]; 2] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n",
    ];
    let accepted_head = accepted(&Method::HEAD, &conflicting).await;

    assert!(accepted_get.is_empty(), "{accepted_get:#?}");
    assert!(accepted_head.is_empty(), "{accepted_head:#?}");
}

/// Guards against a chunk whose size or end is misread, and against a body that ends
/// at a line that is not the last chunk.
#[tokio::test]
async fn invalid_chunks_are_refused() {
    let responses: [&[u8]; 20] = [
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n;x=y\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n 2\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2 \r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n+2\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n-2\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0x2\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2g\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n10000000000000002\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nffffffffffffffff\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\rok\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2;x\ny\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2;x\x01\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nx y: z\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nx\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nx: y\nz: y\r\n\r\n",
    ];

    let accepted = accepted(&Method::GET, &responses).await;

    assert!(accepted.is_empty(), "{accepted:#?}");
}

/// Guards against informational responses that keep a request waiting for ever, or
/// are taken for the final response.
#[tokio::test]
async fn informational_responses_without_a_final_one_are_refused() {
    let endless = b"HTTP/1.1 102 Processing\r\n\r\n".repeat(1000).leak();
    let responses: [&[u8]; 2] = [endless, b"HTTP/1.1 100 Continue\r\n\r\n"];

    let accepted = accepted(&Method::GET, &responses).await;

    assert!(accepted.is_empty(), "{accepted:#?}");
}

/// Guards against a head over the limit that is accepted because its end arrived with
/// the bytes that exceed it.
#[tokio::test]
async fn heads_over_the_limit_are_refused() {
    let field = |length: usize| {
        let value = "v".repeat(length);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: 0\r\nx: {value}\r\n\r\n");
        &*head.into_bytes().leak()
    };
    let fields = "x: y\r\n".repeat(129);
    let many = format!("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n{fields}\r\n").leak();

    let (large, _) = exchange(&Method::GET, field(64 * 1024), Ending::Keep).await;
    let (many, _) = exchange(&Method::GET, many.as_bytes(), Ending::Keep).await;
    let (fits, _) = exchange(&Method::GET, field(63 * 1024), Ending::Keep).await;

    assert!(matches!(large.unwrap_err().cause, ReadError::HeadTooLarge));
    assert!(matches!(many.unwrap_err().cause, ReadError::HeadTooLarge));
    assert!(fits.is_ok());
}

/// Guards against bytes after a response that are read as the next one. The response
/// itself is complete, so it is returned.
#[tokio::test]
async fn bytes_after_the_end_cost_the_connection() {
    let responses: [(&Method, &[u8]); 5] = [
        (
            &Method::GET,
            b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n",
        ),
        (
            &Method::GET,
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n\r\n",
        ),
        (
            &Method::HEAD,
            b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
        ),
        (&Method::GET, b"HTTP/1.1 204 No Content\r\n\r\nok"),
        (
            &Method::GET,
            b"HTTP/1.1 304 Not Modified\r\ncontent-length: 2\r\n\r\nok",
        ),
    ];
    for (method, raw_response) in responses {
        let text = String::from_utf8_lossy(raw_response);

        let (response, mut connection) = exchange(method, raw_response, Ending::Keep).await;

        assert!(response.is_ok(), "{text:?}: {response:?}");
        assert!(!connection.is_reusable(Duration::ZERO), "{text:?}");
    }
}

/// Guards against strictness that refuses what the protocol permits.
#[tokio::test]
async fn unusual_valid_responses_are_accepted() {
    let responses: [(&[u8], &[u8]); 8] = [
        (b"HTTP/1.1 200\r\ncontent-length: 2\r\n\r\nok", b"ok"),
        (b"HTTP/1.0 200 OK\r\n\r\nok", b"ok"),
        (b"HTTP/1.1 599 \xc3\xa9\r\ncontent-length:2\r\nx:\r\ny: \xff\t z \r\n\r\nok", b"ok"),
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", b"ok"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n0002;x=\"y\"\r\nok\r\n000\r\nt: v\r\n\r\n", b"ok"),
        (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2 ; x\r\nok\r\nA\r\n0123456789\r\n0\r\n\r\n", b"ok0123456789"),
        (b"HTTP/1.1 204 No Content\r\ncontent-length: 0\r\n\r\n", b""),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", b""),
    ];
    for (raw_response, body) in responses {
        let text = String::from_utf8_lossy(raw_response);

        let (response, _) = exchange(&Method::GET, raw_response, Ending::Close).await;

        assert_eq!(response.unwrap().body, body, "{text:?}");
    }
}
