//! Record of the requests that the stand-in ran. Tests compare the outcomes
//! stated to callers with the record.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::HeaderMap;
use serde::{Deserialize, Serialize};

/// Request that the stand-in started to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Value of `carobdrift-request-id`.
    pub request_id: Option<String>,
    /// Value of `idempotency-key`.
    pub key: Option<String>,
    /// Value of `stand-in-token`.
    pub token: Option<String>,
    /// Method and path.
    pub request: String,
    /// Start of the run, in microseconds since the start of the stand-in.
    pub begin_us: u64,
    /// End of the run, in microseconds since the start of the stand-in.
    pub end_us: Option<u64>,
    /// Status of the run.
    #[serde(rename = "end")]
    pub status: Status,
}

/// Status of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// The run is in progress.
    Running,
    /// The run was completed.
    Completed,
    /// The connection was closed during the run.
    Cancelled,
}

#[derive(Debug)]
pub(super) struct Record {
    start: Instant,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    runs: Vec<Run>,
    probes_us: Vec<u64>,
}

/// Run in progress; dropping it without [`Running::complete`] records a
/// cancellation.
#[derive(Debug)]
pub(super) struct Running<'a> {
    record: &'a Record,
    index: usize,
    status: Status,
}

impl Record {
    pub(super) fn new(start: Instant) -> Self {
        Self {
            start,
            state: Mutex::default(),
        }
    }

    pub(super) fn start_run(&self, request: String, headers: &HeaderMap) -> Running<'_> {
        let header = |name: &str| {
            let value = headers.get(name)?;
            Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
        };
        let run = Run {
            request_id: header("carobdrift-request-id"),
            key: header("idempotency-key"),
            token: header("stand-in-token"),
            request,
            begin_us: self.now_us(),
            end_us: None,
            status: Status::Running,
        };
        let mut state = self.lock();
        state.runs.push(run);
        Running {
            record: self,
            index: state.runs.len() - 1,
            status: Status::Cancelled,
        }
    }

    pub(super) fn record_probe(&self) {
        let now = self.now_us();
        self.lock().probes_us.push(now);
    }

    pub(super) fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    pub(super) fn probes_us(&self) -> Vec<u64> {
        self.lock().probes_us.clone()
    }

    /// Returns the largest number of probes in any window of 1 s.
    pub(super) fn peak_probes_per_second(&self) -> usize {
        const WINDOW_US: u64 = 1_000_000;
        let mut window = VecDeque::new();
        let mut peak = 0;
        for &at in &self.lock().probes_us {
            window.push_back(at);
            while window.front().is_some_and(|first| at - first >= WINDOW_US) {
                window.pop_front();
            }
            peak = peak.max(window.len());
        }
        peak
    }

    pub(super) fn now_us(&self) -> u64 {
        micros(self.start.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Running<'_> {
    pub(super) fn complete(mut self) {
        self.status = Status::Completed;
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let now = self.record.now_us();
        if let Some(run) = self.record.lock().runs.get_mut(self.index) {
            run.end_us = Some(now);
            run.status = self.status;
        }
    }
}

pub(super) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
