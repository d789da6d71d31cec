//! Deserialization of the JSON structure with all of its faults.
//!
//! Deserialization stops at the first fault. To report the others as well, the
//! faulty value is replaced with the value at the same path of a sample
//! document, and the document is deserialized again.

use serde_json::Value;
use serde_path_to_error::{Path, Segment};

use crate::fault::Faults;
use crate::model::Document;

/// Structural faults after which deserialization ends; each fault costs one more
/// pass.
const MAX_FAULTS: usize = 100;

/// Sample document with the replacements: one element per list, every field
/// present.
const SAMPLE: &str = r#"{
  "service": "sample",
  "team": "sample",
  "targets": [{"id": "sample", "address": "127.0.0.1:1", "zone": "sample", "slots": 1,
               "state": "active"}],
  "routes": [{"name": "sample", "methods": ["GET"], "path": "/", "kind": "non-idempotent",
              "class": "sample", "deadline_ms": 1000, "keys": "none"}],
  "classes": [{"name": "sample", "weight": 1, "max_queue": 1, "max_in_flight": null,
               "max_per_second": null}],
  "limits": {"max_in_flight": 1000, "max_per_second": 1000},
  "measuring": {"probes_per_second_per_target": 2, "path": "/", "timeout_ms": 100},
  "retries": {"max_attempts": 1, "budget_percent": 1},
  "hedging": {"after_percentile": 95, "min_delay_ms": 5, "budget_percent": 1},
  "balancing": {"policy": "adaptive"},
  "steering": {"entries_per_zone": 1, "ttl_ms": 5000},
  "connections": {"max_per_target": 2000, "connect_timeout_ms": 100, "idle_timeout_ms": 1000},
  "bodies": {"max_request_bytes": 1, "max_response_bytes": 1}
}"#;

/// Kind of a deserialization fault.
enum Kind<'a> {
    /// A field is missing.
    Missing(&'a str),
    /// A field is unknown.
    Unknown,
    /// A value has the wrong type or is out of range.
    Value,
}

/// Deserializes a document. In a document with faults, the faulty values are
/// replaced; the document is `None` if that fails.
pub(crate) fn read(bytes: &[u8]) -> (Option<Document>, Faults) {
    let mut faults = Faults::default();
    let mut value = match serde_json::from_slice::<Value>(bytes) {
        Ok(value) => value,
        Err(error) => {
            faults.add("document", error.to_string());
            return (None, faults);
        }
    };
    // Only the text shows a duplicate field: a `Value` keeps the last one.
    let mut text = serde_json::Deserializer::from_slice(bytes);
    if let Err(error) = serde_path_to_error::deserialize::<_, Document>(&mut text) {
        let problem = error.inner().to_string();
        if let Some(field) = quoted(&problem, "duplicate field `") {
            faults.add(join(error.path(), field), "is given more than once");
        }
    }
    let sample = serde_json::from_str::<Value>(SAMPLE).unwrap_or_default();
    replace_lists(&mut value, &sample, "", &mut faults);
    while faults.len() < MAX_FAULTS {
        let error = match serde_path_to_error::deserialize::<_, Document>(&value) {
            Ok(document) => return (Some(document), faults),
            Err(error) => error,
        };
        let problem = error.inner().to_string();
        let kind = classify(&problem);
        match kind {
            Kind::Missing(field) => faults.add(join(error.path(), field), "is missing"),
            Kind::Unknown | Kind::Value => faults.add(display(error.path()), problem.as_str()),
        }
        let segments: Vec<Segment> = error.path().iter().cloned().collect();
        if repair(&mut value, &sample, &segments, &kind).is_none() {
            return (None, faults);
        }
    }
    faults.add(
        "document",
        format!("has more than {MAX_FAULTS} faults; the others are not shown"),
    );
    (None, faults)
}

/// Reports and replaces lists that are given instead of objects. Deserialization
/// would assign the elements of such a list to the fields by position.
fn replace_lists(value: &mut Value, sample: &Value, path: &str, faults: &mut Faults) {
    match (value, sample) {
        _ if faults.len() >= MAX_FAULTS => {}
        (value @ Value::Array(_), Value::Object(_)) => {
            let path = if path.is_empty() { "document" } else { path };
            faults.add(path, "must be an object, not a list");
            value.clone_from(sample);
        }
        (Value::Object(fields), Value::Object(samples)) => {
            for (name, field) in fields {
                if let Some(sample) = samples.get(name) {
                    let separator = if path.is_empty() { "" } else { "." };
                    replace_lists(field, sample, &format!("{path}{separator}{name}"), faults);
                }
            }
        }
        (Value::Array(elements), Value::Array(samples)) => {
            for (index, element) in elements.iter_mut().enumerate() {
                if let Some(sample) = samples.first() {
                    replace_lists(element, sample, &format!("{path}[{index}]"), faults);
                }
            }
        }
        _ => {}
    }
}

/// Distinguishes missing and unknown fields from other faults by the error texts
/// of serde, which has no typed form of these errors.
fn classify(problem: &str) -> Kind<'_> {
    if let Some(field) = quoted(problem, "missing field `") {
        Kind::Missing(field)
    } else if problem.starts_with("unknown field `") {
        Kind::Unknown
    } else {
        Kind::Value
    }
}

/// Returns the field name in backquotes that follows `prefix`.
fn quoted<'a>(problem: &'a str, prefix: &str) -> Option<&'a str> {
    problem.strip_prefix(prefix)?.split('`').next()
}

/// Replaces, inserts or removes the faulty value at a path by the sample. Returns
/// `None` if that is not possible.
fn repair(value: &mut Value, sample: &Value, segments: &[Segment], kind: &Kind<'_>) -> Option<()> {
    let (mut current, mut pattern) = (value, sample);
    let parents = match kind {
        Kind::Unknown => segments.len().checked_sub(1)?,
        Kind::Missing(_) | Kind::Value => segments.len(),
    };
    for segment in &segments[..parents] {
        match segment {
            Segment::Map { key } => {
                current = current.get_mut(key)?;
                pattern = pattern.get(key)?;
            }
            Segment::Seq { index } => {
                current = current.get_mut(index)?;
                pattern = pattern.get(0)?;
            }
            // Within an enum, the whole value is replaced.
            Segment::Enum { .. } | Segment::Unknown => break,
        }
    }
    match kind {
        Kind::Missing(field) => {
            let replacement = pattern.get(*field)?.clone();
            current
                .as_object_mut()?
                .insert((*field).to_owned(), replacement);
        }
        Kind::Unknown => {
            let Some(Segment::Map { key }) = segments.last() else {
                return None;
            };
            current.as_object_mut()?.remove(key)?;
        }
        Kind::Value => {
            // If the values are equal, the next pass would find the same fault.
            if current == pattern {
                return None;
            }
            current.clone_from(pattern);
        }
    }
    Some(())
}

fn join(parent: &Path, field: &str) -> String {
    if parent.iter().next().is_none() {
        field.to_owned()
    } else {
        format!("{parent}.{field}")
    }
}

fn display(path: &Path) -> String {
    if path.iter().next().is_none() {
        "document".to_owned()
    } else {
        path.to_string()
    }
}
