//! Responses whose bodies are passed on while they arrive.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use carobdrift_http1::{
    Connection, Limits, ReadError, Request, Response, Rest, Service, encode_request, serve,
};
use futures_util::StreamExt;
use http::{HeaderMap, Method, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::fixture::{Ending, connect, peer, read_all};

/// Size of the first part of a body.
const WINDOW: usize = 4;

/// Service whose responses arrive in parts.
#[derive(Debug, Default)]
struct Parts {
    /// Stated number of bytes after the first part.
    length: Option<u64>,
    /// Size of each further part.
    part_bytes: usize,
    /// Number of further parts.
    count: usize,
    /// Whether an error follows the last part.
    breaks_off: bool,
    /// Number of parts that were requested.
    requested: Arc<AtomicUsize>,
}

impl Service for Parts {
    fn limits(&self) -> Limits {
        Limits {
            head: 1024,
            body: 0,
        }
    }

    async fn call(self: Arc<Self>, request: Request) -> Response {
        let body = Bytes::from(request.target.clone());
        let mut response = Response::new(StatusCode::OK, body);
        if request.path() != "/whole" {
            let parts = futures_util::stream::iter(0..self.count + usize::from(self.breaks_off));
            let service = Arc::clone(&self);
            response.rest = Some(Rest {
                length: self.length,
                parts: parts
                    .map(move |index| {
                        service.requested.fetch_add(1, Ordering::SeqCst);
                        if index == service.count {
                            return Err(std::io::ErrorKind::ConnectionReset.into());
                        }
                        Ok(Bytes::from(vec![b'x'; service.part_bytes]))
                    })
                    .boxed(),
            });
        }
        response
    }
}

async fn server(parts: Parts) -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        serve(stream, Arc::new(parts), CancellationToken::new()).await;
    });
    TcpStream::connect(address).await.unwrap()
}

/// Sends requests and returns all that the server sends, and whether the
/// connection was reset.
async fn responses(parts: Parts, requests: &str) -> (String, bool) {
    let mut stream = server(parts).await;
    stream.write_all(requests.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    let read = tokio::time::timeout(Duration::from_millis(700), read).await;
    let is_reset = matches!(read, Ok(Err(_)));
    (String::from_utf8(bytes).unwrap(), is_reset)
}

/// Guards against a body that is complete although it lacks its rest, and against
/// a response that mixes with the next one.
#[tokio::test]
async fn parts_follow_the_head_in_the_framing_that_it_states() {
    let requests = "GET /a HTTP/1.1\r\n\r\nGET /whole HTTP/1.1\r\nconnection: close\r\n\r\n";
    let sized = Parts {
        length: Some(6),
        part_bytes: 3,
        count: 2,
        ..Parts::default()
    };
    let unsized_parts = Parts {
        part_bytes: 3,
        count: 2,
        ..Parts::default()
    };

    let (sized, _) = responses(sized, requests).await;
    let (chunked, _) = responses(unsized_parts, requests).await;

    let whole = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 6\r\n\r\n/whole";
    assert_eq!(
        sized,
        format!("HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\n/axxxxxx{whole}")
    );
    assert_eq!(
        chunked,
        format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
             2\r\n/a\r\n3\r\nxxx\r\n3\r\nxxx\r\n0\r\n\r\n{whole}"
        )
    );
}

/// Guards against a response that broke off and looks complete to the caller, in
/// each framing.
#[tokio::test]
async fn a_body_that_breaks_off_does_not_look_complete() {
    let broken = |length| Parts {
        length,
        part_bytes: 3,
        count: 1,
        breaks_off: true,
        ..Parts::default()
    };
    let too_short = Parts {
        length: Some(9),
        part_bytes: 3,
        count: 1,
        ..Parts::default()
    };

    let (sized, _) = responses(broken(Some(9)), "GET /a HTTP/1.1\r\n\r\n").await;
    let (short, _) = responses(too_short, "GET /a HTTP/1.1\r\n\r\n").await;
    let (chunked, _) = responses(broken(None), "GET /a HTTP/1.1\r\n\r\n").await;
    let (closed, is_reset) = responses(broken(None), "GET /a HTTP/1.0\r\n\r\n").await;

    assert!(
        sized.ends_with("content-length: 11\r\n\r\n/axxx"),
        "{sized}"
    );
    assert!(
        short.ends_with("content-length: 11\r\n\r\n/axxx"),
        "{short}"
    );
    assert!(chunked.ends_with("3\r\nxxx\r\n"), "{chunked}");
    assert!(!closed.contains("content-length"), "{closed}");
    assert!(is_reset, "{closed}");
}

/// Service whose responses state no length, and whose rest never arrives.
#[derive(Debug)]
struct Stalled;

impl Service for Stalled {
    fn limits(&self) -> Limits {
        Limits {
            head: 1024,
            body: 0,
        }
    }

    async fn call(self: Arc<Self>, _: Request) -> Response {
        let mut response = Response::new(StatusCode::OK, Bytes::from_static(b"first"));
        response.rest = Some(Rest {
            length: None,
            parts: futures_util::stream::pending().boxed(),
        });
        response
    }
}

/// Guards against a response that the end of the process cuts off and that looks
/// complete to the caller, because its body ends with the connection.
#[test]
fn a_body_that_the_end_of_the_process_cuts_off_does_not_look_complete() {
    let inside = tokio::runtime::Runtime::new().unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut stream = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (accepted, _) = listener.accept().unwrap();
    accepted.set_nonblocking(true).unwrap();
    inside.spawn(async move {
        let stream = TcpStream::from_std(accepted).unwrap();
        serve(stream, Arc::new(Stalled), CancellationToken::new()).await;
    });
    std::io::Write::write_all(&mut stream, b"GET / HTTP/1.0\r\n\r\n").unwrap();
    let mut head = [0; 16];
    std::io::Read::read_exact(&mut stream, &mut head).unwrap();

    drop(inside);
    let rest = std::io::Read::read_to_end(&mut stream, &mut Vec::new());

    assert!(head.starts_with(b"HTTP/1.1 200 OK"));
    let error = rest.expect_err("the body looks complete");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}

/// Guards against surplus bytes of a body, which a caller would read as the next
/// response.
#[tokio::test]
async fn a_body_that_exceeds_its_length_is_broken_off() {
    let parts = Parts {
        length: Some(4),
        part_bytes: 3,
        count: 2,
        ..Parts::default()
    };

    let (text, _) = responses(parts, "GET /a HTTP/1.1\r\n\r\n").await;

    assert!(text.ends_with("content-length: 6\r\n\r\n/axxx"), "{text}");
}

/// Guards against chunks for a caller that does not understand them.
#[tokio::test]
async fn an_http10_caller_gets_a_body_that_ends_with_the_connection() {
    let parts = Parts {
        part_bytes: 3,
        count: 1,
        ..Parts::default()
    };

    let (text, is_reset) = responses(parts, "GET /a HTTP/1.0\r\n\r\n").await;

    assert!(text.ends_with("connection: close\r\n\r\n/axxx"), "{text}");
    assert!(!is_reset);
}

/// Guards against memory that grows with the size of a response because its
/// caller reads slowly: parts must not be requested faster than they are read.
#[tokio::test]
async fn a_slow_caller_holds_a_bounded_part_of_the_response() {
    let requested = Arc::new(AtomicUsize::new(0));
    let parts = Parts {
        length: Some(64 * 1024 * 1024),
        part_bytes: 64 * 1024,
        count: 1024,
        requested: Arc::clone(&requested),
        ..Parts::default()
    };
    let mut stream = server(parts).await;
    stream.write_all(b"GET /a HTTP/1.1\r\n\r\n").await.unwrap();

    tokio::time::sleep(Duration::from_millis(300)).await;
    let while_not_reading = requested.load(Ordering::SeqCst);
    let mut total = 0;
    let mut buffer = vec![0; 64 * 1024];
    while total < 64 * 1024 * 1024 {
        total += stream.read(&mut buffer).await.unwrap();
    }

    // The buffers of the kernel hold some megabytes.
    assert!(while_not_reading < 512, "{while_not_reading} of 1024");
    assert_eq!(requested.load(Ordering::SeqCst), 1024);
}

/// Guards against work for a caller that disconnected while it received a
/// response.
#[tokio::test]
async fn parts_are_not_requested_after_the_caller_disconnected() {
    let requested = Arc::new(AtomicUsize::new(0));
    let parts = Parts {
        length: Some(64 * 1024 * 1024),
        part_bytes: 64 * 1024,
        count: 1024,
        requested: Arc::clone(&requested),
        ..Parts::default()
    };
    let mut stream = server(parts).await;
    stream.write_all(b"GET /a HTTP/1.1\r\n\r\n").await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;

    drop(stream);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let after = requested.load(Ordering::SeqCst);
    tokio::time::sleep(Duration::from_millis(200)).await;

    assert!(after < 1024);
    assert_eq!(requested.load(Ordering::SeqCst), after);
}

/// Starts an exchange and reads the rest of its body in parts.
async fn exchange(
    raw_response: &'static [u8],
    ending: Ending,
) -> (Result<String, ReadError>, Connection) {
    let address = peer(raw_response, ending).await;
    let mut connection = connect(address).await;
    let request = encode_request(&Method::GET, "/", &HeaderMap::new(), &[]).freeze();
    let mut sent = 0;
    let started = connection.start(&Method::GET, request, WINDOW, &mut sent);
    let mut body = match started.await {
        Ok(response) => response.body.to_vec(),
        Err(error) => return (Err(error.cause), connection),
    };
    let result = loop {
        match connection.next_part().await {
            Ok(Some(part)) => body.extend_from_slice(&part),
            Ok(None) => break Ok(String::from_utf8(body).unwrap()),
            Err(error) => break Err(error),
        }
    };
    (result, connection)
}

/// Guards against lost or repeated bytes, and against a connection that is not
/// reused although the exchange ended cleanly.
#[tokio::test]
async fn a_body_is_read_in_parts_in_each_framing() {
    let cases: [(&[u8], Ending, bool); 3] = [
        (
            b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabcdefghi",
            Ending::Keep,
            true,
        ),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
              6\r\nabcdef\r\n3;x=y\r\nghi\r\n0\r\nt: v\r\n\r\n",
            Ending::Keep,
            true,
        ),
        (b"HTTP/1.1 200 OK\r\n\r\nabcdefghi", Ending::Close, false),
    ];
    for (raw_response, ending, is_reusable) in cases {
        let (body, mut connection) = exchange(raw_response, ending).await;

        assert_eq!(body.unwrap(), "abcdefghi");
        assert!(!connection.is_within_response());
        assert_eq!(connection.is_reusable(Duration::ZERO), is_reusable);
    }
}

/// Guards against a broken body that is passed on as a complete one, and against
/// the reuse of its connection.
#[tokio::test]
async fn a_body_that_breaks_off_after_its_first_part_is_an_error() {
    let cases: [(&[u8], Ending); 6] = [
        (
            b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabcdef",
            Ending::Close,
        ),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n6\r\nabcdef\r\n",
            Ending::Close,
        ),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n6\r\nabcdef\r\n0\r\n",
            Ending::Close,
        ),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n6\r\nabcdef\r\nzz\r\n",
            Ending::Keep,
        ),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n6\r\nabcdefghi",
            Ending::Keep,
        ),
        (b"HTTP/1.1 200 OK\r\n\r\nabcdef", Ending::Reset),
    ];
    for (raw_response, ending) in cases {
        let (body, mut connection) = exchange(raw_response, ending).await;

        assert!(body.is_err(), "{}", String::from_utf8_lossy(raw_response));
        assert!(!connection.is_reusable(Duration::ZERO));
    }
}

/// Guards against surplus bytes after a streamed body being read as the response
/// to the next request.
#[tokio::test]
async fn surplus_bytes_after_a_streamed_body_prevent_reuse() {
    let raw_response =
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabcdefghiHTTP/1.1 200 OK\r\n\r\n";

    let (body, mut connection) = exchange(raw_response, Ending::Keep).await;

    assert_eq!(body.unwrap(), "abcdefghi");
    assert!(!connection.is_reusable(Duration::ZERO));
}

/// Starts a peer that writes `head` and then `repeated` until the connection
/// closes. Returns its address and the number of bytes that it wrote.
async fn endless_peer(
    head: &'static [u8],
    repeated: &'static [u8],
) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let written = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&written);
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let block = repeated.repeat(1 + 4096 / repeated.len());
        if stream.write_all(head).await.is_err() {
            return;
        }
        while stream.write_all(&block).await.is_ok() {
            counter.fetch_add(block.len(), Ordering::SeqCst);
        }
    });
    (address, written)
}

/// Guards against bytes without end from a peer, which are no response: they must
/// end the exchange at a limit.
#[tokio::test]
async fn a_head_without_end_is_an_error() {
    let cases: [(&[u8], &[u8]); 6] = [
        (b"", b"garbage "),
        (b"", b"\x00\x01\x02\xff"),
        (b"HTTP/1.1 200 OK\r\n", b"x-field: value\r\n"),
        (b"HTTP/1.1 200 OK\r\nx-long: ", b"y"),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
            b"t: v\r\n",
        ),
    ];
    for (head, repeated) in cases {
        let (address, written) = endless_peer(head, repeated).await;
        let mut connection = connect(address).await;
        let request = encode_request(&Method::GET, "/", &HeaderMap::new(), &[]).freeze();
        let mut sent = 0;

        let exchange = connection.start(&Method::GET, request, WINDOW, &mut sent);
        let result = tokio::time::timeout(Duration::from_secs(5), exchange).await;

        let name = String::from_utf8_lossy(repeated);
        assert!(matches!(result, Ok(Err(_))), "{name}: {result:?}");
        assert!(!connection.is_reusable(Duration::ZERO));
        // What the kernel buffers is not held by this process.
        assert!(written.load(Ordering::SeqCst) < 16 * 1024 * 1024, "{name}");
    }
}

/// Guards against a body without end that is held in memory: a buffered exchange
/// must end at its limit, and a streamed one must not read ahead.
#[tokio::test]
async fn a_body_without_end_is_not_collected() {
    for head in [
        &b"HTTP/1.1 200 OK\r\n\r\n"[..],
        b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999999\r\n\r\n",
    ] {
        let (address, _) = endless_peer(head, b"z").await;
        let mut buffered = connect(address).await;
        let request = encode_request(&Method::GET, "/", &HeaderMap::new(), &[]);
        let mut sent = 0;

        let result = buffered.exchange(&Method::GET, &request, &mut sent).await;

        let error = result.unwrap_err();
        assert!(matches!(error.cause, ReadError::BodyTooLarge), "{error}");
    }

    let (address, written) = endless_peer(b"HTTP/1.1 200 OK\r\n\r\n", b"z").await;
    let mut streamed = Connection::open(address, Duration::from_secs(1), u64::MAX)
        .await
        .unwrap();
    let request = encode_request(&Method::GET, "/", &HeaderMap::new(), &[]).freeze();
    let mut sent = 0;
    let response = streamed
        .start(&Method::GET, request, WINDOW, &mut sent)
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_millis(200)).await;

    assert!(response.body.len() < 64 * 1024);
    assert!(written.load(Ordering::SeqCst) < 16 * 1024 * 1024);
}

/// Guards against requests on a connection whose caller waits behind a slow
/// response: later requests run meanwhile and are answered in order.
#[tokio::test]
async fn requests_behind_a_streamed_response_run_meanwhile() {
    let parts = Parts {
        length: Some(4),
        part_bytes: 2,
        count: 2,
        ..Parts::default()
    };
    let mut stream = server(parts).await;
    let requests = "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\nGET /whole HTTP/1.1\r\nconnection: close\r\n\r\n";
    stream.write_all(requests.as_bytes()).await.unwrap();

    let text = read_all(&mut stream).await;

    let bodies: Vec<&str> = text.split("\r\n\r\n").skip(1).collect();
    assert!(bodies[0].starts_with("/axxxx"), "{text}");
    assert!(bodies[1].starts_with("/bxxxx"), "{text}");
    assert!(bodies[2].starts_with("/whole"), "{text}");
}
