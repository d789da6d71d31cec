//! Buckets after the start of an entry.

use std::net::IpAddr;
use std::time::Duration;

use carobdrift_quota::{Allocator, Demand, Key, Limit};
use carobdrift_units::Rate;
use tokio::time::Instant;

const LIMIT: Limit = Limit {
    rate: Rate(100_000),
    burst: 100,
};

/// Returns the tokens that an entry grants within a time after its start.
fn granted(has_common_start: bool, time: Duration) -> u32 {
    let (own, start) = (IpAddr::from([10, 0, 0, 1]), Instant::now());
    let key = Key::Workspace("blue".into());
    let mut allocator = Allocator::open(own);
    let mut tokens = 0;
    for step in 1..=time.as_millis() / 10 {
        let now = start + Duration::from_millis(10) * u32::try_from(step).unwrap();
        // The other entry is found after 0.2 s, and is no candidate for long.
        let other = IpAddr::from([10, 0, 0, 2]);
        let candidates = if (20..40).contains(&step) {
            vec![own, other]
        } else {
            vec![own]
        };
        allocator.set_common_start(has_common_start.then_some(start));
        allocator.set_candidates(candidates, &[], now);
        let demand = Demand {
            wanted: 100,
            returned: 0,
        };
        let grant = allocator.grant(own, &key, demand, LIMIT, now);
        tokens += grant.map_or(0, |grant| grant.tokens);
    }
    tokens
}

/// Guards against callers that are refused after all entries were lost and started
/// again, when nobody has granted tokens for the time of the restart.
#[test]
fn entries_that_start_together_grant_at_once() {
    let tokens = granted(true, Duration::from_millis(100));

    assert!((40..=50).contains(&tokens), "{tokens}");
}

/// Guards against an entry that starts beside others and grants what its successor still
/// grants.
#[test]
fn an_entry_that_starts_beside_others_waits() {
    assert_eq!(granted(false, Duration::from_millis(500)), 0);
}

/// Guards against buckets that fill anew with each entry that is found.
#[test]
fn a_common_start_is_credited_once() {
    let tokens = granted(true, Duration::from_secs(1));

    assert!((100..=140).contains(&tokens), "{tokens}");
}
