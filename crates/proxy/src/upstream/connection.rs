//! Connections to targets.

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

use super::checked::SharedCheck;
use super::write_counter::{CountedStream, WriteCounter};
use crate::upload::Upload;

/// Time for which sent bytes may stay unacknowledged before the kernel closes
/// the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);

/// Idle time after which the kernel sends keep-alive probes.
const TCP_KEEPALIVE_IDLE: Duration = Duration::from_secs(10);

/// Largest header of a response, in bytes.
const MAX_RESPONSE_HEADER_BYTES: usize = 64 * 1024;

/// Open connection to a target with no exchange in progress. Dropping the
/// connection closes it.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Upload>,
    counter: WriteCounter,
    check: SharedCheck,
    task: AbortHandle,
    /// End of the last exchange; `None` on a new connection.
    last_used: Option<Instant>,
}

/// Exchange on a connection. Dropping the exchange closes the connection, which
/// cancels the request at the target.
#[derive(Debug)]
pub(crate) struct Exchange {
    connection: Connection,
    /// Number of bytes written before the exchange.
    written_before: u64,
}

impl Connection {
    /// Opens a connection, which keeps the permit until the connection is
    /// closed.
    pub(crate) async fn open(
        address: SocketAddr,
        permit: OwnedSemaphorePermit,
    ) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(TCP_KEEPALIVE_IDLE))?;
        socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
        let counter = WriteCounter::default();
        let check = SharedCheck::new(MAX_RESPONSE_HEADER_BYTES);
        let stream = CountedStream::new(stream, counter.clone(), check.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_RESPONSE_HEADER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            // The sender reports errors to the exchange in progress.
            let _ = connection.await;
            drop(permit);
        });
        Ok(Self {
            sender,
            counter,
            check,
            task: task.abort_handle(),
            last_used: None,
        })
    }

    /// Returns the end of the last exchange; `None` on a new connection.
    pub(crate) fn last_used(&self) -> Option<Instant> {
        self.last_used
    }

    /// Returns whether the connection is closed, or received bytes that belong to no
    /// response, and cannot carry another exchange.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed() || self.check.has_surplus()
    }

    /// Waits until the connection can carry an exchange; returns false when the
    /// connection closes instead.
    pub(crate) async fn wait_ready(&mut self) -> bool {
        self.sender.is_ready() || self.sender.ready().await.is_ok()
    }

    /// Begins an exchange.
    pub(crate) fn begin(self) -> Exchange {
        let written_before = self.counter.written();
        Exchange {
            connection: self,
            written_before,
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Closing the counter stops writes at once; the task ends slightly
        // later.
        self.counter.close();
        self.task.abort();
    }
}

impl Exchange {
    /// Returns whether the connection had an exchange before.
    pub(crate) fn is_reused(&self) -> bool {
        self.connection.last_used.is_some()
    }

    /// Sends the request and waits for the head of the response. The error
    /// contains the request when the connection did not accept the request.
    pub(crate) async fn send(
        &mut self,
        request: Request<Upload>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Upload>>> {
        self.connection.check.begin(request.method().clone());
        self.connection.sender.try_send_request(request).await
    }

    /// Stops the exchange and returns the number of its bytes that were handed
    /// to the kernel.
    pub(crate) fn stop(&self) -> u64 {
        self.connection.counter.close() - self.written_before
    }

    /// Ends a completed exchange and returns the connection for reuse.
    pub(crate) fn finish(mut self) -> Connection {
        self.connection.last_used = Some(Instant::now());
        self.connection
    }
}
