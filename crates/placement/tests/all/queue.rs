//! Decisions on waiting requests.

use std::time::Duration;

use carobdrift_placement::{Demand, Queue, Reason, retry_after};
use tokio::time::Instant;

use crate::order::workspace;

const WORK: Duration = Duration::from_millis(100);

fn demand(priority: u32, received: Instant) -> Demand {
    Demand {
        priority,
        workspace: None,
        work: WORK,
        received,
        target_latency: Duration::from_millis(1300),
        start_by: received + Duration::from_millis(1170),
        last_start: received + Duration::from_millis(2870),
    }
}

/// Returns a queue that observed one start of [`WORK`] each 100 ms, and the time of the
/// last one.
fn queue_with_capacity() -> (Queue<u32>, Instant) {
    let mut now = Instant::now();
    let mut queue = Queue::default();
    let first = queue.push(demand(1, now), 0, now);
    for _ in 0..20 {
        let ticket = queue.push(demand(1, now), 0, now);
        now += Duration::from_millis(100);
        queue.start(ticket, now);
    }
    queue.remove(first, now);
    (queue, now)
}

/// Records arrivals of the least urgent priority that need twice the capacity.
fn overload(queue: &mut Queue<u32>, now: Instant) {
    for _ in 0..20 {
        queue.record_arrival(&demand(2, now), now);
    }
}

/// Guards against a capacity that is too high or too low, by which requests would wait
/// in vain or be refused without need.
#[test]
fn the_capacity_is_the_work_that_starts_while_requests_wait() {
    let (queue, _) = queue_with_capacity();

    let capacity = queue.capacity().unwrap();

    assert!((0.95..=1.05).contains(&capacity), "{capacity}");
}

/// Guards against a waiting request that keeps its place although a more urgent one
/// arrives and the capacity suffices for one of them.
#[test]
fn a_more_urgent_request_displaces_a_waiting_one() {
    let (mut queue, now) = queue_with_capacity();
    overload(&mut queue, now);
    let count = |queue: &mut Queue<u32>, priority| {
        queue.record_arrival(&demand(priority, now), now);
        queue.push(demand(priority, now), priority, now);
        let refused = queue.plan(now);
        refused
            .iter()
            .map(|r| (r.waiter, r.reason))
            .collect::<Vec<_>>()
    };

    // One request starts at once, and one within a tenth of the target latency.
    let first = count(&mut queue, 2);
    let second = count(&mut queue, 2);
    let urgent = count(&mut queue, 1);

    assert_eq!((first, second), (vec![], vec![]));
    assert_eq!(urgent, [(2, Reason::Displaced)]);
    assert_eq!(queue.first().map(|(_, priority)| *priority), Some(1));
}

/// Guards against a workspace with much recent work that comes before one with none.
#[test]
fn the_workspace_with_the_least_recent_work_comes_first() {
    let (mut queue, now) = queue_with_capacity();
    overload(&mut queue, now);
    queue.record_use(Some(workspace(0)), WORK * 3, now);
    for number in [0, 0, 1] {
        let demand = Demand {
            workspace: Some(workspace(number)),
            ..demand(1, now)
        };
        queue.push(demand, number, now);
    }

    let refused: Vec<u32> = queue.plan(now).into_iter().map(|r| r.waiter).collect();

    assert_eq!(refused, [0]);
}

/// Guards against refusals of a request that waits while nothing else needs capacity,
/// for example because all targets are slow.
#[test]
fn a_request_that_waits_alone_is_refused_after_its_target_latency() {
    let (mut queue, now) = queue_with_capacity();
    queue.push(demand(1, now), 1, now);

    let before = queue.plan(now + Duration::from_millis(1290)).len();
    let after = queue.plan(now + Duration::from_millis(1310)).len();

    assert_eq!((before, after), (0, 1));
}

/// Guards against refused callers that return at once, at the same time, or too late to
/// be served.
#[test]
fn retries_are_spread_over_the_useful_time() {
    let remaining = Duration::from_secs(3);

    let mut times: Vec<u128> = (0..20)
        .map(|sequence| retry_after(Duration::from_millis(200), remaining, sequence).as_millis())
        .collect();
    times.sort_unstable();

    assert!(times[0] >= 200 && times[19] <= 1000, "{times:?}");
    let widest = times.windows(2).map(|pair| pair[1] - pair[0]).max();
    assert!(widest <= Some(120), "{times:?}");
    let too_late = retry_after(Duration::MAX, remaining, 3).as_millis();
    assert!((500..=1000).contains(&too_late), "{too_late}");
}
