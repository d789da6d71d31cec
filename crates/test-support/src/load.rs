//! Open-loop load generator: Poisson streams of calls, with a record of the
//! outcome of each call.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::caller::{Call, Caller, Error, Key, Response};
use bytes::Bytes;
use http::Method;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use tokio::task::JoinSet;

/// Deadline that the caller sends with each call.
pub const DEADLINE: Duration = Duration::from_secs(2);

/// Stream of calls to one route, with exponentially distributed gaps.
#[derive(Debug, Clone)]
pub struct Stream {
    /// Service name.
    pub service: String,
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Calls per second.
    pub rate: f64,
    /// Whether calls carry issued idempotency keys and are repeated through
    /// another entry after an unknown outcome or an incomplete response.
    pub keyed: bool,
}

/// Outcome of a call as its caller sees it. The names of the variants are part of
/// the JSON report of a replay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The complete response of a target to this call arrived.
    Complete,
    /// The response carries the token of another call, or reports success
    /// without a token.
    Crossed,
    /// The load balancer stated that the request was not run.
    NotRun,
    /// The load balancer stated that the outcome is unknown.
    Unknown,
    /// No complete response arrived, the connection to the entry failed, or a
    /// target responded with an error.
    Broken,
    /// The request was not sent, for example because every entry refused the
    /// connection.
    Refused,
}

/// Record of one call.
#[derive(Debug, Clone)]
pub struct Record {
    /// Service name.
    pub service: String,
    /// Token of the call.
    pub token: String,
    /// Whether the request must run at most once.
    pub at_most_once: bool,
    /// Scheduled time of the call, relative to the start of the load.
    pub due: Duration,
    /// Time from the scheduled start of the call until its end, without the
    /// repeat through another entry. Measuring from the scheduled start avoids
    /// coordinated omission: a stalled generator does not hide slow responses.
    pub latency: Duration,
    /// Outcome of the call.
    pub outcome: Outcome,
    /// Reason stated by the load balancer, or the error of the caller.
    pub reason: Option<String>,
}

/// Runs the streams for `length`, waits for all calls and returns their
/// records.
pub async fn run(
    streams: &[Stream],
    callers: &[Caller],
    length: Duration,
    seed: u64,
) -> Vec<Record> {
    let records = Arc::new(Mutex::new(Vec::new()));
    let mut generators = JoinSet::new();
    for (index, stream) in streams.iter().enumerate() {
        let seed = seed.wrapping_add(index as u64);
        generators.spawn(generate(
            stream.clone(),
            callers.to_vec(),
            length,
            seed,
            Arc::clone(&records),
        ));
    }
    while generators.join_next().await.is_some() {}
    let mut records = records.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::take(&mut *records)
}

async fn generate(
    stream: Stream,
    callers: Vec<Caller>,
    length: Duration,
    seed: u64,
    records: Arc<Mutex<Vec<Record>>>,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let Ok(gap) = Exp::new(stream.rate) else {
        return;
    };
    let start = Instant::now();
    let mut due = Duration::ZERO;
    let mut calls = JoinSet::new();
    loop {
        due += Duration::from_secs_f64(gap.sample(&mut rng));
        if due >= length {
            break;
        }
        let due_at = start + due;
        if due_at > Instant::now() {
            tokio::time::sleep_until(due_at.into()).await;
        }
        let caller = callers[rng.random_range(0..callers.len())].clone();
        let stream = stream.clone();
        let records = Arc::clone(&records);
        calls.spawn(async move {
            let record = call(&stream, &caller, due, due_at).await;
            records
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(record);
        });
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
}

async fn call(stream: &Stream, caller: &Caller, due: Duration, due_at: Instant) -> Record {
    let mut call = Call {
        service: stream.service.clone(),
        method: stream.method.clone(),
        path: stream.path.clone(),
        body: Bytes::new(),
        key: if stream.keyed { Key::Fresh } else { Key::None },
        token: caller.fresh_token(),
        deadline: DEADLINE,
    };
    let first = caller.send_keyed(&mut call).await;
    let (mut outcome, mut reason) = classify(&first);
    let latency = due_at.elapsed();
    if stream.keyed
        && call.key != Key::None
        && matches!(outcome, Outcome::Unknown | Outcome::Broken)
    {
        (outcome, reason) = retry_through_next_entry(caller, &call, outcome, reason).await;
    }
    Record {
        service: stream.service.clone(),
        token: call.token,
        at_most_once: stream.keyed,
        due,
        latency,
        outcome,
        reason,
    }
}

/// Repeats a request with the same key through the second entry of the list.
/// Keeps the outcome of the first attempt unless the repeat yields a response of
/// a target.
async fn retry_through_next_entry(
    caller: &Caller,
    call: &Call,
    outcome: Outcome,
    reason: Option<String>,
) -> (Outcome, Option<String>) {
    let entries = caller.entries(&call.service).await.unwrap_or_default();
    let Some(entry) = entries.get(1) else {
        return (outcome, reason);
    };
    let repeat = caller.send_to(*entry, call).await;
    match classify(&repeat) {
        (found @ (Outcome::Complete | Outcome::Crossed), reason) => (found, reason),
        _ => (outcome, reason),
    }
}

fn classify(result: &Result<Response, Error>) -> (Outcome, Option<String>) {
    match result {
        Ok(response) => {
            let outcome = match (response.outcome(), response.token_matches) {
                (Some("not-run"), _) => Outcome::NotRun,
                (Some(_), _) => Outcome::Unknown,
                (None, Some(true)) if response.status.is_success() => Outcome::Complete,
                (None, Some(false)) => Outcome::Crossed,
                (None, None) if response.status.is_success() => Outcome::Crossed,
                (None, _) => Outcome::Broken,
            };
            (outcome, response.reason().map(str::to_owned))
        }
        Err(error @ Error::Broken(_)) => (Outcome::Broken, Some(error.to_string())),
        Err(error) => (Outcome::Refused, Some(error.to_string())),
    }
}
