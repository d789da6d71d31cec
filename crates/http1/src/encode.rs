//! Encoding of messages. Every body is framed by `Content-Length`.

use bytes::{BufMut, BytesMut};
use http::{HeaderMap, Method, StatusCode};

use crate::message::Response;

/// Encodes a request with its body.
#[must_use]
pub fn encode_request(method: &Method, target: &str, headers: &HeaderMap, body: &[u8]) -> BytesMut {
    let mut bytes = BytesMut::with_capacity(256 + target.len() + body.len());
    bytes.put_slice(method.as_str().as_bytes());
    bytes.put_u8(b' ');
    bytes.put_slice(target.as_bytes());
    bytes.put_slice(b" HTTP/1.1\r\n");
    encode_headers(&mut bytes, headers);
    let expects_body =
        *method == Method::POST || *method == Method::PUT || *method == Method::PATCH;
    if expects_body || !body.is_empty() {
        encode_content_length(&mut bytes, body.len());
    }
    bytes.put_slice(b"\r\n");
    bytes.put_slice(body);
    bytes
}

/// Encodes a response, with its body, to a request with the given method.
#[must_use]
pub fn encode_response(response: &Response, method: &Method) -> BytesMut {
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
        encode_content_length(&mut bytes, response.body.len());
    }
    bytes.put_slice(b"\r\n");
    if !bodiless && *method != Method::HEAD {
        bytes.put_slice(&response.body);
    }
    bytes
}

fn encode_headers(bytes: &mut BytesMut, headers: &HeaderMap) {
    for (name, value) in headers {
        bytes.put_slice(name.as_str().as_bytes());
        bytes.put_slice(b": ");
        bytes.put_slice(value.as_bytes());
        bytes.put_slice(b"\r\n");
    }
}

fn encode_content_length(bytes: &mut BytesMut, length: usize) {
    bytes.put_slice(b"content-length: ");
    bytes.put_slice(length.to_string().as_bytes());
    bytes.put_slice(b"\r\n");
}
