//! Requests that are sent at most once: non-idempotent ones, and those whose
//! body is not held in memory.

use carobdrift_balance::{Purpose, Slot};
use carobdrift_idempotency::{Dispatch, Grant};

use crate::attempt::{Answer, Order};
use crate::failure::{Failure, Outcome};
use crate::race::refused;
use crate::upload::Upload;
use crate::upstream::Freshness;

/// Sends a request once. Another target is tried only while connecting fails,
/// because then no byte was sent. With a grant, the claim that is left is
/// returned with the answer; it is given back when the request truly was not
/// run, and stays claimed when that is unknown.
pub(crate) async fn send_once(
    order: &Order,
    upload: Upload,
    first: Slot,
    retries_left: Option<u32>,
    grant: Option<Grant>,
) -> Result<(Answer, Option<Dispatch>), Failure> {
    let freshness = if order.is_idempotent() {
        Freshness::Any
    } else {
        Freshness::Proven
    };
    let mut slot = first;
    let mut tried = Vec::new();
    let opened = loop {
        tried.push(slot.target().clone());
        let failed = match order.open(slot, freshness).await {
            Ok(opened) => break opened,
            Err(failed) => failed,
        };
        let pool = &order.served.pool;
        let another = match retries_left {
            Some(0) => None,
            _ if !order.serves() => None,
            _ => pool.try_acquire(&order.call, Purpose::Retry, &tried),
        };
        match another {
            Some(other) => slot = other,
            None => return Err(failed.into()),
        }
    };
    let dispatched = grant.map(Grant::dispatch);
    match order.send(opened, upload, retries_left).await {
        Ok(answer) if answer.refused => {
            if let Some(dispatched) = dispatched {
                dispatched.release();
            }
            answer.body.discard();
            Err(refused(Outcome::NotRun))
        }
        Ok(answer) => Ok((answer, dispatched)),
        Err(failed) => {
            if failed.outcome == Outcome::NotRun
                && let Some(dispatched) = dispatched
            {
                dispatched.release();
            }
            Err(failed.into())
        }
    }
}
