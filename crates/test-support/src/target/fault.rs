//! Faults that the stand-in injects on request.

use serde::{Deserialize, Serialize};

/// Set of faults in effect; faults can be combined. The default has none.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Factor by which the service time is multiplied.
    pub slow: Option<f64>,
    /// Status with which requests are answered at once, without being run.
    pub fail_fast: Option<u16>,
    /// Whether requests are refused with status 503 and
    /// `carobdrift-refused: not-processed`, which states that the request was
    /// not run.
    pub shed: bool,
    /// Point at which connections are reset.
    pub reset: Option<Reset>,
    /// Framing with which response bodies are cut short.
    pub cut_body: Option<CutBody>,
    /// Delay between the end of a run and the response, in milliseconds.
    pub late_ms: u64,
    /// Number of exchanges that each connection completes before it goes
    /// silent. The response of the next exchange is not sent.
    pub swallow_after: Option<u64>,
    /// Load to report instead of the actual one.
    pub load: Option<Load>,
    /// Longer service times for some time after the start.
    pub cold_start: Option<ColdStart>,
    /// Number of requests to which `fail_fast`, `shed`, `cut_body`, `late_ms`
    /// and `reset: after-running` apply; `None` for all.
    pub next: Option<u64>,
}

/// Point of an exchange at which a connection is reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reset {
    /// Before any byte of the request is read.
    BeforeReading,
    /// After a few bytes of the request have been read.
    MidReading,
    /// After the request has run, without a response.
    AfterRunning,
}

/// Framing of a response body that is cut short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CutBody {
    /// `Content-Length` that exceeds the bytes sent.
    Length,
    /// Chunked encoding without the last chunk.
    Chunked,
}

/// Load to report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests in progress.
    pub in_flight: u32,
    /// Number of requests that the target executes concurrently.
    pub slots: u32,
}

/// Phase of longer service times after the start.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Factor by which the service time is multiplied at the start; falls
    /// linearly to 1 over the phase.
    pub factor: f64,
    /// Length of the phase in milliseconds.
    pub duration_ms: u64,
}

/// One-time action of the stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Action {
    /// Silences the connections that are open now until they are closed: bytes
    /// are read and discarded, and nothing is written. New connections work.
    SwallowOpen,
    /// Starts draining: every response, that of the health check included,
    /// states it, and the listener is closed once the given time has passed and
    /// no request is in progress.
    Drain {
        /// Minimum time for which the listener stays open, in milliseconds.
        at_least_ms: u64,
    },
    /// Takes a new start id, as a restarted process does, and ends draining
    /// unless the listener is already closed.
    Restart,
}
