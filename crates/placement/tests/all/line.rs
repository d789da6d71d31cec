//! Order of requests that wait.

use std::time::Duration;

use carobdrift_placement::{Line, Rank};
use tokio::time::Instant;

fn rank(late: bool, priority: u32, received: Instant, number: u64) -> Rank {
    Rank {
        late,
        priority,
        received,
        number,
    }
}

/// Guards against late requests that hold up those that can still be answered
/// in time, and against routes that are served out of order of urgency.
#[test]
fn requests_in_time_come_first_then_urgent_ones_then_older_ones() {
    let now = Instant::now();
    let later = now + Duration::from_millis(1);
    let mut line = Line::default();
    for (name, rank) in [
        ("late", rank(true, 0, now, 1)),
        ("young", rank(false, 1, later, 2)),
        ("old", rank(false, 1, now, 3)),
        ("urgent", rank(false, 0, later, 4)),
    ] {
        line.join(rank, (name, rank));
    }

    let mut order = Vec::new();
    while let Some((name, rank)) = line.first().copied() {
        line.leave(&rank, Some(now));
        order.push(name);
    }

    assert_eq!(order, ["urgent", "old", "young", "late"]);
}

/// Guards against a wait that is told too short or too long.
#[test]
fn the_expected_wait_follows_the_pace() {
    let begin = Instant::now();
    let mut line = Line::default();
    for number in 0..200 {
        let rank = rank(false, 1, begin, number);
        line.join(rank, ());
        let departs = begin + Duration::from_millis(10 * number);
        line.leave(&rank, Some(departs));
    }
    for number in 200..205 {
        line.join(rank(false, 1, begin, number), ());
    }

    let wait = line.expected_wait(&rank(false, 1, begin, 300)).as_millis();
    let urgent = line.expected_wait(&rank(false, 0, begin, 301));

    assert!((48..=52).contains(&wait), "{wait}");
    assert_eq!(urgent, Duration::ZERO);
}
