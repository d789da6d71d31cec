//! Authentication of requests by the API keys of workspaces.

use std::sync::Arc;

use carobdrift_routing::{KeyDigest, Route, Table, Workspace};
use http::HeaderMap;
use http::header::AUTHORIZATION;

use crate::refusal::Refusal;

/// Scheme of the `Authorization` field that carries an API key.
const SCHEME: &str = "bearer";

/// Workspace of a request, with the digest of the key that proved it.
#[derive(Debug, Clone)]
pub(crate) struct Credential {
    key: KeyDigest,
    pub(crate) workspace: Arc<Workspace>,
}

impl Credential {
    /// Returns the credential of a request; `None` if its route needs none. The key
    /// is removed from the header.
    pub(crate) fn take(
        headers: &mut HeaderMap,
        route: &Route,
        table: &Table,
    ) -> Result<Option<Self>, Refusal> {
        if !table.state().requires_keys {
            return Ok(None);
        }
        let key = digest(headers);
        headers.remove(AUTHORIZATION);
        if route.public {
            return Ok(None);
        }
        let key = key.ok_or(Refusal::Unauthorized)?;
        let workspace = table.workspace(&key).ok_or(Refusal::Unauthorized)?;
        Ok(Some(Self {
            key,
            workspace: Arc::clone(workspace),
        }))
    }

    /// Returns whether the key still belongs to the workspace under the current
    /// desired state.
    pub(crate) fn is_valid(&self, table: &Table) -> bool {
        let holder = table.workspace(&self.key);
        holder.is_some_and(|holder| holder.name == self.workspace.name)
    }
}

/// Returns the digest of the API key in a header; `None` if there is none, several
/// `Authorization` fields, or another scheme.
fn digest(headers: &HeaderMap) -> Option<KeyDigest> {
    let mut fields = headers.get_all(AUTHORIZATION).iter();
    let (Some(field), None) = (fields.next(), fields.next()) else {
        return None;
    };
    let (scheme, key) = field.to_str().ok()?.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case(SCHEME) && !key.is_empty()).then(|| KeyDigest::of(key.as_bytes()))
}
