//! Recording of the responses of keyed requests.

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

/// Body of a keyed response after its record was made.
pub(crate) enum Kept {
    /// The whole body.
    Whole(Bytes),
    /// The part that was read, and the rest.
    Larger(Bytes, Box<Relay>),
}

/// Reads a response as far as it can be recorded, and settles its claim. A
/// request whose response broke off did run, so its key is settled too.
pub(crate) async fn keep(
    head: &Parts,
    mut body: Relay,
    dispatched: Dispatch,
) -> Result<Kept, Failure> {
    let mut read = BytesMut::new();
    while !body.is_end_stream() {
        let Some(frame) = body.frame().await else {
            break;
        };
        match frame {
            Ok(frame) => {
                if let Ok(data) = frame.into_data() {
                    read.extend_from_slice(&data);
                }
            }
            Err(cut) => {
                dispatched.settle(None);
                let message = format!("the request ran, but its response was lost: {cut}");
                let status = StatusCode::BAD_GATEWAY;
                return Err(Failure::new(status, Outcome::Unknown, "truncated", message));
            }
        }
        if read.len() > MAX_RECORDED_BODY_BYTES {
            dispatched.settle(None);
            return Ok(Kept::Larger(read.freeze(), Box::new(body)));
        }
    }
    let read = read.freeze();
    let headers = head.headers.iter();
    dispatched.settle(Some(carobdrift_wire::Response {
        status: head.status.as_u16(),
        headers: headers
            .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
            .collect(),
        body: read.to_vec(),
    }));
    Ok(Kept::Whole(read))
}

/// The recorded response for a repeat of its request.
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
