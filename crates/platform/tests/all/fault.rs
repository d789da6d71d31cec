//! Guards against a write that is reported as not done although it took
//! effect, or the reverse, and against calls that outlast their timeout.

use std::time::Instant;

use carobdrift_platform::{Cause, Error};
use carobdrift_platform_stand_in::{Fault, Loss, Outage};
use serde_json::json;

use crate::fixture::{TIMEOUT, create, put, start};

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    Done,
    Unavailable,
    Unknown,
    Protocol,
}

impl Ending {
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
    /// Ending of a transaction, and whether it may have taken effect by then.
    write: Ending,
    written: bool,
    read: Ending,
    /// Reads that the platform receives for one call.
    reads: u64,
}

fn cases() -> Vec<Case> {
    let slow = |millis| Fault {
        delay_ms: millis,
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
            write: Ending::Done,
            written: true,
            read: Ending::Done,
            reads: 1,
        },
        Case {
            name: "refused connect",
            fault: down(Outage::Refuse),
            write: Ending::Unavailable,
            written: false,
            read: Ending::Unavailable,
            reads: 0,
        },
        Case {
            name: "hang",
            fault: down(Outage::Hang),
            write: Ending::Unknown,
            written: false,
            read: Ending::Unavailable,
            reads: 1,
        },
        Case {
            name: "status 503",
            fault: down(Outage::Fail),
            write: Ending::Unavailable,
            written: false,
            read: Ending::Unavailable,
            reads: 3,
        },
        Case {
            name: "lost response",
            fault: Fault {
                response_loss: Loss::All,
                ..Fault::default()
            },
            write: Ending::Unknown,
            written: true,
            read: Ending::Done,
            reads: 1,
        },
        Case {
            name: "slow within the timeout",
            fault: slow(50),
            write: Ending::Done,
            written: true,
            read: Ending::Done,
            reads: 1,
        },
        Case {
            name: "slower than the timeout",
            fault: slow(600),
            write: Ending::Unknown,
            written: false,
            read: Ending::Unavailable,
            reads: 1,
        },
        Case {
            name: "malformed bodies",
            fault: Fault {
                malformed: true,
                ..Fault::default()
            },
            write: Ending::Unknown,
            written: true,
            read: Ending::Protocol,
            reads: 1,
        },
        Case {
            name: "lost response and slow",
            fault: Fault {
                response_loss: Loss::All,
                ..slow(50)
            },
            write: Ending::Unknown,
            written: true,
            read: Ending::Done,
            reads: 1,
        },
    ]
}

#[tokio::test]
async fn every_fault_ends_a_call_with_its_type_within_the_timeout() {
    for case in cases() {
        let (stand_in, client) = start().await;
        stand_in.put_row("b", &json!(1));
        // Opens a connection before the fault.
        client.read("b").await.unwrap();
        stand_in.set_fault(case.fault).await;
        let start = Instant::now();

        let write = client.transact(&create()).await;
        let written = stand_in.row("a").is_some();
        let before = stand_in.counts().reads;
        let read = client.read("b").await;

        let elapsed = start.elapsed();
        let reads = stand_in.counts().reads - before;
        let name = case.name;
        assert_eq!(Ending::of(&write), case.write, "{name}: {write:?}");
        assert_eq!(written, case.written, "{name}");
        assert_eq!(Ending::of(&read), case.read, "{name}: {read:?}");
        assert_eq!(reads, case.reads, "{name}");
        assert!(elapsed < TIMEOUT * 2 + TIMEOUT / 2, "{name}: {elapsed:?}");
    }
}

#[tokio::test]
async fn lost_response_is_resolved_by_reading_back() {
    let (stand_in, client) = start().await;
    let fault = Fault {
        response_loss: Loss::Next(1),
        ..Fault::default()
    };
    stand_in.set_fault(fault).await;

    let lost = client.transact(&create()).await;
    let row = client.read("a").await.unwrap().unwrap();
    let next = client.transact(&put("a", row.version, json!(2))).await;

    assert_eq!(Ending::of(&lost), Ending::Unknown);
    assert_eq!((row.version, row.value), (1, json!(1)));
    assert_eq!(Ending::of(&next), Ending::Done);
    assert_eq!(stand_in.counts().writes, 2, "each write is sent once");
}

#[tokio::test]
async fn silent_connections_are_replaced_after_one_timeout() {
    let (stand_in, client) = start().await;
    // Two calls at once leave two connections in the pool.
    let (first, second) = tokio::join!(client.read("a"), client.read("b"));
    assert!(first.is_ok() && second.is_ok());
    assert_eq!(stand_in.accepted_connections(), 2);
    let swallow = Fault {
        silence_open: true,
        ..Fault::default()
    };
    stand_in.set_fault(swallow).await;

    let silent = client.read("a").await;
    let (first, second) = tokio::join!(client.read("a"), client.read("b"));

    assert!(matches!(
        silent,
        Err(Error::Unavailable(Cause::TimedOut(_)))
    ));
    assert!(first.is_ok() && second.is_ok());
}

#[tokio::test]
async fn platform_that_returns_is_used_again() {
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

        let again = client.read("a").await;

        assert!(again.is_ok(), "{down:?}: {again:?}");
    }
}

#[tokio::test]
async fn dropped_connection_costs_a_read_nothing() {
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
