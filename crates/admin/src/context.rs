//! What every endpoint has at hand.

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

/// Shared state of the server.
pub(crate) struct Context {
    /// Set once the entry has started.
    pub(crate) backend: OnceLock<Arc<dyn Backend>>,
    pub(crate) tokens: Tokens,
    pub(crate) ceilings: Ceilings,
    pub(crate) steering: Steering,
    pub(crate) registry: Registry,
}

pub(crate) type Request = RequestContext<Context>;

impl Context {
    /// Whom the token of a call stands for.
    pub(crate) fn identify(&self, request: &Request) -> Result<&Identity, Refusal> {
        let mut headers = request.request.headers().get_all(AUTHORIZATION).iter();
        let presented = match (headers.next(), headers.next()) {
            (Some(value), None) => value.to_str().ok().and_then(bearer),
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

    /// The parts of the entry.
    pub(crate) fn backend(&self) -> Result<&dyn Backend, Refusal> {
        match self.backend.get() {
            Some(backend) => Ok(backend.as_ref()),
            None => Err(Refusal::new(Kind::NotReady, "the entry is starting")),
        }
    }

    /// The document in force of a service.
    pub(crate) fn held(&self, service: &Service) -> Result<Arc<Edition>, Refusal> {
        let documents = self.backend()?.documents();
        let held = documents.get(service).cloned();
        held.ok_or_else(|| no_document(service))
    }

    /// The document in force of a service that the caller may see.
    pub(crate) fn visible(
        &self,
        request: &Request,
        service: &Service,
    ) -> Result<Arc<Edition>, Refusal> {
        let identity = self.identify(request)?;
        let held = self.held(service)?;
        permit(identity, &held.document.team)?;
        Ok(held)
    }
}

/// Requires the caller to be the operator or the given team.
pub(crate) fn permit(identity: &Identity, owner: &Team) -> Result<(), Refusal> {
    match identity {
        Identity::Operator => Ok(()),
        Identity::Team(team) if team == owner => Ok(()),
        Identity::Team(team) => Err(Refusal::new(
            Kind::Forbidden,
            format!("team {team} may not use a service of another team"),
        )),
    }
}

fn no_document(service: &Service) -> Refusal {
    Refusal::new(
        Kind::NotFound,
        format!("service {service} has no document in force on this instance"),
    )
}

/// The token of an `Authorization` header; the scheme's case is ignored.
fn bearer(value: &str) -> Option<&str> {
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}
