//! Frames of a link.

use std::net::SocketAddr;

use carobdrift_units::{
    Cell, Incarnation, Instance, Millis, Revision, Service, Target, Version, Zone,
};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::query::{Answer, Query};
use crate::status::Status;

/// One message on a link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// First frame of the dialler.
    Hello(Hello),
    /// The acceptor's answer to a `Hello` that it admits.
    Welcome(Hello),
    /// The acceptor's answer to a `Hello` that it refuses; the link closes.
    Refusal(Refusal),
    /// Heartbeat of the dialler.
    Ping {
        /// Number of the ping on this link; the pong repeats it.
        sequence: u64,
        /// Newest position of the change log that the dialler has in force. The
        /// rest of its status goes out with the pongs on its peer's own link.
        revision: Revision,
    },
    /// Answer to a ping.
    Pong {
        /// Number of the ping that is answered.
        sequence: u64,
        /// What the acceptor states of itself.
        status: Status,
    },
    /// A version of a document was accepted.
    Announce {
        /// Service whose document changed.
        service: Service,
        /// Accepted version.
        version: Version,
        /// Position in the change log that holds this version.
        revision: Revision,
    },
    /// A target is leaving and gets no new request.
    Leaving {
        /// Service of the target.
        service: Service,
        /// The target.
        target: Target,
        /// Source that showed it first.
        evidence: Evidence,
        /// Start id of the target's process, when known.
        start: Option<String>,
        /// Document version in force where that was seen.
        version: Version,
    },
    /// Result of a probe.
    Sample(Sample),
    /// The entries that hold a share of the limits of a service are to state
    /// anew what they hold, because another one needs a part of it.
    Recall {
        /// The service.
        service: Service,
    },
    /// A question that the other side answers with `Reply`.
    Query {
        /// Number of the question on this link.
        request: u64,
        /// The question.
        query: Query,
    },
    /// Answer to a query.
    Reply {
        /// Number of the question.
        request: u64,
        /// The answer.
        answer: Answer,
    },
}

/// Introduction of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Protocol version; see [`crate::PROTOCOL_VERSION`].
    pub protocol: u16,
    /// Instance id.
    pub instance: Instance,
    /// Incarnation of the process.
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

/// Why a `Hello` is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Refusal {
    /// The two sides speak different protocol versions.
    #[error("protocol version {theirs} is not {ours}")]
    Protocol {
        /// Version of the acceptor.
        ours: u16,
        /// Version of the dialler.
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

/// Source that showed a target to be leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evidence {
    /// The platform's instance list.
    List,
    /// A response or a health answer of the target.
    Response,
    /// The service's document.
    Document,
}

/// Result of a probe.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Service of the target.
    pub service: Service,
    /// The target.
    pub target: Target,
    /// Requests in flight that the target stated; absent when it gave no
    /// answer or stated none.
    pub in_flight: Option<u32>,
    /// Latency of the probe in microseconds.
    pub latency_us: u64,
    /// Age of the sample when the frame was sent.
    pub age: Millis,
    /// Start id of the target's process, when stated.
    pub start: Option<String>,
    /// Whether the target answered as healthy.
    pub healthy: bool,
}
