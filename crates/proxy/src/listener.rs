//! Listener for callers.

use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use carobdrift_http1::Drain;
use carobdrift_idempotency::Claims;
use carobdrift_units::Instance;
use http::{HeaderValue, Request};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use log::{info, warn};
use prometheus::IntGauge;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::caller::{State, Stream, Timeouts};
use crate::exchange::{Proxy, ResponseBody};
use crate::relay::Interruption;
use crate::services::Services;
use crate::settings::Settings;

/// Delay after a failure to accept a connection, such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval at which expired idle connections to targets are closed.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Interval of the keep-alive pings on HTTP/2 connections.
const HTTP2_PING_INTERVAL: Duration = Duration::from_secs(10);

/// Largest number of concurrent requests on one HTTP/2 connection.
const MAX_HTTP2_STREAMS: u32 = 256;

/// Largest buffer for the head of an HTTP/1.1 request, in bytes. Larger than
/// the permitted header, so that this crate refuses larger headers with a
/// reason.
const MAX_HTTP1_HEAD_BYTES: usize = 64 * 1024;

/// Largest number of header fields that the HTTP library accepts. Above the
/// permitted number, so that this crate refuses more fields with a reason.
const MAX_HTTP1_FIELDS: usize = 200;

/// Failure to start the listener.
#[derive(Debug, Error)]
pub enum Error {
    /// The address cannot be listened on.
    #[error("cannot listen on {address}: {cause}")]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Underlying failure.
        #[source]
        cause: io::Error,
    },
}

/// Running listener for callers. Dropping the listener closes all caller
/// connections at once.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    /// Token that stops accepting and ends each connection after its requests
    /// in progress.
    stop: CancellationToken,
    /// Token that answers all requests without a response.
    ending: CancellationToken,
    /// Token that ends all connections at once.
    abort: CancellationToken,
    connections: TaskTracker,
}

/// Acceptor of caller connections.
struct Acceptor {
    proxy: Arc<Proxy>,
    protocol: auto::Builder<TokioExecutor>,
    stop: CancellationToken,
    abort: CancellationToken,
    connections: TaskTracker,
    open_connections: IntGauge,
}

impl Listener {
    /// Binds the address of the settings and starts to serve callers.
    /// `instance` names this entry in `via` fields.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be listened on.
    pub async fn bind(
        settings: Settings,
        instance: &Instance,
        services: Services,
        claims: Claims,
    ) -> Result<Self, Error> {
        let address = settings.address;
        let listen_error = |cause| Error::Listen { address, cause };
        let listener = TcpListener::bind(address).await.map_err(listen_error)?;
        Self::spawn(listener, settings, instance, services, claims)
    }

    /// Starts to serve the callers of a bound listener; the address of the
    /// settings is not used. Must be called within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails when the address of the listener cannot be determined.
    pub fn spawn(
        listener: TcpListener,
        settings: Settings,
        instance: &Instance,
        services: Services,
        claims: Claims,
    ) -> Result<Self, Error> {
        let address = listener.local_addr().map_err(|cause| Error::Listen {
            address: settings.address,
            cause,
        })?;
        let open_connections = services.metrics().caller_connections.clone();
        let via = HeaderValue::try_from(format!("1.1 {instance}"))
            .unwrap_or_else(|_| HeaderValue::from_static("1.1 carobdrift"));
        let stop = CancellationToken::new();
        let ending = CancellationToken::new();
        let abort = CancellationToken::new();
        let connections = TaskTracker::new();
        let acceptor = Acceptor {
            protocol: protocol_builder(&settings),
            stop: stop.clone(),
            abort: abort.clone(),
            connections: connections.clone(),
            open_connections,
            proxy: Arc::new(Proxy {
                settings,
                services: services.clone(),
                claims,
                via,
                ending: ending.clone(),
            }),
        };
        tokio::spawn(close_expired_connections(services, stop.clone()));
        tokio::spawn(acceptor.run(listener));
        Ok(Self {
            address,
            stop,
            ending,
            abort,
            connections,
        })
    }

    /// Returns the address that callers connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits at most `timeout` for the requests
    /// in progress. Shortly before its end, requests without a response are answered;
    /// responses whose rest is still in progress are aborted at its end.
    /// Returns whether all requests ended in time.
    pub async fn drain(self, timeout: Duration) -> bool {
        self.stop.cancel();
        self.connections.close();
        let drain = Drain::new(Instant::now(), timeout, Duration::ZERO);
        let ended = drain.run(&self.connections, &self.ending).await;
        if !ended {
            let remaining = self.connections.len();
            warn!(target: "proxy", "{remaining} caller connections did not end within {} ms", timeout.as_millis());
        }
        ended
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.stop.cancel();
        self.abort.cancel();
    }
}

fn protocol_builder(settings: &Settings) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        // `Stream` enforces the time-out for request heads.
        .header_read_timeout(None)
        .max_buf_size(MAX_HTTP1_HEAD_BYTES)
        .max_headers(MAX_HTTP1_FIELDS);
    let header_bytes = u32::try_from(settings.max_header_bytes.0).unwrap_or(u32::MAX);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(HTTP2_PING_INTERVAL)
        .keep_alive_timeout(settings.header_timeout)
        .max_concurrent_streams(MAX_HTTP2_STREAMS)
        .max_header_list_size(header_bytes.saturating_mul(2));
    builder
}

async fn close_expired_connections(services: Services, stop: CancellationToken) {
    let mut interval = tokio::time::interval(EXPIRY_CHECK_INTERVAL);
    while stop.run_until_cancelled(interval.tick()).await.is_some() {
        services.close_expired_connections();
    }
}

impl Acceptor {
    async fn run(self, listener: TcpListener) {
        let acceptor = Arc::new(self);
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = acceptor.stop.cancelled() => break,
            };
            match accepted {
                Ok((stream, caller)) => {
                    let connection = Arc::clone(&acceptor).serve(stream, caller.ip());
                    acceptor.connections.spawn(connection);
                }
                Err(error) => {
                    warn!(target: "proxy", "could not accept a caller connection: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        info!(target: "proxy", "stopped accepting caller connections");
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, caller: IpAddr) {
        let _guard = ConnectionGuard::new(&self.open_connections);
        // Without TCP_NODELAY, small responses wait for delayed
        // acknowledgements.
        let _ = stream.set_nodelay(true);
        let state = Arc::new(State::default());
        let settings = &self.proxy.settings;
        let stream = Stream::new(
            stream,
            Arc::clone(&state),
            Timeouts {
                head: settings.header_timeout,
                idle: settings.idle_timeout,
                write: settings.body_idle_timeout,
            },
        );
        let service = service_fn(|request: Request<Incoming>| {
            let ambiguous = state.begin_request();
            let guard = RequestGuard(Arc::clone(&state));
            let proxy = Arc::clone(&self.proxy);
            async move {
                let response = proxy.serve(caller, ambiguous, request).await;
                Ok::<_, Infallible>(response.map(|body| GuardedBody {
                    body,
                    _guard: guard,
                }))
            }
        });
        let connection = self
            .protocol
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        // A connection error concerns this caller alone, and its requests were
        // already counted. The abort token is polled first: when the process
        // ends, connections to targets may close before this one, and the
        // resulting error response must not be sent to the caller.
        tokio::select! {
            biased;
            () = self.abort.cancelled() => return,
            () = self.stop.cancelled() => connection.as_mut().graceful_shutdown(),
            _ = connection.as_mut() => return,
        }
        tokio::select! {
            biased;
            () = self.abort.cancelled() => {}
            _ = connection => {}
        }
    }
}

/// Guard that counts a connection as open until it is dropped.
struct ConnectionGuard(IntGauge);

impl ConnectionGuard {
    fn new(gauge: &IntGauge) -> Self {
        gauge.inc();
        Self(gauge.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// Guard that marks a request as ended in the connection state when it is
/// dropped.
struct RequestGuard(Arc<State>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

/// Body of a response, with the guard of its request.
struct GuardedBody {
    body: ResponseBody,
    _guard: RequestGuard,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = Interruption;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Interruption>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
