//! A scripted peer, and a service that answers with the path.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use carobdrift_http1::{Connection, Limits, Request, Response, Service, serve};
use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// What a scripted peer does after it read a request.
pub(crate) enum Then {
    /// Keeps the connection open.
    Keep,
    /// Closes it in good order.
    Close,
    /// Resets it.
    Reset,
}

/// Starts a peer that reads a head, writes `answer` once and then acts.
pub(crate) async fn peer(answer: &'static [u8], then: Then) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = Vec::new();
        while !head.windows(4).any(|end| end == b"\r\n\r\n") {
            if stream.read_buf(&mut head).await.unwrap() == 0 {
                return;
            }
        }
        stream.write_all(answer).await.unwrap();
        match then {
            Then::Keep => tokio::time::sleep(Duration::from_secs(30)).await,
            Then::Close => stream.shutdown().await.unwrap(),
            Then::Reset => {
                // The answer arrives before the reset.
                tokio::time::sleep(Duration::from_millis(50)).await;
                let socket = socket2::SockRef::from(&stream);
                socket.set_linger(Some(Duration::ZERO)).unwrap();
            }
        }
    });
    address
}

pub(crate) async fn connect(address: SocketAddr) -> Connection {
    Connection::open(address, Duration::from_secs(1), 1024 * 1024)
        .await
        .unwrap()
}

/// A service that answers each request with its path, after the number of
/// milliseconds that the path states.
#[derive(Debug, Default)]
pub(crate) struct Echo {
    pub(crate) begun: AtomicUsize,
    pub(crate) ended: AtomicUsize,
    pub(crate) closing: bool,
}

impl Service for Echo {
    fn limits(&self) -> Limits {
        Limits {
            head: 1024,
            body: 100,
        }
    }

    fn head_timeout(&self) -> Duration {
        Duration::from_millis(200)
    }

    fn idle_timeout(&self) -> Duration {
        Duration::from_millis(400)
    }

    fn is_closing(&self) -> bool {
        self.closing
    }

    async fn call(self: Arc<Self>, request: Request) -> Response {
        self.begun.fetch_add(1, Ordering::SeqCst);
        let ms = request.path().trim_start_matches('/').parse().unwrap_or(0);
        tokio::time::sleep(Duration::from_millis(ms)).await;
        self.ended.fetch_add(1, Ordering::SeqCst);
        let mut body = request.target.into_bytes();
        body.extend_from_slice(&request.body);
        Response::new(StatusCode::OK, body.into())
    }
}

/// Starts a server and returns a connection to it.
pub(crate) async fn server(echo: Arc<Echo>, stop: CancellationToken) -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        serve(stream, echo, stop).await;
    });
    TcpStream::connect(address).await.unwrap()
}

/// Reads until the peer closes, or for 700 ms.
pub(crate) async fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    let _ = tokio::time::timeout(Duration::from_millis(700), read).await;
    String::from_utf8(bytes).unwrap()
}
