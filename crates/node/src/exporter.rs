//! Metrics endpoint.

use std::sync::Arc;

use carobdrift_http1::{Request, Response, Service};
use http::StatusCode;
use prometheus::{Registry, TextEncoder};

/// HTTP service that answers every path with the metrics of a registry.
pub(crate) struct Exporter(pub(crate) Registry);

impl Service for Exporter {
    async fn call(self: Arc<Self>, _: Request) -> Response {
        match TextEncoder::new().encode_to_string(&self.0.gather()) {
            Ok(text) => Response::new(StatusCode::OK, text.into()),
            Err(error) => {
                log::error!(target: "entry", "event=metrics-failed error=\"{error}\"");
                Response::new(StatusCode::INTERNAL_SERVER_ERROR, bytes::Bytes::new())
            }
        }
    }
}
