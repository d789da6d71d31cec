//! Rows of the platform's table and access to them.

use carobdrift_platform::{Client, Error, Row};
use carobdrift_units::{Cell, EditId, Revision, Service, Team, Version};
use serde::{Deserialize, Serialize};
use thiserror::Error as ThisError;

/// Prefix of the keys of documents.
pub(crate) const DOCUMENTS: &str = "documents/";

/// Largest number of changes in the row of the change log.
pub(crate) const MAX_LOG_CHANGES: usize = 512;

/// Error of a read from the table.
#[derive(Debug, ThisError)]
pub(crate) enum StoreError {
    #[error(transparent)]
    Platform(#[from] Error),
    #[error("row {key} is malformed: {cause}")]
    Malformed {
        key: String,
        #[source]
        cause: serde_json::Error,
    },
}

/// Value of the row `documents/{service}`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct DocumentRow {
    /// Version of the document, which is the number of its accepted edits.
    pub(crate) version: Version,
    /// Document in the form in which it was accepted. Stored as text, so that an
    /// entry that runs an older build replicates it unchanged.
    pub(crate) body: String,
    pub(crate) edit: EditId,
    pub(crate) team: Team,
    pub(crate) cell: Cell,
    pub(crate) transaction: String,
}

/// Value of the row `changes/{cell}`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct ChangeLog {
    pub(crate) revision: Revision,
    /// Newest changes, oldest first.
    pub(crate) changes: Vec<Change>,
    pub(crate) transaction: String,
}

/// Accepted edit in the change log. Encoded as a JSON array to keep the row small,
/// because every poll reads it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Change(pub(crate) Revision, pub(crate) Service, pub(crate) Version);

/// Value of the row `edits/{edit_id}`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct EditRow {
    pub(crate) outcome: Outcome,
    /// Hash of the document, which distinguishes a repeated submission of an edit
    /// from another edit with the same id.
    pub(crate) digest: u64,
    pub(crate) transaction: String,
}

/// Outcome of an accepted edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Id of the accepted edit.
    pub edit: EditId,
    /// Service whose document was replaced.
    pub service: Service,
    /// Team that owns the service according to the new document.
    pub team: Team,
    /// Version of the new document.
    pub version: Version,
    /// Position of the edit in the change log of the cell.
    pub revision: Revision,
}

impl ChangeLog {
    /// Returns the changes after a position; `None` if the log no longer contains
    /// all of them.
    pub(crate) fn changes_after(&self, revision: Revision) -> Option<&[Change]> {
        if revision >= self.revision {
            return Some(&[]);
        }
        let first = self
            .changes
            .iter()
            .position(|change| change.0.0 == revision.0 + 1)?;
        self.changes.get(first..)
    }

    /// Returns the log with a change appended and the oldest changes beyond
    /// [`MAX_LOG_CHANGES`] removed.
    pub(crate) fn append(mut self, service: Service, version: Version, transaction: &str) -> Self {
        self.revision = Revision(self.revision.0 + 1);
        self.changes.push(Change(self.revision, service, version));
        let excess = self.changes.len().saturating_sub(MAX_LOG_CHANGES);
        self.changes.drain(..excess);
        transaction.clone_into(&mut self.transaction);
        self
    }
}

pub(crate) fn document_key(service: &Service) -> String {
    format!("{DOCUMENTS}{service}")
}

pub(crate) fn log_key(cell: &Cell) -> String {
    format!("changes/{cell}")
}

pub(crate) fn edit_key(edit: &EditId) -> String {
    format!("edits/{edit}")
}

/// Reads the change log and the version of its row, which is 0 if there is no
/// row.
pub(crate) async fn read_log(client: &Client, cell: &Cell) -> Result<(u64, ChangeLog), StoreError> {
    match client.read(&log_key(cell)).await? {
        Some(row) => Ok((row.version, parse(row)?)),
        None => Ok((0, ChangeLog::default())),
    }
}

/// Reads the row of an edit; `None` if the edit has not been accepted.
pub(crate) async fn read_edit(
    client: &Client,
    edit: &EditId,
) -> Result<Option<EditRow>, StoreError> {
    client.read(&edit_key(edit)).await?.map(parse).transpose()
}

/// Returns the version and the body of a document row, and its parsed value if
/// this build supports the format of the row.
pub(crate) fn parse_document_row(
    row: &Row,
) -> (Version, String, Result<DocumentRow, serde_json::Error>) {
    match DocumentRow::deserialize(&row.value) {
        Ok(document) => (document.version, document.body.clone(), Ok(document)),
        // The value becomes a body that can't be parsed, so that at least its
        // version is known. Every format has the version field; a row without it
        // was written by another program and counts as older than all documents.
        Err(error) => {
            let version = Version::deserialize(&row.value["version"]).unwrap_or(Version::NONE);
            (version, row.value.to_string(), Err(error))
        }
    }
}

fn parse<T: serde::de::DeserializeOwned>(row: Row) -> Result<T, StoreError> {
    serde_json::from_value(row.value).map_err(|cause| StoreError::Malformed {
        key: row.key,
        cause,
    })
}
