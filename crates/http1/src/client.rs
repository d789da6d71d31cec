//! Client connections, one exchange at a time.

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

/// Time for which sent bytes may stay unacknowledged before the kernel gives a
/// connection up. A partition answers nothing at all.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Idle time after which the kernel probes a connection.
const KEEPALIVE: Duration = Duration::from_secs(5);

/// Largest head of a response, in bytes.
const RESPONSE_HEAD: usize = 64 * 1024;

/// Why a connection could not be opened. Nothing was sent.
#[derive(Debug, Error)]
pub enum OpenError {
    /// The peer refused or is not reachable.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The peer did not accept in time.
    #[error("the connection was not accepted in time")]
    TimedOut,
}

/// Why an exchange has no response.
#[derive(Debug, Error)]
#[error("{cause} after {sent} bytes were sent")]
pub struct ExchangeError {
    /// Bytes of the request that were handed to the kernel. While it is 0 the
    /// request has certainly not reached the peer.
    pub sent: usize,
    /// What failed.
    #[source]
    pub cause: ReadError,
}

/// An open connection. Dropping it closes it, which cancels the request in
/// progress at the peer.
#[derive(Debug)]
pub struct Connection {
    reader: Reader,
    writer: OwnedWriteHalf,
    /// End of the last exchange; the opening before the first one.
    used: Instant,
    /// Moment at which the peer closes the idle connection, when stated.
    expiry: Option<Instant>,
    reusable: bool,
}

impl Connection {
    /// Opens a connection within `timeout`. Responses have a body of
    /// `max_body` bytes at most.
    ///
    /// # Errors
    ///
    /// Fails when the peer does not accept in time.
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
        socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE))?;
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        let (reader, writer) = stream.into_split();
        let limits = Limits {
            head: RESPONSE_HEAD,
            body: max_body,
        };
        Ok(Self {
            reader: Reader::new(reader, limits),
            writer,
            used: Instant::now(),
            expiry: None,
            reusable: true,
        })
    }

    /// Time since the last exchange ended.
    #[must_use]
    pub fn idle_time(&self) -> Duration {
        self.used.elapsed()
    }

    /// Whether another exchange may begin: the last one ended cleanly, nothing
    /// arrived since, and the peer keeps the connection for `margin` longer.
    #[must_use]
    pub fn is_reusable(&mut self, margin: Duration) -> bool {
        let expired = self
            .expiry
            .is_some_and(|expiry| Instant::now() + margin >= expiry);
        self.reusable && !expired && !self.reader.is_stale()
    }

    /// Sends an encoded request and reads the whole response. The response may
    /// arrive before the request is sent to its end; the rest is then not
    /// sent and the connection can't be used again.
    ///
    /// # Errors
    ///
    /// Fails when no whole response arrives; the error states whether the
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
            let write = write(&mut self.writer, request, sent);
            let read = self.reader.response(method);
            tokio::pin!(write, read);
            tokio::select! {
                biased;
                written = &mut write => match written {
                    Ok(()) => read.await.map(|response| (response, true)),
                    // The peer may have answered before it closed.
                    Err(error) => match read.await {
                        Ok(response) => Ok((response, false)),
                        Err(_) => Err(ReadError::Io(error)),
                    },
                },
                response = &mut read => response.map(|response| (response, false)),
            }
        };
        let (response, sent_whole) =
            result.map_err(|cause| ExchangeError { sent: *sent, cause })?;
        self.used = Instant::now();
        self.expiry = response.idle_timeout.map(|timeout| self.used + timeout);
        self.reusable = sent_whole && response.keep_alive;
        Ok(response)
    }
}

async fn write(writer: &mut OwnedWriteHalf, request: &[u8], sent: &mut usize) -> io::Result<()> {
    while *sent < request.len() {
        let count = writer.write(&request[*sent..]).await?;
        if count == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        *sent += count;
    }
    Ok(())
}
