//! Stream of a caller's connection.

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

/// Begin of every HTTP/2 connection; no HTTP/1.1 request begins with it.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0";

/// End of the head of an HTTP/1.1 message.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Largest head that is examined; the HTTP library refuses larger ones.
const HEAD_LIMIT: usize = 64 * 1024;

/// Header fields of a head that are examined.
const FIELD_LIMIT: usize = 256;

/// What the stream and the service of a connection tell each other.
#[derive(Debug, Default)]
pub(crate) struct Watch {
    /// A request is in progress, so further bytes are its body.
    busy: AtomicBool,
    /// The last head stated the length of its body more than once. The HTTP
    /// library removes the evidence.
    ambiguous: AtomicBool,
}

impl Watch {
    /// Begins a request and returns whether its length is ambiguous.
    pub(crate) fn begin(&self) -> bool {
        self.busy.store(true, Ordering::Release);
        self.ambiguous.swap(false, Ordering::AcqRel)
    }

    /// Ends a request: the next byte begins another head.
    pub(crate) fn end(&self) {
        self.busy.store(false, Ordering::Release);
    }

    fn is_busy(&self) -> bool {
        self.busy.load(Ordering::Acquire)
    }
}

/// Limits the time for the head of an HTTP/1.1 request, counted from its first
/// byte, and the time that a connection idles. The HTTP library's own limit
/// also runs while a connection idles, and would close it just when a caller
/// sends its next request.
#[derive(Debug)]
pub(crate) struct Stream {
    inner: TcpStream,
    watch: Arc<Watch>,
    head_timeout: Duration,
    idle_timeout: Duration,
    phase: Phase,
    head: Vec<u8>,
    timer: Pin<Box<Sleep>>,
    write_timeout: Duration,
    /// Runs while the caller takes no bytes.
    write_timer: Option<Pin<Box<Sleep>>>,
}

/// Time limits of a caller's connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Patience {
    /// For the head of a request, from its first byte.
    pub(crate) head: Duration,
    /// For the next request.
    pub(crate) idle: Duration,
    /// For the caller to take bytes of a response.
    pub(crate) write: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No byte of the next head has arrived.
    Idle,
    /// A head is arriving.
    Head,
    /// The head has arrived; its body may follow.
    Body,
    /// The connection speaks HTTP/2.
    Http2,
}

impl Stream {
    pub(crate) fn new(inner: TcpStream, watch: Arc<Watch>, patience: Patience) -> Self {
        Self {
            inner,
            watch,
            head_timeout: patience.head,
            idle_timeout: patience.idle,
            phase: Phase::Idle,
            head: Vec::new(),
            timer: Box::pin(tokio::time::sleep(patience.idle)),
            write_timeout: patience.write,
            write_timer: None,
        }
    }

    /// Passes on the result of a write, unless the caller takes no bytes for
    /// too long: such a caller would hold a slot of a target.
    fn limit_write(
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

    /// Examines bytes that were read.
    fn examine(&mut self, bytes: &[u8]) {
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
        if end || self.head.len() > HEAD_LIMIT {
            self.phase = Phase::Body;
            if is_ambiguous(&self.head) {
                self.watch.ambiguous.store(true, Ordering::Release);
            }
            self.head.clear();
        }
    }
}

/// Whether a head states the length of its body more than once.
fn is_ambiguous(head: &[u8]) -> bool {
    let mut fields = [httparse::EMPTY_HEADER; FIELD_LIMIT];
    let mut request = httparse::Request::new(&mut fields);
    if request.parse(head).is_err() {
        return false;
    }
    let count = |name: &str| {
        let named = request.headers.iter();
        named
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
        if this.phase == Phase::Body && !this.watch.is_busy() {
            this.phase = Phase::Idle;
            this.timer
                .as_mut()
                .reset(Instant::now() + this.idle_timeout);
        }
        if this.phase != Phase::Http2 && this.watch.is_busy() {
            // Also after a head that came in one piece with an earlier request.
            this.phase = Phase::Body;
        }
        let before = buffer.filled().len();
        match Pin::new(&mut this.inner).poll_read(cx, buffer) {
            Poll::Ready(Ok(())) => {
                this.examine(&buffer.filled()[before..]);
                Poll::Ready(Ok(()))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => {
                let timed = matches!(this.phase, Phase::Idle | Phase::Head);
                if timed && this.timer.as_mut().poll(cx).is_ready() {
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
        self.limit_write(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(cx, buffers);
        self.limit_write(cx, written)
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
