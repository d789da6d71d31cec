//! Background tasks.

use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures_util::FutureExt;

/// Delay before a task starts again after a panic.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Spawns a task that runs as long as the process does. A task that panics is
/// started again: without it, the entry would go on serving callers by data that
/// is no longer kept current.
pub(crate) fn spawn<F>(name: &'static str, start: impl Fn() -> F + Send + 'static)
where
    F: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        // The tasks keep their state behind locks whose poisoning is ignored.
        while AssertUnwindSafe(start()).catch_unwind().await.is_err() {
            log::error!(target: "entry", "event=panicked task={name}");
            tokio::time::sleep(RESTART_DELAY).await;
        }
    });
}
