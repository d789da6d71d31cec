//! Counter of the bytes that were handed to the kernel.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Counts the bytes that a connection hands to the kernel, and stops it for
/// good when asked to. The count is exact once the gate is closed, even while
/// another thread drives the connection.
#[derive(Debug, Clone, Default)]
pub(crate) struct Gate {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    written: u64,
    closed: bool,
}

impl Gate {
    /// Bytes written so far.
    pub(crate) fn written(&self) -> u64 {
        self.lock().written
    }

    /// Stops all further writes and returns the bytes written.
    pub(crate) fn close(&self) -> u64 {
        let mut state = self.lock();
        state.closed = true;
        state.written
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs one write unless the gate is closed.
    fn write(&self, write: impl FnOnce() -> Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let mut state = self.lock();
        if state.closed {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let written = ready!(write())?;
        state.written += written as u64;
        Poll::Ready(Ok(written))
    }
}

/// A TCP stream whose writes pass a gate.
#[derive(Debug)]
pub(crate) struct Gated {
    stream: TcpStream,
    gate: Gate,
}

impl Gated {
    pub(crate) fn new(stream: TcpStream, gate: Gate) -> Self {
        Self { stream, gate }
    }
}

impl AsyncRead for Gated {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Gated {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        this.gate
            .write(|| Pin::new(&mut this.stream).poll_write(cx, bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        this.gate
            .write(|| Pin::new(&mut this.stream).poll_write_vectored(cx, buffers))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
