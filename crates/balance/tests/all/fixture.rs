//! Documents, pools and calls for the tests.

use std::sync::Arc;
use std::time::Duration;

use carobdrift_balance::{Call, Config, Metrics, Observation, Outcome, Pool, Slot, Standing};
use carobdrift_document::{Document, Kind, Policy};
use carobdrift_units::{Target, Version};
use prometheus::Registry;
use tokio::time::Instant;

/// Returns a document with `targets` targets of `slots` slots each in zone
/// `hobart`, and the classes `view` and `seeding`.
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

/// Opens a pool whose limits are not shared with other entries.
pub(crate) fn open(document: Document) -> Pool {
    let pool = open_with(document, config());
    for (_, quota) in pool.quotas() {
        quota.set_even_split(Some(1));
    }
    pool
}

pub(crate) fn open_with(document: Document, config: Config) -> Pool {
    let metrics = Metrics::register(&Registry::new()).expect("the registry is new");
    Pool::new(Arc::new(document), Version(1), config, metrics)
}

pub(crate) fn config() -> Config {
    let name = "entry-1".parse().expect("the name is valid");
    Config::new(name, "hobart".parse().expect("the name is valid"))
}

/// Returns an idempotent call of class `view` with a deadline in `deadline_ms`.
pub(crate) fn call(deadline_ms: u64) -> Call {
    Call {
        class: "view".parse().expect("the name is valid"),
        kind: Kind::Idempotent,
        deadline: Instant::now() + Duration::from_millis(deadline_ms),
    }
}

pub(crate) fn target(index: u32) -> Target {
    format!("t{index}").parse().expect("the name is valid")
}

/// Acquires a slot for one idempotent call.
pub(crate) async fn acquire(pool: &Pool) -> Slot {
    pool.acquire(&call(400)).await.expect("a target is free")
}

pub(crate) fn finish(slot: Slot, outcome: Outcome) {
    slot.finish(&Observation::new(outcome));
}

/// Completes calls of 10 ms on every slot, several times over, so that the
/// median latency is known.
pub(crate) async fn warm_up(pool: &Pool, slots: usize) {
    for _ in 0..=(40 / slots) {
        let mut held = Vec::new();
        for _ in 0..slots {
            held.push(acquire(pool).await);
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
        for slot in held {
            finish(slot, Outcome::Success);
        }
    }
}

/// Returns the targets of the next `count` calls, each of which is cancelled at
/// once.
pub(crate) async fn targets(pool: &Pool, count: usize) -> Vec<Target> {
    let mut targets = Vec::new();
    for _ in 0..count {
        let slot = acquire(pool).await;
        targets.push(slot.target().clone());
        drop(slot);
    }
    targets
}

/// Acquires every free slot.
pub(crate) async fn acquire_all(pool: &Pool) -> Vec<Slot> {
    let mut slots = Vec::new();
    while let Some(slot) = try_acquire(pool, &call(400)).await {
        slots.push(slot);
    }
    slots
}

/// Acquires a slot if one is free at this moment.
pub(crate) async fn try_acquire(pool: &Pool, call: &Call) -> Option<Slot> {
    tokio::select! {
        biased;
        slot = pool.acquire(call) => slot.ok(),
        () = std::future::ready(()) => None,
    }
}

pub(crate) fn standing(pool: &Pool, index: u32) -> Standing {
    let snapshots = pool.snapshots();
    let found = snapshots
        .iter()
        .find(|snapshot| snapshot.target == target(index));
    found.expect("the target is listed").standing
}

pub(crate) async fn advance(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}
