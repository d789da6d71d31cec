//! Header fields between callers, entries and targets.

use std::fmt;
use std::time::Duration;

use carobdrift_placement::Load;
use carobdrift_units::Target;
use http::{HeaderMap, StatusCode};

/// Dialect of header fields that a platform defines.
pub trait Dialect: fmt::Debug + Send + Sync {
    /// Returns the caller's attempt id, from a request or as echoed by a response.
    fn attempt_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Returns the caller's deadline, relative to the time at which it sent the
    /// request.
    fn deadline(&self, headers: &HeaderMap) -> Option<Duration>;

    /// Sets the header fields for a target: the remaining time, and the id of the
    /// only target that may execute the request.
    fn set_target_headers(&self, headers: &mut HeaderMap, remaining: Duration, target: &Target);

    /// Sets the header field that names the workspace of a request to a target, and
    /// removes what the caller sent in it.
    fn set_workspace(&self, headers: &mut HeaderMap, workspace: Option<&str>);

    /// Whether a response proves that the target produced it.
    fn is_signed(&self, headers: &HeaderMap) -> bool;

    /// Whether a response states that the request was not executed and won't
    /// be.
    fn is_not_executed(&self, status: StatusCode, headers: &HeaderMap) -> bool;

    /// Returns the load that a target reports about itself.
    fn load(&self, headers: &HeaderMap) -> Option<Load>;

    /// Whether a response states that the target that sent it is leaving and
    /// accepts no new requests.
    fn is_leaving(&self, headers: &HeaderMap) -> bool;

    /// Returns the time for which a target that refuses a request wants no further
    /// ones.
    fn retry_after(&self, status: StatusCode, headers: &HeaderMap) -> Option<Duration>;

    /// Returns the time for which the target that sent a response remains cold; zero if
    /// it states that it is not.
    fn warmup(&self, headers: &HeaderMap) -> Option<Duration>;

    /// Returns the id of the target that answered.
    fn target_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Removes response header fields that are meant for entries only.
    fn strip_internal(&self, headers: &mut HeaderMap);
}
