//! Rewriting of header fields between callers and targets.

use std::net::IpAddr;

use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION,
    TE, TRAILER, TRANSFER_ENCODING, UPGRADE, VIA,
};
use http::{HeaderMap, HeaderValue};

use crate::fields;

/// Hop-by-hop fields, besides those that `Connection` names.
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

const FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");

/// Removes the hop-by-hop fields of the received message.
pub(crate) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    if headers.contains_key(CONNECTION) {
        let named: Vec<HeaderName> = headers
            .get_all(CONNECTION)
            .iter()
            .filter_map(|value| value.to_str().ok())
            .flat_map(|value| value.split(','))
            .filter_map(|name| name.trim().parse().ok())
            // The HTTP library validates the length and frames the body with
            // it; a sender must not declare the length hop-by-hop.
            .filter(|name| *name != CONTENT_LENGTH)
            .collect();
        for name in named {
            headers.remove(name);
        }
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Rewrites the fields of a request for a target. The deadline and the retries
/// left are set for each attempt.
pub(crate) fn rewrite_request(
    headers: &mut HeaderMap,
    host: &HeaderValue,
    caller: IpAddr,
    via: &HeaderValue,
    request_id: &HeaderValue,
) {
    remove_hop_by_hop(headers);
    for name in [CONTENT_LENGTH, EXPECT] {
        headers.remove(name);
    }
    headers.remove(fields::SERVICE);
    headers.insert(HOST, host.clone());
    headers.insert(fields::REQUEST_ID, request_id.clone());
    headers.append(VIA, via.clone());
    let chain = headers
        .get_all(&FORWARDED_FOR)
        .iter()
        .filter_map(|value| value.to_str().ok());
    let mut chain: Vec<String> = chain.map(str::to_owned).collect();
    chain.push(caller.to_string());
    if let Ok(chain) = HeaderValue::try_from(chain.join(", ")) {
        headers.insert(FORWARDED_FOR, chain);
    }
}

/// Rewrites the fields of a target's response for the caller.
pub(crate) fn rewrite_response(
    headers: &mut HeaderMap,
    via: &HeaderValue,
    request_id: &HeaderValue,
) {
    remove_hop_by_hop(headers);
    // A target may forward the response of another entry; the outcome in that
    // response must not be taken for the outcome of this request.
    let reserved: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(fields::PREFIX))
        .cloned()
        .collect();
    for name in reserved {
        headers.remove(name);
    }
    headers.append(VIA, via.clone());
    headers.insert(fields::REQUEST_ID, request_id.clone());
}
