//! Tests of the service document.

#![expect(
    clippy::needless_raw_string_hashes,
    reason = "expect-test writes the expected texts in this form"
)]

mod canonical;
mod ceilings;
mod examples;
mod rejection;
mod route;

use carobdrift_document::{Document, Rejection};
use serde_json::{Value, json};

/// Returns a small document without faults.
fn valid() -> Value {
    json!({
        "service": "sheets",
        "team": "lanemark-meets",
        "targets": [
            {"id": "sheets-1", "address": "10.2.0.11:8080", "zone": "hobart", "slots": 2},
            {"id": "sheets-2", "address": "10.2.0.12:8080", "zone": "burnie", "slots": 2}
        ],
        "routes": [
            {"name": "view", "methods": ["GET", "HEAD"], "path": "/heats/*",
             "kind": "idempotent", "class": "view", "deadline_ms": 400},
            {"name": "seed", "methods": ["POST"], "path": "/seedings",
             "kind": "non-idempotent", "class": "seeding", "deadline_ms": 2000,
             "keys": "issued"}
        ],
        "classes": [
            {"name": "view", "weight": 4, "max_queue": 200},
            {"name": "seeding", "weight": 8, "max_queue": 100}
        ]
    })
}

/// Returns the valid document with the values at the given JSON pointers
/// replaced. The last part of a pointer may name a new field.
fn changed(changes: &[(&str, Value)]) -> Value {
    let mut document = valid();
    for (pointer, value) in changes {
        if let Some(current) = document.pointer_mut(pointer) {
            *current = value.clone();
            continue;
        }
        let (parent, field) = pointer.rsplit_once('/').unwrap();
        document.pointer_mut(parent).unwrap()[field] = value.clone();
    }
    document
}

fn parse(document: &Value) -> Result<Document, Rejection> {
    Document::parse(document.to_string().as_bytes())
}

/// Returns one line per fault.
fn show(rejection: &Rejection) -> String {
    let lines: Vec<String> = rejection.faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
