//! Detection of a suspended machine.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Time that a machine must have been suspended to count as such; smaller
/// differences come from reading two clocks one after the other.
const TOLERANCE: Duration = Duration::from_millis(100);

/// Notices that the machine was suspended. The steady clock, by which timers
/// run, does not count that time.
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
    /// Time for which the machine was suspended since the last call, if it was.
    pub fn take(&mut self) -> Option<Duration> {
        let offset = offset();
        let slept = offset.saturating_sub(self.offset);
        self.offset = offset;
        (slept > TOLERANCE).then_some(slept)
    }
}

/// Time since boot that the steady clock did not count.
fn offset() -> Duration {
    let read = |clock| clock_gettime(clock).map(Duration::from);
    match (
        read(ClockId::CLOCK_BOOTTIME),
        read(ClockId::CLOCK_MONOTONIC),
    ) {
        (Ok(boot), Ok(steady)) => boot.saturating_sub(steady),
        // Without these clocks no suspension can be noticed.
        _ => Duration::ZERO,
    }
}
