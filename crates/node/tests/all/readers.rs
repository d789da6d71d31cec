//! Selection of the entries that read the store, simulated without a network.

use std::time::Duration;

use carobdrift_node::Position;

/// Duration of a simulation.
const END: Duration = Duration::from_secs(9);

/// Step of a simulation.
const STEP: Duration = Duration::from_millis(10);

/// Time after which what happens at one entry is known to the others.
const NEWS_DELAY: Duration = Duration::from_millis(50);

/// Time of an answer of the store.
const ANSWER_TIME: Duration = Duration::from_millis(30);

/// Time after which a call without an answer is overdue.
const OVERDUE_TIME: Duration = Duration::from_millis(200);

/// Entries of an installation, time within which a change must be in force there, and
/// calls per second that the store permits to read.
const INSTALLATIONS: [(usize, Duration, f64); 3] = [
    (5, Duration::from_secs(2), 2_000.0),
    (24, Duration::from_secs(2), 2_000.0),
    (472, Duration::from_secs(3), 16_000.0),
];

/// Share of the time for a change that is left when the usual readers notice that their
/// waiting calls are answered no more.
const LEFT_SHARE: f64 = 0.6;

/// Time in which the usual readers find their calls overdue, and the same again to pass a
/// change on to all entries.
const OTHER_TIME: Duration = Duration::from_millis(400);

/// States whether the store serves the entry of a rank at a time.
type ServedSet<'a> = &'a dyn Fn(usize, Duration) -> bool;

/// Entry that tries to read the store, with the time of its call, and the time at which it
/// was answered or found that it is not.
#[derive(Debug, Clone, Copy, Default)]
struct Entry {
    began: Option<Duration>,
    answered: Option<Duration>,
    failed: Option<Duration>,
}

impl Entry {
    /// Calls the store, or continues its call.
    fn call(&mut self, now: Duration, is_served: bool, failure_time: Duration, delay: Duration) {
        let is_due = self.failed.is_some_and(|at| at + delay <= now);
        if self.began.is_none() || is_due || (self.answered.is_some() && !is_served) {
            *self = Self {
                began: Some(now),
                ..Self::default()
            };
        }
        let Some(began) = self.began.filter(|_| self.failed.is_none()) else {
            return;
        };
        if is_served {
            self.answered = Some(began + ANSWER_TIME).filter(|at| *at <= now);
        } else {
            self.failed = Some(began + failure_time).filter(|at| *at <= now);
        }
    }
}

/// Result of a simulation.
struct Run {
    /// Whether the store answered an entry, at each time.
    answered: Vec<(Duration, bool)>,
    /// Entries that called the store.
    callers: usize,
    /// Entries that go on reading at the end and are answered.
    readers: usize,
}

impl Run {
    /// Returns the time from `begin` on until the store answers an entry.
    fn time_to_answer(&self, begin: Duration) -> Option<Duration> {
        let mut later = self.answered.iter().filter(|(time, _)| *time > begin);
        let found = later.find(|(_, is_answered)| *is_answered);
        found.map(|(time, _)| time.saturating_sub(begin))
    }
}

/// Simulates entries after the first two, which read the store, failed at time 0.
/// `is_served` states which ranks the store serves at a time; it refuses others after
/// `failure_time`.
fn run(count: usize, is_served: impl Fn(usize, Duration) -> bool, failure_time: Duration) -> Run {
    let mut entries = vec![Entry::default(); count];
    for entry in &mut entries[..2] {
        entry.began = Some(Duration::ZERO);
        entry.failed = Some(Duration::ZERO);
    }
    let mut callers = vec![false; count];
    let mut answered = Vec::new();
    let mut last_read = Duration::ZERO;
    let mut time = Duration::ZERO;
    while time < END {
        time += STEP;
        let is_known = |at: Option<Duration>| at.is_some_and(|at| at + NEWS_DELAY <= time);
        let (mut failing, mut readers) = (0, 0);
        let is_read = entries.iter().any(|entry| is_known(entry.answered));
        if is_read {
            last_read = time;
        }
        let seen = entries.clone();
        for (rank, entry) in entries.iter_mut().enumerate() {
            let position = Position {
                rank,
                failing,
                readers,
                is_read,
                is_isolated: false,
            };
            failing += usize::from(is_known(seen[rank].failed));
            readers += usize::from(is_known(seen[rank].answered));
            let is_reading = entry.began.is_some();
            if !position.should_read(is_reading, time.saturating_sub(last_read)) {
                *entry = Entry::default();
                continue;
            }
            callers[rank] = true;
            let retry_delay = position.retry_limit();
            entry.call(time, is_served(rank, time), failure_time, retry_delay);
        }
        answered.push((time, entries.iter().any(|entry| entry.answered.is_some())));
    }
    let is_answered = |entry: &&Entry| entry.answered.is_some();
    Run {
        answered,
        callers: callers.into_iter().filter(|called| *called).count(),
        readers: entries.iter().filter(is_answered).count(),
    }
}

/// Guards against a number of entries that the store must not refuse: whichever are cut
/// off, up to all but one, another one reads it in time.
#[test]
fn any_entry_that_the_store_serves_reads_it_in_time() {
    for (count, bound, _) in INSTALLATIONS {
        for lost in (2..count).step_by(count / 20 + 1) {
            for failure_time in [ANSWER_TIME, OVERDUE_TIME] {
                let run = run(count, |rank, _| rank >= lost, failure_time);

                let context = format!("{lost} of {count} lost, {failure_time:?}");
                assert_in_time(&run, Duration::ZERO, bound, &context);
                assert!((1..=2).contains(&run.readers), "{context}: {}", run.readers);
            }
        }
    }
}

/// Guards against sets of entries that the store refuses in which every entry waits for
/// another one to read it: a whole zone, or nearly all, and sets that change.
#[test]
fn no_set_of_refused_entries_leaves_the_store_unread() {
    const CHANGE: Duration = Duration::from_secs(3);
    let zone_and_first = |rank: usize| rank.is_multiple_of(3) || rank < 6;
    let sets: [(&str, ServedSet); 3] = [
        ("a zone and the first of the others", &|rank, _| {
            !zone_and_first(rank)
        }),
        ("all but the third", &|rank, _| rank == 2),
        ("the first half, then the others", &|rank, time| {
            (rank < 12) == (time > CHANGE)
        }),
    ];
    for (name, is_served) in sets {
        for failure_time in [ANSWER_TIME, OVERDUE_TIME] {
            let run = run(24, is_served, failure_time);

            let context = format!("{name}, {failure_time:?}");
            assert_in_time(&run, CHANGE, Duration::from_secs(2), &context);
            assert!((1..=2).contains(&run.readers), "{context}: {}", run.readers);
        }
    }
}

/// Guards against entries of late rounds that call the store so rarely after its outage that
/// a change is late: an outage adds 5 s to the time for it.
#[test]
fn a_store_that_returns_for_one_entry_is_read_in_time() {
    const RETURN: Duration = Duration::from_secs(3);
    const ADDED_TIME: Duration = Duration::from_secs(5);
    for (count, ..) in INSTALLATIONS {
        let last = count - 1;
        let run = run(
            count,
            |rank, time| time > RETURN && rank == last,
            ANSWER_TIME,
        );

        let time = run.time_to_answer(RETURN).expect("the store is read");
        assert!(time <= ADDED_TIME, "{count} entries: {time:?}");
    }
}

/// Guards against a loss of few entries that makes all others read the store.
#[test]
fn a_small_loss_is_answered_by_few_entries() {
    for (count, ..) in INSTALLATIONS {
        let run = run(count, |rank, _| rank >= 2, OVERDUE_TIME);

        assert!(run.callers <= 6, "{} of {count}", run.callers);
    }
}

/// Guards against a load of calls that keeps a store down which serves nobody: entries
/// together use at most a fiftieth of its calls.
#[test]
fn entries_add_little_load_to_a_store_that_serves_none() {
    const SUBJECTS: f64 = 2.0;
    for (count, _, permitted) in INSTALLATIONS {
        let positions = (0..count).map(|rank| Position {
            rank,
            ..Position::default()
        });

        let calls: f64 = positions
            .map(|position| SUBJECTS / position.retry_limit().as_secs_f64())
            .sum();

        assert!(calls <= permitted / 50.0, "{calls} calls/s of {count}");
    }
}

/// Asserts that an entry reads the store in time after `begin`.
fn assert_in_time(run: &Run, begin: Duration, bound: Duration, context: &str) {
    let limit = bound.mul_f64(LEFT_SHARE).saturating_sub(OTHER_TIME);
    let time = run.time_to_answer(begin).expect(context);
    assert!(time <= limit, "{context}: {time:?}");
}
