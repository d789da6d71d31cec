//! A scripted peer, and a service that responds with the request target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use carobdrift_http1::{Connection, Limits, Request, Response, Service, listen, serve};
use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Behaviour of a scripted peer after it sent its response.
pub(crate) enum Ending {
    /// Keeps the connection open.
    Keep,
    /// Closes the connection gracefully.
    Close,
    /// Resets the connection.
    Reset,
}

/// Starts a peer that reads the head of one request, writes `raw_response`, and
/// ends the connection as stated.
pub(crate) async fn peer(raw_response: &'static [u8], ending: Ending) -> SocketAddr {
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
        stream.write_all(raw_response).await.unwrap();
        match ending {
            Ending::Keep => tokio::time::sleep(Duration::from_secs(30)).await,
            Ending::Close => stream.shutdown().await.unwrap(),
            Ending::Reset => {
                // Lets the response arrive before the reset.
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

/// Service that responds with the target and body of each request, after the
/// number of milliseconds in the path.
#[derive(Debug, Default)]
pub(crate) struct Echo {
    pub(crate) started: AtomicUsize,
    pub(crate) finished: AtomicUsize,
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
        self.started.fetch_add(1, Ordering::SeqCst);
        let ms = request.path().trim_start_matches('/').parse().unwrap_or(0);
        tokio::time::sleep(Duration::from_millis(ms)).await;
        self.finished.fetch_add(1, Ordering::SeqCst);
        let mut body = request.target.into_bytes();
        for part in request.body.parts() {
            body.extend_from_slice(part);
        }
        Response::new(StatusCode::OK, body.into())
    }
}

/// Starts a server for one connection and returns the client side.
pub(crate) async fn server(echo: Arc<Echo>, stop: CancellationToken) -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        serve(stream, echo, stop).await;
    });
    TcpStream::connect(address).await.unwrap()
}

/// Starts a server that accepts connections until `stop`. Returns its address and
/// its open connections.
pub(crate) async fn listening_server(
    echo: Arc<Echo>,
    stop: CancellationToken,
) -> (SocketAddr, TaskTracker) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connections = TaskTracker::new();
    tokio::spawn(listen(listener, echo, stop, connections.clone()));
    (address, connections)
}

/// Reads until the peer closes the connection, at most for 700 ms.
pub(crate) async fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    let _ = tokio::time::timeout(Duration::from_millis(700), read).await;
    String::from_utf8(bytes).unwrap()
}
