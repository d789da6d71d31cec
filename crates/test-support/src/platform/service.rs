//! Answers of both ports.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use percent_encoding::percent_decode_str;
use serde::{Deserialize, Serialize};
use serde_json::json;
use thiserror::Error;

use crate::platform::fault::{Down, Fault};
use crate::platform::instance::Listing;
use crate::platform::state::Shared;
use crate::platform::table::Transaction;

/// Largest number of rows in one scan answer.
const SCAN_LIMIT: usize = 1000;

/// Why a request gets no response.
#[derive(Debug, Error)]
pub(crate) enum Unanswered {
    /// The response is lost after the write took effect.
    #[error("response is lost by a fault")]
    Lost,
    /// The request broke off.
    #[error("request broke off: {0}")]
    Request(#[from] hyper::Error),
}

#[derive(Deserialize)]
struct Scan {
    #[serde(default)]
    prefix: String,
    #[serde(default)]
    after: String,
    limit: Option<usize>,
}

/// Answers a request on the platform's port.
pub(crate) async fn serve_platform(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Bytes>, Unanswered> {
    let (head, body) = request.into_parts();
    let write = head.method == Method::POST || head.method == Method::PUT;
    let body = body.collect().await?.to_bytes();
    shared.content().counter.add(write);
    let mut faults = shared.watch_fault();
    let fault = faults
        .wait_for(|fault| fault.down != Down::Hang)
        .await
        .map(|fault| fault.clone())
        .unwrap_or_default();
    let of_table = head.uri.path().starts_with("/table/");
    if fault.down == Down::Fail || (fault.down == Down::Table && of_table) {
        return Ok(plain(StatusCode::SERVICE_UNAVAILABLE));
    }
    let path = decode(head.uri.path());
    let query = head.uri.query().unwrap_or_default().to_owned();
    let delay = Duration::from_millis(fault.slow_ms);
    if !write {
        tokio::time::sleep(delay).await;
        return Ok(cut(&fault, read(&shared, &path, &query)));
    }
    // A task of its own, because a write that was received takes effect even
    // when its sender gives up.
    let writing = tokio::spawn({
        let shared = Arc::clone(&shared);
        async move {
            tokio::time::sleep(delay).await;
            apply(&shared, &path, body)
        }
    });
    let response = writing.await.map_err(|_| Unanswered::Lost)?;
    if response.status().is_success() && shared.lose_write() {
        return Err(Unanswered::Lost);
    }
    Ok(cut(&fault, response))
}

/// Answers a request on the control port.
pub(crate) async fn serve_control(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Bytes>, Unanswered> {
    let (head, body) = request.into_parts();
    let body = body.collect().await?.to_bytes();
    let path = decode(head.uri.path());
    let response = match (head.method.as_str(), path.as_str()) {
        ("GET", "/fault") => json(StatusCode::OK, &shared.fault()),
        ("PUT", "/fault") => match serde_json::from_slice(&body) {
            Ok(fault) => {
                shared.set_fault(fault).await;
                plain(StatusCode::NO_CONTENT)
            }
            Err(error) => reject(&error),
        },
        ("DELETE", "/fault") => {
            shared.set_fault(Fault::default()).await;
            plain(StatusCode::NO_CONTENT)
        }
        ("GET", "/counts") => json(StatusCode::OK, &shared.content().counter.counts()),
        ("GET", "/instances") => {
            let listings: Vec<_> = shared.content().listings.values().cloned().collect();
            json(StatusCode::OK, &json!({ "instances": listings }))
        }
        (method, path) => match (method, path.split_once('/').map(|(_, rest)| rest)) {
            (method, Some(rest)) => change(&shared, method, rest, &body),
            (_, None) => plain(StatusCode::NOT_FOUND),
        },
    };
    Ok(response)
}

fn change(shared: &Shared, method: &str, path: &str, body: &[u8]) -> Response<Bytes> {
    let mut content = shared.content();
    match (method, path.split_once('/')) {
        ("PUT", Some(("instances", id))) => match serde_json::from_slice::<Listing>(body) {
            Ok(listing) if listing.id == id => {
                content.listings.insert(listing.identity(), listing);
                plain(StatusCode::NO_CONTENT)
            }
            Ok(listing) => json(
                StatusCode::BAD_REQUEST,
                &json!({ "error": format!("body names id {:?}, path {id:?}", listing.id) }),
            ),
            Err(error) => reject(&error),
        },
        ("DELETE", Some(("instances", id))) => {
            content.listings.retain(|_, listing| listing.id != id);
            plain(StatusCode::NO_CONTENT)
        }
        ("GET", Some(("rows", key))) => found(content.table.read(key).as_ref()),
        ("PUT", Some(("rows", key))) => match serde_json::from_slice(body) {
            Ok(value) => {
                let version = content.table.write(key.to_owned(), Some(value));
                json(StatusCode::OK, &json!({ "version": version }))
            }
            Err(error) => reject(&error),
        },
        _ => plain(StatusCode::NOT_FOUND),
    }
}

fn read(shared: &Shared, path: &str, query: &str) -> Response<Bytes> {
    let content = shared.content();
    if let Some(key) = path.strip_prefix("/table/rows/") {
        return found(content.table.read(key).as_ref());
    }
    if let Some(name) = path.strip_prefix("/objects/") {
        return match content.objects.get(name) {
            Some(object) => bytes(StatusCode::OK, object.clone()),
            None => plain(StatusCode::NOT_FOUND),
        };
    }
    match path {
        "/table/scan" => match serde_urlencoded::from_str::<Scan>(query) {
            Ok(scan) => {
                let limit = scan.limit.unwrap_or(SCAN_LIMIT).min(SCAN_LIMIT);
                let rows = content.table.scan(&scan.prefix, &scan.after, limit);
                json(StatusCode::OK, &json!({ "rows": rows }))
            }
            Err(_) => plain(StatusCode::BAD_REQUEST),
        },
        "/instances" => {
            let listings = content.frozen.as_ref().unwrap_or(&content.listings);
            let listings: Vec<_> = listings.values().collect();
            json(StatusCode::OK, &json!({ "instances": listings }))
        }
        _ => plain(StatusCode::NOT_FOUND),
    }
}

fn apply(shared: &Shared, path: &str, body: Bytes) -> Response<Bytes> {
    let mut content = shared.content();
    if let Some(name) = path.strip_prefix("/objects/") {
        content.objects.insert(name.to_owned(), body);
        return plain(StatusCode::NO_CONTENT);
    }
    if path != "/table/transact" {
        return plain(StatusCode::NOT_FOUND);
    }
    match serde_json::from_slice::<Transaction>(&body) {
        Ok(transaction) => match content.table.transact(transaction) {
            Ok(versions) => json(StatusCode::OK, &json!({ "versions": versions })),
            Err(conflicts) => json(StatusCode::CONFLICT, &json!({ "conflicts": conflicts })),
        },
        Err(error) => reject(&error),
    }
}

fn found(value: Option<&impl Serialize>) -> Response<Bytes> {
    match value {
        Some(value) => json(StatusCode::OK, value),
        None => plain(StatusCode::NOT_FOUND),
    }
}

fn reject(error: &serde_json::Error) -> Response<Bytes> {
    json(
        StatusCode::BAD_REQUEST,
        &json!({ "error": error.to_string() }),
    )
}

fn cut(fault: &Fault, response: Response<Bytes>) -> Response<Bytes> {
    if !fault.malformed {
        return response;
    }
    response.map(|body| body.slice(..body.len() / 2))
}

fn json(status: StatusCode, value: &impl Serialize) -> Response<Bytes> {
    match serde_json::to_vec(value) {
        Ok(body) => bytes(status, body.into()),
        Err(_) => plain(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn plain(status: StatusCode) -> Response<Bytes> {
    bytes(status, Bytes::new())
}

fn bytes(status: StatusCode, body: Bytes) -> Response<Bytes> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

fn decode(path: &str) -> String {
    percent_decode_str(path).decode_utf8_lossy().into_owned()
}
