//! Rows and transactions of the table service.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Row of the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key; may contain `/`.
    pub key: String,
    /// Revision of the platform that wrote the row; grows with each write.
    pub version: u64,
    /// Value.
    pub value: Value,
}

/// Transaction of writes, which take effect together or not at all.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Unique id of the transaction.
    pub id: String,
    /// Conditions that must be met for the transaction to take effect.
    pub conditions: Vec<Condition>,
    /// Rows to write.
    pub puts: Vec<Put>,
    /// Keys of rows to delete.
    pub deletes: Vec<String>,
}

/// Condition that a row has a version; version 0 requires the row to be absent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Required version.
    pub version: u64,
}

/// Write of a row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Put {
    /// Key of the row.
    pub key: String,
    /// New value.
    pub value: Value,
}

/// Result of a transaction that took effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    /// New version of each written row.
    pub versions: BTreeMap<String, u64>,
}

/// Condition that was not met.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Key of the row.
    pub key: String,
    /// Actual version of the row; 0 if the row is absent.
    pub version: u64,
}
