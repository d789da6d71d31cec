//! Guards against more probes in one second than the budget permits, counted at
//! the target, and against probes of targets that must not be probed.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use carobdrift_balance::Evidence;
use carobdrift_measure::Shard;
use carobdrift_test_support::platform::{Fault, Loss, Outage};
use tokio::time::sleep;

use crate::fixture::{Entry, TIMING, platform, subject, until};
use crate::target::{Mode, Target};

const BUDGETS: [u32; 3] = [2, 4, 20];

/// Services, each with its own target.
const SERVICES: [&str; 3] = ["sheets", "entries", "draws"];

async fn targets() -> [Target; 3] {
    [
        Target::start().await,
        Target::start().await,
        Target::start().await,
    ]
}

fn assert_within_budgets(targets: &[Target; 3]) {
    for (target, budget) in targets.iter().zip(BUDGETS) {
        let most = target.most_in_one_second();
        let budget = usize::try_from(budget).unwrap();
        assert!(most <= budget, "{most} probes with a budget of {budget}");
    }
}

fn start(number: usize, platform: std::net::SocketAddr, targets: &[Target; 3]) -> Entry {
    let services = SERVICES.iter().zip(BUDGETS).zip(targets);
    let services =
        services.map(|((service, budget), target)| subject(service, budget, target.address));
    Entry::start(number, platform, services.collect())
}

#[tokio::test(flavor = "multi_thread")]
async fn probes_come_at_the_budget_but_one() {
    let platform = platform().await;
    let targets = targets().await;
    let _entry = start(0, platform.address(), &targets);

    sleep(Duration::from_secs(5)).await;

    for (target, budget) in targets.iter().zip(BUDGETS) {
        let usable = usize::try_from(budget - 1).unwrap();
        assert!(target.most_in_one_second() <= usable);
        let count = target.arrivals().len();
        assert!(
            count >= usable * 3,
            "{count} probes with a budget of {budget}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn small_budgets_and_leaving_targets_get_no_probe() {
    let platform = platform().await;
    let targets = targets().await;
    let services = [
        subject("sheets", 0, targets[0].address),
        subject("entries", 1, targets[1].address),
        subject("draws", 20, targets[2].address),
    ];
    let leaving = services[2].pool.clone();
    let entry = Entry::start(0, platform.address(), services.to_vec());
    let shard = Shard::of(&"draws".parse().unwrap());
    until(|| entry.leases.tenure(shard).is_some() && !targets[2].arrivals().is_empty()).await;

    leaving.mark_leaving(&"t1".parse().unwrap(), Evidence::List, None);
    // A probe may have been in transit.
    sleep(Duration::from_millis(50)).await;
    let before = targets[2].arrivals().len();
    sleep(Duration::from_secs(1)).await;

    assert!(targets[0].arrivals().is_empty() && targets[1].arrivals().is_empty());
    assert_eq!(targets[2].arrivals().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn budget_holds_while_entries_come_and_go_and_the_store_fails() {
    let platform = platform().await;
    let targets = targets().await;
    let mut entries: Vec<_> = (0..3)
        .map(|n| start(n, platform.address(), &targets))
        .collect();
    let faults = [
        Fault::default(),
        Fault {
            response_loss: Loss::Next(5),
            ..Fault::default()
        },
        Fault {
            delay_ms: 100,
            ..Fault::default()
        },
        Fault::default(),
        Fault {
            outage: Outage::Hang,
            ..Fault::default()
        },
        Fault::default(),
    ];
    for round in 0..12 {
        platform
            .set_fault(faults[round % faults.len()].clone())
            .await;
        let leaving = entries.remove(0);
        if round % 3 != 0 {
            tokio::spawn(async move { leaving.leases.release().await });
        }
        entries.push(start(round % 4, platform.address(), &targets));
        sleep(Duration::from_millis(1_300)).await;
    }

    assert_within_budgets(&targets);
    let counts = targets.each_ref().map(|target| target.arrivals().len());
    assert!(counts.iter().all(|count| *count > 3), "{counts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn outage_of_the_store_ends_the_probes() {
    let platform = platform().await;
    let targets = targets().await;
    let _entry = start(0, platform.address(), &targets);
    sleep(Duration::from_secs(1)).await;
    let fault = Fault {
        outage: Outage::Refuse,
        ..Fault::default()
    };
    platform.set_fault(fault).await;
    sleep(TIMING.duration).await;
    let before = targets[2].arrivals().len();

    sleep(Duration::from_secs(1)).await;
    let during = targets[2].arrivals().len();
    platform.set_fault(Fault::default()).await;
    sleep(Duration::from_secs(1)).await;

    assert!(before > 0);
    assert_eq!(during, before);
    assert!(targets[2].arrivals().len() > during);
    assert_within_budgets(&targets);
}

#[tokio::test(flavor = "multi_thread")]
async fn targets_that_hold_or_stop_are_within_the_budget() {
    let platform = platform().await;
    let targets = targets().await;
    let _entry = start(0, platform.address(), &targets);
    for mode in [
        Mode::Hold(Duration::from_millis(50)),
        Mode::Hold(Duration::from_millis(600)),
        Mode::Stop,
        Mode::Answer,
    ] {
        for target in &targets {
            target.set_mode(mode);
        }
        sleep(Duration::from_millis(3_500)).await;
    }

    assert_within_budgets(&targets);
}

/// The holder is paused between the check of its lease and the send of a probe.
/// The holder resumes and sends after another entry has taken the lease.
#[tokio::test(flavor = "multi_thread")]
async fn holder_paused_before_its_send_is_within_the_budget() {
    let platform = platform().await;
    let target = Target::start().await;
    let address = (platform.address(), target.address);
    let checks = Arc::new(AtomicUsize::new(0));
    let before_send = {
        let checks = Arc::clone(&checks);
        move || {
            // Blocks the only thread of the runtime, as in a paused process.
            if checks.fetch_add(1, Ordering::SeqCst) == 1 {
                std::thread::sleep(TIMING.duration * 2);
            }
        }
    };
    let paused = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(async move {
            let services = vec![subject("sheets", 2, address.1)];
            let _entry = Entry::start_with_hook(0, address.0, services, Arc::new(before_send));
            sleep(TIMING.duration * 4).await;
        });
    });
    until(|| checks.load(Ordering::SeqCst) > 0).await;
    let services = vec![subject("sheets", 2, target.address)];
    let successor = Entry::start(1, platform.address(), services);
    sleep(TIMING.duration * 3).await;

    let shard = Shard::of(&"sheets".parse().unwrap());
    assert!(successor.leases.tenure(shard).is_some());
    assert_eq!(
        checks.load(Ordering::SeqCst),
        2,
        "the paused entry sent again"
    );
    // The late probe adds to the one of the successor.
    assert_eq!(target.most_in_one_second(), 2);
    tokio::task::spawn_blocking(move || paused.join().unwrap())
        .await
        .unwrap();
}
