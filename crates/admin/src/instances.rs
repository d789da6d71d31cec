//! Endpoints that list targets and entries as this entry sees them.

use std::net::SocketAddr;

use carobdrift_balance::{Evidence, Snapshot, Standing};
use carobdrift_units::{Instance, Millis, Revision, Service, Target, Zone};
use dropshot::{HttpResponseOk, Path, RequestContext, endpoint};
use schemars::JsonSchema;
use serde::Serialize;

use crate::backend::Entry;
use crate::context::Context;
use crate::documents::ServicePath;
use crate::refusal::{Kind, Refusal};

/// A target as this entry sees it.
#[derive(Serialize, JsonSchema)]
struct Seen {
    target: Target,
    #[schemars(with = "String")]
    address: SocketAddr,
    zone: Zone,
    slots: u32,
    standing: TargetStanding,
    /// Requests of this entry in flight.
    in_flight: u32,
    /// Estimated requests of other entries in flight.
    foreign: f64,
    /// How many times slower than usual the target is.
    slowdown: f64,
    /// Average latency in microseconds, once a request succeeded.
    latency_us: Option<u64>,
    /// Milliseconds since the last answer, once there was one.
    last_answer_ms: Option<Millis>,
    /// Whether the target is in its slow start.
    cold: bool,
    /// Start id of its process, when known.
    start: Option<String>,
}

/// Whether a target takes new requests.
#[derive(Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case", tag = "state")]
enum TargetStanding {
    /// It takes new requests.
    Active,
    /// It takes none, because it is leaving.
    Leaving {
        /// Source that showed it first.
        evidence: Source,
    },
    /// It is ejected.
    Ejected {
        /// Milliseconds until it is tried again.
        remaining_ms: Millis,
    },
    /// Its ejection has ended; one trial request or a healthy probe decides.
    HalfOpen,
}

/// Source that showed a target to be leaving.
#[derive(Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
enum Source {
    /// The platform's instance list.
    List,
    /// A response or a health answer of the target.
    Response,
    /// The service's document.
    Document,
}

#[derive(Serialize, JsonSchema)]
pub(crate) struct Targets {
    service: Service,
    targets: Vec<Seen>,
}

/// An entry as this entry sees it.
#[derive(Serialize, JsonSchema)]
struct Known {
    instance: Instance,
    zone: Zone,
    #[schemars(with = "String")]
    caller: SocketAddr,
    #[schemars(with = "String")]
    admin: SocketAddr,
    ready: bool,
    leaving: bool,
    /// Whether its last call to the table service succeeded; absent when it
    /// was not heard yet.
    store_reachable: Option<bool>,
    /// Newest position of the change log that it has in force; absent when it
    /// was not heard yet.
    revision: Option<Revision>,
    /// Age of its confirmation when it last stated it.
    confirmed_ms: Option<Millis>,
    /// Milliseconds since it was heard; absent when it was not heard yet.
    heard_ms: Option<Millis>,
}

#[derive(Serialize, JsonSchema)]
pub(crate) struct Instances {
    /// The instance that answers.
    itself: Instance,
    instances: Vec<Known>,
}

impl From<Snapshot> for Seen {
    fn from(snapshot: Snapshot) -> Self {
        let standing = match snapshot.standing {
            Standing::Active => TargetStanding::Active,
            Standing::Leaving(evidence) => TargetStanding::Leaving {
                evidence: match evidence {
                    Evidence::List => Source::List,
                    Evidence::Response => Source::Response,
                    Evidence::Document => Source::Document,
                },
            },
            Standing::Ejected(remaining) => TargetStanding::Ejected {
                remaining_ms: remaining.into(),
            },
            Standing::HalfOpen => TargetStanding::HalfOpen,
        };
        let micros =
            |latency: std::time::Duration| u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        Self {
            target: snapshot.target,
            address: snapshot.address,
            zone: snapshot.zone,
            slots: snapshot.slots,
            standing,
            in_flight: snapshot.in_flight,
            foreign: snapshot.foreign_in_flight,
            slowdown: snapshot.slowdown,
            latency_us: snapshot.latency.map(micros),
            last_answer_ms: snapshot.last_answer.map(Millis::from),
            cold: snapshot.in_slow_start,
            start: snapshot.start,
        }
    }
}

impl From<Entry> for Known {
    fn from(entry: Entry) -> Self {
        let status = entry.status.as_ref();
        Self {
            ready: entry.is_ready(),
            instance: entry.instance,
            zone: entry.zone,
            caller: entry.caller,
            admin: entry.admin,
            leaving: entry.leaving,
            store_reachable: status.map(|status| status.store_reachable),
            revision: status.map(|status| status.revision),
            confirmed_ms: status.and_then(|status| status.confirmed),
            heard_ms: entry.contact_age.map(Millis::from),
        }
    }
}

/// List the targets of a service as this entry sees them.
#[endpoint { method = GET, path = "/v1/services/{service}/targets" }]
pub(crate) async fn list_targets(
    request: RequestContext<Context>,
    path: Path<ServicePath>,
) -> Result<HttpResponseOk<Targets>, Refusal> {
    let context = request.context();
    let service = path.into_inner().service;
    context.authorized_edition(&request, &service)?;
    let snapshots = context.backend()?.targets(&service);
    let snapshots = snapshots.ok_or_else(|| {
        let message = format!("this instance does not serve {service} yet");
        Refusal::new(Kind::NotReady, message)
    })?;
    Ok(HttpResponseOk(Targets {
        service,
        targets: snapshots.into_iter().map(Seen::from).collect(),
    }))
}

/// List the entries of the cell as this entry sees them.
#[endpoint { method = GET, path = "/v1/instances" }]
pub(crate) async fn list_instances(
    request: RequestContext<Context>,
) -> Result<HttpResponseOk<Instances>, Refusal> {
    let context = request.context();
    context.identify(&request)?;
    let local_entry = context.backend()?.local_entry();
    let local_instance = local_entry.instance.clone();
    let mut instances: Vec<Known> = std::iter::once(local_entry)
        .chain(context.backend()?.peers())
        .map(Known::from)
        .collect();
    instances.sort_by(|a, b| a.instance.cmp(&b.instance));
    Ok(HttpResponseOk(Instances {
        itself: local_instance,
        instances,
    }))
}
