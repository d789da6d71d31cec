//! Processing of a request, from its head to the start of its response.

use std::convert::Infallible;
use std::net::IpAddr;
use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};

use bytes::Bytes;
use carobdrift_balance::{Call, Slot};
use carobdrift_document::{Keys, Kind, Route};
use carobdrift_idempotency::{Claims, Grant, Refusal, Scheme};
use carobdrift_units::Service;
use carobdrift_wire::Key;
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{HeaderValue, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use log::debug;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::attempt::{Outbound, TargetResponse};
use crate::failure::{Failure, Outcome};
use crate::fields;
use crate::headers;
use crate::once::send_once;
use crate::recording::{self, Recording, record};
use crate::relay::{Interruption, Relay};
use crate::retry::send_with_retries;
use crate::services::{ActiveService, Services};
use crate::settings::Settings;
use crate::upload::{CallerBody, Upload};
use crate::validate::{self, Metadata, validate};

/// Largest number of times that a request is routed again because the document
/// of its service changed while the request waited.
const MAX_REROUTES: u32 = 4;

/// Metric label of requests for unknown services.
const UNKNOWN_SERVICE_LABEL: &str = "-";

/// Proxy that serves the requests of callers.
#[derive(Debug)]
pub(crate) struct Proxy {
    pub(crate) settings: Settings,
    pub(crate) services: Services,
    pub(crate) claims: Claims,
    pub(crate) via: HeaderValue,
    /// Cancelled when requests without a response are answered because the entry ends.
    pub(crate) ending: CancellationToken,
}

/// Body of a response to a caller.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    Buffered(Full<Bytes>),
    Relayed(Box<Relay>),
    /// The part of a body that was already read, and the unread rest.
    Prefixed(Bytes, Box<Relay>),
}

/// Assignment of a routed request to a slot of a target.
struct Assignment {
    active: Arc<ActiveService>,
    route: Route,
    call: Call,
    slot: Slot,
}

/// Request that was routed but has no slot yet.
struct RoutedRequest {
    active: Arc<ActiveService>,
    route: Route,
    call: Call,
}

impl Proxy {
    /// Serves one request. `ambiguous` tells whether the request states its
    /// length more than once.
    pub(crate) async fn serve(
        &self,
        caller: IpAddr,
        ambiguous: bool,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let started_at = Instant::now();
        let (parts, body) = request.into_parts();
        let request_id = validate::request_id(&parts);
        let metrics = self.services.metrics();
        let metadata = if ambiguous {
            Err(validate::ambiguous_length())
        } else {
            validate(&parts, &self.settings)
        };
        let metadata = match metadata {
            Ok(metadata) => metadata,
            Err(failure) => {
                metrics.count_outcome(
                    UNKNOWN_SERVICE_LABEL,
                    failure.outcome.as_str(),
                    failure.reason,
                );
                return error_response(&failure, &request_id);
            }
        };
        let is_known = self
            .services
            .documents()
            .edition(&metadata.service)
            .is_some();
        let service = metadata.service.clone();
        let label = if is_known {
            service.as_str()
        } else {
            UNKNOWN_SERVICE_LABEL
        };
        match self
            .forward(started_at, caller, &request_id, parts, body, metadata)
            .await
        {
            Ok((response, reason)) => {
                metrics.count_outcome(label, "answered", reason);
                response
            }
            Err(failure) => {
                metrics.count_outcome(label, failure.outcome.as_str(), failure.reason);
                debug!(
                    target: "proxy",
                    "request {request_id:?} to {service}: {} ({}): {}",
                    failure.outcome.as_str(), failure.reason, failure.message
                );
                error_response(&failure, &request_id)
            }
        }
    }

    /// Forwards a request to a target; returns the response and the reason to
    /// count.
    async fn forward(
        &self,
        started_at: Instant,
        caller: IpAddr,
        request_id: &HeaderValue,
        mut parts: Parts,
        body: Incoming,
        metadata: Metadata,
    ) -> Result<(Response<ResponseBody>, &'static str), Failure> {
        self.require_confirmation().await?;
        let routed = self.route(started_at, &parts, &metadata)?;
        let limit = routed.active.document.bodies.max_request_bytes.0;
        let body = CallerBody::new(body, limit, self.settings.body_idle_timeout);
        let state = body.state();
        let upload = body
            .buffer()
            .await
            .map_err(|fault| Failure::from_upload_fault(fault, Outcome::NotRun))?;
        let grant = match self.claim(&routed, &parts).await {
            Ok(grant) => grant,
            Err(Rejection::Replay(recorded)) => {
                let replay = recording::replay(recorded, request_id);
                return Ok((replay.map(buffered), "replayed"));
            }
            Err(Rejection::Refused(failure)) => return Err(failure),
        };
        let Assignment {
            active,
            route,
            call,
            slot,
        } = self
            .until_ending(
                Outcome::NotRun,
                self.acquire_slot(started_at, &parts, &metadata, routed),
            )
            .await?;

        headers::rewrite_request(
            &mut parts.headers,
            &metadata.host,
            caller,
            &self.via,
            request_id,
        );
        let outbound = Outbound {
            method: parts.method,
            uri: origin_form(&parts.uri),
            headers: parts.headers,
            upload: matches!(upload, Upload::Streamed(_)).then_some(state),
            routed_at: Instant::now(),
            first_sent_at: OnceLock::new(),
            call,
            services: self.services.clone(),
            active,
        };
        let retries = metadata.retries_left;
        let send = async {
            match (route.kind, upload) {
                (Kind::Idempotent, Upload::Buffered(body)) => {
                    let response = send_with_retries(&outbound, body, slot, retries).await?;
                    Ok((response, None))
                }
                (_, upload) => send_once(&outbound, upload, slot, retries, grant).await,
            }
        };
        let (target_response, dispatch) = self.until_ending(Outcome::Unknown, send).await?;
        let target_time = outbound.first_sent_at.get().map(Instant::elapsed);
        let TargetResponse {
            mut head, mut body, ..
        } = target_response;
        headers::rewrite_response(&mut head.headers, &self.via, request_id);
        if let Some(latencies) = outbound.active.latencies(&outbound.call.class) {
            let added = started_at
                .elapsed()
                .saturating_sub(target_time.unwrap_or_default());
            latencies.added.observe(added.as_secs_f64());
            body.record_duration(started_at, latencies.requests.clone());
        }
        let body = match dispatch {
            None => ResponseBody::Relayed(Box::new(body)),
            Some(dispatch) => match self
                .until_ending(Outcome::Unknown, record(&head, body, dispatch))
                .await?
            {
                Recording::Complete(bytes) => buffered(bytes),
                Recording::Oversized(prefix, rest) => ResponseBody::Prefixed(prefix, rest),
            },
        };
        let close_connection = outbound.upload.is_some_and(|upload| !upload.is_complete());
        let mut response = Response::from_parts(head, body);
        if close_connection {
            let close = HeaderValue::from_static("close");
            response
                .headers_mut()
                .insert(http::header::CONNECTION, close);
        }
        Ok((response, "answered"))
    }

    /// Waits for a step of a request, at most until the entry is about to end. `outcome`
    /// states what is then known of the request.
    async fn until_ending<T>(
        &self,
        outcome: Outcome,
        step: impl Future<Output = Result<T, Failure>>,
    ) -> Result<T, Failure> {
        let status = match outcome {
            Outcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            Outcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
        };
        tokio::select! {
            biased;
            result = step => result,
            () = self.ending.cancelled() => Err(Failure::new(
                status,
                outcome,
                "stopping",
                "the entry ends before the request has a response",
            )),
        }
    }

    /// Waits for a limited time until calls may be dispatched, if they may not
    /// be dispatched now.
    async fn require_confirmation(&self) -> Result<(), Failure> {
        let documents = self.services.documents();
        let confirmed = documents.standing().permits_calls()
            || documents
                .wait_for_confirmation(self.settings.confirmation_timeout)
                .await
                .permits_calls();
        if confirmed {
            return Ok(());
        }
        Err(Failure::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "unconfirmed",
            "this entry can't confirm that its documents are the newest ones",
        ))
    }

    /// Returns the failure for a service without a usable document.
    fn unavailable_service(&self, service: &Service) -> Failure {
        if self.services.documents().is_unreadable(service) {
            let message = format!("this entry can't read the document of service {service}");
            return Failure::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "unreadable-document",
                message,
            );
        }
        let message = format!("there is no service {service}");
        Failure::not_run(StatusCode::NOT_FOUND, "no-service", message)
    }

    fn route(
        &self,
        started_at: Instant,
        parts: &Parts,
        metadata: &Metadata,
    ) -> Result<RoutedRequest, Failure> {
        let service = &metadata.service;
        let active = self
            .services
            .active(service)
            .ok_or_else(|| self.unavailable_service(service))?;
        let route = active.document.route(&parts.method, parts.uri.path());
        let Some(route) = route.cloned() else {
            let message = format!("service {service} has no route for this method and path");
            return Err(Failure::not_run(StatusCode::NOT_FOUND, "no-route", message));
        };
        let time_limit = route.deadline_ms.duration();
        let time_limit = metadata
            .deadline
            .map_or(time_limit, |requested| requested.min(time_limit));
        Ok(RoutedRequest {
            call: Call {
                class: route.class.clone(),
                kind: route.kind,
                deadline: started_at + time_limit,
            },
            active,
            route,
        })
    }

    /// Claims the idempotency key of a request, if the request has a key and
    /// the route requires one to be claimed.
    async fn claim(
        &self,
        routed: &RoutedRequest,
        parts: &Parts,
    ) -> Result<Option<Grant>, Rejection> {
        let scheme = match (routed.route.kind, routed.route.keys) {
            (Kind::Idempotent, _) | (_, Keys::None) => return Ok(None),
            (_, Keys::Issued) => Scheme::Issued,
            (_, Keys::Caller) => Scheme::Caller,
        };
        let Some(value) = parts.headers.get(fields::IDEMPOTENCY_KEY) else {
            return Ok(None);
        };
        let key: Key = value
            .to_str()
            .map_err(|_| malformed_key("an idempotency key holds visible ASCII characters only"))?
            .parse()
            .map_err(|error: carobdrift_wire::KeyError| malformed_key(error.to_string()))?;
        let service = &routed.active.document.service;
        let path = parts.uri.path_and_query().map_or("/", PathAndQuery::as_str);
        let deadline = routed.call.deadline;
        let request = carobdrift_idempotency::Request {
            service: service.clone(),
            key,
            scheme,
            fingerprint: carobdrift_idempotency::Request::fingerprint(
                service,
                parts.method.as_str(),
                path,
            ),
            remaining: deadline.saturating_duration_since(Instant::now()),
        };
        match self.claims.claim(request).await {
            Ok(grant) => Ok(Some(grant)),
            Err(Refusal::Replay(recorded)) => Err(Rejection::Replay(recorded)),
            Err(refusal) => Err(Rejection::Refused((&refusal).into())),
        }
    }

    /// Acquires a slot for a request. When the document changed while the
    /// request waited, the request is routed again, so that the document in
    /// force at its dispatch applies.
    async fn acquire_slot(
        &self,
        started_at: Instant,
        parts: &Parts,
        metadata: &Metadata,
        mut routed: RoutedRequest,
    ) -> Result<Assignment, Failure> {
        for _ in 0..MAX_REROUTES {
            let slot = routed.active.pool.acquire(&routed.call).await?;
            self.require_confirmation().await?;
            let rerouted = self.route(started_at, parts, metadata)?;
            if rerouted.active.version == routed.active.version {
                return Ok(Assignment {
                    active: routed.active,
                    route: routed.route,
                    call: routed.call,
                    slot,
                });
            }
            let same_kind = rerouted.route.kind == routed.route.kind
                && rerouted.route.keys == routed.route.keys;
            if !same_kind {
                break;
            }
            routed = rerouted;
        }
        Err(Failure::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "document-changed",
            "the service's document changed while the request waited",
        ))
    }
}

/// Rejection of a keyed request that must not be run.
enum Rejection {
    Replay(carobdrift_wire::Response),
    Refused(Failure),
}

fn malformed_key(message: impl Into<std::borrow::Cow<'static, str>>) -> Rejection {
    let status = StatusCode::BAD_REQUEST;
    Rejection::Refused(Failure::not_run(status, "malformed-key", message))
}

fn error_response(failure: &Failure, request_id: &HeaderValue) -> Response<ResponseBody> {
    failure.response(request_id).map(buffered)
}

fn buffered(bytes: Bytes) -> ResponseBody {
    ResponseBody::Buffered(Full::new(bytes))
}

/// Returns the path and query of a URI, which is the form that targets expect.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    Uri::from(path.unwrap_or_else(|| PathAndQuery::from_static("/")))
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Interruption;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Interruption>>> {
        match &mut *self {
            Self::Buffered(full) => Pin::new(full)
                .poll_frame(cx)
                .map_err(|never: Infallible| match never {}),
            Self::Prefixed(prefix, _) if !prefix.is_empty() => {
                Poll::Ready(Some(Ok(Frame::data(std::mem::take(prefix)))))
            }
            Self::Relayed(relay) | Self::Prefixed(_, relay) => {
                Pin::new(relay.as_mut()).poll_frame(cx)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(full) => full.is_end_stream(),
            Self::Relayed(relay) => relay.is_end_stream(),
            Self::Prefixed(prefix, relay) => prefix.is_empty() && relay.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(full) => full.size_hint(),
            Self::Relayed(relay) => relay.size_hint(),
            Self::Prefixed(prefix, relay) => {
                let mut hint = relay.size_hint();
                let prefix_length = prefix.len() as u64;
                if let Some(upper) = hint.upper() {
                    hint.set_upper(upper + prefix_length);
                }
                hint.set_lower(hint.lower() + prefix_length);
                hint
            }
        }
    }
}
