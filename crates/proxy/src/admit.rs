//! Checks of a request's head before anything is done with it.

use std::time::Duration;

use carobdrift_units::Service;
use http::header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::request::Parts;
use http::{HeaderValue, Method, Version};

use crate::failure::Failure;
use crate::fields;
use crate::settings::Settings;

/// Longest request id that is taken over from a caller, in bytes.
const REQUEST_ID_LIMIT: usize = 64;

/// What the head of a request says.
#[derive(Debug)]
pub(crate) struct Admitted {
    pub(crate) service: Service,
    /// Authority for the target's `Host` field.
    pub(crate) host: HeaderValue,
    /// Time that the caller grants.
    pub(crate) deadline: Option<Duration>,
    /// Retries that the caller leaves to this level.
    pub(crate) retries_left: Option<u32>,
}

/// The caller's request id, or a new one.
pub(crate) fn request_id(head: &Parts) -> HeaderValue {
    let given = head.headers.get(fields::REQUEST_ID).filter(|value| {
        let bytes = value.as_bytes();
        let permitted = |b: &u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'.' | b'_');
        (1..=REQUEST_ID_LIMIT).contains(&bytes.len()) && bytes.iter().all(permitted)
    });
    match given {
        Some(value) => value.clone(),
        None => HeaderValue::try_from(format!("{:032x}", rand::random::<u128>()))
            .unwrap_or_else(|_| HeaderValue::from_static("none")),
    }
}

/// Checks the head of a request.
pub(crate) fn admit(head: &Parts, settings: &Settings) -> Result<Admitted, Failure> {
    check_framing(head)?;
    check_size(head, settings)?;
    let host = host(head)?;
    let named = head.headers.get(fields::SERVICE).unwrap_or(&host);
    let named = named.to_str().unwrap_or_default();
    let service = named
        .split(['.', ':'])
        .next()
        .unwrap_or_default()
        .parse()
        .map_err(|fault| Failure::malformed("service-name", format!("service name {fault}")))?;
    Ok(Admitted {
        service,
        host,
        deadline: number(head, fields::DEADLINE)?.map(Duration::from_millis),
        retries_left: number(head, fields::RETRIES_LEFT)?
            .map(|left| u32::try_from(left).unwrap_or(u32::MAX)),
    })
}

/// Refuses what two HTTP implementations could frame differently.
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

/// A request whose length is stated more than once.
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

/// The authority; that of the request target comes before the `Host` field.
fn host(head: &Parts) -> Result<HeaderValue, Failure> {
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

fn number(head: &Parts, name: &'static str) -> Result<Option<u64>, Failure> {
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
