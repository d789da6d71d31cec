//! Responses to requests that were not read completely.

use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::{HeaderValue, StatusCode};

use crate::message::Response;
use crate::reader::ReadError;

/// `Retry-After` in seconds of a request that is refused for lack of memory: the time
/// in which stalled requests give up theirs.
const OVERLOAD_RETRY_AFTER: &str = "1";

/// Returns the response to a request that could not be read.
pub(crate) fn error_response(error: &ReadError) -> Response {
    let status = match error {
        ReadError::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        ReadError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        ReadError::Overloaded => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::BAD_REQUEST,
    };
    let mut response = Response::new(status, Bytes::new());
    if matches!(error, ReadError::Overloaded) {
        let retry_after = HeaderValue::from_static(OVERLOAD_RETRY_AFTER);
        response.headers.insert(RETRY_AFTER, retry_after);
    }
    response
}
