//! Execution of requests and construction of the responses.

use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::sync::{Notify, Semaphore};

use super::fault::{CutBody, Faults, Load, Reset};
use super::record::Record;
use super::service_time::Sampler;
use super::stand_in::Settings;
use super::stream::State;

/// Path of the health check.
const HEALTH_PATH: &str = "/health";

/// Request header with the minimum size of the response body in bytes.
const SIZE_HEADER: &str = "stand-in-bytes";

pub(super) type Body = UnsyncBoxBody<Bytes, Abort>;

/// Error that ends a connection during an exchange.
#[derive(Debug)]
pub(super) struct Abort;

impl fmt::Display for Abort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("exchange aborted by an injected fault")
    }
}

impl std::error::Error for Abort {}

/// State shared by all connections of a stand-in.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) record: Record,
    pub(super) draining: AtomicBool,
    /// Notified when a request ends.
    pub(super) request_ended: Notify,
    started: Instant,
    name: String,
    slots: u32,
    permits: Semaphore,
    in_flight: AtomicU32,
    sampler: Sampler,
    faults: Mutex<Faults>,
    start_id: Mutex<String>,
    /// Time by which earlier runs exceeded their service time and that has not
    /// been subtracted from later runs yet.
    overrun: Mutex<Duration>,
}

/// Upper bound of the overrun that is subtracted from later runs. Without it, a
/// machine that was stopped for longer would make the following runs instant.
const MAX_OVERRUN: Duration = Duration::from_millis(5);

impl Shared {
    pub(super) fn new(settings: &Settings) -> Self {
        let started = Instant::now();
        Self {
            record: Record::new(started),
            draining: AtomicBool::new(false),
            request_ended: Notify::new(),
            started,
            name: settings.name.clone(),
            slots: settings.slots,
            permits: Semaphore::new(settings.slots as usize),
            in_flight: AtomicU32::new(0),
            sampler: Sampler::new(settings.service_time),
            faults: Mutex::new(settings.faults.clone()),
            start_id: Mutex::new(random_start_id()),
            overrun: Mutex::default(),
        }
    }

    pub(super) fn faults(&self) -> Faults {
        lock(&self.faults).clone()
    }

    pub(super) fn set_faults(&self, faults: Faults) {
        *lock(&self.faults) = faults;
    }

    pub(super) fn start_id(&self) -> String {
        lock(&self.start_id).clone()
    }

    pub(super) fn restart(&self) {
        *lock(&self.start_id) = random_start_id();
        self.draining.store(false, Ordering::SeqCst);
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Returns the faults that apply to one request and counts the request
    /// against `next`.
    fn consume_faults(&self) -> Faults {
        let mut faults = lock(&self.faults);
        let current = faults.clone();
        let Some(next) = &mut faults.next else {
            return current;
        };
        if *next > 0 {
            *next -= 1;
            return current;
        }
        Faults {
            fail_fast: None,
            shed: false,
            cut_body: None,
            late_ms: 0,
            reset: current.reset.filter(|reset| *reset != Reset::AfterRunning),
            ..current
        }
    }

    pub(super) async fn handle(
        &self,
        state: &State,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Abort> {
        let response = if request.uri().path() == HEALTH_PATH {
            self.record.record_probe();
            Ok(self.health())
        } else {
            self.run(state, request).await
        };
        let exchanges = state.exchanges.fetch_add(1, Ordering::Relaxed) + 1;
        if self.faults().swallow_after.is_some_and(|n| exchanges > n) {
            state.silent.store(true, Ordering::Relaxed);
        }
        response
    }

    async fn run(
        &self,
        state: &State,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Abort> {
        let _in_flight = InFlight::new(self);
        let faults = self.consume_faults();
        if faults.shed {
            let mut response = self.respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            let refused = HeaderValue::from_static("not-processed");
            response.headers_mut().insert("carobdrift-refused", refused);
            return Ok(response);
        }
        if let Some(status) = faults.fail_fast {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            return Ok(self.respond(status, Bytes::from_static(b"failed")));
        }
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(|_| Abort)?.to_bytes();
        let permit = self.permits.acquire().await.map_err(|_| Abort)?;
        let running = self
            .record
            .start_run(format!("{} {}", head.method, head.uri), &head.headers);
        self.wait_service_time(self.service_time(&faults)).await;
        running.complete();
        drop(permit);
        sleep(Duration::from_millis(faults.late_ms)).await;
        if faults.reset == Some(Reset::AfterRunning) {
            state.reset.store(true, Ordering::Relaxed);
            return Err(Abort);
        }
        let mut response = self.respond(StatusCode::OK, payload(&head.headers, &body));
        for name in ["stand-in-token", "carobdrift-request-id"] {
            if let Some(value) = head.headers.get(name) {
                response.headers_mut().insert(name, value.clone());
            }
        }
        Ok(match faults.cut_body {
            Some(cut) => truncate_response(response, cut).await,
            None => response,
        })
    }

    /// Waits for the service time. Timers round up, so the excess is subtracted
    /// from the following runs; this keeps the configured mean service time.
    async fn wait_service_time(&self, time: Duration) {
        let credit = {
            let mut overrun = lock(&self.overrun);
            let credit = time.min(*overrun);
            *overrun -= credit;
            credit
        };
        let remaining = time.saturating_sub(credit);
        let start = Instant::now();
        sleep(remaining).await;
        let excess = start.elapsed().saturating_sub(remaining);
        let mut overrun = lock(&self.overrun);
        *overrun = (*overrun + excess).min(MAX_OVERRUN);
    }

    fn service_time(&self, faults: &Faults) -> Duration {
        let age = self.started.elapsed();
        let mut factor = faults.slow.unwrap_or(1.0);
        if let Some(cold) = faults.cold_start {
            let length = Duration::from_millis(cold.duration_ms.max(1));
            let remaining = 1.0 - (age.as_secs_f64() / length.as_secs_f64()).min(1.0);
            factor *= 1.0 + (cold.factor - 1.0) * remaining;
        }
        self.sampler.sample(age).mul_f64(factor.max(0.0))
    }

    fn health(&self) -> Response<Body> {
        let load = self.load();
        let draining = self.draining.load(Ordering::SeqCst);
        let body = serde_json::json!({
            "status": if draining { "draining" } else { "ok" },
            "in_flight": load.in_flight,
            "slots": load.slots,
            "start": self.start_id(),
        });
        self.respond(StatusCode::OK, Bytes::from(body.to_string()))
    }

    fn load(&self) -> Load {
        self.faults().load.unwrap_or(Load {
            in_flight: self.in_flight(),
            slots: self.slots,
        })
    }

    fn respond(&self, status: StatusCode, body: Bytes) -> Response<Body> {
        let mut response = Response::new(
            Full::new(body)
                .map_err(|never| match never {})
                .boxed_unsync(),
        );
        *response.status_mut() = status;
        let load = self.load();
        let load = format!("{}/{}", load.in_flight, load.slots);
        for (name, text) in [
            ("carobdrift-load", load),
            ("carobdrift-start", self.start_id()),
            ("stand-in-name", self.name.clone()),
        ] {
            if let Ok(value) = HeaderValue::try_from(text) {
                response.headers_mut().insert(name, value);
            }
        }
        if self.draining.load(Ordering::SeqCst) {
            let draining = HeaderValue::from_static("1");
            let headers = response.headers_mut();
            headers.insert("carobdrift-draining", draining);
        }
        response
    }
}

/// Guard that counts a request as in flight until it is dropped.
struct InFlight<'a>(&'a Shared);

impl<'a> InFlight<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.in_flight.fetch_add(1, Ordering::SeqCst);
        Self(shared)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
        self.0.request_ended.notify_waiters();
    }
}

/// Returns the request's token, a line feed and the request's body, repeated
/// until the requested size is reached.
fn payload(headers: &HeaderMap, body: &Bytes) -> Bytes {
    let token = headers
        .get("stand-in-token")
        .map_or(&b""[..], |v| v.as_bytes());
    let size = headers
        .get(SIZE_HEADER)
        .and_then(|value| value.to_str().ok()?.parse::<usize>().ok())
        .unwrap_or(0);
    let mut unit = Vec::with_capacity(token.len() + 1 + body.len());
    unit.extend_from_slice(token);
    unit.push(b'\n');
    unit.extend_from_slice(body);
    let mut payload = unit.clone();
    while payload.len() < size {
        payload.extend_from_slice(&unit);
    }
    payload.into()
}

async fn truncate_response(response: Response<Body>, cut: CutBody) -> Response<Body> {
    let (mut head, body) = response.into_parts();
    let full = match body.collect().await {
        Ok(collected) => collected.to_bytes(),
        Err(Abort) => Bytes::new(),
    };
    let half = full.slice(..full.len() / 2);
    // The delay lets the first half be sent before the connection is closed.
    let frames = stream::iter([Ok(Frame::data(half))]).chain(stream::once(async {
        tokio::time::sleep(Duration::from_millis(5)).await;
        Err(Abort)
    }));
    if cut == CutBody::Length {
        head.headers.insert(CONTENT_LENGTH, full.len().into());
    }
    Response::from_parts(head, StreamBody::new(frames).boxed_unsync())
}

/// Sleeps for the given time. Skips the timer for zero, because the timer rounds
/// up to 1 ms.
async fn sleep(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}

fn random_start_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
