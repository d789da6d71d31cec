//! Guards against grants whose sum exceeds the limit at any moment, against
//! shares that are lost when their holder fails, and against an entry that gets
//! no share beside one with a large demand.

use std::time::Duration;

use carobdrift_balance::{Demand, Quota, Share};
use carobdrift_document::Limits;
use carobdrift_measure::{Allocator, Capacity, GRANT_VALIDITY, Requester, grantable_part};
use carobdrift_units::{Class, Incarnation, Instance};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::{Instant, advance};

const ENTRIES: u32 = 20;

fn limits(limit: u32) -> Limits {
    Limits {
        max_in_flight: limit,
        max_per_second: limit * 10,
    }
}

fn capacity(limit: u32, settled: bool) -> Capacity {
    Capacity {
        limits: limits(limit),
        max_entries: ENTRIES,
        settled,
    }
}

fn instance(number: usize) -> Instance {
    format!("e-{number}").parse().unwrap()
}

fn share(in_flight: u32, per_second: u32) -> Share {
    Share {
        in_flight,
        per_second,
    }
}

fn combine(a: Share, b: Share, with: fn(u32, u32) -> u32) -> Share {
    share(
        with(a.in_flight, b.in_flight),
        with(a.per_second, b.per_second),
    )
}

fn demand(wanted: u32, held: u32) -> Demand {
    Demand {
        wanted: share(wanted, wanted),
        held: share(held, held),
    }
}

/// Entry that uses no more than it reports to hold.
struct Entry {
    quota: Quota,
    granted: Share,
    expires: Instant,
    requester: Requester,
}

impl Entry {
    fn new(number: usize, limit: u32) -> Self {
        Self {
            quota: Quota::new(limits(limit), ENTRIES),
            granted: Share::default(),
            expires: Instant::now(),
            requester: Requester {
                instance: instance(number),
                incarnation: Incarnation(7),
                sequence: 0,
            },
        }
    }

    /// Reports the held share and uses no more from now on.
    fn report(&mut self, wanted: Share) -> Demand {
        let held = if Instant::now() < self.expires {
            combine(self.granted, wanted, u32::min)
        } else {
            Share::default()
        };
        self.requester.sequence += 1;
        self.apply(held, self.expires);
        Demand { wanted, held }
    }

    fn apply(&mut self, granted: Share, expires: Instant) {
        (self.granted, self.expires) = (granted, expires);
        self.quota.grant(granted, expires);
    }
}

fn sum(entries: &[Entry]) -> Share {
    let shares = entries.iter().map(|entry| entry.quota.share());
    shares.fold(Share::default(), |sum, share| {
        combine(sum, share, u32::saturating_add)
    })
}

#[test]
fn fixed_shares_and_rest_make_up_the_limit() {
    for limit in [0, 1, 19, 39, 40, 41, 400, 10_001] {
        let fixed = limit / 10 / ENTRIES;

        assert_eq!(grantable_part(limit, ENTRIES) + fixed * ENTRIES, limit);
    }
}

/// Entries send queries at random, answers are lost or late, queries arrive out
/// of order, loads shift, and holders fail. The sum of all usable shares must
/// stay within the limit.
#[tokio::test(start_paused = true)]
async fn sum_of_usable_shares_never_exceeds_the_limit() {
    let mut random = StdRng::seed_from_u64(11);
    for limit in [1, 7, 41, 400] {
        let mut allocator = Allocator::default();
        let mut settled = Instant::now();
        let mut failures = 0;
        let mut late: Option<(Requester, Demand)> = None;
        let mut entries: Vec<_> = (0..20).map(|number| Entry::new(number, limit)).collect();
        let mut largest = 0;
        for _ in 0..20_000 {
            if random.random_bool(0.002) {
                // The successor starts at once or after about 20 s.
                let pause = if random.random_bool(0.5) { 0 } else { 20_000 };
                advance(Duration::from_millis(pause)).await;
                allocator = Allocator::default();
                settled = Instant::now() + GRANT_VALIDITY;
                failures += 1;
            }
            let entry = random.random_range(0..entries.len());
            let entry = &mut entries[entry];
            let wanted = share(
                random.random_range(0..=limit),
                random.random_range(0..=limit * 10),
            );
            let sent = Instant::now();
            let demand = entry.report(wanted);
            advance(Duration::from_millis(random.random_range(0..60))).await;
            let now = Instant::now();
            let capacity = capacity(limit, now >= settled);
            if random.random_bool(0.1) {
                // The query is delayed, and its answer arrives too late to be
                // used.
                late = Some((entry.requester.clone(), demand));
            } else if allocator.is_newer(&entry.requester) {
                let instance = &entry.requester.instance;
                let granted = allocator.grant(None, &capacity, instance, demand, now);
                advance(Duration::from_millis(random.random_range(0..60))).await;
                if random.random_bool(0.8) {
                    entry.apply(granted, sent + GRANT_VALIDITY);
                }
            }
            if random.random_bool(0.1)
                && let Some((requester, demand)) = late.take()
                && allocator.is_newer(&requester)
            {
                let now = Instant::now();
                allocator.grant(None, &capacity, &requester.instance, demand, now);
            }
            let sum = sum(&entries);
            assert!(
                sum.in_flight <= limit && sum.per_second <= limit * 10,
                "{sum:?} of {limit}"
            );
            largest = largest.max(sum.in_flight);
        }

        assert!(largest * 10 > limit * 9, "{largest} of {limit}");
        assert!(failures > 20, "{failures}");
    }
}

#[test]
fn grant_is_free_again_once_it_expired() {
    let now = Instant::now();
    let mut allocator = Allocator::default();
    let mut grant = |number, at| {
        let instance = instance(number);
        let share = allocator.grant(None, &capacity(400, true), &instance, demand(400, 0), at);
        share.in_flight
    };

    assert_eq!(grant(1, now), 360);
    assert_eq!(grant(2, now + GRANT_VALIDITY / 2), 0);
    assert_eq!(grant(3, now + GRANT_VALIDITY), 180);
}

/// Fails when a share that an entry no longer holds stays reserved for it.
#[test]
fn returned_share_is_free_at_once() {
    let now = Instant::now();
    let mut allocator = Allocator::default();
    let mut grant = |number, demand| {
        let instance = instance(number);
        allocator
            .grant(None, &capacity(400, true), &instance, demand, now)
            .in_flight
    };

    assert_eq!(grant(1, demand(300, 0)), 300);
    assert_eq!(grant(2, demand(300, 0)), 60);
    assert_eq!(grant(1, demand(100, 100)), 100);
    assert_eq!(grant(2, demand(300, 60)), 260);
}

/// The entry with the large demand learns from its second query that its share
/// shrinks, and reports with the third one that it uses less.
#[test]
fn entry_with_a_large_demand_yields_within_three_queries() {
    let start = Instant::now();
    let mut allocator = Allocator::default();
    let mut granted = [0; 3];
    for step in 0..3 {
        let now = start + Duration::from_secs(2) * step;
        for (number, wanted) in [(0, 4_000), (1, 4_000), (2, 30)] {
            let demand = demand(wanted, granted[number]);
            let instance = instance(number);
            let share = allocator.grant(None, &capacity(400, true), &instance, demand, now);
            granted[number] = share.in_flight;
        }
    }

    assert_eq!(granted, [165, 165, 30]);
}

/// Fails when the entries lose their shares because the holder failed, or when
/// the successor grants more than the held shares before it knows all grants.
#[tokio::test(start_paused = true)]
async fn a_holder_that_fails_costs_no_share() {
    const LIMIT: u32 = 400;
    let mut entries: Vec<_> = (0..3).map(|number| Entry::new(number, LIMIT)).collect();
    let query = |entry: &mut Entry, allocator: &mut Allocator, settled: bool| {
        let sent = Instant::now();
        let demand = entry.report(share(LIMIT, LIMIT * 10));
        let capacity = capacity(LIMIT, settled);
        assert!(allocator.is_newer(&entry.requester));
        let granted = allocator.grant(None, &capacity, &entry.requester.instance, demand, sent);
        entry.apply(granted, sent + GRANT_VALIDITY);
    };
    let mut allocator = Allocator::default();
    for _ in 0..4 {
        for entry in &mut entries {
            query(entry, &mut allocator, true);
        }
    }
    let before: Vec<_> = entries.iter().map(|e| e.quota.share()).collect();
    assert_eq!(before, [share(122, 1_220); 3]);

    // 15 s until the lease ends, 5 s for the rank of the successor, and up to 2
    // s since the last renewal of the shares.
    advance(Duration::from_secs(22)).await;
    let mut allocator = Allocator::default();
    let mut new_entry = Entry::new(3, LIMIT);
    for _ in 0..GRANT_VALIDITY.as_secs() / 2 {
        query(&mut new_entry, &mut allocator, false);
        for entry in &mut entries {
            query(entry, &mut allocator, false);
        }
        let now: Vec<_> = entries.iter().map(|e| e.quota.share()).collect();
        assert_eq!(now, before);
        assert_eq!(new_entry.quota.share(), share(2, 20));
        advance(Duration::from_secs(2)).await;
    }

    for _ in 0..3 {
        for entry in entries.iter_mut().chain([&mut new_entry]) {
            query(entry, &mut allocator, true);
        }
    }
    assert_eq!(new_entry.quota.share(), share(92, 920));
}

/// Fails when a demand that arrives late replaces a newer one, or when queries
/// of a restarted entry are ignored.
#[test]
fn an_older_query_is_ignored() {
    let mut allocator = Allocator::default();
    let mut is_newer = |incarnation, sequence| {
        allocator.is_newer(&Requester {
            instance: instance(1),
            incarnation: Incarnation(incarnation),
            sequence,
        })
    };

    assert!(is_newer(7, 4));
    assert!(!is_newer(7, 3));
    assert!(!is_newer(7, 4));
    assert!(is_newer(7, 5));
    assert!(is_newer(8, 0));
}

/// Fails when one of several busy entries gets no turn on a limit that is
/// smaller than their number, or when units of the limit are unused.
#[test]
fn entries_take_turns_on_a_small_limit() {
    const STEPS: u32 = 1_200;
    for limit in [1, 2, 3] {
        let start = Instant::now();
        let mut allocator = Allocator::default();
        let mut held = [0; 3];
        let mut turns = [0; 3];
        for step in 0..STEPS {
            let now = start + Duration::from_millis(50) * step;
            for number in 0..3 {
                let demand = demand(limit, held[number]);
                let instance = instance(number);
                let share = allocator.grant(None, &capacity(limit, true), &instance, demand, now);
                held[number] = share.in_flight;
                turns[number] += share.in_flight;
                assert!(held.iter().sum::<u32>() <= limit, "{held:?} of {limit}");
            }
        }

        let used = turns.iter().sum::<u32>();
        assert!(used * 100 > STEPS * limit * 90, "{used} of {limit}");
        for turns in turns {
            assert!(turns * 3 * 100 > STEPS * limit * 80, "{turns} of {limit}");
        }
    }
}

/// Fails when entries without load hold a small limit, or when an entry that
/// needs it does not get it with its first query.
#[tokio::test(start_paused = true)]
async fn a_small_limit_is_free_for_the_entry_that_needs_it() {
    for limit in [1, 2, 3] {
        let mut allocator = Allocator::default();
        let now = Instant::now();
        for number in 0..3 {
            let entry = Entry::new(number, limit);
            entry
                .quota
                .set_rank(Some(carobdrift_balance::Rank { index: 0, count: 3 }));
            assert_eq!(entry.quota.report_demand(), Some(calls_demand(limit)));
        }
        let mut grant = |number, wanted, held| {
            let instance = instance(number);
            let demand = demand(wanted, held);
            allocator
                .grant(None, &capacity(limit, true), &instance, demand, now)
                .in_flight
        };
        for busy in 0..3 {
            assert_eq!(grant(busy, limit, 0), limit);
            assert_eq!(grant(busy, 0, 0), 0);
        }
    }
}

/// Returns the demand of an idle entry with steered callers for a small limit:
/// an eighth of its calls per second only.
fn calls_demand(limit: u32) -> Demand {
    Demand {
        wanted: share(0, limit * 10 / 8),
        held: Share::default(),
    }
}

/// Fails when the limit of a class is divided together with that of the service
/// or of another class.
#[test]
fn each_class_has_its_own_grants() {
    let now = Instant::now();
    let mut allocator = Allocator::default();
    let view: Class = "view".parse().unwrap();
    let seeding: Class = "seeding".parse().unwrap();
    let mut grant = |class: Option<&Class>, limit, number| {
        let instance = instance(number);
        let capacity = capacity(limit, true);
        allocator
            .grant(class, &capacity, &instance, demand(40, 0), now)
            .in_flight
    };

    assert_eq!(grant(None, 100, 1), 40);
    assert_eq!(grant(Some(&view), 50, 1), 40);
    assert_eq!(grant(Some(&view), 50, 2), 10);
    assert_eq!(grant(Some(&seeding), 6, 1), 6);
    assert_eq!(grant(Some(&seeding), 6, 2), 0);
    assert_eq!(grant(None, 100, 2), 40);
}
