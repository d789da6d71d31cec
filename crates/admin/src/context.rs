//! State shared by all endpoints.

use std::sync::{Arc, OnceLock};

use carobdrift_catalog::Edition;
use carobdrift_document::Ceilings;
use carobdrift_units::{Service, Team};
use dropshot::RequestContext;
use http::header::AUTHORIZATION;
use prometheus::Registry;

use crate::backend::Backend;
use crate::refusal::{Kind, Refusal};
use crate::steering::Steering;
use crate::tokens::{Identity, Tokens};

/// State shared by all endpoints.
pub(crate) struct Context {
    /// Backend, set once the entry has started.
    pub(crate) backend: OnceLock<Arc<dyn Backend>>,
    pub(crate) tokens: Tokens,
    pub(crate) ceilings: Ceilings,
    pub(crate) steering: Steering,
    pub(crate) registry: Registry,
}

pub(crate) type Request = RequestContext<Context>;

impl Context {
    /// Returns the identity that the bearer token of a request stands for.
    pub(crate) fn identify(&self, request: &Request) -> Result<&Identity, Refusal> {
        let mut headers = request.request.headers().get_all(AUTHORIZATION).iter();
        let presented = match (headers.next(), headers.next()) {
            (Some(value), None) => value.to_str().ok().and_then(bearer_token),
            _ => None,
        };
        presented
            .and_then(|token| self.tokens.identify(token))
            .ok_or_else(|| {
                Refusal::new(
                    Kind::Unauthorized,
                    "the call must carry one valid bearer token",
                )
            })
    }

    /// Returns the backend; fails while the entry is starting.
    pub(crate) fn backend(&self) -> Result<&dyn Backend, Refusal> {
        match self.backend.get() {
            Some(backend) => Ok(backend.as_ref()),
            None => Err(Refusal::new(Kind::NotReady, "the entry is starting")),
        }
    }

    /// Returns the edition of a service's document that is in force.
    pub(crate) fn edition_in_force(&self, service: &Service) -> Result<Arc<Edition>, Refusal> {
        let documents = self.backend()?.documents();
        let edition = documents.get(service).cloned();
        edition.ok_or_else(|| no_document_error(service))
    }

    /// Returns the edition in force of a service's document, if the caller may
    /// see it.
    pub(crate) fn authorized_edition(
        &self,
        request: &Request,
        service: &Service,
    ) -> Result<Arc<Edition>, Refusal> {
        let identity = self.identify(request)?;
        let edition = self.edition_in_force(service)?;
        authorize(identity, &edition.document.team)?;
        Ok(edition)
    }
}

/// Requires the identity to be the operator or the owning team.
pub(crate) fn authorize(identity: &Identity, owner: &Team) -> Result<(), Refusal> {
    match identity {
        Identity::Operator => Ok(()),
        Identity::Team(team) if team == owner => Ok(()),
        Identity::Team(team) => Err(Refusal::new(
            Kind::Forbidden,
            format!("team {team} may not use a service of another team"),
        )),
    }
}

fn no_document_error(service: &Service) -> Refusal {
    Refusal::new(
        Kind::NotFound,
        format!("service {service} has no document in force on this instance"),
    )
}

/// Returns the token of an `Authorization` header. The case of the scheme is
/// ignored.
fn bearer_token(value: &str) -> Option<&str> {
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}
