//! Documents, pools and calls for the tests.

use std::sync::Arc;
use std::time::Duration;

use carobdrift_balance::{Call, Local, Metrics, Pool};
use carobdrift_document::{Document, Kind, Policy};
use carobdrift_units::Version;
use prometheus::Registry;
use tokio::time::Instant;

/// A document with `targets` targets of `slots` slots each in zone `hobart`
/// and the classes `view` and `seeding`.
pub(crate) fn document(policy: Policy, targets: u32, slots: u32) -> Document {
    let targets = (0..targets).map(|index| {
        serde_json::json!({
            "id": format!("t{index}"), "address": format!("127.0.0.1:{}", 4000 + index),
            "zone": "hobart", "slots": slots
        })
    });
    let text = serde_json::json!({
        "service": "sheets",
        "team": "meets",
        "targets": targets.collect::<Vec<_>>(),
        "routes": [{"name": "view", "methods": ["GET"], "path": "/**", "kind": "idempotent",
            "class": "view", "deadline_ms": 400}],
        "classes": [{"name": "view", "weight": 4, "max_queue": 200},
            {"name": "seeding", "weight": 1, "max_queue": 200}]
    });
    let mut document = Document::parse(text.to_string().as_bytes()).expect("the document is valid");
    document.balancing.policy = policy;
    document
}

/// A pool whose limits belong to it alone.
pub(crate) fn open(document: Document) -> Pool {
    let metrics = Metrics::register(&Registry::new()).expect("the registry is new");
    let pool = Pool::open(Arc::new(document), Version(1), local(), metrics);
    pool.allowance().split(Some(1));
    pool
}

pub(crate) fn local() -> Local {
    let name = "entry-1".parse().expect("the name is valid");
    Local::new(name, "hobart".parse().expect("the name is valid"))
}

/// An idempotent call of class `view` with a deadline in `deadline_ms`.
pub(crate) fn call(deadline_ms: u64) -> Call {
    Call {
        class: "view".parse().expect("the name is valid"),
        kind: Kind::Idempotent,
        deadline: Instant::now() + Duration::from_millis(deadline_ms),
    }
}
