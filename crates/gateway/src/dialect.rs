//! Header fields between callers, entries and targets.

use std::fmt;
use std::time::Duration;

use carobdrift_placement::Load;
use carobdrift_units::Target;
use http::{HeaderMap, StatusCode};

/// Reads and writes the header fields of a platform.
pub trait Dialect: fmt::Debug + Send + Sync {
    /// Id of the caller's attempt, on a request or echoed on a response.
    fn attempt_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Time that the caller waits, counted from when it sent the request.
    fn deadline(&self, headers: &HeaderMap) -> Option<Duration>;

    /// Writes what a target must know: the time left, and that the request is
    /// meant for this target only.
    fn set_target_headers(&self, headers: &mut HeaderMap, left: Duration, target: &Target);

    /// Whether a response proves that the target produced it.
    fn is_signed(&self, headers: &HeaderMap) -> bool;

    /// Whether a response states that the request was not executed and won't
    /// be.
    fn is_not_executed(&self, status: StatusCode, headers: &HeaderMap) -> bool;

    /// Load that a target states of itself.
    fn load(&self, headers: &HeaderMap) -> Option<Load>;

    /// Id of the target that answers.
    fn target_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Removes what targets tell entries only.
    fn strip_internal(&self, headers: &mut HeaderMap);
}
