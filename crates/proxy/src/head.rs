//! Header rules: what is read, removed and added on the way.

use std::net::IpAddr;

use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION,
    TE, TRAILER, TRANSFER_ENCODING, UPGRADE, VIA,
};
use http::{HeaderMap, HeaderValue};

use crate::fields;

/// Fields that concern one connection only, besides those that `Connection`
/// names.
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

/// Removes the fields that concern the last connection only.
pub(crate) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    if headers.contains_key(CONNECTION) {
        let named: Vec<HeaderName> = headers
            .get_all(CONNECTION)
            .iter()
            .filter_map(|value| value.to_str().ok())
            .flat_map(|value| value.split(','))
            .filter_map(|name| name.trim().parse().ok())
            // The length is checked by the HTTP library and not passed on as a
            // mere field.
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

/// Makes the fields of a request ready for a target. The deadline and the
/// retries left are set for each attempt.
pub(crate) fn to_target(
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

/// Makes the fields of a target's response ready for the caller.
pub(crate) fn to_caller(headers: &mut HeaderMap, via: &HeaderValue, request_id: &HeaderValue) {
    remove_hop_by_hop(headers);
    // A target that passes on the answer of a further entry must not state an
    // outcome for this request.
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(fields::PREFIX))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
    headers.append(VIA, via.clone());
    headers.insert(fields::REQUEST_ID, request_id.clone());
}
