//! End of a server that stops.

use std::time::Duration;

use carobdrift_http1::Drain;
use tokio::time::Instant;

/// Time in which a process ends itself.
const RESERVE: Duration = Duration::from_millis(150);

/// Grace times of installations, with the largest number of connections to callers while
/// each of them has a request at a target: half of the descriptors that are not reserved.
const INSTALLATIONS: [(Duration, usize); 3] = [
    (Duration::from_secs(6), 1_950),
    (Duration::from_secs(6), 3_996),
    (Duration::from_secs(10), 3_996),
];

/// Guards against answers in place of targets that are still at work before the last sixth
/// of the grace time, and against a time for them that ignores their number.
#[test]
fn requests_are_answered_as_late_as_their_number_permits() {
    for (grace, most) in INSTALLATIONS {
        let start = Instant::now();
        let drain = Drain::new(start, grace, RESERVE);
        let time_left = |count| start + grace - RESERVE - drain.answers_at(count);

        let (few, many, all) = (time_left(12), time_left(most / 4), time_left(most));

        assert!(few < Duration::from_millis(250), "{few:?}");
        assert!(many > few + Duration::from_millis(100), "{many:?}");
        assert!(all >= many && drain.answers_at(most) >= start + grace * 5 / 6);
    }
}

/// Guards against a drain that has no time at all and never ends.
#[tokio::test]
async fn a_drain_without_time_answers_at_once() {
    let start = Instant::now();
    let connections = tokio_util::task::TaskTracker::new();
    connections.spawn(std::future::pending::<()>());
    let ending = tokio_util::sync::CancellationToken::new();

    let ended = Drain::new(start, Duration::ZERO, RESERVE)
        .run(&connections, &ending)
        .await;

    assert!(!ended);
    assert!(ending.is_cancelled());
}
