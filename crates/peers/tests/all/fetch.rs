//! Fetches of data, which is encoded once for many requesters and sent to few of them
//! at a time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use carobdrift_peers::{Answer, FetchError, Targets, fetch_state, fetch_targets};
use carobdrift_test_support::link::{self, Link};
use carobdrift_units::{Era, StoreRevision, Version};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::fixture::{Entry, all, eventually, zone};

/// Targets whose registrations take 1.4 s on a link of 10 Mbit/s.
const MANY_TARGETS: u32 = 70_000;

fn revision(version: u64) -> StoreRevision {
    StoreRevision {
        era: Era(0),
        version,
    }
}

fn newer(answer: Result<Answer<Targets>, FetchError>) -> Targets {
    match answer {
        Ok(Answer::Newer(targets)) => targets,
        other => panic!("no data: {other:?}"),
    }
}

fn entry_with(targets: u32) -> Entry {
    let entry = zone(1).remove(0);
    entry.state.targets.store(targets, Ordering::SeqCst);
    entry.state.revision.store(7, Ordering::SeqCst);
    entry
}

/// Guards against encoding data for each of many entries that start together, and
/// against sending the kept encoding after the data changed.
#[tokio::test(flavor = "multi_thread")]
async fn one_encoding_serves_all_requesters() {
    let entry = entry_with(4);
    let address = entry.address();

    let fetched = all((0..20).map(|_| fetch_targets(address, None))).await;
    entry.state.targets.store(5, Ordering::SeqCst);
    let kept = newer(fetch_targets(address, None).await);
    entry.state.revision.store(8, Ordering::SeqCst);
    let changed = newer(fetch_targets(address, Some(revision(7))).await);

    for answer in fetched {
        assert_eq!(newer(answer).revision, revision(7));
    }
    assert_eq!(kept.rows.len(), 4, "encoded again");
    assert_eq!((changed.revision, changed.rows.len()), (revision(8), 5));
}

/// Guards against sending data to an entry that already has it.
#[tokio::test(flavor = "multi_thread")]
async fn data_that_the_requester_has_is_not_sent() {
    let entry = entry_with(4);
    entry.state.version.store(3, Ordering::SeqCst);

    let older = newer(fetch_targets(entry.address(), Some(revision(6))).await);
    let same = fetch_targets(entry.address(), Some(revision(7)))
        .await
        .unwrap();
    let state = fetch_state(entry.address(), Version(2)).await.unwrap();
    let same_state = fetch_state(entry.address(), Version(3)).await.unwrap();

    assert_eq!(older.revision, revision(7));
    assert_eq!(same, Answer::Current);
    assert!(matches!(state, Answer::Newer(update) if update.version() == Some(Version(3))));
    assert_eq!(same_state, Answer::Current);
}

/// Guards against an entry that gets no targets because it knows a higher version of an
/// older era, and against one that gets those of an older era.
#[tokio::test(flavor = "multi_thread")]
async fn targets_of_a_newer_era_are_sent_whatever_their_version() {
    let entry = entry_with(4);
    entry.state.era.store(2, Ordering::SeqCst);
    let known = |era| StoreRevision {
        era: Era(era),
        version: 90,
    };

    let sent = newer(fetch_targets(entry.address(), Some(known(1))).await);
    let kept = fetch_targets(entry.address(), Some(known(3)))
        .await
        .unwrap();

    assert_eq!((sent.revision.era, sent.revision.version), (Era(2), 7));
    assert_eq!(kept, Answer::Current);
}

/// Guards against a time limit for a whole transfer, which data beyond a size never
/// keeps on a slow link.
#[tokio::test(flavor = "multi_thread")]
async fn a_transfer_that_progresses_is_not_given_up() {
    let entry = entry_with(MANY_TARGETS);
    let link = Arc::new(Link::new(10.0));
    let mut relays = JoinSet::new();
    let address = link::reach(entry.address(), &link, &mut relays)
        .await
        .unwrap();
    let start = Instant::now();

    let fetched = fetch_targets(address, None).await;

    assert_eq!(newer(fetched).rows.len(), MANY_TARGETS as usize);
    assert!(start.elapsed() > Duration::from_secs(1), "the link is fast");
}

/// Guards against a fetch that waits for an entry whose connections have gone silent.
#[tokio::test]
async fn a_transfer_without_progress_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let silent = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let part = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nfour";
        stream.write_all(part).await.unwrap();
        std::future::pending::<()>().await;
    });
    let start = Instant::now();

    let fetched = fetch_targets(address, None).await;

    silent.abort();
    assert!(
        matches!(fetched, Err(FetchError::TimedOut { received: 4, .. })),
        "{fetched:?}"
    );
    assert!(start.elapsed() < Duration::from_secs(3));
}

/// Guards against a link that many requesters share, so that none gets the data
/// before all do.
#[tokio::test(flavor = "multi_thread")]
async fn requesters_beyond_the_limit_are_referred_to_entries_that_have_the_data() {
    let entries = zone(4);
    for entry in &entries {
        entry.state.targets.store(MANY_TARGETS, Ordering::SeqCst);
        entry.state.revision.store(7, Ordering::SeqCst);
    }
    entries[3].state.revision.store(6, Ordering::SeqCst);
    let others = [entries[1].ip, entries[2].ip];
    eventually("the hub knows the entries", || {
        entries[0].sees_responsive(&[others[0], others[1], entries[3].ip])
    })
    .await;
    // Heartbeats state what the entries have.
    tokio::time::sleep(Duration::from_millis(600)).await;
    let _transfers = [
        begin_transfer(entries[0].address()).await,
        begin_transfer(entries[0].address()).await,
    ];

    let refused = fetch_targets(entries[0].address(), None).await.unwrap();

    let Answer::Busy(mut referred) = refused else {
        panic!("not referred");
    };
    referred.sort_unstable();
    assert_eq!(referred, others);
}

/// Guards against receivers that have gone silent, as machines that lost power do, and
/// keep an entry from serving others.
#[tokio::test(flavor = "multi_thread")]
async fn silent_receivers_do_not_count_as_transfers() {
    let entry = entry_with(MANY_TARGETS);
    let _silent = [
        begin_transfer(entry.address()).await,
        begin_transfer(entry.address()).await,
    ];
    tokio::time::sleep(Duration::from_millis(1200)).await;

    let fetched = fetch_targets(entry.address(), None).await;

    assert_eq!(newer(fetched).rows.len(), MANY_TARGETS as usize);
}

/// Requests all targets and reads only the first bytes of the response.
async fn begin_transfer(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream
        .write_all(b"GET /targets/ HTTP/1.1\r\n\r\n")
        .await
        .unwrap();
    let mut first = [0; 8];
    tokio::io::AsyncReadExt::read_exact(&mut stream, &mut first)
        .await
        .unwrap();
    stream
}

/// Guards against an invalid response of another entry that is taken for the statement
/// that nothing is newer. The cases are those of `docs/design/responses.md`.
#[tokio::test]
async fn an_invalid_response_is_no_answer() {
    const RESPONSES: [&str; 3] = [
        "HTTP/1.1 204 No Content\r\ncontent-length: 0\r\n\nx: y\r\n\r\n",
        "HTTP/1.1 204 No Content\r\ncontent-length: 0\r\ncontent-length: 2\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
    ];
    let mut accepted = Vec::new();
    for response in RESPONSES {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 1024]).await;
            stream.write_all(response.as_bytes()).await.unwrap();
        });

        let answer = fetch_state(address, Version(2)).await;

        if !matches!(answer, Err(FetchError::Exchange(_))) {
            accepted.push(format!("{response:?} as {answer:?}"));
        }
    }
    assert!(accepted.is_empty(), "{accepted:#?}");
}
