//! Errors of an edit.

use carobdrift_platform::Error;
use carobdrift_units::{Cell, EditId, Service, Team, Version};
use thiserror::Error as ThisError;

/// Error of an edit.
#[derive(Debug, ThisError)]
pub enum EditError {
    /// The stored document has a different version than the edit is based on.
    #[error("the document of {service} has version {current}, not {expected}")]
    Conflict {
        /// Service of the edit.
        service: Service,
        /// Version that the edit is based on.
        expected: Version,
        /// Version of the stored document.
        current: Version,
    },
    /// The entry did not receive recent pongs from a majority of its cell.
    #[error("only {responding} of the {cell_size} entries of the cell are heard")]
    NoQuorum {
        /// Number of responding entries, including this entry.
        responding: usize,
        /// Number of entries of the cell.
        cell_size: usize,
    },
    /// The edit id was already used for an edit with another document.
    #[error("edit id {0} was used for another edit")]
    IdReused(EditId),
    /// The service belongs to another team.
    #[error("{service} belongs to team {owner}")]
    NotOwner {
        /// The service.
        service: Service,
        /// Team that owns it.
        owner: Team,
    },
    /// The service belongs to another cell.
    #[error("{service} belongs to cell {cell}")]
    OtherCell {
        /// The service.
        service: Service,
        /// Cell of the service.
        cell: Cell,
    },
    /// Concurrent edits changed the change log until the timeout; nothing was
    /// written.
    #[error("too many edits at the same time; nothing was written")]
    Contention,
    /// The document can't be encoded; nothing was written.
    #[error("the document can't be encoded: {0}")]
    Encode(#[from] serde_json::Error),
    /// A row of the table has a format that this build does not support; nothing
    /// was written.
    #[error("row {key} of the table can't be read: {cause}")]
    Malformed {
        /// Key of the row.
        key: String,
        /// Error of the parser.
        #[source]
        cause: serde_json::Error,
    },
    /// The store can't be reached; nothing was written.
    #[error("the store can't be reached, nothing was written: {0}")]
    Unavailable(#[source] Error),
    /// The write may or may not have taken effect. The outcome can be queried by
    /// the edit id when the store can be reached again.
    #[error("the outcome of edit {edit} is unknown: {cause}")]
    Unknown {
        /// Id of the edit.
        edit: EditId,
        /// Error that hides the outcome.
        #[source]
        cause: Error,
    },
    /// The entry is shutting down; the outcome of the edit is unknown.
    #[error("the entry stops; the outcome of edit {0} is unknown")]
    Stopping(EditId),
}

impl EditError {
    /// Returns the label of the error in metrics.
    pub(crate) fn reason(&self) -> &'static str {
        match self {
            Self::Conflict { .. } => "conflict",
            Self::NoQuorum { .. } => "no-quorum",
            Self::IdReused(_) => "id-reused",
            Self::NotOwner { .. } => "not-owner",
            Self::OtherCell { .. } => "other-cell",
            Self::Contention => "contention",
            Self::Encode(_) => "encode",
            Self::Malformed { .. } => "malformed",
            Self::Unavailable(_) => "unavailable",
            Self::Unknown { .. } => "unknown",
            Self::Stopping(_) => "stopping",
        }
    }
}
