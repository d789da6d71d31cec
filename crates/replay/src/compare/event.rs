//! Execution of the events of a turn.

use std::time::{Duration, Instant};

use carobdrift_test_support::fleet;
use carobdrift_test_support::platform::{Fault, Loss, Outage};
use carobdrift_test_support::target;
use nix::sys::signal::Signal;

use super::Error;
use super::testbed::Testbed;
use crate::trace::{Action, Event, PlatformFault};

/// Factor on the service time of slow targets.
const SLOWDOWN_FACTOR: f64 = 8.0;

/// Action that ends a temporary fault.
enum Revert {
    /// Resumes the entry with this index.
    Resume(usize),
    /// Clears the faults of all targets of this service.
    ClearFaults(String),
}

/// Runs events at their times, ends their temporary faults, and waits until all
/// edits are adopted or overdue.
pub(super) async fn run_all(testbed: &mut Testbed, events: &[Event]) -> Result<(), Error> {
    let start = Instant::now();
    let mut reverts: Vec<(Instant, Revert)> = Vec::new();
    let mut pending: Vec<&Event> = events.iter().collect();
    pending.sort_by_key(|event| event.offset);
    for event in pending {
        let due = start + event.offset;
        revert_until(testbed, &mut reverts, due).await?;
        testbed.sleep_until(due).await?;
        if let Some((duration, revert)) = apply(testbed, &event.action).await? {
            reverts.push((Instant::now() + duration, revert));
        }
    }
    while let Some(due) = reverts.iter().map(|(due, _)| *due).min() {
        revert_until(testbed, &mut reverts, due + Duration::from_millis(1)).await?;
    }
    testbed.wait_for_edits().await
}

/// Ends the temporary faults that are due up to `limit`, each at its time.
async fn revert_until(
    testbed: &mut Testbed,
    reverts: &mut Vec<(Instant, Revert)>,
    limit: Instant,
) -> Result<(), Error> {
    reverts.sort_by_key(|(due, _)| *due);
    while reverts.first().is_some_and(|(due, _)| *due <= limit) {
        let (due, revert) = reverts.remove(0);
        testbed.sleep_until(due).await?;
        match revert {
            Revert::Resume(entry) => {
                signal(testbed, entry, Signal::SIGCONT)?;
                testbed.paused.remove(&entry);
            }
            Revert::ClearFaults(service) => {
                set_faults(testbed, &service, &target::Faults::default()).await?;
            }
        }
    }
    Ok(())
}

/// Performs an action. For a temporary fault, returns its duration and the
/// action that ends it.
async fn apply(
    testbed: &mut Testbed,
    action: &Action,
) -> Result<Option<(Duration, Revert)>, Error> {
    match action {
        Action::Pause { entry, duration } => {
            let index = *entry as usize - 1;
            signal(testbed, index, Signal::SIGSTOP)?;
            testbed.paused.insert(index);
            return Ok(Some((*duration, Revert::Resume(index))));
        }
        Action::Kill { entry } => {
            let index = *entry as usize - 1;
            testbed.running.retain(|running| *running != index);
            testbed.fleet.kill_entry(index).await?;
            testbed.fleet.deregister_entry(index).await?;
        }
        Action::Stop { entry } => {
            let index = *entry as usize - 1;
            testbed.running.retain(|running| *running != index);
            testbed.fleet.stop_entry(index).await?;
        }
        Action::Join => {
            let index = testbed.fleet.start_entry(&[]).await?;
            testbed.running.push(index);
        }
        Action::Platform(fault) => {
            let mut faults = Fault::default();
            match fault {
                PlatformFault::Down => faults.outage = Outage::Refuse,
                PlatformFault::StaleList => faults.stale_instances = true,
                PlatformFault::LoseReplies => faults.response_loss = Loss::All,
                PlatformFault::Swallow => faults.silence_open = true,
                PlatformFault::Clear => {}
            }
            testbed
                .fleet
                .platform
                .set_fault(&faults)
                .await
                .map_err(fleet::Error::from)?;
        }
        Action::SlowProbes { service, duration } => {
            let faults = target::Faults {
                slow: Some(SLOWDOWN_FACTOR),
                ..target::Faults::default()
            };
            set_faults(testbed, service, &faults).await?;
            return Ok(Some((*duration, Revert::ClearFaults(service.clone()))));
        }
        Action::Drain { service, target } => {
            let id = format!("{service}-{target}");
            let drained = testbed
                .fleet
                .targets_of(service)
                .find(|target| target.id == id);
            if let Some(drained) = drained {
                let drain = target::Action::Drain { at_least_ms: 3_000 };
                testbed.fleet.perform(drained, &drain).await?;
            }
        }
        Action::Edit { service } => testbed.edit(service).await?,
    }
    Ok(None)
}

fn signal(testbed: &mut Testbed, entry: usize, signal: Signal) -> Result<(), Error> {
    let entry = testbed.fleet.entry(entry)?;
    Ok(entry.process.signal(signal).map_err(fleet::Error::from)?)
}

async fn set_faults(
    testbed: &Testbed,
    service: &str,
    faults: &target::Faults,
) -> Result<(), Error> {
    for target in testbed.fleet.targets_of(service) {
        testbed.fleet.set_faults(target, faults).await?;
    }
    Ok(())
}
