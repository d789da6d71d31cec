//! Attempts, retries and hedges of idempotent requests.

use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use carobdrift_balance::{HEDGE_RETRY_PAUSE, Purpose, Slot};
use carobdrift_units::Target;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::StatusCode;
use tokio::time::{Instant, sleep_until};

use crate::attempt::{AttemptError, Outbound, TargetResponse};
use crate::failure::{Failure, Outcome};
use crate::upload::Upload;
use crate::upstream::Freshness;

/// Inverse of the part of the time to the deadline after which a reused
/// connection without a response is assumed to be dead.
const LIVENESS_DIVISOR: u32 = 2;

/// Sends an idempotent request whose body is in memory, with retries and
/// hedges, and returns the first acceptable response. The other attempts are
/// cancelled.
pub(crate) async fn send_with_retries(
    outbound: &Outbound,
    body: Bytes,
    first: Slot,
    retries_left: Option<u32>,
) -> Result<TargetResponse, Failure> {
    let pool = &outbound.active.pool;
    let call = &outbound.call;
    let started_at = Instant::now();
    let remaining = call.deadline.saturating_duration_since(started_at);
    let mut tried: Vec<Target> = vec![first.target().clone()];
    let mut first_address = Some(first.address());
    let reused = AtomicBool::new(false);
    let retries_permitted = retries_left != Some(0);
    let retries = retries_left.unwrap_or(
        outbound
            .active
            .document
            .retries
            .max_attempts
            .saturating_sub(1),
    );

    let delay = pool.hedge_delay(call).filter(|_| retries_permitted);
    let mut hedge = std::pin::pin!(sleep_until(started_at + delay.unwrap_or(remaining)));
    let mut hedged = delay.is_none();
    let mut liveness_check = std::pin::pin!(sleep_until(started_at + remaining / LIVENESS_DIVISOR));
    let mut liveness_checked = !retries_permitted;

    let mut attempts = FuturesUnordered::new();
    let upload = Upload::Buffered(body.clone());
    attempts.push(outbound.attempt(first, Freshness::Any, upload, Some(retries), Some(&reused)));

    let mut outcome = Outcome::NotRun;
    let mut fallback: Option<TargetResponse> = None;
    loop {
        let mut acquire_another = |purpose: Purpose| -> Option<Slot> {
            if !retries_permitted || !outbound.may_dispatch() {
                return None;
            }
            let slot = pool.try_acquire(call, purpose, &tried)?;
            tried.push(slot.target().clone());
            Some(slot)
        };
        let new_attempt = tokio::select! {
            biased;
            Some(result) = attempts.next() => {
                let error = match result {
                    Ok(response) if !response.is_retryable() => {
                        if let Some(previous) = fallback.take() {
                            previous.body.discard();
                        }
                        return Ok(response);
                    }
                    Ok(response) => {
                        if let Some(previous) = fallback.replace(response) {
                            previous.body.discard();
                        }
                        None
                    }
                    Err(error) => {
                        outcome = outcome.combine(error.outcome);
                        Some(error)
                    }
                };
                if !attempts.is_empty() {
                    continue;
                }
                match acquire_another(Purpose::Retry) {
                    Some(slot) => (slot, Freshness::Recent),
                    None => return conclude(fallback, error, outcome),
                }
            }
            () = &mut hedge, if !hedged => {
                let Some(slot) = acquire_another(Purpose::Hedge) else {
                    // A slot or retry budget may become available before the
                    // response arrives.
                    hedge.as_mut().reset(Instant::now() + HEDGE_RETRY_PAUSE);
                    continue;
                };
                hedged = true;
                (slot, Freshness::Recent)
            }
            () = &mut liveness_check, if !liveness_checked => {
                liveness_checked = true;
                if !reused.load(Ordering::Relaxed) {
                    continue;
                }
                if let Some(address) = first_address.take() {
                    outbound.active.upstream(address).close_unused_since(started_at);
                }
                match acquire_another(Purpose::Reconnect) {
                    Some(slot) => (slot, Freshness::New),
                    None => continue,
                }
            }
        };
        if let Some(previous) = fallback.take() {
            outcome = outcome.combine(if previous.refused {
                Outcome::NotRun
            } else {
                Outcome::Unknown
            });
            previous.body.discard();
        }
        let (slot, freshness) = new_attempt;
        let upload = Upload::Buffered(body.clone());
        attempts.push(outbound.attempt(slot, freshness, upload, Some(0), None));
    }
}

/// Returns the result when no further attempt is possible: a fallback response
/// if there is one, otherwise a failure with the combined outcome.
fn conclude(
    fallback: Option<TargetResponse>,
    error: Option<AttemptError>,
    outcome: Outcome,
) -> Result<TargetResponse, Failure> {
    match (fallback, error) {
        (Some(response), _) if response.refused => {
            response.body.discard();
            Err(refused(outcome))
        }
        (Some(response), _) => Ok(response),
        (None, Some(error)) => Err(Failure {
            outcome,
            ..Failure::from(error)
        }),
        (None, None) => Err(Failure::new(
            StatusCode::BAD_GATEWAY,
            outcome,
            "target-failed",
            "no attempt got a response",
        )),
    }
}

/// Returns the failure for a request that its target refused without running
/// it.
pub(crate) fn refused(outcome: Outcome) -> Failure {
    Failure::new(
        StatusCode::SERVICE_UNAVAILABLE,
        outcome,
        "refused",
        "the target refused the request without processing it",
    )
}
