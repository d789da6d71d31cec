//! Entries that start and decide whether to read the store.

use std::time::Duration;

use carobdrift_node::{Data, Knowledge, Start};
use tokio::time::Instant;

/// Knowledge of an entry that has just started, without contact to others.
const NONE: Knowledge = Knowledge {
    is_isolated: true,
    data: Data::Nowhere,
    is_reader: true,
};

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Guards against an entry that waits although callers do, and against hundreds of
/// entries that read at once: when no known entry has data, those without contact
/// and the first ones by their rank read early, and the others soon after.
#[test]
fn some_entries_read_early_when_all_entries_start_again() {
    let now = Instant::now();
    let start = Start::new(false, now);
    let reader = Knowledge {
        is_isolated: false,
        ..NONE
    };
    let other = Knowledge {
        is_reader: false,
        ..reader
    };

    for (knowledge, delay) in [(NONE, 80), (reader, 80), (other, 330)] {
        assert!(!start.should_read(knowledge, now + ms(delay - 1)));
        assert!(start.should_read(knowledge, now + ms(delay)));
    }
}

/// Guards against an entry that reads although another one has the data, only
/// because it knows few others.
#[test]
fn an_entry_that_others_can_inform_does_not_read_before_it_knows_its_rank() {
    let now = Instant::now();
    let start = Start::new(false, now);
    let informed = Knowledge {
        is_isolated: false,
        data: Data::Elsewhere,
        ..NONE
    };
    let other_rank = Knowledge {
        is_reader: false,
        ..informed
    };

    assert!(!start.should_read(informed, now + ms(399)));
    assert!(start.should_read(informed, now + ms(400)));
    assert!(!start.should_read(other_rank, now + ms(1500)));
}

/// Guards against an entry that never gets data because the entries that have it
/// do not send it.
#[test]
fn an_entry_without_data_reads_in_the_end_whatever_its_rank() {
    let now = Instant::now();
    for is_first in [false, true] {
        let start = Start::new(is_first, now);
        let uninformed = Knowledge {
            is_isolated: false,
            data: Data::Elsewhere,
            is_reader: false,
        };

        assert!(start.should_read(uninformed, now + ms(3000)));
    }
}

/// Guards against a first start at which all entries read, and one at which none
/// does.
#[test]
fn at_the_first_start_entries_read_by_their_rank() {
    let now = Instant::now();
    let start = Start::new(true, now);
    let reader = Knowledge {
        is_isolated: false,
        ..NONE
    };
    let other = Knowledge {
        is_reader: false,
        ..reader
    };

    assert!(!start.should_read(reader, now + ms(699)));
    assert!(start.should_read(reader, now + ms(700)));
    assert!(!start.should_read(other, now + ms(2000)));
    assert!(!start.should_read(NONE, now + ms(1499)));
    assert!(start.should_read(NONE, now + ms(1500)));
}
