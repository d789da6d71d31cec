//! Rows and transactions of the stand-in.

use std::collections::BTreeMap;
use std::ops::Bound;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Number of writes that the row has had.
    pub version: u64,
    /// Value.
    pub value: Value,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Transaction {
    #[expect(dead_code, reason = "required by the protocol, not used here")]
    id: String,
    #[serde(default)]
    conditions: Vec<Expected>,
    #[serde(default)]
    puts: Vec<Put>,
    #[serde(default)]
    deletes: Vec<String>,
}

/// A row's key with a version: required, found or written.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Expected {
    pub(crate) key: String,
    pub(crate) version: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Put {
    key: String,
    value: Value,
}

/// The rows. A deleted row keeps its version without a value, so that its
/// versions continue when it is written again.
#[derive(Debug, Default)]
pub(crate) struct Table {
    rows: BTreeMap<String, (u64, Option<Value>)>,
}

impl Table {
    pub(crate) fn read(&self, key: &str) -> Option<Row> {
        let (version, value) = self.rows.get(key)?;
        Some(Row {
            key: key.to_owned(),
            version: *version,
            value: value.clone()?,
        })
    }

    pub(crate) fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let start = if after < prefix {
            Bound::Included(prefix)
        } else {
            Bound::Excluded(after)
        };
        self.rows
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter_map(|(key, _)| self.read(key))
            .take(limit)
            .collect()
    }

    pub(crate) fn write(&mut self, key: String, value: Option<Value>) -> u64 {
        let row = self.rows.entry(key).or_default();
        if value.is_some() {
            row.0 += 1;
        }
        row.1 = value;
        row.0
    }

    /// Applies the transaction as a whole, or returns the conditions that do
    /// not hold.
    pub(crate) fn transact(
        &mut self,
        transaction: Transaction,
    ) -> Result<BTreeMap<String, u64>, Vec<Expected>> {
        let conflicts: Vec<_> = transaction
            .conditions
            .into_iter()
            .filter_map(|condition| {
                let version = self.read(&condition.key).map_or(0, |row| row.version);
                (version != condition.version).then_some(Expected {
                    key: condition.key,
                    version,
                })
            })
            .collect();
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        for key in transaction.deletes {
            self.write(key, None);
        }
        Ok(transaction
            .puts
            .into_iter()
            .map(|put| (put.key.clone(), self.write(put.key, Some(put.value))))
            .collect())
    }
}
