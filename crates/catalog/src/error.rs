//! Failures of an edit.

use carobdrift_platform::Error;
use carobdrift_units::{Cell, EditId, Service, Team, Version};
use thiserror::Error as ThisError;

/// Why an edit was not accepted.
#[derive(Debug, ThisError)]
pub enum EditError {
    /// The stored document has another version than the edit is based on.
    #[error("the document of {service} has version {current}, not {expected}")]
    Conflict {
        /// Service of the edit.
        service: Service,
        /// Version that the edit is based on.
        expected: Version,
        /// Version of the stored document.
        current: Version,
    },
    /// The entry does not hear a majority of its cell.
    #[error("only {responding} of the {cell_size} entries of the cell are responding")]
    NoQuorum {
        /// Entries heard, itself included.
        responding: usize,
        /// Entries of the cell.
        cell_size: usize,
    },
    /// The edit id was used for another document.
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
        /// Its cell.
        cell: Cell,
    },
    /// Other edits kept changing the change log; nothing was written.
    #[error("too many edits at the same time; nothing was written")]
    Contention,
    /// The document can't be encoded; nothing was written.
    #[error("the document can't be encoded: {0}")]
    Encode(#[from] serde_json::Error),
    /// A row of the table has a format that this build does not know; nothing
    /// was written.
    #[error("row {key} of the table can't be read: {cause}")]
    Malformed {
        /// Key of the row.
        key: String,
        /// What is wrong with it.
        #[source]
        cause: serde_json::Error,
    },
    /// The store can't be reached; nothing was written.
    #[error("the store can't be reached, nothing was written: {0}")]
    Unavailable(#[source] Error),
    /// The write may or may not have taken effect; the edit id tells once the
    /// store can be reached.
    #[error("the outcome of edit {edit} is unknown: {cause}")]
    Unknown {
        /// Id of the edit.
        edit: EditId,
        /// Why the outcome is not known.
        #[source]
        cause: Error,
    },
    /// The entry stops; the outcome of the edit is unknown.
    #[error("the entry stops; the outcome of edit {0} is unknown")]
    Stopping(EditId),
}

impl EditError {
    /// Label of the failure in metrics.
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
