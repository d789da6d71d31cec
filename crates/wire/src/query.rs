//! Queries between entries and their answers.

use carobdrift_units::{Incarnation, Revision, Service, Version};
use serde::{Deserialize, Serialize};

use crate::claim::{Attempt, Decision, Fingerprint, Key, Response};
use crate::share::{Grant, Requisition};

/// Query to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// Requests the newest known document of a service.
    Document {
        /// Service of the document.
        service: Service,
    },
    /// Requests the newest known versions of all documents.
    Versions,
    /// Requests the right to run a request from the entry that decides on its key.
    Claim {
        /// Service of the request.
        service: Service,
        /// Idempotency key of the request.
        key: Key,
        /// Attempt that requests the claim.
        attempt: Attempt,
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
    },
    /// Settles a claim: the request has run.
    Settle {
        /// Idempotency key of the request.
        key: Key,
        /// The attempt that holds the claim.
        attempt: Attempt,
        /// Response, if it is small enough to be recorded.
        recorded: Option<Response>,
    },
    /// Releases a claim, because the request has certainly not run.
    Release {
        /// Idempotency key of the request.
        key: Key,
        /// The attempt that holds the claim.
        attempt: Attempt,
    },
    /// Sends an accepted document. The peer answers with `Done` when the document is
    /// in force.
    Adopt {
        /// Accepted document.
        copy: Replica,
        /// Position of the document's version in the change log.
        revision: Revision,
    },
    /// Requests shares of the limits of services from the holder of their shard
    /// leases.
    Share {
        /// Incarnation of the requesting process.
        asker: Incarnation,
        /// Sequence number that increases with every such query of the process, so
        /// that an older query that arrives late does not replace a newer one.
        sequence: u64,
        /// Requisitions, one for each service.
        services: Vec<Requisition>,
    },
}

/// Answer to a [`Query`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// Newest document known to the peer; `None` if it has none.
    Document(Option<Replica>),
    /// Newest versions known to the peer.
    Versions {
        /// Position in the change log up to which the versions are complete.
        revision: Revision,
        /// Version of each service's document.
        versions: Vec<(Service, Version)>,
        /// Services whose document the peer can't parse and therefore does not
        /// serve.
        unreadable: Vec<Service>,
        /// Whether the standing of the peer permitted calls at the time of the
        /// answer.
        current: bool,
    },
    /// Decision on a claim.
    Claim(Decision),
    /// The claim was settled or released, or the document is in force.
    Done,
    /// Shares of the limits of the services whose leases the peer holds.
    Share {
        /// Grants, one for each service.
        services: Vec<Grant>,
        /// Validity of the grants in milliseconds, counted from the time at which
        /// the query was sent.
        valid_ms: u64,
        /// Whether the holder can divide the limits freely. It can't for a while
        /// after it has taken over the lease from another entry, because it then
        /// only renews the shares that are held, and it can't while the share of a
        /// failed entry has not expired.
        settled: bool,
    },
    /// The peer does not hold the lease that the query requires.
    NotHolder,
    /// The peer can't answer the query at the moment.
    Unavailable,
}

/// Replica of a service's document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Service of the document.
    pub service: Service,
    /// Version of the document.
    pub version: Version,
    /// Document as JSON text, in the form in which it was accepted.
    pub body: String,
}
