//! Listener for callers.

use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
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
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::caller::{Patience, Stream, Watch};
use crate::exchange::{Delivery, Gateway};
use crate::relay::Cut;
use crate::services::Services;
use crate::settings::Settings;

/// Pause after a failure to accept, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Interval at which idle connections to targets are looked through.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which HTTP/2 connections are checked to be alive.
const HTTP2_KEEPALIVE: Duration = Duration::from_secs(10);

/// Requests of one HTTP/2 connection at a time.
const HTTP2_STREAMS: u32 = 256;

/// Buffer for the head of an HTTP/1.1 request. Larger than the permitted
/// header, so that a header that is too large is refused with a reason.
const HTTP1_BUFFER: usize = 64 * 1024;

/// Header fields that the HTTP library accepts; above the permitted number for
/// the same reason.
const HTTP1_FIELDS: usize = 200;

/// Why callers can't be served.
#[derive(Debug, Error)]
pub enum Error {
    /// The address can't be listened on.
    #[error("can't listen on {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        #[source]
        cause: io::Error,
    },
}

/// A running listener for callers. Dropping it stops it at once.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    /// Stops accepting and ends connections after their requests.
    stop: CancellationToken,
    /// Ends connections at once.
    abort: CancellationToken,
    connections: TaskTracker,
}

struct Acceptor {
    gateway: Arc<Gateway>,
    protocol: auto::Builder<TokioExecutor>,
    stop: CancellationToken,
    abort: CancellationToken,
    connections: TaskTracker,
    open: IntGauge,
}

impl Listener {
    /// Starts to serve callers. `instance` names this entry in `via` fields.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be listened on.
    pub async fn bind(
        settings: Settings,
        instance: &Instance,
        services: Services,
        claims: Claims,
    ) -> Result<Self, Error> {
        let address = settings.address;
        let failed = |cause| Error::Listen { address, cause };
        let listener = TcpListener::bind(address).await.map_err(failed)?;
        Self::serve(listener, settings, instance, services, claims)
    }

    /// Starts to serve the callers of a listener that is bound already; the
    /// address of the settings is not used.
    ///
    /// # Errors
    ///
    /// Fails when the listener has no address. Must be called within a runtime.
    pub fn serve(
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
        let open = services.metrics().callers.clone();
        let via = HeaderValue::try_from(format!("1.1 {instance}"))
            .unwrap_or_else(|_| HeaderValue::from_static("1.1 carobdrift"));
        let stop = CancellationToken::new();
        let abort = CancellationToken::new();
        let connections = TaskTracker::new();
        let acceptor = Acceptor {
            protocol: protocol(&settings),
            stop: stop.clone(),
            abort: abort.clone(),
            connections: connections.clone(),
            open,
            gateway: Arc::new(Gateway {
                settings,
                services: services.clone(),
                claims,
                via,
            }),
        };
        tokio::spawn(sweep(services, stop.clone()));
        tokio::spawn(acceptor.run(listener));
        Ok(Self {
            address,
            stop,
            abort,
            connections,
        })
    }

    /// Address that callers connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections and waits at most `bound` until the requests
    /// in progress have ended; the rest is then cut off. Returns whether all
    /// of them ended.
    pub async fn drain(self, bound: Duration) -> bool {
        self.stop.cancel();
        self.connections.close();
        let ended = tokio::time::timeout(bound, self.connections.wait())
            .await
            .is_ok();
        if !ended {
            let left = self.connections.len();
            warn!(target: "proxy", "{left} connections did not end within {} ms", bound.as_millis());
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

fn protocol(settings: &Settings) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        // The stream limits the time for a head.
        .header_read_timeout(None)
        .max_buf_size(HTTP1_BUFFER)
        .max_headers(HTTP1_FIELDS);
    let header_bytes = u32::try_from(settings.max_header_bytes.0).unwrap_or(u32::MAX);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(HTTP2_KEEPALIVE)
        .keep_alive_timeout(settings.header_timeout)
        .max_concurrent_streams(HTTP2_STREAMS)
        .max_header_list_size(header_bytes.saturating_mul(2));
    builder
}

async fn sweep(services: Services, stop: CancellationToken) {
    let mut interval = tokio::time::interval(SWEEP_INTERVAL);
    while stop.run_until_cancelled(interval.tick()).await.is_some() {
        services.sweep();
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
                    warn!(target: "proxy", "a connection could not be accepted: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        info!(target: "proxy", "no further connections are accepted");
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, caller: IpAddr) {
        let _open = Open::new(&self.open);
        // Without it small responses wait for delayed acknowledgements.
        let _ = stream.set_nodelay(true);
        let watch = Arc::new(Watch::default());
        let settings = &self.gateway.settings;
        let stream = Stream::new(
            stream,
            Arc::clone(&watch),
            Patience {
                head: settings.header_timeout,
                idle: settings.idle_timeout,
                write: settings.body_idle_timeout,
            },
        );
        let service = service_fn(|request: Request<Incoming>| {
            let ambiguous = watch.begin();
            let end = End(Arc::clone(&watch));
            let gateway = Arc::clone(&self.gateway);
            async move {
                let response = gateway.serve(caller, ambiguous, request).await;
                Ok::<_, Infallible>(response.map(|delivery| Guarded {
                    delivery,
                    _end: end,
                }))
            }
        });
        let connection = self
            .protocol
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        // An error concerns this caller alone, and its requests were counted.
        // The abort is looked at first: when the process ends, connections to
        // targets may go before this one, and what the exchange then makes of
        // it must not be sent as an answer.
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

/// Counts an open connection while it lives.
struct Open(IntGauge);

impl Open {
    fn new(gauge: &IntGauge) -> Self {
        gauge.inc();
        Self(gauge.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// Tells the stream that a request has ended, when it is dropped.
struct End(Arc<Watch>);

impl Drop for End {
    fn drop(&mut self) {
        self.0.end();
    }
}

/// Body of a response, with the end of its request.
struct Guarded {
    delivery: Delivery,
    _end: End,
}

impl Body for Guarded {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        Pin::new(&mut self.delivery).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.delivery.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.delivery.size_hint()
    }
}
