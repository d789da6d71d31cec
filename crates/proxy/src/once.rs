//! Requests that are sent at most once: non-idempotent requests, and requests
//! whose body is streamed.

use carobdrift_balance::{Purpose, Slot};
use carobdrift_idempotency::{Dispatch, Grant};

use crate::attempt::{Outbound, TargetResponse};
use crate::failure::{Failure, Outcome};
use crate::retry::refused;
use crate::upload::Upload;
use crate::upstream::Freshness;

/// Sends a request at most once. Another target is tried only after a
/// connection failed to open, because then no byte was sent. With a grant, the
/// claim of the key is returned with the response. On a failure, the claim is
/// released when the request was certainly not run, and stays in place
/// otherwise.
pub(crate) async fn send_once(
    outbound: &Outbound,
    upload: Upload,
    first: Slot,
    retries_left: Option<u32>,
    grant: Option<Grant>,
) -> Result<(TargetResponse, Option<Dispatch>), Failure> {
    let freshness = if outbound.is_idempotent() {
        Freshness::Any
    } else {
        Freshness::Recent
    };
    let mut slot = first;
    let mut tried = Vec::new();
    let open_attempt = loop {
        tried.push(slot.target().clone());
        let error = match outbound.open(slot, freshness).await {
            Ok(open_attempt) => break open_attempt,
            Err(error) => error,
        };
        let pool = &outbound.active.pool;
        let next_slot = match retries_left {
            Some(0) => None,
            _ if !outbound.may_dispatch() => None,
            _ => pool.try_acquire(&outbound.call, Purpose::Retry, &tried),
        };
        match next_slot {
            Some(next) => slot = next,
            None => return Err(error.into()),
        }
    };
    let dispatch = grant.map(Grant::dispatch);
    match outbound.send(open_attempt, upload, retries_left).await {
        Ok(response) if response.refused => {
            if let Some(dispatch) = dispatch {
                dispatch.release();
            }
            response.body.discard();
            Err(refused(Outcome::NotRun))
        }
        Ok(response) => Ok((response, dispatch)),
        Err(error) => {
            if error.outcome == Outcome::NotRun
                && let Some(dispatch) = dispatch
            {
                dispatch.release();
            }
            Err(error.into())
        }
    }
}
