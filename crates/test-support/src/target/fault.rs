//! Faults that the stand-in can be told to show.

use serde::{Deserialize, Serialize};

/// Faults in effect; several can be combined. The default is none.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Multiplies the service time.
    pub slow: Option<f64>,
    /// Answers with this status at once, without running the request.
    pub fail_fast: Option<u16>,
    /// Refuses by contract: status 503 with `carobdrift-refused: not-processed`.
    pub shed: bool,
    /// Resets connections.
    pub reset: Option<Reset>,
    /// Cuts response bodies short.
    pub cut_body: Option<CutBody>,
    /// Waits this long after running a request before answering, in
    /// milliseconds.
    pub late_ms: u64,
    /// Each connection goes silent after this many exchanges.
    pub swallow_after: Option<u64>,
    /// Reports this load instead of the true one.
    pub load: Option<Load>,
    /// Runs slower for a time after the start.
    pub cold_start: Option<ColdStart>,
    /// Number of requests to which `fail_fast`, `shed`, `cut_body`, `late_ms`
    /// and `reset: after-running` apply; all when absent.
    pub next: Option<u64>,
}

/// Point of an exchange at which a connection is reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reset {
    /// Before any byte of the request is read.
    BeforeReading,
    /// After a few bytes of the request were read.
    MidReading,
    /// After the request ran, without an answer.
    AfterRunning,
}

/// Framing of a response body that is cut short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CutBody {
    /// With a `Content-Length` that is not reached.
    Length,
    /// Chunked, without the last chunk.
    Chunked,
}

/// A load to report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests in progress.
    pub in_flight: u32,
    /// Slots.
    pub slots: u32,
}

/// A slow phase after the start.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Multiplies the service time right after the start; falls to 1 over the
    /// phase.
    pub factor: f64,
    /// Length of the phase in milliseconds.
    pub duration_ms: u64,
}

/// Something that the stand-in does once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Action {
    /// Connections that are open now go silent forever: bytes are read and
    /// dropped, and nothing is written.
    SwallowOpen,
    /// Starts draining: says so in every response and health answer, and stops
    /// listening once the requests in progress have ended and the given time
    /// has passed.
    Drain {
        /// Shortest time in milliseconds during which it goes on listening.
        at_least_ms: u64,
    },
    /// Takes a new start id, as a restarted process has, and ends draining
    /// unless the listener is closed already.
    Restart,
}
