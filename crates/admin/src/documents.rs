//! Endpoints that read and edit documents.

use carobdrift_catalog::{Edit, Standing};
use carobdrift_document::Document;
use carobdrift_units::{EditId, Instance, Millis, Revision, Service, Team, Version};
use dropshot::{HttpResponseOk, Path, Query, RequestContext, UntypedBody, endpoint};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::context::{Context, authorize};
use crate::refusal::{Kind, Refusal};
use crate::tokens::Identity;

#[derive(Deserialize, JsonSchema)]
pub(crate) struct ServicePath {
    /// Name of the service.
    pub(crate) service: Service,
}

#[derive(Deserialize, JsonSchema)]
pub(crate) struct VersionPath {
    /// Name of the service.
    service: Service,
    /// Version of its document.
    version: Version,
}

#[derive(Deserialize, JsonSchema)]
pub(crate) struct EditPath {
    /// Id of the edit.
    edit_id: EditId,
}

#[derive(Deserialize, JsonSchema)]
pub(crate) struct EditQuery {
    /// Version that the edit is based on; 0 for a new service.
    expected_version: Version,
    /// Id of the edit, chosen by the operator; drawn when absent.
    edit_id: Option<EditId>,
}

/// One service in the list of documents.
#[derive(Serialize, JsonSchema)]
struct Listed {
    service: Service,
    team: Team,
    version: Version,
}

#[derive(Serialize, JsonSchema)]
pub(crate) struct Documents {
    documents: Vec<Listed>,
    #[serde(flatten)]
    currency: Currency,
}

/// How current the documents in force on this instance are.
#[derive(Serialize, JsonSchema)]
struct Currency {
    /// Kind of confirmation.
    standing: Named,
    /// Milliseconds since the documents were known to be the newest; only with
    /// standing `confirmed`.
    confirmed_ms: Option<Millis>,
}

/// Name of a standing.
#[derive(Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
enum Named {
    /// The documents were the newest at most 5 s ago.
    Confirmed,
    /// The store can't be reached, and no entry that is heard has newer ones.
    Outage,
    /// Newer documents may exist.
    Unconfirmed,
}

impl From<Standing> for Currency {
    fn from(standing: Standing) -> Self {
        let (standing, confirmed_ms) = match standing {
            Standing::Confirmed { age } => (Named::Confirmed, Some(age.into())),
            Standing::Outage => (Named::Outage, None),
            Standing::Unconfirmed => (Named::Unconfirmed, None),
        };
        Self {
            standing,
            confirmed_ms,
        }
    }
}

/// A document in force.
#[derive(Serialize, JsonSchema)]
pub(crate) struct Current {
    /// The document with all defaults.
    document: Document,
    /// Its version.
    version: Version,
    #[serde(flatten)]
    currency: Currency,
}

/// A document that was in force once.
#[derive(Serialize, JsonSchema)]
pub(crate) struct PastDocument {
    /// The document as it was accepted.
    document: Value,
    /// Its version.
    version: Version,
}

#[derive(Serialize, JsonSchema)]
pub(crate) struct History {
    service: Service,
    /// Accepted versions, newest first.
    versions: Vec<Version>,
}

/// What one instance has in force.
#[derive(Serialize, JsonSchema)]
struct InstanceVersion {
    instance: Instance,
    /// Version in force there; absent without a document or an answer.
    version: Option<Version>,
    /// Whether the instance answered.
    answered: bool,
}

#[derive(Serialize, JsonSchema)]
pub(crate) struct Status {
    service: Service,
    /// Version in force on the instance that was asked.
    version: Version,
    instances: Vec<InstanceVersion>,
}

/// An edit that took effect.
#[derive(Serialize, JsonSchema)]
pub(crate) struct AcceptedEdit {
    service: Service,
    /// Version that the edit made.
    version: Version,
    /// Position in the change log.
    revision: Revision,
    edit_id: EditId,
    /// Instances that have the version in force so far.
    in_force: usize,
    /// Instances of the cell.
    cell_size: usize,
}

/// Outcome of an accepted edit.
#[derive(Serialize, JsonSchema)]
pub(crate) struct EditOutcome {
    edit_id: EditId,
    service: Service,
    /// Version that the edit made.
    version: Version,
}

/// List the documents in force that the caller may see.
#[endpoint { method = GET, path = "/v1/documents" }]
pub(crate) async fn list_documents(
    request: RequestContext<Context>,
) -> Result<HttpResponseOk<Documents>, Refusal> {
    let context = request.context();
    let identity = context.identify(&request)?;
    let documents = context
        .backend()?
        .documents()
        .values()
        .filter(|edition| authorize(identity, &edition.document.team).is_ok())
        .map(|edition| Listed {
            service: edition.document.service.clone(),
            team: edition.document.team.clone(),
            version: edition.version,
        })
        .collect();
    Ok(HttpResponseOk(Documents {
        documents,
        currency: context.backend()?.standing().into(),
    }))
}

/// Read the document in force of a service.
#[endpoint { method = GET, path = "/v1/documents/{service}" }]
pub(crate) async fn read_document(
    request: RequestContext<Context>,
    path: Path<ServicePath>,
) -> Result<HttpResponseOk<Current>, Refusal> {
    let context = request.context();
    let edition = context.authorized_edition(&request, &path.into_inner().service)?;
    Ok(HttpResponseOk(Current {
        document: Document::clone(&edition.document),
        version: edition.version,
        currency: context.backend()?.standing().into(),
    }))
}

/// Replace the document of a service. The body is the document as JSON.
#[endpoint { method = PUT, path = "/v1/documents/{service}" }]
pub(crate) async fn edit_document(
    request: RequestContext<Context>,
    path: Path<ServicePath>,
    query: Query<EditQuery>,
    body: UntypedBody,
) -> Result<HttpResponseOk<AcceptedEdit>, Refusal> {
    let context = request.context();
    let identity = context.identify(&request)?;
    let service = path.into_inner().service;
    let query = query.into_inner();
    if let Some(edition) = context.backend()?.documents().get(&service) {
        authorize(identity, &edition.document.team)?;
    }
    let document = Document::parse(body.as_bytes())?;
    document.check(&context.ceilings)?;
    if document.service != service {
        let message = format!("the document is of service {}", document.service);
        return Err(Refusal::new(Kind::Malformed, message));
    }
    authorize(identity, &document.team)?;
    // The stored document may be newer than the one in force on this entry and
    // have another owner, so the catalog checks the owner as well.
    let owner = match identity {
        Identity::Operator => None,
        Identity::Team(team) => Some(team.clone()),
    };
    let id = query.edit_id.unwrap_or_else(EditId::random);
    let edit = Edit {
        id: id.clone(),
        document,
        expected: query.expected_version,
        owner,
    };
    match context.backend()?.edit(edit).await {
        Ok(accepted) => {
            let outcome = accepted.outcome;
            log::info!(
                target: "admin",
                "edit {id} created version {} of {service}",
                outcome.version
            );
            Ok(HttpResponseOk(AcceptedEdit {
                service,
                version: outcome.version,
                revision: outcome.revision,
                edit_id: id,
                in_force: accepted.in_force,
                cell_size: accepted.cell_size,
            }))
        }
        Err(error) => {
            log::warn!(target: "admin", "edit {id} of {service} failed: {error}");
            Err(Refusal::from_edit_error(&error, id))
        }
    }
}

/// List the accepted versions of a service.
#[endpoint { method = GET, path = "/v1/documents/{service}/history" }]
pub(crate) async fn list_history(
    request: RequestContext<Context>,
    path: Path<ServicePath>,
) -> Result<HttpResponseOk<History>, Refusal> {
    let context = request.context();
    let service = path.into_inner().service;
    context.authorized_edition(&request, &service)?;
    let mut versions = context.backend()?.history(&service);
    versions.reverse();
    Ok(HttpResponseOk(History { service, versions }))
}

/// Read the document of a past version.
#[endpoint { method = GET, path = "/v1/documents/{service}/history/{version}" }]
pub(crate) async fn read_past_document(
    request: RequestContext<Context>,
    path: Path<VersionPath>,
) -> Result<HttpResponseOk<PastDocument>, Refusal> {
    let context = request.context();
    let VersionPath { service, version } = path.into_inner();
    context.authorized_edition(&request, &service)?;
    let body = context.backend()?.body(service.clone(), version).await?;
    let body = body.ok_or_else(|| {
        let message = format!("version {version} of {service} is not stored");
        Refusal::new(Kind::NotFound, message)
    })?;
    // Not parsed as a `Document`, because the validation rules may have become
    // stricter since this version was accepted.
    let document = serde_json::from_str(&body).map_err(|error| {
        let message = format!("version {version} of {service} is not readable: {error}");
        Refusal::new(Kind::Internal, message)
    })?;
    Ok(HttpResponseOk(PastDocument { document, version }))
}

/// Show which version is in force on which instance of the cell.
#[endpoint { method = GET, path = "/v1/documents/{service}/status" }]
pub(crate) async fn read_status(
    request: RequestContext<Context>,
    path: Path<ServicePath>,
) -> Result<HttpResponseOk<Status>, Refusal> {
    let context = request.context();
    let service = path.into_inner().service;
    let edition = context.authorized_edition(&request, &service)?;
    let mut instances: Vec<InstanceVersion> = context
        .backend()?
        .adoptions(service.clone())
        .await
        .into_iter()
        .map(|adoption| InstanceVersion {
            instance: adoption.instance,
            version: adoption.version,
            answered: adoption.answered,
        })
        .collect();
    instances.sort_by(|a, b| a.instance.cmp(&b.instance));
    Ok(HttpResponseOk(Status {
        service,
        version: edition.version,
        instances,
    }))
}

/// Read the outcome of an edit. An edit that is not found was not accepted so
/// far.
#[endpoint { method = GET, path = "/v1/edits/{edit_id}" }]
pub(crate) async fn read_edit(
    request: RequestContext<Context>,
    path: Path<EditPath>,
) -> Result<HttpResponseOk<EditOutcome>, Refusal> {
    let context = request.context();
    let identity = context.identify(&request)?;
    let edit_id = path.into_inner().edit_id;
    let outcome = context.backend()?.edit_outcome(edit_id.clone()).await?;
    let outcome = outcome.ok_or_else(|| {
        let message = format!("no edit {edit_id} was accepted so far");
        Refusal::new(Kind::NotFound, message)
    })?;
    if *identity != Identity::Operator {
        let edition = context.edition_in_force(&outcome.service)?;
        authorize(identity, &edition.document.team)?;
    }
    Ok(HttpResponseOk(EditOutcome {
        edit_id,
        service: outcome.service,
        version: outcome.version,
    }))
}
