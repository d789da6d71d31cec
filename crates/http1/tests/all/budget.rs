//! Budget of a server for memory and connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use carobdrift_http1::{
    Budget, Capacity, Connection, Limits, Request, Response, Service, encode_request, listen,
};
use http::{HeaderMap, Method, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Memory of the budget, in bytes. Seven eighths are for large requests.
const MEMORY: usize = 1 << 20;

/// Body of which one fits into the budget and two don't, in bytes.
const LARGE: usize = 600 * 1024;

/// Service with a budget that responds with the length and the sum of each body.
#[derive(Debug)]
struct Sums {
    budget: Budget,
}

impl Service for Sums {
    fn limits(&self) -> Limits {
        Limits {
            head: 4096,
            body: 1 << 30,
        }
    }

    fn budget(&self) -> Option<&Budget> {
        Some(&self.budget)
    }

    async fn call(self: Arc<Self>, request: Request) -> Response {
        if request.path() == "/slow" {
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        let bytes = request.body.parts().iter().flatten();
        let sum: u64 = bytes.map(|byte| u64::from(*byte)).sum();
        let text = format!("{} {sum}", request.body.len());
        Response::new(StatusCode::OK, Bytes::from(text))
    }
}

/// Starts a server with a budget. Returns its address and the budget.
async fn server(connections: usize, waiting: usize) -> (SocketAddr, Budget) {
    let budget = Budget::new(Capacity {
        memory: MEMORY,
        connections,
        waiting,
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let service = Arc::new(Sums {
        budget: budget.clone(),
    });
    let stop = CancellationToken::new();
    tokio::spawn(listen(listener, service, stop, TaskTracker::new()));
    (address, budget)
}

/// Sends the head of an upload and a part of its body.
async fn start(address: SocketAddr, length: usize, part: usize) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!("POST / HTTP/1.1\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&vec![1; part]).await.unwrap();
    stream
}

/// Reads until the end of the connection, which only a hang delays by 20 s.
async fn response(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    let _ = tokio::time::timeout(Duration::from_secs(20), read).await;
    String::from_utf8(bytes).unwrap()
}

async fn get(address: SocketAddr) -> Option<StatusCode> {
    let mut connection = Connection::open(address, Duration::from_secs(1), 1024)
        .await
        .ok()?;
    let request = encode_request(&Method::GET, "/", &HeaderMap::new(), &[]);
    let response = connection.exchange(&Method::GET, &request, &mut 0).await;
    Some(response.ok()?.status)
}

/// Request after which the server closes the connection. A caller that closes its side
/// counts as one that left, and gets no response.
const LAST_REQUEST: &[u8] = b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n";

/// Guards against bytes that are lost, doubled or misplaced between the parts of a
/// body.
#[tokio::test]
async fn a_body_in_several_parts_is_complete() {
    let (address, _) = server(10, 10).await;
    let body: Vec<u8> = (0..=250).cycle().take(LARGE).collect();
    let sum: u64 = body.iter().map(|byte| u64::from(*byte)).sum();
    let mut chunked = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    for chunk in body.chunks(7001) {
        chunked.extend(format!("{:x}\r\n", chunk.len()).bytes());
        chunked.extend(chunk);
        chunked.extend(b"\r\n");
    }
    chunked.extend(b"0\r\n\r\nGET / HTTP/1.1\r\nconnection: close\r\n\r\n");
    let mut announced = format!("POST / HTTP/1.1\r\ncontent-length: {LARGE}\r\n\r\n").into_bytes();
    announced.extend(&body);
    announced.extend(b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n");

    for request in [chunked, announced] {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(&request).await.unwrap();
        let text = response(&mut stream).await;

        assert!(text.contains(&format!("{LARGE} {sum}")), "{text}");
        assert!(text.ends_with("0 0"), "{text}");
    }
}

/// Guards against memory that stays counted after its request or connection ended,
/// until the server refuses everything.
#[tokio::test]
async fn memory_is_returned_at_the_end_of_requests_and_connections() {
    let (address, budget) = server(10, 10).await;
    for _ in 0..4 {
        let mut complete = start(address, LARGE, LARGE).await;
        complete.write_all(LAST_REQUEST).await.unwrap();
        assert!(response(&mut complete).await.starts_with("HTTP/1.1 200"));
        let partial = start(address, LARGE, LARGE / 2).await;
        drop(partial);
    }

    for _ in 0..100 {
        if budget.held() == 0 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{} bytes are held", budget.held());
}

/// Guards against a stalled request that keeps others from being read, and against
/// a refusal of the others instead of the stalled one.
#[tokio::test]
async fn a_stalled_request_gives_way_to_another_one() {
    let (address, _) = server(10, 10).await;
    let mut stalled = start(address, LARGE, LARGE - 1).await;
    tokio::time::sleep(Duration::from_millis(100)).await;

    let mut other = start(address, LARGE, LARGE).await;

    let (stalled, other) = tokio::join!(response(&mut stalled), response(&mut other));
    assert!(stalled.starts_with("HTTP/1.1 503"), "{stalled}");
    assert!(stalled.contains("retry-after: 1\r\n"), "{stalled}");
    assert!(other.starts_with("HTTP/1.1 200"), "{other}");
}

/// Guards against requests that all wait for memory until their callers leave, and
/// against refusing all of them.
#[tokio::test]
async fn of_requests_that_all_wait_the_first_is_served_and_all_are_answered() {
    let (address, _) = server(10, 10).await;
    let mut uploads = Vec::new();
    for _ in 0..6 {
        uploads.push(start(address, LARGE, LARGE / 5).await);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    let sends = uploads.into_iter().map(|mut upload| async move {
        // Fails if the request is refused.
        let _ = upload.write_all(&vec![1; LARGE - LARGE / 5]).await;
        let _ = upload.write_all(LAST_REQUEST).await;
        let mut bytes = Vec::new();
        let _ = upload.read_to_end(&mut bytes).await;
        String::from_utf8(bytes).unwrap()
    });
    let responses = futures_util::future::join_all(sends).await;

    assert!(responses[0].starts_with("HTTP/1.1 200"), "{responses:?}");
    for response in &responses[1..] {
        // A refused caller that still sends may be disconnected.
        let is_refused = response.is_empty() || response.starts_with("HTTP/1.1 503");
        assert!(is_refused || response.starts_with("HTTP/1.1 200"));
    }
}

/// Guards against a large body that keeps small requests from being served.
#[tokio::test]
async fn small_requests_are_served_beside_bodies_that_fill_the_budget() {
    let (address, _) = server(20, 10).await;
    let mut uploads = Vec::new();
    for _ in 0..6 {
        uploads.push(start(address, LARGE, LARGE / 4).await);
    }

    let status = get(address).await;

    assert_eq!(status, Some(StatusCode::OK));
}

/// Guards against idle callers that keep others from connecting, and against more
/// connections than the budget allows.
#[tokio::test]
async fn the_connection_that_was_idle_for_the_longest_time_is_closed_for_another_one() {
    let (address, _) = server(3, 10).await;
    let mut idle = Vec::new();
    for _ in 0..3 {
        idle.push(TcpStream::connect(address).await.unwrap());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }

    let status = get(address).await;

    assert_eq!(status, Some(StatusCode::OK));
    let mut byte = [0];
    assert_eq!(idle[0].read(&mut byte).await.unwrap(), 0);
    let second = tokio::time::timeout(Duration::from_millis(200), idle[1].read(&mut byte)).await;
    assert!(second.is_err(), "the second connection stays open");
}

/// Guards against closing the connection of a request that is being served.
#[tokio::test]
async fn a_connection_with_a_request_in_service_is_not_closed_for_another_one() {
    let (address, _) = server(1, 10).await;
    let mut serving = TcpStream::connect(address).await.unwrap();
    let request = b"GET /slow HTTP/1.1\r\nconnection: close\r\n\r\n";
    serving.write_all(request).await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;

    let (served, other) = tokio::join!(response(&mut serving), get(address));

    assert!(served.starts_with("HTTP/1.1 200"), "{served}");
    assert_eq!(other, Some(StatusCode::OK));
}

/// Guards against refused callers that keep the places of others while they do not
/// close their connections.
#[tokio::test]
async fn refused_connections_do_not_keep_their_places() {
    let (address, _) = server(1, 10).await;
    let mut refused = Vec::new();
    let refuse_ten = async {
        for _ in 0..10 {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(b"no request\r\n\r\n").await.unwrap();
            let mut start = [0; 12];
            stream.read_exact(&mut start).await.unwrap();
            refused.push(stream);
        }
        get(address).await
    };

    // Each would keep its place for a second.
    let status = tokio::time::timeout(Duration::from_secs(8), refuse_ten).await;

    assert_eq!(status, Ok(Some(StatusCode::OK)));
}
