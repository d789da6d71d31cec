//! Recording and replay of the responses to keyed requests.

use bytes::{Bytes, BytesMut};
use carobdrift_idempotency::{Dispatch, MAX_RECORDED_BODY_BYTES};
use http::header::CONTENT_LENGTH;
use http::response::Parts;
use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::failure::{Failure, Outcome};
use crate::fields;
use crate::relay::Relay;

/// Body of the response to a keyed request, after the recording.
pub(crate) enum Recording {
    /// The complete body, which was recorded.
    Complete(Bytes),
    /// The part of a body that was read and the unread rest; the body is too
    /// large to be recorded.
    Oversized(Bytes, Box<Relay>),
}

/// Reads a response up to the size that can be recorded, and settles its claim.
/// A request whose response is truncated did run, so its claim is settled too.
pub(crate) async fn record(
    head: &Parts,
    mut body: Relay,
    dispatch: Dispatch,
) -> Result<Recording, Failure> {
    let mut prefix = BytesMut::new();
    while !body.is_end_stream() {
        let Some(frame) = body.frame().await else {
            break;
        };
        match frame {
            Ok(frame) => {
                if let Ok(data) = frame.into_data() {
                    prefix.extend_from_slice(&data);
                }
            }
            Err(interruption) => {
                dispatch.settle(None);
                let message = format!("the request ran, but its response was lost: {interruption}");
                let status = StatusCode::BAD_GATEWAY;
                return Err(Failure::new(status, Outcome::Unknown, "truncated", message));
            }
        }
        if prefix.len() > MAX_RECORDED_BODY_BYTES {
            dispatch.settle(None);
            return Ok(Recording::Oversized(prefix.freeze(), Box::new(body)));
        }
    }
    let complete = prefix.freeze();
    let headers = head.headers.iter();
    dispatch.settle(Some(carobdrift_wire::Response {
        status: head.status.as_u16(),
        headers: headers
            .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
            .collect(),
        body: complete.to_vec(),
    }));
    Ok(Recording::Complete(complete))
}

/// Returns the recorded response for a repeated request.
pub(crate) fn replay(
    recorded: carobdrift_wire::Response,
    request_id: &HeaderValue,
) -> Response<Bytes> {
    let mut response = Response::new(Bytes::from(recorded.body));
    *response.status_mut() = StatusCode::from_u16(recorded.status).unwrap_or_default();
    let headers = response.headers_mut();
    for (name, value) in recorded.headers {
        let name = HeaderName::try_from(name);
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(&value)) {
            headers.append(name, value);
        }
    }
    headers.remove(CONTENT_LENGTH);
    headers.insert(fields::REQUEST_ID, request_id.clone());
    headers.insert(fields::REPLAYED, HeaderValue::from_static("1"));
    response
}
