//! Callers without limits, against the program as a process with small limits.
//!
//! Each test checks what does not depend on the speed of the machine: the process
//! lives, its peak memory and its descriptors stay within the settings, and an
//! ordinary request is answered while the callers stay connected.

use std::path::Path;
use std::sync::Arc;

use carobdrift_platform_testing::crowd::{Installation, Limits, Script, upload_head};
use tokio::sync::{Mutex, MutexGuard};

/// Held by the test that runs, because the crowds share one machine.
static RUNNING: Mutex<()> = Mutex::const_new(());

/// Limits of the entry. The crowds with large bodies send at least
/// three times its memory.
const LIMITS: Limits = Limits {
    memory_mb: 64,
    descriptors: 400,
    body: 4 << 20,
};

/// Callers of a crowd with large bodies.
const UPLOADS: usize = 48;

/// One caller of this many completes its request in the crowds that stay open.
const COMPLETE: usize = 8;

/// Size of the pieces of large bodies, in bytes.
const PIECE: usize = 64 << 10;

/// Callers of a crowd with one-byte chunks.
const SMALL_CHUNKS_CALLERS: usize = 64;

/// Bytes of a body in one-byte chunks.
const SMALL_CHUNKS: usize = 128 << 10;

/// Connections of the crowd that exceeds the descriptors.
const CONNECTIONS: usize = 600;

/// Bytes of a body in one-byte chunks that are sent together.
const SMALL_CHUNKS_TOGETHER: usize = 8 << 10;

/// Limits of the smallest machine of an installation, with its largest body.
const SMALL_MACHINE: Limits = Limits {
    memory_mb: 160,
    descriptors: 4_100,
    body: 64 << 20,
};

/// Sends a crowd and checks the process.
async fn check(number: u8, scripts: Vec<Script>) {
    let _running: MutexGuard<'_, ()> = RUNNING.lock().await;
    let program = Path::new(env!("CARGO_BIN_EXE_carobdrift"));
    let installation = Installation::start(program, number, LIMITS).await;

    let crowd = installation.send(scripts).await;
    let crowded = installation.usage();
    let served = installation.serves_a_call().await;

    let usage = installation.usage();
    println!("with {} open: {crowded:?}, {usage:?}", crowd.open.len());
    let crowded = crowded.expect("the process lives while the crowd sends");
    let usage = usage.expect("the process lives after the crowd");
    assert!(served, "an ordinary request is answered");
    let memory = LIMITS.memory_mb * 1_000_000;
    assert!(usage.peak_memory <= memory, "{usage:?}");
    assert!(crowded.descriptors <= LIMITS.descriptors, "{crowded:?}");
    assert!(usage.descriptors <= LIMITS.descriptors, "{usage:?}");
}

/// Returns a body of the largest permitted size that stops one byte short of its
/// end, unless the caller is one of those that complete their request.
fn announced(number: usize) -> Script {
    let completes = number.is_multiple_of(COMPLETE);
    Script {
        head: upload_head(number, &format!("content-length: {}", LIMITS.body)),
        piece: vec![b'x'; PIECE].into(),
        repeats: LIMITS.body / PIECE - 1,
        end: vec![b'x'; PIECE - usize::from(!completes)],
    }
}

/// Returns a body in chunks of this size, which lacks the last chunk unless the
/// caller is one of those that complete their request.
fn chunked(number: usize, chunk: usize, chunks: usize) -> Script {
    let completes = number.is_multiple_of(COMPLETE);
    let one = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk)).into_bytes();
    let together = (SMALL_CHUNKS_TOGETHER / chunk).max(1);
    let end: &[u8] = if completes { b"0\r\n\r\n" } else { b"0\r\n" };
    Script {
        head: upload_head(number, "transfer-encoding: chunked"),
        piece: one.repeat(together).into(),
        repeats: chunks / together,
        end: end.to_vec(),
    }
}

/// Guards against an entry that runs out of memory when many callers send bodies
/// of permitted size at once.
#[tokio::test]
async fn many_whole_bodies_stay_within_the_memory() {
    let piece: Arc<[u8]> = vec![b'x'; LIMITS.body].into();
    let scripts = (0..UPLOADS).map(|number| Script {
        head: upload_head(number, &format!("content-length: {}", LIMITS.body)),
        piece: Arc::clone(&piece),
        repeats: 1,
        end: Vec::new(),
    });
    check(1, scripts.collect()).await;
}

/// Guards against an entry that runs out of memory when many callers send bodies
/// in pieces, stop one byte before the end and stay connected.
#[tokio::test]
async fn many_bodies_that_stop_before_the_end_stay_within_the_memory() {
    check(2, (0..UPLOADS).map(announced).collect()).await;
}

/// Guards against an entry that runs out of memory when many callers send large
/// chunks, stop before the end and stay connected.
#[tokio::test]
async fn many_bodies_in_large_chunks_stay_within_the_memory() {
    let scripts = (0..UPLOADS).map(|number| chunked(number, PIECE, LIMITS.body / PIECE));
    check(3, scripts.collect()).await;
}

/// Guards against an entry that runs out of memory when many callers send one-byte
/// chunks, stop before the end and stay connected.
#[tokio::test]
async fn many_bodies_in_one_byte_chunks_stay_within_the_memory() {
    let scripts = (0..SMALL_CHUNKS_CALLERS).map(|number| chunked(number, 1, SMALL_CHUNKS));
    check(4, scripts.collect()).await;
}

/// Guards against an entry that holds bodies which are announced as far larger than
/// the limit.
#[tokio::test]
async fn bodies_announced_over_the_limit_stay_within_the_memory() {
    let scripts = (0..UPLOADS).map(|number| Script {
        head: upload_head(number, "content-length: 1000000000000"),
        piece: vec![b'x'; PIECE].into(),
        repeats: 4 * LIMITS.body / PIECE,
        end: Vec::new(),
    });
    check(5, scripts.collect()).await;
}

/// Guards against an entry that holds bodies which exceed the limit without having
/// announced a length.
#[tokio::test]
async fn bodies_sent_over_the_limit_stay_within_the_memory() {
    let scripts = (0..UPLOADS).map(|number| chunked(number, PIECE, 4 * LIMITS.body / PIECE));
    check(6, scripts.collect()).await;
}

/// Guards against an entry that runs out of descriptors when many callers stop
/// within the head of a request, and then accepts no other caller.
#[tokio::test]
async fn many_unfinished_heads_stay_within_the_descriptors() {
    let scripts = (0..CONNECTIONS).map(|number| Script {
        head: upload_head(number, "content-length: 10").replace("\r\n\r\n", "\r\n"),
        piece: vec![].into(),
        repeats: 0,
        end: Vec::new(),
    });
    check(7, scripts.collect()).await;
}

/// Guards against limits on memory that refuse a single body of the largest permitted
/// size on the smallest machine, and against bodies that are held twice.
#[tokio::test]
async fn one_body_of_the_largest_size_is_served_on_a_small_machine() {
    let _running: MutexGuard<'_, ()> = RUNNING.lock().await;
    let program = Path::new(env!("CARGO_BIN_EXE_carobdrift"));
    let installation = Installation::start(program, 8, SMALL_MACHINE).await;

    let statuses = [
        installation.upload(SMALL_MACHINE.body).await,
        installation.upload(SMALL_MACHINE.body).await,
    ];

    let usage = installation.usage().expect("the process lives");
    println!("{statuses:?}, {usage:?}");
    assert_eq!(statuses, [Some(200), Some(200)]);
    assert!(
        usage.peak_memory <= SMALL_MACHINE.memory_mb * 1_000_000,
        "{usage:?}"
    );
}
