//! Counter of the bytes that a connection hands to the kernel.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::checked::SharedCheck;

/// Counter of the bytes that a connection hands to the kernel. Closing the
/// counter stops all further writes, so that the count is then final and exact,
/// even while another thread drives the connection.
#[derive(Debug, Clone, Default)]
pub(crate) struct WriteCounter {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    written: u64,
    closed: bool,
}

impl WriteCounter {
    /// Returns the number of bytes written so far.
    pub(crate) fn written(&self) -> u64 {
        self.lock().written
    }

    /// Stops all further writes and returns the number of bytes written.
    pub(crate) fn close(&self) -> u64 {
        let mut state = self.lock();
        state.closed = true;
        state.written
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs one write and counts its bytes, unless the counter is closed.
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

/// TCP stream whose writes are counted and whose received bytes are checked.
#[derive(Debug)]
pub(crate) struct CountedStream {
    stream: TcpStream,
    counter: WriteCounter,
    check: SharedCheck,
}

impl CountedStream {
    pub(crate) fn new(stream: TcpStream, counter: WriteCounter, check: SharedCheck) -> Self {
        Self {
            stream,
            counter,
            check,
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let received = buffer.filled().get(filled..).unwrap_or_default();
        Poll::Ready(self.check.receive(received))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        this.counter
            .write(|| Pin::new(&mut this.stream).poll_write(cx, bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        this.counter
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
