//! Guards against two holders of one lease, and against leases that no entry
//! takes, while entries join and leave and the store fails.

use std::time::{Duration, Instant};

use carobdrift_measure::{Leases, Shard};
use carobdrift_test_support::platform::{Fault, Loss, Outage};
use tokio::time::sleep;

use crate::fixture::{Proxy, TIMING, cell, leases, platform};

const STEP: Duration = Duration::from_millis(5);

/// Delay with which these tests may notice the end of a lease.
const TOLERANCE: Duration = Duration::from_millis(100);

fn held(leases: &Leases) -> usize {
    Shard::all().filter(|s| leases.tenure(*s).is_some()).count()
}

/// Waits until the entries together hold all leases; returns the time taken.
async fn wait_until_held(entries: &[&Leases], bound: Duration) -> Duration {
    let start = Instant::now();
    loop {
        let held: usize = entries.iter().map(|leases| held(leases)).sum();
        if held == usize::from(Shard::COUNT) {
            return start.elapsed();
        }
        assert!(
            start.elapsed() < bound,
            "{held} leases held after {bound:?}"
        );
        sleep(STEP).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn leases_spread_over_the_entries() {
    let platform = platform().await;
    let entries = [0, 1, 2, 3].map(|number| leases(number, platform.address()));

    wait_until_held(&entries.each_ref(), Duration::from_secs(3)).await;

    let held = entries.each_ref().map(held);
    assert!(held.iter().all(|held| *held > 0), "{held:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn released_leases_are_taken_long_before_they_would_expire() {
    let platform = platform().await;
    let first = leases(0, platform.address());
    wait_until_held(&[&first], Duration::from_secs(3)).await;
    let second = leases(1, platform.address());

    let start = Instant::now();
    first.release().await;
    assert_eq!(held(&first), 0);
    assert!(
        start.elapsed() >= Duration::from_secs(1),
        "released before the budget window had passed"
    );
    let taken = wait_until_held(&[&second], TIMING.duration).await;

    assert!(taken < Duration::from_millis(1_500), "{taken:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn leases_of_an_entry_that_died_are_waited_out() {
    let platform = platform().await;
    let first = leases(0, platform.address());
    wait_until_held(&[&first], Duration::from_secs(3)).await;
    let second = leases(1, platform.address());
    sleep(TIMING.renewal * 2).await;

    drop(first);
    let taken = wait_until_held(&[&second], TIMING.duration * 2).await;

    assert!(taken >= TIMING.margin, "{taken:?}");
}

/// Fails when a lost response ends a lease that was renewed.
#[tokio::test(flavor = "multi_thread")]
async fn lost_responses_keep_the_leases() {
    let platform = platform().await;
    let entry = leases(0, platform.address());
    wait_until_held(&[&entry], Duration::from_secs(3)).await;
    let fault = Fault {
        response_loss: Loss::All,
        ..Fault::default()
    };
    platform.set_fault(fault).await;

    let start = Instant::now();
    while start.elapsed() < TIMING.duration * 2 {
        assert_eq!(held(&entry), usize::from(Shard::COUNT));
        sleep(STEP).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn outage_ends_the_leases_and_recovery_returns_them() {
    for down in [Outage::Refuse, Outage::Hang, Outage::Fail] {
        let platform = platform().await;
        let entry = leases(0, platform.address());
        wait_until_held(&[&entry], Duration::from_secs(3)).await;
        let fault = Fault {
            outage: down,
            ..Fault::default()
        };

        platform.set_fault(fault).await;
        sleep(TIMING.duration).await;
        assert_eq!(held(&entry), 0, "{down:?}");
        platform.set_fault(Fault::default()).await;

        wait_until_held(&[&entry], Duration::from_secs(2)).await;
    }
}

/// A holder without a connection to the store keeps its lease until its own
/// clock ends it. An entry that still reaches the store must wait for that.
#[tokio::test(flavor = "multi_thread")]
async fn holder_that_is_cut_off_from_the_store_ends_before_its_successor_begins() {
    let platform = platform().await;
    let proxy = Proxy::open(platform.address()).await;
    let first = leases(0, proxy.address);
    wait_until_held(&[&first], Duration::from_secs(3)).await;
    let second = leases(1, platform.address());
    sleep(TIMING.renewal * 2).await;

    drop(proxy);
    let start = Instant::now();
    let mut ended = None;
    while held(&second) < usize::from(Shard::COUNT) {
        assert!(start.elapsed() < TIMING.duration * 3, "{}", held(&second));
        if ended.is_none() && held(&first) == 0 {
            ended = Some(Instant::now());
        }
        if held(&second) > 0 {
            let gap = ended.map(|ended| ended.elapsed());
            assert!(
                gap.is_some_and(|gap| gap + TOLERANCE >= TIMING.margin),
                "{gap:?}"
            );
        }
        sleep(STEP).await;
    }
}

/// Entries join, fail, release their leases and meet store faults. Every 5 ms
/// each shard must have at most one holder.
#[tokio::test(flavor = "multi_thread")]
async fn no_shard_has_two_holders() {
    let platform = platform().await;
    let fault = |down, delay_ms, response_loss| Fault {
        outage: down,
        delay_ms,
        response_loss,
        ..Fault::default()
    };
    let faults = [
        Fault::default(),
        fault(Outage::None, 0, Loss::All),
        fault(Outage::None, 150, Loss::None),
        fault(Outage::Hang, 0, Loss::None),
        fault(Outage::None, 350, Loss::All),
        Fault::default(),
        fault(Outage::Refuse, 0, Loss::None),
    ];
    let mut entries: Vec<_> = (0..3).map(|n| leases(n, platform.address())).collect();
    let mut released = Vec::new();
    let mut most_held = 0;
    for round in 0..14 {
        platform
            .set_fault(faults[round % faults.len()].clone())
            .await;
        let leaving = entries.remove(0);
        if round % 2 == 0 {
            released.push(tokio::spawn(async move { leaving.release().await }));
        }
        entries.push(leases(round % 4, platform.address()));
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(1) {
            let mut sum = 0;
            for shard in Shard::all() {
                let holders = entries.iter().filter(|e| e.tenure(shard).is_some());
                let holders = holders.count();
                assert!(holders <= 1, "shard {shard} in round {round}");
                sum += holders;
            }
            most_held = most_held.max(sum);
            sleep(STEP).await;
        }
    }

    assert!(most_held > 0, "no lease was ever held");
    assert!(
        platform
            .row(&Shard::of(&"sheets".parse().unwrap()).key(&cell()))
            .is_some()
    );
}
