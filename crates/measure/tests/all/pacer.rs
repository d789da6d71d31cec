//! Guards against probes that reach the target closer together than the budget
//! permits, whatever delays occur in transit.

use std::time::Duration;

use carobdrift_measure::{Completion, Pacer};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

/// Returns the largest number of moments in any window of one second.
fn most_in_one_second(mut moments: Vec<Instant>) -> usize {
    moments.sort_unstable();
    let count = |first: &Instant| {
        let window = moments.iter().filter(|m| *m >= first);
        window.take_while(|m| **m < *first + SECOND).count()
    };
    moments.iter().map(count).max().unwrap_or(0)
}

#[test]
fn a_small_budget_permits_no_probe() {
    for budget in [0, 1] {
        let now = Instant::now();

        assert!(!Pacer::new(now).is_probe_allowed(budget, now), "{budget}");
    }
}

#[test]
fn probes_use_the_budget_but_one_and_are_evenly_spaced() {
    for budget in [2, 3, 10, 50] {
        let start = Instant::now();
        let mut pacer = Pacer::new(start);
        let mut sent = Vec::new();
        for step in 0..100_000 {
            let now = start + Duration::from_micros(step * 100);
            if pacer.is_probe_allowed(budget, now) {
                pacer.start_probe();
                sent.push(now);
                pacer.end_probe(Completion::Answered, now);
            }
        }

        let usable = usize::try_from(budget - 1).unwrap();
        assert_eq!(most_in_one_second(sent.clone()), usable, "{budget}");
        assert!(sent.len() > usable * 8, "{budget}: {}", sent.len());
        let gaps = sent.windows(2).map(|pair| pair[1] - pair[0]);
        assert!(gaps.min().unwrap() >= SECOND / (budget - 1), "{budget}");
    }
}

#[test]
fn second_probe_waits_for_the_end_of_the_first() {
    let now = Instant::now();
    let mut pacer = Pacer::new(now);
    pacer.start_probe();

    assert!(!pacer.is_probe_allowed(10, now + SECOND * 100));
    pacer.end_probe(Completion::Undeliverable, now + SECOND * 100);
    assert!(!pacer.is_probe_allowed(10, now + SECOND * 100));
    assert!(pacer.is_probe_allowed(10, now + SECOND * 101));
}

#[test]
fn budget_that_was_lowered_holds_for_the_next_probe() {
    let now = Instant::now();
    let mut pacer = Pacer::new(now);
    pacer.start_probe();
    pacer.end_probe(Completion::Answered, now);

    assert!(pacer.is_probe_allowed(100, now + SECOND / 2));
    assert!(!pacer.is_probe_allowed(2, now + SECOND / 2));
}

/// Probes the target for 20 s without an answer; returns the number of probes
/// that are then in its socket buffers.
fn probe_stopped_target(pacer: &mut Pacer, budget: u32, start: Instant) -> u32 {
    let mut waiting = 0;
    for millis in (0..20_000).step_by(10) {
        let now = start + Duration::from_millis(millis);
        if pacer.is_probe_allowed(budget, now) {
            pacer.start_probe();
            pacer.end_probe(Completion::Unanswered, now);
            waiting += 1;
        }
    }
    waiting
}

#[test]
fn target_that_stops_across_a_change_of_the_holder_is_within_the_budget() {
    for budget in [2, 3, 10] {
        let start = Instant::now();
        let mut former = Pacer::new(start);
        former.start_probe();
        former.end_probe(Completion::Answered, start);
        let mut successor = Pacer::new(start);

        let waiting = probe_stopped_target(&mut former, budget, start)
            + probe_stopped_target(&mut successor, budget, start);

        assert_eq!(waiting, budget);
    }
}

/// A stopped target processes the probes in its socket buffers together when it
/// resumes, even those whose connections were closed.
#[test]
fn stopped_target_finds_no_more_probes_than_one_second_permits() {
    for budget in [2, 3, 10] {
        let start = Instant::now();
        let mut pacer = Pacer::new(start);
        pacer.start_probe();
        pacer.end_probe(Completion::Answered, start);

        let waiting = probe_stopped_target(&mut pacer, budget, start);

        assert_eq!(waiting, budget - 1);
        pacer.record_answer(start + SECOND * 20);
        assert!(pacer.is_probe_allowed(budget, start + SECOND * 21));
    }
}

/// The probes in the socket buffers of a target that resumes arrive in the second
/// of its first answer, so the probes after the answer must leave room for them.
#[test]
fn probes_after_a_stop_do_not_add_to_those_that_waited() {
    for budget in [2, 3, 10, 20] {
        for learns_from_request in [false, true] {
            let start = Instant::now();
            let mut pacer = Pacer::new(start);
            pacer.start_probe();
            pacer.end_probe(Completion::Answered, start);
            let waiting = probe_stopped_target(&mut pacer, budget, start);
            let resumed = start + SECOND * 20;
            let mut arrivals: Vec<Instant> = (0..waiting).map(|_| resumed).collect();

            if learns_from_request {
                pacer.record_answer(resumed);
            } else {
                pacer.end_probe(Completion::Answered, resumed);
            }
            for millis in 0..3_000 {
                let now = resumed + Duration::from_millis(millis);
                if pacer.is_probe_allowed(budget, now) {
                    pacer.start_probe();
                    arrivals.push(now);
                    pacer.end_probe(Completion::Answered, now);
                }
            }

            let most = most_in_one_second(arrivals);
            assert!(
                most <= usize::try_from(budget).unwrap(),
                "{most} of {budget}"
            );
        }
    }
}

#[test]
fn delays_on_the_way_never_exceed_the_budget() {
    let mut random = StdRng::seed_from_u64(7);
    for budget in [2, 3, 5, 20] {
        let start = Instant::now();
        let mut now = start;
        let mut pacer = Pacer::new(start);
        let mut arrivals = Vec::new();
        while now < start + SECOND * 60 {
            now += Duration::from_millis(5);
            if !pacer.is_probe_allowed(budget, now) {
                continue;
            }
            pacer.start_probe();
            let mut delay = || Duration::from_millis(random.random_range(0..200));
            arrivals.push(now + delay());
            // The answer has a delay of its own after the arrival.
            now = arrivals[arrivals.len() - 1] + delay();
            pacer.end_probe(Completion::Answered, now);
        }

        assert!(most_in_one_second(arrivals) < usize::try_from(budget).unwrap());
    }
}
