//! Guards against reporting a write as not done although it took effect, or the
//! reverse, and against calls that exceed their timeout.

use std::time::Instant;

use carobdrift_platform::{Cause, Error};
use carobdrift_platform_stand_in::{Fault, Loss, Outage};
use serde_json::json;

use crate::fixture::{TIMEOUT, create, put, start};

/// Outcome of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Done,
    Unavailable,
    Unknown,
    Protocol,
}

impl Outcome {
    fn of<T>(result: &Result<T, Error>) -> Self {
        match result {
            Ok(_) => Self::Done,
            Err(Error::Conflict(_) | Error::Protocol(_)) => Self::Protocol,
            Err(Error::Unavailable(_)) => Self::Unavailable,
            Err(Error::Unknown(_)) => Self::Unknown,
        }
    }
}

struct Case {
    name: &'static str,
    fault: Fault,
    write: Outcome,
    /// Whether the transaction has taken effect when its call ends.
    committed: bool,
    read: Outcome,
    /// Number of reads that the platform receives for one call.
    reads: u64,
}

fn cases() -> Vec<Case> {
    let slow = |ms| Fault {
        delay_ms: ms,
        ..Fault::default()
    };
    let down = |down| Fault {
        outage: down,
        ..Fault::default()
    };
    vec![
        Case {
            name: "none",
            fault: Fault::default(),
            write: Outcome::Done,
            committed: true,
            read: Outcome::Done,
            reads: 1,
        },
        Case {
            name: "refused connect",
            fault: down(Outage::Refuse),
            write: Outcome::Unavailable,
            committed: false,
            read: Outcome::Unavailable,
            reads: 0,
        },
        Case {
            name: "hang",
            fault: down(Outage::Hang),
            write: Outcome::Unknown,
            committed: false,
            read: Outcome::Unavailable,
            reads: 1,
        },
        Case {
            name: "status 503",
            fault: down(Outage::Fail),
            write: Outcome::Unavailable,
            committed: false,
            read: Outcome::Unavailable,
            reads: 3,
        },
        Case {
            name: "lost response",
            fault: Fault {
                response_loss: Loss::All,
                ..Fault::default()
            },
            write: Outcome::Unknown,
            committed: true,
            read: Outcome::Done,
            reads: 1,
        },
        Case {
            name: "slow within the timeout",
            fault: slow(50),
            write: Outcome::Done,
            committed: true,
            read: Outcome::Done,
            reads: 1,
        },
        Case {
            name: "slower than the timeout",
            fault: slow(600),
            write: Outcome::Unknown,
            committed: false,
            read: Outcome::Unavailable,
            reads: 1,
        },
        Case {
            name: "malformed bodies",
            fault: Fault {
                malformed: true,
                ..Fault::default()
            },
            write: Outcome::Unknown,
            committed: true,
            read: Outcome::Protocol,
            reads: 1,
        },
        Case {
            name: "lost response and slow",
            fault: Fault {
                response_loss: Loss::All,
                ..slow(50)
            },
            write: Outcome::Unknown,
            committed: true,
            read: Outcome::Done,
            reads: 1,
        },
    ]
}

#[tokio::test]
async fn each_fault_gives_its_error_within_the_timeout() {
    for case in cases() {
        let (stand_in, client) = start().await;
        stand_in.put_row("b", &json!(1));
        // Opens a connection before the fault.
        client.read("b").await.unwrap();
        stand_in.set_fault(case.fault).await;
        let start = Instant::now();

        let write = client.transact(&create()).await;
        let committed = stand_in.row("a").is_some();
        let before = stand_in.counts().reads;
        let read = client.read("b").await;

        let elapsed = start.elapsed();
        let reads = stand_in.counts().reads - before;
        let name = case.name;
        assert_eq!(Outcome::of(&write), case.write, "{name}: {write:?}");
        assert_eq!(committed, case.committed, "{name}");
        assert_eq!(Outcome::of(&read), case.read, "{name}: {read:?}");
        assert_eq!(reads, case.reads, "{name}");
        assert!(elapsed < TIMEOUT * 2 + TIMEOUT / 2, "{name}: {elapsed:?}");
    }
}

#[tokio::test]
async fn outcome_of_a_lost_response_is_found_by_reading_back() {
    let (stand_in, client) = start().await;
    let fault = Fault {
        response_loss: Loss::Next(1),
        ..Fault::default()
    };
    stand_in.set_fault(fault).await;

    let lost = client.transact(&create()).await;
    let row = client.read("a").await.unwrap().unwrap();
    let next = client.transact(&put("a", row.version, json!(2))).await;

    assert_eq!(Outcome::of(&lost), Outcome::Unknown);
    assert_eq!((row.version, row.value), (1, json!(1)));
    assert_eq!(Outcome::of(&next), Outcome::Done);
    assert_eq!(stand_in.counts().writes, 2, "each write is sent once");
}

#[tokio::test]
async fn silent_connections_are_replaced_after_one_timeout() {
    let (stand_in, client) = start().await;
    // Two concurrent calls leave two connections in the pool.
    let (first, second) = tokio::join!(client.read("a"), client.read("b"));
    assert!(first.is_ok() && second.is_ok());
    assert_eq!(stand_in.accepted_connections(), 2);
    let swallow = Fault {
        silence_open: true,
        ..Fault::default()
    };
    stand_in.set_fault(swallow).await;

    let first_read = client.read("a").await;
    let (first, second) = tokio::join!(client.read("a"), client.read("b"));

    assert!(matches!(
        first_read,
        Err(Error::Unavailable(Cause::TimedOut(_)))
    ));
    assert!(first.is_ok() && second.is_ok());
}

#[tokio::test]
async fn calls_succeed_after_the_platform_recovers() {
    let (stand_in, client) = start().await;
    for down in [Outage::Refuse, Outage::Hang, Outage::Fail] {
        client.read("a").await.unwrap();
        let fault = Fault {
            outage: down,
            ..Fault::default()
        };
        stand_in.set_fault(fault).await;
        client.read("a").await.unwrap_err();
        stand_in.set_fault(Fault::default()).await;

        let after_recovery = client.read("a").await;

        assert!(after_recovery.is_ok(), "{down:?}: {after_recovery:?}");
    }
}

#[tokio::test]
async fn read_succeeds_after_its_connection_was_closed() {
    let (stand_in, client) = start().await;
    client.read("a").await.unwrap();
    let refuse = Fault {
        outage: Outage::Refuse,
        ..Fault::default()
    };
    stand_in.set_fault(refuse).await;
    stand_in.set_fault(Fault::default()).await;

    let read = client.read("a").await;

    assert!(read.is_ok(), "{read:?}");
}
