//! Frames that are sent on links.

use std::net::SocketAddr;

use carobdrift_units::{
    Cell, Incarnation, Instance, Millis, Revision, Service, Target, Version, Zone,
};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::query::{Answer, Query};
use crate::status::Status;

/// Message on a link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame on a link, sent by the dialler.
    Hello(Hello),
    /// Answer to a `Hello` that the acceptor accepts.
    Welcome(Hello),
    /// Answer to a `Hello` that the acceptor refuses. The link is closed afterwards.
    Refusal(Refusal),
    /// Heartbeat of the dialler.
    Ping {
        /// Sequence number of the ping on this link, returned in the pong.
        sequence: u64,
        /// Position in the change log up to which the dialler has all changes in
        /// force. The dialler sends the rest of its status in the pongs on the link
        /// that the peer opened.
        revision: Revision,
    },
    /// Answer to a ping.
    Pong {
        /// Sequence number of the ping.
        sequence: u64,
        /// Status of the acceptor.
        status: Status,
    },
    /// Announcement of an accepted version of a document.
    Announce {
        /// Service whose document changed.
        service: Service,
        /// Version of the document.
        version: Version,
        /// Position of the version in the change log.
        revision: Revision,
    },
    /// Notice that a target is leaving and must not receive new requests.
    Leaving {
        /// Service of the target.
        service: Service,
        /// Target that is leaving.
        target: Target,
        /// Source that first showed the target as leaving.
        evidence: Evidence,
        /// Start id of the target's process, if known.
        start: Option<String>,
        /// Version of the document that was in force at the entry that detected the
        /// departure.
        version: Version,
    },
    /// Result of a probe.
    Sample(Sample),
    /// Request to all entries that hold shares of the limits of a service to report
    /// their demand again, because another entry needs a part of the limits.
    Recall {
        /// Service whose limits are shared.
        service: Service,
    },
    /// Query that the other side answers with a `Reply`.
    Query {
        /// Number of the query, returned in the reply.
        request: u64,
        /// Content of the query.
        query: Query,
    },
    /// Reply to a `Query`.
    Reply {
        /// Number of the query that is answered.
        request: u64,
        /// Content of the answer.
        answer: Answer,
    },
}

/// Handshake message with the identity and the addresses of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Protocol version; see [`crate::PROTOCOL_VERSION`].
    pub protocol: u16,
    /// Instance id of the entry.
    pub instance: Instance,
    /// Incarnation of the entry's process.
    pub incarnation: Incarnation,
    /// Cell of the entry.
    pub cell: Cell,
    /// Availability zone of the entry.
    pub zone: Zone,
    /// Address of the caller listener.
    pub caller: SocketAddr,
    /// Address of the administration API.
    pub admin: SocketAddr,
    /// Address of the peer listener.
    pub peer: SocketAddr,
}

/// Reason for which a `Hello` is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Refusal {
    /// The two sides use different protocol versions.
    #[error("protocol version {theirs} is not {ours}")]
    Protocol {
        /// Protocol version of the acceptor.
        ours: u16,
        /// Protocol version of the dialler.
        theirs: u16,
    },
    /// The dialler belongs to another cell.
    #[error("cell {theirs} is not {ours}")]
    Cell {
        /// Cell of the acceptor.
        ours: Cell,
        /// Cell of the dialler.
        theirs: Cell,
    },
    /// The dialler uses the instance id of the acceptor.
    #[error("instance id {0} is in use by the acceptor")]
    Duplicate(Instance),
}

/// Evidence that a target is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// Instance list of the platform.
    List,
    /// Response of the target to a request or to a health check.
    Response,
    /// Document of the service.
    Document,
}

/// Result of one probe of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Service of the target.
    pub service: Service,
    /// Target that was probed.
    pub target: Target,
    /// Number of requests in flight that the target reported; `None` if the target
    /// did not answer or did not report a number.
    pub in_flight: Option<u32>,
    /// Latency of the probe in microseconds.
    pub latency_us: u64,
    /// Age of the sample at the time at which the frame was sent.
    pub age: Millis,
    /// Start id of the target's process, if reported.
    pub start: Option<String>,
    /// Whether the target answered that it is healthy.
    pub healthy: bool,
}
