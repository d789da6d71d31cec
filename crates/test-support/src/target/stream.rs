//! Connections of the stand-in, which can be reset or go silent.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::fault::Reset;
use super::request::Shared;

/// Number of bytes that are read before a reset in the middle of reading; less
/// than any request head.
const MID_READING_BYTES: usize = 24;

/// Faults and progress of one connection.
#[derive(Debug, Default)]
pub(super) struct State {
    /// Whether all bytes are read and discarded and nothing is written.
    pub(super) silent: AtomicBool,
    /// Whether the connection is closed with a reset.
    pub(super) reset: AtomicBool,
    /// Number of exchanges whose responses were produced.
    pub(super) exchanges: AtomicU64,
}

#[derive(Debug)]
pub(super) struct Stream {
    inner: TcpStream,
    state: Arc<State>,
    shared: Arc<Shared>,
}

impl Stream {
    pub(super) fn new(inner: TcpStream, state: Arc<State>, shared: Arc<Shared>) -> Self {
        Self {
            inner,
            state,
            shared,
        }
    }

    /// Marks the connection for a reset and returns the error that ends it.
    fn reset(&self) -> io::Error {
        self.state.reset.store(true, Ordering::Relaxed);
        io::ErrorKind::ConnectionReset.into()
    }

    /// Reads and discards bytes until the peer closes the connection.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
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
        if self.state.silent.load(Ordering::Relaxed) {
            return self.poll_discard(cx);
        }
        // Waits for a byte before the fault is looked up, because the fault may be
        // set while the read is pending.
        let mut first = [0; 1];
        ready!(self.inner.poll_peek(cx, &mut ReadBuf::new(&mut first)))?;
        match self.shared.faults().reset {
            Some(Reset::BeforeReading) => Poll::Ready(Err(self.reset())),
            Some(Reset::MidReading) => {
                let mut scratch = [0; MID_READING_BYTES];
                let mut part = ReadBuf::new(&mut scratch);
                ready!(Pin::new(&mut self.inner).poll_read(cx, &mut part))?;
                Poll::Ready(Err(self.reset()))
            }
            _ => {
                ready!(Pin::new(&mut self.inner).poll_read(cx, buffer))?;
                if self.state.silent.load(Ordering::Relaxed) {
                    buffer.clear();
                    return self.poll_discard(cx);
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
        if self.state.silent.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.state.silent.load(Ordering::Relaxed) {
            return self.poll_discard(cx);
        }
        if self.state.reset.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if self.state.reset.load(Ordering::Relaxed) {
            // If this fails, the connection is closed without a reset, which makes
            // the tests of resets fail.
            let _ = self.inner.set_zero_linger();
        }
    }
}
