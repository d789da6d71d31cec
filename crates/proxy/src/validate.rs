//! Validation of request heads.

use std::time::Duration;

use carobdrift_units::Service;
use http::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::request::Parts;
use http::{HeaderValue, Method, Version};

use crate::failure::Failure;
use crate::fields;
use crate::settings::Settings;

/// Longest request id that is accepted from a caller, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 64;

/// Metadata of a request, from its head.
#[derive(Debug)]
pub(crate) struct Metadata {
    pub(crate) service: Service,
    /// Authority that is sent to the target in the `Host` field.
    pub(crate) host: HeaderValue,
    /// Time that the caller allows for the request.
    pub(crate) deadline: Option<Duration>,
    /// Retries that the caller still permits at this and later hops.
    pub(crate) retries_left: Option<u32>,
}

/// Returns the caller's request id, or a new one when the caller's id is
/// missing or malformed.
pub(crate) fn request_id(head: &Parts) -> HeaderValue {
    let provided = head.headers.get(fields::REQUEST_ID).filter(|value| {
        let bytes = value.as_bytes();
        let permitted = |b: &u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b'_');
        (1..=MAX_REQUEST_ID_BYTES).contains(&bytes.len()) && bytes.iter().all(permitted)
    });
    match provided {
        Some(value) => value.clone(),
        None => HeaderValue::try_from(format!("{:032x}", rand::random::<u128>()))
            .unwrap_or_else(|_| HeaderValue::from_static("none")),
    }
}

/// Validates the head of a request and returns its metadata.
pub(crate) fn validate(head: &Parts, settings: &Settings) -> Result<Metadata, Failure> {
    check_framing(head)?;
    check_size(head, settings)?;
    let host = authority(head)?;
    let service_name = head.headers.get(fields::SERVICE).unwrap_or(&host);
    let service_name = service_name.to_str().unwrap_or_default();
    let service = service_name
        .split(['.', ':'])
        .next()
        .unwrap_or_default()
        .parse()
        .map_err(|fault| Failure::malformed("service-name", format!("service name {fault}")))?;
    Ok(Metadata {
        service,
        host,
        deadline: parse_number(head, fields::DEADLINE)?.map(Duration::from_millis),
        retries_left: parse_number(head, fields::RETRIES_LEFT)?
            .map(|left| u32::try_from(left).unwrap_or(u32::MAX)),
    })
}

/// Refuses requests that two HTTP implementations could frame differently.
fn check_framing(head: &Parts) -> Result<(), Failure> {
    if head.version == Version::HTTP_10 || head.version == Version::HTTP_09 {
        return Err(Failure::malformed(
            "http-version",
            "HTTP/1.1 or HTTP/2 is needed: an older response may end without notice",
        ));
    }
    if head.method == Method::CONNECT {
        return Err(Failure::malformed("method", "CONNECT is not served"));
    }
    let lengths = head.headers.get_all(CONTENT_LENGTH).iter().count();
    if lengths > 1 || (lengths == 1 && head.headers.contains_key(TRANSFER_ENCODING)) {
        return Err(ambiguous_length());
    }
    Ok(())
}

/// Returns the failure for a request that states its length more than once.
pub(crate) fn ambiguous_length() -> Failure {
    Failure::malformed(
        "ambiguous-length",
        "the length of the body must be stated once",
    )
}

fn check_size(head: &Parts, settings: &Settings) -> Result<(), Failure> {
    let mut size = head
        .uri
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    for (name, value) in &head.headers {
        size += name.as_str().len() + value.len();
    }
    if size > settings.max_header_bytes.bytes() || head.headers.len() > settings.max_header_fields {
        let message = format!(
            "the header must have at most {} bytes and {} fields",
            settings.max_header_bytes, settings.max_header_fields
        );
        return Err(Failure::malformed("header-too-large", message));
    }
    Ok(())
}

/// Returns the authority of the request target, or otherwise the `Host` field.
fn authority(head: &Parts) -> Result<HeaderValue, Failure> {
    if head.headers.get_all(HOST).iter().count() > 1 {
        let message = "the request has more than one Host field";
        return Err(Failure::malformed("host", message));
    }
    let authority = match head.uri.authority() {
        Some(authority) => HeaderValue::from_str(authority.as_str()).ok(),
        None => head.headers.get(HOST).cloned(),
    };
    authority.ok_or_else(|| Failure::malformed("host", "the request has no authority"))
}

fn parse_number(head: &Parts, name: &'static str) -> Result<Option<u64>, Failure> {
    let Some(value) = head.headers.get(name) else {
        return Ok(None);
    };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    match number {
        Some(number) => Ok(Some(number)),
        None => Err(Failure::malformed(
            "header-value",
            format!("{name} must be a whole number"),
        )),
    }
}
