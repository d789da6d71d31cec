//! Guards against a request that matches another route here than at its target.

use http::Method;
use serde_json::json;

use crate::{changed, parse};

#[test]
fn most_specific_route_wins_on_decoded_segments() {
    let route = |name: &str, method: &str, path: &str| {
        json!({"name": name, "methods": [method], "path": path, "kind": "idempotent",
               "class": "view", "deadline_ms": 400})
    };
    let routes = json!([
        route("rest", "GET", "/**"),
        route("rest-post", "POST", "/**"),
        route("any-heat", "GET", "/heats/*"),
        route("final", "GET", "/heats/final"),
        route("seed", "POST", "/seedings"),
        route("root", "GET", "/"),
    ]);
    let document = parse(&changed(&[("/routes", routes)])).unwrap();
    let cases = [
        (Method::GET, "/heats/final", Some("final")),
        (Method::GET, "/heats/fi%6Eal", Some("final")),
        (Method::GET, "/heats/7", Some("any-heat")),
        (Method::GET, "/heats/", Some("rest")),
        (Method::GET, "/heats/7/lanes", Some("rest")),
        (Method::GET, "/", Some("root")),
        (Method::POST, "/seedings", Some("seed")),
        (Method::POST, "/%73eedings", Some("seed")),
        (Method::POST, "/x", Some("rest-post")),
        // A target may normalize these to "/seedings".
        (Method::POST, "//seedings", None),
        (Method::POST, "/x/../seedings", None),
        (Method::POST, "/x/%2e%2E/seedings", None),
        (Method::POST, "/./seedings", None),
        (Method::DELETE, "/seedings", None),
        (Method::GET, "seedings", None),
    ];
    for (method, path, expected) in cases {
        let found = document.route(&method, path);

        assert_eq!(
            found.map(|route| route.name.as_str()),
            expected,
            "{method} {path}"
        );
    }
}

#[test]
fn star_matches_exactly_one_nonempty_segment() {
    let document = parse(&changed(&[])).unwrap();

    for path in ["/heats", "/heats/", "/heats/1/2"] {
        assert!(document.route(&Method::GET, path).is_none(), "{path}");
    }
}
