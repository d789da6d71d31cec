//! Rows and transactions of the table service.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key; may contain `/`.
    pub key: String,
    /// Revision of the platform that wrote it; grows with each write.
    pub version: u64,
    /// Value.
    pub value: Value,
}

/// A set of writes that takes effect as a whole or not at all.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Id that tells this transaction apart from all others.
    pub id: String,
    /// What must hold for it to take effect.
    pub conditions: Vec<Condition>,
    /// Rows to write.
    pub puts: Vec<Put>,
    /// Keys of rows to delete.
    pub deletes: Vec<String>,
}

/// Requires a row to have a version; version 0 requires it to be absent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Required version.
    pub version: u64,
}

/// Writes a row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Put {
    /// Key of the row.
    pub key: String,
    /// New value.
    pub value: Value,
}

/// A transaction that took effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    /// New version of each written row.
    pub versions: BTreeMap<String, u64>,
}

/// A condition that did not hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Key of the row.
    pub key: String,
    /// Version that the row has; 0 when it is absent.
    pub version: u64,
}
