//! Open-loop load: Poisson streams of calls and the log of what became of them.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::caller::{Call, Caller, Error, Key, Response};
use bytes::Bytes;
use http::Method;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use tokio::task::JoinSet;

/// Time that a call may take; it is what the caller states as its deadline.
pub const DEADLINE: Duration = Duration::from_secs(2);

/// One stream of calls to one route.
#[derive(Debug, Clone)]
pub struct Stream {
    /// Service.
    pub service: String,
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Calls per second.
    pub rate: f64,
    /// Whether calls carry issued idempotency keys and are sent again through
    /// another entry after an unknown outcome.
    pub keyed: bool,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer of a target.
    Complete,
    /// An answer of a target that belongs to another call.
    Crossed,
    /// The system stated that the request was not run.
    NotRun,
    /// The system stated that the outcome is unknown.
    Unknown,
    /// No whole answer arrived, or the entry's connection broke.
    Broken,
    /// The connection to every entry was refused; nothing was sent.
    Refused,
}

/// What became of one call.
#[derive(Debug, Clone)]
pub struct Record {
    /// Service.
    pub service: String,
    /// Token of the call.
    pub token: String,
    /// Whether the request must run at most once.
    pub at_most_once: bool,
    /// Time since the start of the turn at which the call was due.
    pub due: Duration,
    /// Time from the moment at which the call was due until its end. Counting
    /// from there keeps a stalled generator from hiding slow answers.
    pub latency: Duration,
    /// How it ended.
    pub outcome: Outcome,
    /// Reason that the system stated, or what failed at the caller.
    pub reason: Option<String>,
}

/// Runs streams for a while and returns what became of every call.
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
    let mut random = SmallRng::seed_from_u64(seed);
    let Ok(gap) = Exp::new(stream.rate) else {
        return;
    };
    let start = Instant::now();
    let mut due = Duration::ZERO;
    let mut calls = JoinSet::new();
    loop {
        due += Duration::from_secs_f64(gap.sample(&mut random));
        if due >= length {
            break;
        }
        let moment = start + due;
        if moment > Instant::now() {
            tokio::time::sleep_until(moment.into()).await;
        }
        let caller = callers[random.random_range(0..callers.len())].clone();
        let stream = stream.clone();
        let records = Arc::clone(&records);
        calls.spawn(async move {
            let record = call(&stream, &caller, due, moment).await;
            records
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(record);
        });
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
}

async fn call(stream: &Stream, caller: &Caller, due: Duration, moment: Instant) -> Record {
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
    let (mut outcome, mut reason) = judge(&first);
    let latency = moment.elapsed();
    if stream.keyed
        && call.key != Key::None
        && matches!(outcome, Outcome::Unknown | Outcome::Broken)
    {
        (outcome, reason) = send_again(caller, &call, outcome, reason).await;
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

/// Sends a request again through the next entry under the same key. The first
/// send stays unknown unless the second one shows what became of it.
async fn send_again(
    caller: &Caller,
    call: &Call,
    outcome: Outcome,
    reason: Option<String>,
) -> (Outcome, Option<String>) {
    let entries = caller.entries(&call.service).await.unwrap_or_default();
    let Some(entry) = entries.get(1) else {
        return (outcome, reason);
    };
    let again = caller.send_to(*entry, call).await;
    match judge(&again) {
        (found @ (Outcome::Complete | Outcome::Crossed), reason) => (found, reason),
        _ => (outcome, reason),
    }
}

fn judge(result: &Result<Response, Error>) -> (Outcome, Option<String>) {
    match result {
        Ok(answer) => {
            let outcome = match (answer.outcome(), answer.token_matches) {
                (Some("not-run"), _) => Outcome::NotRun,
                (Some(_), _) => Outcome::Unknown,
                (None, Some(true)) if answer.status.is_success() => Outcome::Complete,
                (None, Some(false)) => Outcome::Crossed,
                (None, None) if answer.status.is_success() => Outcome::Crossed,
                (None, _) => Outcome::Broken,
            };
            (outcome, answer.reason().map(str::to_owned))
        }
        Err(error @ Error::Broken(_)) => (Outcome::Broken, Some(error.to_string())),
        Err(error) => (Outcome::Refused, Some(error.to_string())),
    }
}
