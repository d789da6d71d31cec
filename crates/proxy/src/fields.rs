//! Names of the header fields that the system reads and writes.

/// Service that a request is for.
pub(crate) const SERVICE: &str = "carobdrift-service";
/// Milliseconds that are left to the deadline.
pub(crate) const DEADLINE: &str = "carobdrift-deadline-ms";
/// Retries that further levels may make.
pub(crate) const RETRIES_LEFT: &str = "carobdrift-retries-left";
/// Id of the request, the same on all levels.
pub(crate) const REQUEST_ID: &str = "carobdrift-request-id";
/// Idempotency key of the caller.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Outcome of a request that the system itself answers.
pub(crate) const OUTCOME: &str = "carobdrift-outcome";
/// Reason of that outcome.
pub(crate) const REASON: &str = "carobdrift-reason";
/// States of an `unknown` outcome that this very attempt did not run.
pub(crate) const ATTEMPT: &str = "carobdrift-attempt";
/// Marks a recorded response.
pub(crate) const REPLAYED: &str = "carobdrift-replayed";
/// Load of a target.
pub(crate) const LOAD: &str = "carobdrift-load";
/// Start id of a target's process.
pub(crate) const START: &str = "carobdrift-start";
/// Says that a target is leaving.
pub(crate) const DRAINING: &str = "carobdrift-draining";
/// Refusal of a target by contract.
pub(crate) const REFUSED: &str = "carobdrift-refused";
/// Value of [`REFUSED`] that states that the request was not run.
pub(crate) const NOT_PROCESSED: &str = "not-processed";
/// Prefix of all fields of the system. A target's own fields with this prefix
/// are not passed on, so that they can't be taken for the system's.
pub(crate) const PREFIX: &str = "carobdrift-";
