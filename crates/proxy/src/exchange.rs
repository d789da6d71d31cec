//! A request from its head to the end of its response.

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

use crate::admit::{self, Admitted, admit};
use crate::attempt::{Answer, Order};
use crate::failure::{Failure, Outcome};
use crate::fields;
use crate::head;
use crate::keep::{self, Kept, keep};
use crate::race::race;
use crate::relay::{Cut, Relay};
use crate::services::{Served, Services};
use crate::settings::Settings;
use crate::solo::send_once;
use crate::upload::{Intake, Upload};

/// Times that a request is routed anew because its document changed while it
/// waited.
const REROUTES: u32 = 4;

/// Label of requests for services that do not exist.
const NO_SERVICE: &str = "-";

/// Everything that requests need.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) services: Services,
    pub(crate) claims: Claims,
    pub(crate) via: HeaderValue,
}

/// Body of a response to a caller.
#[derive(Debug)]
pub(crate) enum Delivery {
    Whole(Full<Bytes>),
    Relay(Box<Relay>),
    /// A part that was read ahead, and the rest.
    Rest(Bytes, Box<Relay>),
}

/// A request that was routed and got a slot.
struct Placed {
    served: Arc<Served>,
    route: Route,
    call: Call,
    slot: Slot,
}

/// A routed request that has no slot yet.
struct Routed {
    served: Arc<Served>,
    route: Route,
    call: Call,
}

impl Gateway {
    /// Serves one request. `ambiguous` states that its length was stated more
    /// than once.
    pub(crate) async fn serve(
        &self,
        caller: IpAddr,
        ambiguous: bool,
        request: Request<Incoming>,
    ) -> Response<Delivery> {
        let begin = Instant::now();
        let (parts, body) = request.into_parts();
        let request_id = admit::request_id(&parts);
        let metrics = self.services.metrics();
        let admitted = if ambiguous {
            Err(admit::ambiguous_length())
        } else {
            admit(&parts, &self.settings)
        };
        let admitted = match admitted {
            Ok(admitted) => admitted,
            Err(failure) => {
                metrics.count(NO_SERVICE, failure.outcome.as_str(), failure.reason);
                return refuse(&failure, &request_id);
            }
        };
        let known = self.services.documents().held(&admitted.service).is_some();
        let service = admitted.service.clone();
        let label = if known { service.as_str() } else { NO_SERVICE };
        match self
            .relay(begin, caller, &request_id, parts, body, admitted)
            .await
        {
            Ok((response, reason)) => {
                metrics.count(label, "answered", reason);
                response
            }
            Err(failure) => {
                metrics.count(label, failure.outcome.as_str(), failure.reason);
                debug!(
                    target: "proxy",
                    "request {request_id:?} to {service}: {} ({}): {}",
                    failure.outcome.as_str(), failure.reason, failure.message
                );
                refuse(&failure, &request_id)
            }
        }
    }

    async fn relay(
        &self,
        begin: Instant,
        caller: IpAddr,
        request_id: &HeaderValue,
        mut parts: Parts,
        body: Incoming,
        admitted: Admitted,
    ) -> Result<(Response<Delivery>, &'static str), Failure> {
        self.confirm().await?;
        let routed = self.route(begin, &parts, &admitted)?;
        let limit = routed.served.document.bodies.max_request_bytes.0;
        let intake = Intake::new(body, limit, self.settings.body_idle_timeout);
        let state = intake.state();
        let upload = intake
            .hold()
            .await
            .map_err(|fault| Failure::of_upload(fault, Outcome::NotRun))?;
        let grant = match self.claim(&routed, &parts).await {
            Ok(grant) => grant,
            Err(Claimed::Replay(recorded)) => {
                let replay = keep::replay(recorded, request_id);
                return Ok((replay.map(whole), "replayed"));
            }
            Err(Claimed::Refused(failure)) => return Err(failure),
        };
        let Placed {
            served,
            route,
            call,
            slot,
        } = self.place(begin, &parts, &admitted, routed).await?;

        head::to_target(
            &mut parts.headers,
            &admitted.host,
            caller,
            &self.via,
            request_id,
        );
        let order = Order {
            method: parts.method,
            uri: origin_form(&parts.uri),
            headers: parts.headers,
            upload: matches!(upload, Upload::Stream(_)).then_some(state),
            routed: Instant::now(),
            first_sent: OnceLock::new(),
            call,
            services: self.services.clone(),
            served,
        };
        let retries = admitted.retries_left;
        let (answer, dispatched) = match (route.kind, upload) {
            (Kind::Idempotent, Upload::Whole(body)) => {
                (race(&order, body, slot, retries).await?, None)
            }
            (_, upload) => send_once(&order, upload, slot, retries, grant).await?,
        };
        let waited = order.first_sent.get().map(Instant::elapsed);
        let Answer {
            mut head, mut body, ..
        } = answer;
        head::to_caller(&mut head.headers, &self.via, request_id);
        if let Some(latencies) = order.served.latencies(&order.call.class) {
            let added = begin.elapsed().saturating_sub(waited.unwrap_or_default());
            latencies.added.observe(added.as_secs_f64());
            body.time(begin, latencies.requests.clone());
        }
        let delivery = match dispatched {
            None => Delivery::Relay(Box::new(body)),
            Some(dispatched) => match keep(&head, body, dispatched).await? {
                Kept::Whole(bytes) => whole(bytes),
                Kept::Larger(read, rest) => Delivery::Rest(read, rest),
            },
        };
        let close = order.upload.is_some_and(|upload| !upload.is_complete());
        let mut response = Response::from_parts(head, delivery);
        if close {
            let close = HeaderValue::from_static("close");
            response
                .headers_mut()
                .insert(http::header::CONNECTION, close);
        }
        Ok((response, "answered"))
    }

    /// Waits a moment for a confirmation when there is none.
    async fn confirm(&self) -> Result<(), Failure> {
        let documents = self.services.documents();
        let serves = documents.standing().permits_calls()
            || documents
                .confirm(self.settings.confirmation_timeout)
                .await
                .permits_calls();
        if serves {
            return Ok(());
        }
        Err(Failure::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "unconfirmed",
            "this entry can't confirm that its documents are the newest ones",
        ))
    }

    /// Why a service can't be served.
    fn absent(&self, service: &Service) -> Failure {
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

    fn route(&self, begin: Instant, parts: &Parts, admitted: &Admitted) -> Result<Routed, Failure> {
        let service = &admitted.service;
        let served = self
            .services
            .serve(service)
            .ok_or_else(|| self.absent(service))?;
        let route = served.document.route(&parts.method, parts.uri.path());
        let Some(route) = route.cloned() else {
            let message = format!("service {service} has no route for this method and path");
            return Err(Failure::not_run(StatusCode::NOT_FOUND, "no-route", message));
        };
        let limit = route.deadline_ms.duration();
        let limit = admitted.deadline.map_or(limit, |given| given.min(limit));
        Ok(Routed {
            call: Call {
                class: route.class.clone(),
                kind: route.kind,
                deadline: begin + limit,
            },
            served,
            route,
        })
    }

    /// Claims the right to run a keyed request.
    async fn claim(&self, routed: &Routed, parts: &Parts) -> Result<Option<Grant>, Claimed> {
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
        let service = &routed.served.document.service;
        let path = parts.uri.path_and_query().map_or("/", PathAndQuery::as_str);
        let remaining = routed.call.deadline;
        let request = carobdrift_idempotency::Request {
            service: service.clone(),
            key,
            scheme,
            fingerprint: carobdrift_idempotency::Request::fingerprint(
                service,
                parts.method.as_str(),
                path,
            ),
            remaining: remaining.saturating_duration_since(Instant::now()),
        };
        match self.claims.claim(request).await {
            Ok(grant) => Ok(Some(grant)),
            Err(Refusal::Replay(recorded)) => Err(Claimed::Replay(recorded)),
            Err(refusal) => Err(Claimed::Refused((&refusal).into())),
        }
    }

    /// Gets a slot. The request is routed anew when its document changed while
    /// it waited, so that the document in force at its dispatch applies.
    async fn place(
        &self,
        begin: Instant,
        parts: &Parts,
        admitted: &Admitted,
        mut routed: Routed,
    ) -> Result<Placed, Failure> {
        for _ in 0..REROUTES {
            let slot = routed.served.pool.acquire(&routed.call).await?;
            self.confirm().await?;
            let now = self.route(begin, parts, admitted)?;
            if now.served.version == routed.served.version {
                return Ok(Placed {
                    served: routed.served,
                    route: routed.route,
                    call: routed.call,
                    slot,
                });
            }
            let same = now.route.kind == routed.route.kind && now.route.keys == routed.route.keys;
            if !same {
                break;
            }
            routed = now;
        }
        Err(Failure::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "document-changed",
            "the service's document changed while the request waited",
        ))
    }
}

/// A keyed request that is not to be run.
enum Claimed {
    Replay(carobdrift_wire::Response),
    Refused(Failure),
}

fn malformed_key(message: impl Into<std::borrow::Cow<'static, str>>) -> Claimed {
    let status = StatusCode::BAD_REQUEST;
    Claimed::Refused(Failure::not_run(status, "malformed-key", message))
}

fn refuse(failure: &Failure, request_id: &HeaderValue) -> Response<Delivery> {
    failure.response(request_id).map(whole)
}

fn whole(bytes: Bytes) -> Delivery {
    Delivery::Whole(Full::new(bytes))
}

/// Path and query only, as targets expect it.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    Uri::from(path.unwrap_or_else(|| PathAndQuery::from_static("/")))
}

impl Body for Delivery {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match &mut *self {
            Self::Whole(full) => Pin::new(full)
                .poll_frame(cx)
                .map_err(|never: Infallible| match never {}),
            Self::Rest(read, _) if !read.is_empty() => {
                Poll::Ready(Some(Ok(Frame::data(std::mem::take(read)))))
            }
            Self::Relay(relay) | Self::Rest(_, relay) => Pin::new(relay.as_mut()).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(full) => full.is_end_stream(),
            Self::Relay(relay) => relay.is_end_stream(),
            Self::Rest(read, relay) => read.is_empty() && relay.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(full) => full.size_hint(),
            Self::Relay(relay) => relay.size_hint(),
            Self::Rest(read, relay) => {
                let mut hint = relay.size_hint();
                let ahead = read.len() as u64;
                if let Some(upper) = hint.upper() {
                    hint.set_upper(upper + ahead);
                }
                hint.set_lower(hint.lower() + ahead);
                hint
            }
        }
    }
}
