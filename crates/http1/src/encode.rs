//! Encoding of messages.

use bytes::{BufMut, BytesMut};
use http::{HeaderMap, Method, StatusCode};

use crate::body::Framing;
use crate::message::Response;
use crate::segments::{Body, Outgoing};

/// Largest body that is copied to follow the head in one part, in bytes. A packet less
/// costs less time than the copy.
const MAX_COPIED_BODY_BYTES: usize = 16 * 1024;

/// Encodes a request with its body.
#[must_use]
pub fn encode_request(method: &Method, target: &str, headers: &HeaderMap, body: &[u8]) -> BytesMut {
    let mut bytes = encode_request_head(method, target, headers, body.len(), body.len());
    bytes.put_slice(body);
    bytes
}

/// Encodes a request. A large body is not copied.
#[must_use]
pub fn encode_request_parts(
    method: &Method,
    target: &str,
    headers: &HeaderMap,
    body: &Body,
) -> Outgoing {
    let is_copied = body.len() <= MAX_COPIED_BODY_BYTES;
    let room = if is_copied { body.len() } else { 0 };
    let mut head = encode_request_head(method, target, headers, body.len(), room);
    if is_copied {
        for part in body.parts() {
            head.put_slice(part);
        }
        return head.freeze().into();
    }
    let mut outgoing = Outgoing::from(head.freeze());
    for part in body.parts() {
        outgoing.push(part.clone());
    }
    outgoing
}

/// Encodes the head of a request with a body of `length` bytes, with room for `room`
/// bytes after it.
fn encode_request_head(
    method: &Method,
    target: &str,
    headers: &HeaderMap,
    length: usize,
    room: usize,
) -> BytesMut {
    let mut bytes = BytesMut::with_capacity(256 + target.len() + room);
    bytes.put_slice(method.as_str().as_bytes());
    bytes.put_u8(b' ');
    bytes.put_slice(target.as_bytes());
    bytes.put_slice(b" HTTP/1.1\r\n");
    encode_headers(&mut bytes, headers);
    let expects_body =
        *method == Method::POST || *method == Method::PUT || *method == Method::PATCH;
    if expects_body || length > 0 {
        let length = u64::try_from(length).unwrap_or(u64::MAX);
        encode_content_length(&mut bytes, length);
    }
    bytes.put_slice(b"\r\n");
    bytes
}

/// Encodes a response, with the part of its body that is known, to a request with
/// the given method. `framing` delimits the body; with [`Framing::Length`] it holds
/// the length of the part that is not known yet.
pub(crate) fn encode_response(response: &Response, method: &Method, framing: Framing) -> BytesMut {
    let mut bytes = BytesMut::with_capacity(256 + response.body.len());
    bytes.put_slice(b"HTTP/1.1 ");
    bytes.put_slice(response.status.as_str().as_bytes());
    bytes.put_u8(b' ');
    let reason = response.status.canonical_reason().unwrap_or_default();
    bytes.put_slice(reason.as_bytes());
    bytes.put_slice(b"\r\n");
    encode_headers(&mut bytes, &response.headers);
    if !response.keep_alive {
        bytes.put_slice(b"connection: close\r\n");
    }
    let bodiless =
        response.status == StatusCode::NO_CONTENT || response.status == StatusCode::NOT_MODIFIED;
    if !bodiless {
        match framing {
            Framing::Length(rest) => {
                let known = u64::try_from(response.body.len()).unwrap_or(u64::MAX);
                encode_content_length(&mut bytes, known.saturating_add(rest));
            }
            Framing::Chunked => bytes.put_slice(b"transfer-encoding: chunked\r\n"),
            Framing::Close => {}
        }
    }
    bytes.put_slice(b"\r\n");
    if !bodiless && *method != Method::HEAD {
        if framing == Framing::Chunked {
            encode_chunk(&mut bytes, &response.body);
        } else {
            bytes.put_slice(&response.body);
        }
    }
    bytes
}

/// Encodes a part of a body as a chunk. An empty part is left out, since an empty
/// chunk ends the body.
pub(crate) fn encode_chunk(bytes: &mut BytesMut, part: &[u8]) {
    if !part.is_empty() {
        bytes.put_slice(format!("{:x}\r\n", part.len()).as_bytes());
        bytes.put_slice(part);
        bytes.put_slice(b"\r\n");
    }
}

fn encode_headers(bytes: &mut BytesMut, headers: &HeaderMap) {
    for (name, value) in headers {
        bytes.put_slice(name.as_str().as_bytes());
        bytes.put_slice(b": ");
        bytes.put_slice(value.as_bytes());
        bytes.put_slice(b"\r\n");
    }
}

fn encode_content_length(bytes: &mut BytesMut, length: u64) {
    bytes.put_slice(b"content-length: ");
    bytes.put_slice(length.to_string().as_bytes());
    bytes.put_slice(b"\r\n");
}
