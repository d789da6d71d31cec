//! Endpoints for health, readiness and metrics.

use carobdrift_catalog::Standing;
use dropshot::{Body, HttpResponseOk, RequestContext, endpoint};
use http::Response;
use http::header::CONTENT_TYPE;
use prometheus::{TEXT_FORMAT, TextEncoder};
use schemars::JsonSchema;
use serde::Serialize;

use crate::context::Context;
use crate::refusal::{Kind, Refusal};

#[derive(Serialize, JsonSchema)]
pub(crate) struct Health {
    /// Always true: an answer was sent.
    alive: bool,
}

#[derive(Serialize, JsonSchema)]
pub(crate) struct Readiness {
    /// Always true: an entry that is not ready answers with an error.
    ready: bool,
}

/// Tell that the process is alive.
#[endpoint { method = GET, path = "/health" }]
pub(crate) async fn check_health(
    _: RequestContext<Context>,
) -> Result<HttpResponseOk<Health>, Refusal> {
    Ok(HttpResponseOk(Health { alive: true }))
}

/// Tell whether the entry takes calls.
#[endpoint { method = GET, path = "/ready" }]
pub(crate) async fn check_readiness(
    request: RequestContext<Context>,
) -> Result<HttpResponseOk<Readiness>, Refusal> {
    let backend = request.context().backend()?;
    let entry = backend.local_entry();
    let problem = if entry.leaving {
        Some("the entry is leaving")
    } else if backend.standing() == Standing::Unconfirmed {
        Some("the documents in force are not confirmed")
    } else if !entry.is_ready() {
        Some("the entry has not started completely")
    } else {
        None
    };
    match problem {
        Some(problem) => Err(Refusal::new(Kind::NotReady, problem)),
        None => Ok(HttpResponseOk(Readiness { ready: true })),
    }
}

/// Show the metrics in the Prometheus text format.
#[endpoint { method = GET, path = "/metrics" }]
pub(crate) async fn read_metrics(
    request: RequestContext<Context>,
) -> Result<Response<Body>, Refusal> {
    let families = request.context().registry.gather();
    let encoding_error = |error: &dyn std::fmt::Display| {
        Refusal::new(Kind::Internal, format!("could not show metrics: {error}"))
    };
    let text = TextEncoder::new()
        .encode_to_string(&families)
        .map_err(|error| encoding_error(&error))?;
    Response::builder()
        .header(CONTENT_TYPE, TEXT_FORMAT)
        .body(Body::from(text))
        .map_err(|error| encoding_error(&error))
}
