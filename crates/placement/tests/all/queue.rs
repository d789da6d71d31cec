//! Order of waiting requests.

use std::time::Duration;

use carobdrift_placement::{Queue, Rank};
use tokio::time::Instant;

fn rank(late: bool, priority: u32, received: Instant, sequence: u64) -> Rank {
    Rank {
        late,
        priority,
        received,
        sequence,
    }
}

/// Guards against late requests that delay those that can still be answered in
/// time, and against routes that are served out of priority order.
#[test]
fn requests_in_time_come_first_then_urgent_ones_then_older_ones() {
    let now = Instant::now();
    let later = now + Duration::from_millis(1);
    let mut queue = Queue::default();
    for (name, rank) in [
        ("late", rank(true, 0, now, 1)),
        ("young", rank(false, 1, later, 2)),
        ("old", rank(false, 1, now, 3)),
        ("urgent", rank(false, 0, later, 4)),
    ] {
        queue.push(rank, (name, rank));
    }

    let mut order = Vec::new();
    while let Some((name, rank)) = queue.first().copied() {
        queue.remove(&rank, Some(now));
        order.push(name);
    }

    assert_eq!(order, ["urgent", "old", "young", "late"]);
}

/// Guards against an expected wait that is too short or too long.
#[test]
fn the_expected_wait_follows_the_dispatch_interval() {
    let start = Instant::now();
    let mut queue = Queue::default();
    for sequence in 0..200 {
        let rank = rank(false, 1, start, sequence);
        queue.push(rank, ());
        let dispatched = start + Duration::from_millis(10 * sequence);
        queue.remove(&rank, Some(dispatched));
    }
    for sequence in 200..205 {
        queue.push(rank(false, 1, start, sequence), ());
    }

    let wait = queue.expected_wait(&rank(false, 1, start, 300)).as_millis();
    let urgent = queue.expected_wait(&rank(false, 0, start, 301));

    assert!((48..=52).contains(&wait), "{wait}");
    assert_eq!(urgent, Duration::ZERO);
}
