//! HTTP API of the control port: `GET` and `PUT /faults`, `POST /actions`,
//! `GET /record` and `GET /probes`.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use super::stand_in::Core;

pub(super) async fn serve(listener: TcpListener, core: Arc<Core>) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        while connections.try_join_next().is_some() {}
        let core = Arc::clone(&core);
        let service = service_fn(move |request| {
            let core = Arc::clone(&core);
            async move { Ok::<_, Infallible>(handle(&core, request).await) }
        });
        connections.spawn(async move {
            // An error means that the client closed the connection or sent a
            // malformed request.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn handle(core: &Core, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return respond(StatusCode::BAD_REQUEST, "the body broke off");
    };
    let body = body.to_bytes();
    let shared = &core.shared;
    match (&head.method, head.uri.path()) {
        (&Method::PUT, "/faults") => match serde_json::from_slice(&body) {
            Ok(faults) => {
                shared.set_faults(faults);
                respond(StatusCode::OK, "{}")
            }
            Err(error) => respond(StatusCode::BAD_REQUEST, error.to_string()),
        },
        (&Method::GET, "/faults") => respond(StatusCode::OK, json!(shared.faults()).to_string()),
        (&Method::POST, "/actions") => match serde_json::from_slice(&body) {
            Ok(action) => {
                core.perform(&action);
                respond(StatusCode::OK, "{}")
            }
            Err(error) => respond(StatusCode::BAD_REQUEST, error.to_string()),
        },
        (&Method::GET, "/record") => {
            let record = json!({ "now_us": shared.record.now_us(), "runs": shared.record.runs() });
            respond(StatusCode::OK, record.to_string())
        }
        (&Method::GET, "/probes") => {
            let probes = json!({
                "now_us": shared.record.now_us(),
                "probes_us": shared.record.probes_us(),
                "most_in_one_second": shared.record.peak_probes_per_second(),
            });
            respond(StatusCode::OK, probes.to_string())
        }
        _ => respond(StatusCode::NOT_FOUND, "no such call"),
    }
}

fn respond(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
