//! Time after which a refused request should be repeated.

use std::time::Duration;

/// Fraction of its remaining time that a caller waits at most.
const MAX_WAIT_FRACTION: f64 = 1.0 / 3.0;

/// Shortest time; an earlier request meets the same queue.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Fractional part of the golden ratio: its multiples modulo 1 are spread evenly,
/// however many there are.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_895;

/// Returns the `Retry-After` time of a request with this time left, if capacity is
/// expected after `capacity_in`. Requests that are refused with consecutive sequence
/// numbers get times that are spread evenly from then to the latest useful one.
#[must_use]
pub fn retry_after(capacity_in: Duration, remaining: Duration, sequence: u64) -> Duration {
    let latest = remaining.mul_f64(MAX_WAIT_FRACTION);
    // Capacity that comes too late for this request is no use to it; half of the
    // latest time then spreads the requests that return.
    let earliest = capacity_in.max(MIN_RETRY_AFTER).min(latest / 2);
    #[expect(
        clippy::cast_precision_loss,
        reason = "the sequence is reduced to 16 bits"
    )]
    let position = ((sequence & 0xffff) as f64 * GOLDEN_FRACTION).fract();
    earliest + latest.saturating_sub(earliest).mul_f64(position)
}
