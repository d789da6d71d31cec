//! Questions between entries and their answers.

use carobdrift_units::{Incarnation, Revision, Service, Version};
use serde::{Deserialize, Serialize};

use crate::claim::{Attempt, Decision, Fingerprint, Key, Response};
use crate::share::{Grant, Requisition};

/// A question to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Query {
    /// Asks for the document in force of a service.
    Document {
        /// The service.
        service: Service,
    },
    /// Asks for the versions in force of all services.
    Versions,
    /// Asks the deciding entry for the right to run a request.
    Claim {
        /// Service of the request.
        service: Service,
        /// Idempotency key of the request.
        key: Key,
        /// The attempt that asks.
        attempt: Attempt,
        /// What the key was first used for.
        fingerprint: Fingerprint,
    },
    /// Records the response of a claimed request.
    Settle {
        /// Idempotency key of the request.
        key: Key,
        /// The attempt that holds the claim.
        attempt: Attempt,
        /// The response, when it is small enough to be kept.
        recorded: Option<Response>,
    },
    /// Gives a claim back, because the request was truly not run.
    Release {
        /// Idempotency key of the request.
        key: Key,
        /// The attempt that holds the claim.
        attempt: Attempt,
    },
    /// Hands over an accepted document; answered by `Done` once it is in force.
    Adopt {
        /// The document.
        copy: Replica,
        /// Position in the change log that holds its version.
        revision: Revision,
    },
    /// Asks the holder of shard leases for shares of the limits of services.
    Share {
        /// Incarnation of the asking process.
        asker: Incarnation,
        /// Grows with every such query of the process. An older statement that
        /// arrives late must not replace a newer one.
        sequence: u64,
        /// The services.
        services: Vec<Requisition>,
    },
}

/// Answer to a [`Query`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The document in force, or nothing when the peer holds none.
    Document(Option<Replica>),
    /// Versions in force.
    Versions {
        /// Position in the change log that these versions reach.
        revision: Revision,
        /// Version of each service.
        versions: Vec<(Service, Version)>,
        /// Services whose version the peer can't parse and therefore does not
        /// serve.
        unreadable: Vec<Service>,
        /// Whether the peer knew, when it answered, that these were the newest
        /// versions.
        current: bool,
    },
    /// Decision on a claim.
    Claim(Decision),
    /// The settlement or the release was recorded, or the document is in force.
    Done,
    /// Shares of the limits of those services whose lease the peer holds.
    Share {
        /// The services.
        services: Vec<Grant>,
        /// Milliseconds for which the grants hold, counted from the moment at
        /// which the query was sent.
        valid_ms: u64,
        /// Whether the holder can divide the limits. One that took the lease
        /// over from another only renews what is held for a while, and the
        /// share of an entry that failed is not free before it has expired.
        settled: bool,
    },
    /// The peer does not hold the lease that the question is for.
    NotHolder,
    /// The peer can't answer the question now.
    Unavailable,
}

/// Document of a service as held by a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// The service.
    pub service: Service,
    /// Version of the document.
    pub version: Version,
    /// The document as canonical JSON.
    pub body: String,
}
