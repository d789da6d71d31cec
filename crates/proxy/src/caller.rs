//! Byte stream of a caller connection, with time-outs.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

/// Start of every HTTP/2 connection; no HTTP/1.1 request starts with these
/// bytes.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0";

/// End of the head of an HTTP/1.1 message.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Largest head that is inspected, in bytes; the HTTP library refuses larger
/// heads.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Largest number of header fields in an inspected head.
const MAX_FIELDS: usize = 256;

/// State that the stream and the HTTP service of a connection share.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// Whether a request is in progress, so that further bytes belong to its
    /// body.
    busy: AtomicBool,
    /// Whether the last head stated the length of its body more than once. The
    /// HTTP library normalizes such heads, so the service cannot detect this.
    ambiguous: AtomicBool,
}

impl State {
    /// Marks a request as begun and returns whether its length is ambiguous.
    pub(crate) fn begin_request(&self) -> bool {
        self.busy.store(true, Ordering::Release);
        self.ambiguous.swap(false, Ordering::AcqRel)
    }

    /// Marks the request as ended: the next byte begins another head.
    pub(crate) fn end_request(&self) {
        self.busy.store(false, Ordering::Release);
    }

    fn is_busy(&self) -> bool {
        self.busy.load(Ordering::Acquire)
    }
}

/// Stream that limits the time for the head of an HTTP/1.1 request, from its
/// first byte, and the idle time of the connection. The HTTP library's own head
/// time-out also runs while a connection is idle, and could close the
/// connection just when the caller sends its next request.
#[derive(Debug)]
pub(crate) struct Stream {
    inner: TcpStream,
    state: Arc<State>,
    head_timeout: Duration,
    idle_timeout: Duration,
    phase: Phase,
    head: Vec<u8>,
    timer: Pin<Box<Sleep>>,
    write_timeout: Duration,
    /// Timer that runs while the caller reads no bytes.
    write_timer: Option<Pin<Box<Sleep>>>,
}

/// Time-outs of a caller connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Timeouts {
    /// Time-out for the head of a request, from its first byte.
    pub(crate) head: Duration,
    /// Time-out for the start of the next request.
    pub(crate) idle: Duration,
    /// Time-out for the caller to read bytes of a response.
    pub(crate) write: Duration,
}

/// Phase of the exchange on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No byte of the next head has arrived.
    Idle,
    /// A head is arriving.
    Head,
    /// The head has arrived; its body may follow.
    Body,
    /// The connection uses HTTP/2.
    Http2,
}

impl Stream {
    pub(crate) fn new(inner: TcpStream, state: Arc<State>, timeouts: Timeouts) -> Self {
        Self {
            inner,
            state,
            head_timeout: timeouts.head,
            idle_timeout: timeouts.idle,
            phase: Phase::Idle,
            head: Vec::new(),
            timer: Box::pin(tokio::time::sleep(timeouts.idle)),
            write_timeout: timeouts.write,
            write_timer: None,
        }
    }

    /// Returns the result of a write, or an error when the caller reads no
    /// bytes for too long: such a caller would occupy a slot of a target.
    fn apply_write_timeout(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.write_timer = None;
            return written;
        }
        let timeout = self.write_timeout;
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Tracks the phase of the exchange from the bytes that were read.
    fn inspect(&mut self, bytes: &[u8]) {
        if self.phase == Phase::Idle && !bytes.is_empty() {
            self.phase = Phase::Head;
            self.timer
                .as_mut()
                .reset(Instant::now() + self.head_timeout);
        }
        if self.phase != Phase::Head {
            return;
        }
        let before = self.head.len().saturating_sub(HEAD_END.len());
        self.head.extend_from_slice(bytes);
        if self.head.starts_with(HTTP2_PREFACE) {
            self.phase = Phase::Http2;
            self.head = Vec::new();
            return;
        }
        let end = self.head[before..]
            .windows(HEAD_END.len())
            .any(|window| window == HEAD_END);
        if end || self.head.len() > MAX_HEAD_BYTES {
            self.phase = Phase::Body;
            if is_ambiguous(&self.head) {
                self.state.ambiguous.store(true, Ordering::Release);
            }
            self.head.clear();
        }
    }
}

/// Returns whether a head states the length of its body more than once.
fn is_ambiguous(head: &[u8]) -> bool {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    if request.parse(head).is_err() {
        return false;
    }
    let count = |name: &str| {
        let fields = request.headers.iter();
        fields
            .filter(|field| field.name.eq_ignore_ascii_case(name))
            .count()
    };
    let lengths = count(CONTENT_LENGTH.as_str());
    let encodings = count(TRANSFER_ENCODING.as_str());
    lengths + encodings > 1
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.phase == Phase::Body && !this.state.is_busy() {
            this.phase = Phase::Idle;
            this.timer
                .as_mut()
                .reset(Instant::now() + this.idle_timeout);
        }
        if this.phase != Phase::Http2 && this.state.is_busy() {
            // Also needed when the head arrived in the same read as an earlier
            // request.
            this.phase = Phase::Body;
        }
        let before = buffer.filled().len();
        match Pin::new(&mut this.inner).poll_read(cx, buffer) {
            Poll::Ready(Ok(())) => {
                this.inspect(&buffer.filled()[before..]);
                Poll::Ready(Ok(()))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => {
                let has_timeout = matches!(this.phase, Phase::Idle | Phase::Head);
                if has_timeout && this.timer.as_mut().poll(cx).is_ready() {
                    return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
                }
                Poll::Pending
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
        let written = Pin::new(&mut self.inner).poll_write(cx, bytes);
        self.apply_write_timeout(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, buffers);
        self.apply_write_timeout(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
