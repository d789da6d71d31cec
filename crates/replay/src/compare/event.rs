//! Faults and edits at their times.

use std::time::{Duration, Instant};

use carobdrift_test_support::fleet;
use carobdrift_test_support::platform::{Down, Fault, Lose};
use carobdrift_test_support::target;
use nix::sys::signal::Signal;

use super::Error;
use super::setup::Bench;
use crate::trace::{Action, Event, PlatformFault};

/// Slow-down of targets that hold probes and requests.
const HOLD_FACTOR: f64 = 8.0;

/// Something that ends a fault later.
enum Undo {
    Continue(usize),
    ClearFaults(String),
}

pub(super) async fn play(bench: &mut Bench, events: &[Event]) -> Result<(), Error> {
    let start = Instant::now();
    let mut undos: Vec<(Instant, Undo)> = Vec::new();
    let mut pending: Vec<&Event> = events.iter().collect();
    pending.sort_by_key(|event| event.at);
    for event in pending {
        let moment = start + event.at;
        undo_until(bench, &mut undos, moment).await?;
        bench.watch_until(moment).await?;
        if let Some((length, undo)) = act(bench, &event.action).await? {
            undos.push((Instant::now() + length, undo));
        }
    }
    while let Some(moment) = undos.iter().map(|(moment, _)| *moment).min() {
        undo_until(bench, &mut undos, moment + Duration::from_millis(1)).await?;
    }
    bench.settle().await
}

async fn undo_until(
    bench: &mut Bench,
    undos: &mut Vec<(Instant, Undo)>,
    limit: Instant,
) -> Result<(), Error> {
    undos.sort_by_key(|(moment, _)| *moment);
    while undos.first().is_some_and(|(moment, _)| *moment <= limit) {
        let (moment, undo) = undos.remove(0);
        bench.watch_until(moment).await?;
        match undo {
            Undo::Continue(entry) => {
                signal(bench, entry, Signal::SIGCONT)?;
                bench.paused.remove(&entry);
            }
            Undo::ClearFaults(service) => {
                set_faults(bench, &service, &target::Faults::default()).await?;
            }
        }
    }
    Ok(())
}

async fn act(bench: &mut Bench, action: &Action) -> Result<Option<(Duration, Undo)>, Error> {
    match action {
        Action::Pause { entry, length } => {
            let index = *entry as usize - 1;
            signal(bench, index, Signal::SIGSTOP)?;
            bench.paused.insert(index);
            return Ok(Some((*length, Undo::Continue(index))));
        }
        Action::Kill { entry } => {
            let index = *entry as usize - 1;
            bench.running.retain(|running| *running != index);
            bench.fleet.kill_entry(index).await?;
            bench.fleet.deregister_entry(index).await?;
        }
        Action::Stop { entry } => {
            let index = *entry as usize - 1;
            bench.running.retain(|running| *running != index);
            bench.fleet.stop_entry(index).await?;
        }
        Action::Join => {
            let index = bench.fleet.start_entry(&[]).await?;
            bench.running.push(index);
        }
        Action::Platform(fault) => {
            let mut faults = Fault::default();
            match fault {
                PlatformFault::Down => faults.down = Down::Refuse,
                PlatformFault::StaleList => faults.stale_instances = true,
                PlatformFault::LoseReplies => faults.lose_writes = Lose::All,
                PlatformFault::Swallow => faults.swallow_open = true,
                PlatformFault::Clear => {}
            }
            bench
                .fleet
                .platform
                .set_fault(&faults)
                .await
                .map_err(fleet::Error::from)?;
        }
        Action::SlowProbes { service, length } => {
            let faults = target::Faults {
                slow: Some(HOLD_FACTOR),
                ..target::Faults::default()
            };
            set_faults(bench, service, &faults).await?;
            return Ok(Some((*length, Undo::ClearFaults(service.clone()))));
        }
        Action::Drain { service, target } => {
            let id = format!("{service}-{target}");
            let found = bench
                .fleet
                .targets_of(service)
                .find(|target| target.id == id);
            if let Some(found) = found {
                let drain = target::Action::Drain { at_least_ms: 3_000 };
                bench.fleet.perform(found, &drain).await?;
            }
        }
        Action::Edit { service } => bench.edit(service).await?,
    }
    Ok(None)
}

fn signal(bench: &mut Bench, entry: usize, signal: Signal) -> Result<(), Error> {
    let entry = bench.fleet.entry(entry)?;
    Ok(entry.process.signal(signal).map_err(fleet::Error::from)?)
}

async fn set_faults(bench: &Bench, service: &str, faults: &target::Faults) -> Result<(), Error> {
    for target in bench.fleet.targets_of(service) {
        bench.fleet.set_faults(target, faults).await?;
    }
    Ok(())
}
