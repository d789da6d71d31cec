//! Error responses of the API.

use std::fmt;

use carobdrift_catalog::EditError;
use carobdrift_document::{Fault, Rejection};
use carobdrift_platform::Error;
use carobdrift_units::{EditId, Version};
use dropshot::{ErrorStatusCode, HttpError, HttpResponseError};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Why a call was refused or failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Refusal {
    /// Kind of the refusal.
    pub error: Kind,
    /// What happened, for people.
    pub message: String,
    /// With `conflict`: the version in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current_version: Option<Version>,
    /// With a refused or unknown edit: its id.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub edit_id: Option<EditId>,
    /// With `invalid`: every fault of the document.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
}

/// Kind of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The call itself is malformed.
    Malformed,
    /// The document has faults.
    Invalid,
    /// No valid token was sent.
    Unauthorized,
    /// The token does not permit this.
    Forbidden,
    /// There is no such thing.
    NotFound,
    /// Another version is in force than the edit is based on.
    Conflict,
    /// The edit id is already used for another edit.
    Reused,
    /// The service belongs to another cell.
    OtherCell,
    /// The entry is not ready to take calls.
    NotReady,
    /// The entry hears too few peers to accept an edit; nothing was written.
    NoQuorum,
    /// Something that the call needs can't be reached or read; nothing was
    /// written.
    Unavailable,
    /// The edit may have taken effect; its outcome can be asked for.
    Unknown,
    /// The entry failed.
    Internal,
}

impl Refusal {
    /// Creates a refusal. The message is sent in the response body.
    pub(crate) fn new(error: Kind, message: impl Into<String>) -> Self {
        Self {
            error,
            message: message.into(),
            current_version: None,
            edit_id: None,
            faults: Vec::new(),
        }
    }

    pub(crate) fn from_edit_error(error: &EditError, edit_id: EditId) -> Self {
        let kind = match error {
            EditError::Conflict { .. } => Kind::Conflict,
            EditError::IdReused(_) => Kind::Reused,
            EditError::NotOwner { .. } => Kind::Forbidden,
            EditError::OtherCell { .. } => Kind::OtherCell,
            EditError::NoQuorum { .. } => Kind::NoQuorum,
            EditError::Contention
            | EditError::Encode(_)
            | EditError::Malformed { .. }
            | EditError::Unavailable(_) => Kind::Unavailable,
            EditError::Unknown { .. } | EditError::Stopping(_) => Kind::Unknown,
        };
        let current_version = match error {
            EditError::Conflict { current, .. } => Some(*current),
            _ => None,
        };
        Self {
            current_version,
            edit_id: Some(edit_id),
            ..Self::new(kind, error.to_string())
        }
    }
}

impl From<Rejection> for Refusal {
    fn from(rejection: Rejection) -> Self {
        Self {
            faults: rejection.faults.clone(),
            ..Self::new(Kind::Invalid, rejection.to_string())
        }
    }
}

impl From<Error> for Refusal {
    fn from(error: Error) -> Self {
        Self::new(Kind::Unavailable, error.to_string())
    }
}

impl From<HttpError> for Refusal {
    fn from(error: HttpError) -> Self {
        let kind = match error.status_code.as_u16() {
            404 => Kind::NotFound,
            503 => Kind::Unavailable,
            400..=499 => Kind::Malformed,
            _ => Kind::Internal,
        };
        Self::new(kind, error.external_message)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl HttpResponseError for Refusal {
    fn status_code(&self) -> ErrorStatusCode {
        match self.error {
            Kind::Malformed | Kind::Invalid => ErrorStatusCode::BAD_REQUEST,
            Kind::Unauthorized => ErrorStatusCode::UNAUTHORIZED,
            Kind::Forbidden => ErrorStatusCode::FORBIDDEN,
            Kind::NotFound => ErrorStatusCode::NOT_FOUND,
            Kind::Conflict | Kind::OtherCell => ErrorStatusCode::CONFLICT,
            Kind::Reused => ErrorStatusCode::UNPROCESSABLE_ENTITY,
            Kind::NotReady | Kind::NoQuorum | Kind::Unavailable => {
                ErrorStatusCode::SERVICE_UNAVAILABLE
            }
            Kind::Unknown => ErrorStatusCode::GATEWAY_TIMEOUT,
            Kind::Internal => ErrorStatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}
