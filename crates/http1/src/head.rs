//! Parsing of message heads.

use std::time::Duration;

use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING, UPGRADE};
use http::{HeaderMap, HeaderName, HeaderValue, Method};

use crate::body::Framing;
use crate::reader::ReadError;

/// Largest number of header fields in one message.
pub(crate) const MAX_HEADER_FIELDS: usize = 128;

/// Longest idle time-out of a peer that is taken into account. Longer ones make
/// no difference, and added to the clock they could overflow.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_hours(1);

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
const TE: HeaderName = HeaderName::from_static("te");
const TRAILER: HeaderName = HeaderName::from_static("trailer");

/// Head of a request.
#[derive(Debug)]
pub(crate) struct RequestHead {
    pub(crate) method: Method,
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) framing: Framing,
    pub(crate) keep_alive: bool,
    /// Whether the version of the message is HTTP/1.1.
    pub(crate) http11: bool,
}

/// Parses the head of a request; returns the length of the head in bytes and
/// the head, or `None` while the head is incomplete.
pub(crate) fn parse_request(bytes: &[u8]) -> Result<Option<(usize, RequestHead)>, ReadError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    let length = match request.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(ReadError::HeadTooLarge),
        Err(_) => return Err(ReadError::Malformed("head")),
    };
    let method = Method::from_bytes(request.method.unwrap_or_default().as_bytes())
        .map_err(|_| ReadError::Malformed("method"))?;
    let target = request.path.unwrap_or_default().to_owned();
    if !target.starts_with('/') && target != "*" {
        return Err(ReadError::Malformed("request target"));
    }
    let mut headers = header_map(request.headers)?;
    let stated_framing = framing_of(&headers)?;
    let framing = stated_framing.unwrap_or(Framing::Length(0));
    let http11 = request.version == Some(1);
    let keep_alive = keeps_alive(&headers, http11);
    remove_hop_by_hop(&mut headers);
    let head = RequestHead {
        method,
        target,
        headers,
        framing,
        keep_alive,
        http11,
    };
    Ok(Some((length, head)))
}

pub(crate) fn header_map(fields: &[httparse::Header<'_>]) -> Result<HeaderMap, ReadError> {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes())
            .map_err(|_| ReadError::Malformed("field name"))?;
        let value = HeaderValue::from_bytes(field.value)
            .map_err(|_| ReadError::Malformed("field value"))?;
        headers.append(name, value);
    }
    Ok(headers)
}

/// Returns the framing that the header states. Repeated or contradictory
/// framing fields are refused because they permit request smuggling.
pub(crate) fn framing_of(headers: &HeaderMap) -> Result<Option<Framing>, ReadError> {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
    match (lengths.next(), encodings.next()) {
        (None, None) => Ok(None),
        (Some(length), None) if lengths.next().is_none() => {
            let digits = length.as_bytes();
            if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
                return Err(ReadError::Malformed("content-length"));
            }
            let length = std::str::from_utf8(digits)
                .ok()
                .and_then(|text| text.parse().ok())
                .ok_or(ReadError::Malformed("content-length"))?;
            Ok(Some(Framing::Length(length)))
        }
        (None, Some(encoding))
            if encodings.next().is_none()
                && encoding.as_bytes().eq_ignore_ascii_case(b"chunked") =>
        {
            Ok(Some(Framing::Chunked))
        }
        _ => Err(ReadError::Malformed("body framing")),
    }
}

pub(crate) fn keeps_alive(headers: &HeaderMap, http11: bool) -> bool {
    let mut keep_alive = http11;
    for token in connection_tokens(headers) {
        if token.eq_ignore_ascii_case("close") {
            return false;
        }
        keep_alive |= token.eq_ignore_ascii_case("keep-alive");
    }
    keep_alive
}

fn connection_tokens(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(str::trim)
}

pub(crate) fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let timeout = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(timeout.min(MAX_IDLE_TIMEOUT))
}

/// Removes the hop-by-hop fields and the fields that frame the message:
/// complete bodies are forwarded with a `Content-Length` of their own.
pub(crate) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = connection_tokens(headers)
        .filter_map(|token| HeaderName::from_bytes(token.as_bytes()).ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        CONNECTION,
        CONTENT_LENGTH,
        KEEP_ALIVE,
        PROXY_CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
    ] {
        headers.remove(name);
    }
}
