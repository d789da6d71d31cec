//! A connection of the stand-in, which can be reset or go silent.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::fault::Reset;
use super::serve::Shared;

/// Bytes that are read before a reset in the middle of reading; less than any
/// request line with its headers.
const MID_READING_BYTES: usize = 24;

/// Switches of one connection.
#[derive(Debug, Default)]
pub(super) struct Switches {
    /// Reads and drops everything, writes nothing.
    pub(super) silent: AtomicBool,
    /// Closes with a reset instead of an orderly end.
    pub(super) reset: AtomicBool,
    /// Exchanges that were completed.
    pub(super) exchanges: AtomicU64,
}

#[derive(Debug)]
pub(super) struct Stream {
    inner: TcpStream,
    switches: Arc<Switches>,
    shared: Arc<Shared>,
}

impl Stream {
    pub(super) fn new(inner: TcpStream, switches: Arc<Switches>, shared: Arc<Shared>) -> Self {
        Self {
            inner,
            switches,
            shared,
        }
    }

    fn fail(&self) -> io::Error {
        self.switches.reset.store(true, Ordering::Relaxed);
        io::ErrorKind::ConnectionReset.into()
    }

    /// Reads and drops bytes until the peer closes.
    fn poll_swallow(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut scratch = [0; 4096];
        loop {
            let mut buffer = ReadBuf::new(&mut scratch);
            ready!(Pin::new(&mut self.inner).poll_read(cx, &mut buffer))?;
            if buffer.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.switches.silent.load(Ordering::Relaxed) {
            return self.poll_swallow(cx);
        }
        // The fault may have been set while the read was waiting.
        let mut first = [0; 1];
        ready!(self.inner.poll_peek(cx, &mut ReadBuf::new(&mut first)))?;
        match self.shared.faults().reset {
            Some(Reset::BeforeReading) => Poll::Ready(Err(self.fail())),
            Some(Reset::MidReading) => {
                let mut scratch = [0; MID_READING_BYTES];
                let mut part = ReadBuf::new(&mut scratch);
                ready!(Pin::new(&mut self.inner).poll_read(cx, &mut part))?;
                Poll::Ready(Err(self.fail()))
            }
            _ => {
                ready!(Pin::new(&mut self.inner).poll_read(cx, buffer))?;
                if self.switches.silent.load(Ordering::Relaxed) {
                    buffer.clear();
                    return self.poll_swallow(cx);
                }
                Poll::Ready(Ok(()))
            }
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.switches.silent.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.switches.silent.load(Ordering::Relaxed) {
            return self.poll_swallow(cx);
        }
        if self.switches.reset.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if self.switches.reset.load(Ordering::Relaxed) {
            // Failing to set it leaves an orderly close, which tests notice.
            let _ = self.inner.set_zero_linger();
        }
    }
}
