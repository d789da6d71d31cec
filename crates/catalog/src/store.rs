//! Rows of the platform's table.

use carobdrift_platform::{Client, Error, Row};
use carobdrift_units::{Cell, EditId, Revision, Service, Team, Version};
use serde::{Deserialize, Serialize};
use thiserror::Error as ThisError;

/// Prefix of the keys of documents.
pub(crate) const DOCUMENTS: &str = "documents/";

/// Changes that the change log row keeps.
pub(crate) const LOG_LENGTH: usize = 512;

/// Why rows of the table could not be used.
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

/// Value of `documents/{service}`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct DocumentRow {
    /// Number of edits of the document that were accepted.
    pub(crate) version: Version,
    /// The document as it was accepted. Text, so that an entry of an older
    /// build passes it on unchanged.
    pub(crate) body: String,
    pub(crate) edit: EditId,
    pub(crate) team: Team,
    pub(crate) cell: Cell,
    pub(crate) transaction: String,
}

/// Value of `changes/{cell}`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct ChangeLog {
    pub(crate) revision: Revision,
    /// The last changes, oldest first.
    pub(crate) changes: Vec<Change>,
    pub(crate) transaction: String,
}

/// One accepted edit; an array in JSON, because the row is read by every poll.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Change(pub(crate) Revision, pub(crate) Service, pub(crate) Version);

/// Value of `edits/{edit_id}`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct EditRow {
    pub(crate) outcome: Outcome,
    /// Hash of the document, which tells a repeated submission from another
    /// edit under the same id.
    pub(crate) digest: u64,
    pub(crate) transaction: String,
}

/// Outcome of an accepted edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Id of the edit.
    pub edit: EditId,
    /// Service whose document was replaced.
    pub service: Service,
    /// Team that owns the service by this document.
    pub team: Team,
    /// Version of the document.
    pub version: Version,
    /// Position in the change log of the cell.
    pub revision: Revision,
}

impl ChangeLog {
    /// Changes after a position; `None` when the log no longer reaches back.
    pub(crate) fn after(&self, revision: Revision) -> Option<&[Change]> {
        if revision >= self.revision {
            return Some(&[]);
        }
        let first = self
            .changes
            .iter()
            .position(|change| change.0.0 == revision.0 + 1)?;
        self.changes.get(first..)
    }

    /// The log after one more change.
    pub(crate) fn with(mut self, service: Service, version: Version, transaction: &str) -> Self {
        self.revision = Revision(self.revision.0 + 1);
        self.changes.push(Change(self.revision, service, version));
        let excess = self.changes.len().saturating_sub(LOG_LENGTH);
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

/// Reads the change log; returns the version of its row, 0 when it is absent.
pub(crate) async fn read_log(client: &Client, cell: &Cell) -> Result<(u64, ChangeLog), StoreError> {
    match client.read(&log_key(cell)).await? {
        Some(row) => Ok((row.version, parse(row)?)),
        None => Ok((0, ChangeLog::default())),
    }
}

/// Reads the row of an edit.
pub(crate) async fn read_edit(
    client: &Client,
    edit: &EditId,
) -> Result<Option<EditRow>, StoreError> {
    client.read(&edit_key(edit)).await?.map(parse).transpose()
}

/// Version and body of a document row, and the whole value when the row is of a
/// known format.
pub(crate) fn read_document(
    row: &Row,
) -> (Version, String, Result<DocumentRow, serde_json::Error>) {
    match DocumentRow::deserialize(&row.value) {
        Ok(document) => (document.version, document.body.clone(), Ok(document)),
        // Kept as a body that can't be parsed, so that the version is known.
        // Every format states it; a row without one comes from another writer
        // and is older than all documents.
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
