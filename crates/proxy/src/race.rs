//! Idempotent requests: attempts, retries and hedges.

use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use carobdrift_balance::{HEDGE_RETRY_PAUSE, Purpose, Slot};
use carobdrift_units::Target;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::StatusCode;
use tokio::time::{Instant, sleep_until};

use crate::attempt::{Answer, Failed, Order};
use crate::failure::{Failure, Outcome};
use crate::upload::Upload;
use crate::upstream::Freshness;

/// Share of the time to the deadline after which a reused connection without
/// an answer is suspected.
const SUSPICION_SHARE: u32 = 2;

/// Sends an idempotent request whose body is held in memory, until the head of
/// a response is certain. Attempts that lose are cancelled.
pub(crate) async fn race(
    order: &Order,
    body: Bytes,
    first: Slot,
    retries_left: Option<u32>,
) -> Result<Answer, Failure> {
    let pool = &order.served.pool;
    let call = &order.call;
    let begin = Instant::now();
    let remaining = call.deadline.saturating_duration_since(begin);
    let mut tried: Vec<Target> = vec![first.target().clone()];
    let mut first_address = Some(first.address());
    let reused = AtomicBool::new(false);
    let permitted = retries_left != Some(0);
    let next = retries_left.unwrap_or(order.served.document.retries.max_attempts.saturating_sub(1));

    let delay = pool.hedge_delay(call).filter(|_| permitted);
    let mut hedge = std::pin::pin!(sleep_until(begin + delay.unwrap_or(remaining)));
    let mut hedged = delay.is_none();
    let mut suspicion = std::pin::pin!(sleep_until(begin + remaining / SUSPICION_SHARE));
    let mut suspected = !permitted;

    let mut attempts = FuturesUnordered::new();
    let upload = Upload::Whole(body.clone());
    attempts.push(order.attempt(first, Freshness::Any, upload, Some(next), Some(&reused)));

    let mut outcome = Outcome::NotRun;
    let mut fallback: Option<Answer> = None;
    loop {
        let mut another = |purpose: Purpose| -> Option<Slot> {
            if !permitted || !order.serves() {
                return None;
            }
            let slot = pool.try_acquire(call, purpose, &tried)?;
            tried.push(slot.target().clone());
            Some(slot)
        };
        let extra = tokio::select! {
            biased;
            Some(result) = attempts.next() => {
                let failed = match result {
                    Ok(answer) if !answer.is_retryable() => {
                        if let Some(other) = fallback.take() {
                            other.body.discard();
                        }
                        return Ok(answer);
                    }
                    Ok(answer) => {
                        if let Some(other) = fallback.replace(answer) {
                            other.body.discard();
                        }
                        None
                    }
                    Err(failed) => {
                        outcome = outcome.and(failed.outcome);
                        Some(failed)
                    }
                };
                if !attempts.is_empty() {
                    continue;
                }
                match another(Purpose::Retry) {
                    Some(slot) => (slot, Freshness::Proven),
                    None => return conclude(fallback, failed, outcome),
                }
            }
            () = &mut hedge, if !hedged => {
                let Some(slot) = another(Purpose::Hedge) else {
                    // A slot or some budget may come free before the answer.
                    hedge.as_mut().reset(Instant::now() + HEDGE_RETRY_PAUSE);
                    continue;
                };
                hedged = true;
                (slot, Freshness::Proven)
            }
            () = &mut suspicion, if !suspected => {
                suspected = true;
                if !reused.load(Ordering::Relaxed) {
                    continue;
                }
                if let Some(address) = first_address.take() {
                    order.served.upstream(address).suspect(begin);
                }
                match another(Purpose::Reconnect) {
                    Some(slot) => (slot, Freshness::Fresh),
                    None => continue,
                }
            }
        };
        if let Some(other) = fallback.take() {
            outcome = outcome.and(if other.refused {
                Outcome::NotRun
            } else {
                Outcome::Unknown
            });
            other.body.discard();
        }
        let (slot, freshness) = extra;
        let upload = Upload::Whole(body.clone());
        attempts.push(order.attempt(slot, freshness, upload, Some(0), None));
    }
}

/// The best that can be said when no further attempt is possible.
fn conclude(
    fallback: Option<Answer>,
    failed: Option<Failed>,
    outcome: Outcome,
) -> Result<Answer, Failure> {
    match (fallback, failed) {
        (Some(answer), _) if answer.refused => {
            answer.body.discard();
            Err(refused(outcome))
        }
        (Some(answer), _) => Ok(answer),
        (None, Some(failed)) => Err(Failure {
            outcome,
            ..Failure::from(failed)
        }),
        (None, None) => Err(Failure::new(
            StatusCode::BAD_GATEWAY,
            outcome,
            "target-failed",
            "no attempt got a response",
        )),
    }
}

/// A request that its target refused by contract.
pub(crate) fn refused(outcome: Outcome) -> Failure {
    Failure::new(
        StatusCode::SERVICE_UNAVAILABLE,
        outcome,
        "refused",
        "the target refused the request without processing it",
    )
}
