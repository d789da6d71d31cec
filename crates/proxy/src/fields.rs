//! Names of the header fields that the data path reads and writes.

/// Name of the service that a request is for.
pub(crate) const SERVICE: &str = "carobdrift-service";
/// Time left until the deadline, in milliseconds.
pub(crate) const DEADLINE: &str = "carobdrift-deadline-ms";
/// Number of retries that the receiver may make.
pub(crate) const RETRIES_LEFT: &str = "carobdrift-retries-left";
/// Id of the request, the same at all hops.
pub(crate) const REQUEST_ID: &str = "carobdrift-request-id";
/// Idempotency key of the request, set by the caller.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Outcome of a request, in error responses that an entry generates.
pub(crate) const OUTCOME: &str = "carobdrift-outcome";
/// Reason for the outcome.
pub(crate) const REASON: &str = "carobdrift-reason";
/// States, with an `unknown` outcome, that this attempt was not run.
pub(crate) const ATTEMPT: &str = "carobdrift-attempt";
/// Marks a replayed response.
pub(crate) const REPLAYED: &str = "carobdrift-replayed";
/// Load that a target reports.
pub(crate) const LOAD: &str = "carobdrift-load";
/// Start id of a target's process, which changes with each restart.
pub(crate) const START: &str = "carobdrift-start";
/// States that a target is leaving.
pub(crate) const DRAINING: &str = "carobdrift-draining";
/// States that a target refused the request.
pub(crate) const REFUSED: &str = "carobdrift-refused";
/// Value of [`REFUSED`] for a request that was not run.
pub(crate) const NOT_PROCESSED: &str = "not-processed";
/// Prefix of all fields that entries and targets exchange. Fields with this
/// prefix in a target's response are not forwarded, so that callers cannot take
/// them for fields of the entry.
pub(crate) const PREFIX: &str = "carobdrift-";
