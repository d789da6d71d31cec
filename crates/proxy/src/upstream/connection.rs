//! One connection to a target.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::gate::{Gate, Gated};
use crate::upload::Upload;

/// Time for which sent bytes may stay unacknowledged before the kernel gives a
/// connection up.
const USER_TIMEOUT: Duration = Duration::from_secs(10);

/// Idle time after which the kernel probes a connection.
const KEEPALIVE: Duration = Duration::from_secs(10);

/// Largest header of a response, in bytes.
const MAX_RESPONSE_HEADER: usize = 64 * 1024;

/// An open connection to a target with no exchange in progress. Dropping it
/// closes it.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Upload>,
    gate: Gate,
    task: AbortHandle,
    /// End of the last exchange; absent on a fresh connection.
    used: Option<Instant>,
}

/// An exchange on a connection. Dropping it closes the connection, which
/// cancels the request at the target.
#[derive(Debug)]
pub(crate) struct Exchange {
    connection: Connection,
    /// Bytes written before the exchange.
    before: u64,
}

impl Connection {
    /// Opens a connection. The permit is held until it is closed.
    pub(crate) async fn open(
        address: SocketAddr,
        permit: OwnedSemaphorePermit,
    ) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE))?;
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        let gate = Gate::default();
        let io = TokioIo::new(Gated::new(stream, gate.clone()));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_RESPONSE_HEADER)
            .handshake(io)
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            // Errors reach the exchange in progress through its sender.
            let _ = connection.await;
            drop(permit);
        });
        Ok(Self {
            sender,
            gate,
            task: task.abort_handle(),
            used: None,
        })
    }

    /// End of the last exchange; absent on a fresh connection.
    pub(crate) fn used(&self) -> Option<Instant> {
        self.used
    }

    /// Whether the connection can't take another exchange.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the connection takes an exchange; returns whether it does.
    pub(crate) async fn ready(&mut self) -> bool {
        self.sender.is_ready() || self.sender.ready().await.is_ok()
    }

    /// Begins an exchange.
    pub(crate) fn begin(self) -> Exchange {
        let before = self.gate.written();
        Exchange {
            connection: self,
            before,
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // The gate stops writes at once; the task ends a moment later.
        self.gate.close();
        self.task.abort();
    }
}

impl Exchange {
    /// Whether the connection had an exchange before.
    pub(crate) fn is_reused(&self) -> bool {
        self.connection.used.is_some()
    }

    /// Sends the request and waits for the head of the response. The error
    /// holds the request when the connection did not take it.
    pub(crate) async fn send(
        &mut self,
        request: Request<Upload>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Upload>>> {
        self.connection.sender.try_send_request(request).await
    }

    /// Stops the exchange and returns the bytes of it that were handed to the
    /// kernel.
    pub(crate) fn stop(&self) -> u64 {
        self.connection.gate.close() - self.before
    }

    /// Ends a complete exchange.
    pub(crate) fn end(mut self) -> Connection {
        self.connection.used = Some(Instant::now());
        self.connection
    }
}
