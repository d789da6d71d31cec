//! Client connections that carry one exchange at a time.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::Instant;

use crate::message::Response;
use crate::reader::{Limits, ReadError, Reader};

/// Time for which sent bytes may stay unacknowledged before the kernel closes
/// the connection. A network partition causes no other error.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Idle time after which the kernel sends keep-alive probes.
const TCP_KEEPALIVE_IDLE: Duration = Duration::from_secs(5);

/// Largest head of a response, in bytes.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;

/// Failure to open a connection. No byte was sent. The text becomes part of
/// response bodies of the administration API.
#[derive(Debug, Error)]
pub enum OpenError {
    /// The peer refused the connection or is unreachable.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The peer did not accept the connection within the time-out.
    #[error("the connection was not accepted in time")]
    TimedOut,
}

/// Failure of an exchange that got no complete response.
#[derive(Debug, Error)]
#[error("{cause} after {sent} bytes were sent")]
pub struct ExchangeError {
    /// Bytes of the request that were handed to the kernel. At 0, the peer
    /// cannot have received any part of the request.
    pub sent: usize,
    /// Underlying failure.
    #[source]
    pub cause: ReadError,
}

/// Open connection. Dropping the connection closes it, which cancels the
/// request in progress at the peer.
#[derive(Debug)]
pub struct Connection {
    reader: Reader,
    writer: OwnedWriteHalf,
    /// End of the last exchange; before the first exchange, the time at which
    /// the connection was opened.
    last_used: Instant,
    /// Time at which the peer will close the idle connection, if announced.
    expiry: Option<Instant>,
    reusable: bool,
}

impl Connection {
    /// Opens a connection within `timeout`. Response bodies are limited to
    /// `max_body` bytes.
    ///
    /// # Errors
    ///
    /// Fails when the peer is unreachable, refuses the connection, or does not
    /// accept it within `timeout`.
    pub async fn open(
        address: SocketAddr,
        timeout: Duration,
        max_body: u64,
    ) -> Result<Self, OpenError> {
        let stream = tokio::time::timeout(timeout, TcpStream::connect(address))
            .await
            .map_err(|_| OpenError::TimedOut)??;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(TCP_KEEPALIVE_IDLE))?;
        socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
        let (reader, writer) = stream.into_split();
        let limits = Limits {
            head: MAX_RESPONSE_HEAD_BYTES,
            body: max_body,
        };
        Ok(Self {
            reader: Reader::new(reader, limits),
            writer,
            last_used: Instant::now(),
            expiry: None,
            reusable: true,
        })
    }

    /// Returns the time since the last exchange ended, or since the connection
    /// was opened.
    #[must_use]
    pub fn idle_time(&self) -> Duration {
        self.last_used.elapsed()
    }

    /// Returns whether another exchange may begin: the last exchange ended
    /// cleanly, no byte arrived since, and the peer's announced idle time-out
    /// is more than `margin` away.
    #[must_use]
    pub fn is_reusable(&mut self, margin: Duration) -> bool {
        let expired = self
            .expiry
            .is_some_and(|expiry| Instant::now() + margin >= expiry);
        self.reusable && !expired && !self.reader.is_stale()
    }

    /// Sends an encoded request and reads the complete response. When the
    /// response arrives before the request was sent completely, the rest of the
    /// request is not sent and the connection cannot be reused. `sent` counts
    /// the bytes of the request that were handed to the kernel.
    ///
    /// # Errors
    ///
    /// Fails when no complete response arrives; the error states whether the
    /// request can have reached the peer.
    pub async fn exchange(
        &mut self,
        method: &Method,
        request: &[u8],
        sent: &mut usize,
    ) -> Result<Response, ExchangeError> {
        self.reusable = false;
        *sent = 0;
        let result = {
            let write = write_request(&mut self.writer, request, sent);
            let read = self.reader.response(method);
            tokio::pin!(write, read);
            tokio::select! {
                biased;
                written = &mut write => match written {
                    Ok(()) => read.await.map(|response| (response, true)),
                    // The peer may have sent a response before it closed the
                    // connection.
                    Err(error) => match read.await {
                        Ok(response) => Ok((response, false)),
                        Err(_) => Err(ReadError::Io(error)),
                    },
                },
                response = &mut read => response.map(|response| (response, false)),
            }
        };
        let (response, request_complete) =
            result.map_err(|cause| ExchangeError { sent: *sent, cause })?;
        self.last_used = Instant::now();
        self.expiry = response
            .idle_timeout
            .map(|timeout| self.last_used + timeout);
        self.reusable = request_complete && response.keep_alive;
        Ok(response)
    }
}

async fn write_request(
    writer: &mut OwnedWriteHalf,
    request: &[u8],
    sent: &mut usize,
) -> io::Result<()> {
    while *sent < request.len() {
        let count = writer.write(&request[*sent..]).await?;
        if count == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        *sent += count;
    }
    Ok(())
}
