//! Detection of a suspended machine.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Shortest suspension that is reported; smaller differences come from reading
/// two clocks one after the other.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);

/// Detector of suspensions of the machine. The monotonic clock, which drives the
/// timers, does not advance during a suspension.
#[derive(Debug)]
pub struct Suspension {
    offset: Duration,
}

impl Default for Suspension {
    fn default() -> Self {
        Self { offset: offset() }
    }
}

impl Suspension {
    /// Returns the time for which the machine was suspended since the last call,
    /// or `None` if it was not suspended.
    pub fn take(&mut self) -> Option<Duration> {
        let offset = offset();
        let suspended = offset.saturating_sub(self.offset);
        self.offset = offset;
        (suspended > MIN_SUSPENSION).then_some(suspended)
    }
}

/// Returns the time since boot that the monotonic clock did not count.
fn offset() -> Duration {
    let read = |clock| clock_gettime(clock).map(Duration::from);
    match (
        read(ClockId::CLOCK_BOOTTIME),
        read(ClockId::CLOCK_MONOTONIC),
    ) {
        (Ok(boot), Ok(monotonic)) => boot.saturating_sub(monotonic),
        // Without these clocks no suspension is detected.
        _ => Duration::ZERO,
    }
}
