//! Guards against probe results that are misread or not delivered, and against
//! probes of targets whose requests give the same information.

use std::time::Duration;

use carobdrift_balance::{Call, Evidence, Observation, Outcome, Pool, Standing};
use carobdrift_document::Kind;
use carobdrift_measure::Prober;
use carobdrift_test_support::target::{Action, Faults, Load, Settings, StandIn};
use carobdrift_wire::Sample;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

use crate::fixture::{leases, metrics, platform, subject, subjects, until};
use crate::target::{Mode, Target};

async fn next(samples: &mut mpsc::Receiver<Sample>) -> Sample {
    timeout(Duration::from_secs(5), samples.recv())
        .await
        .unwrap()
        .unwrap()
}

fn standing(pool: &Pool) -> Standing {
    pool.snapshots()[0].standing
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_reaches_pool_and_peers_until_the_target_drains() {
    let platform = platform().await;
    let faults = Faults {
        load: Some(Load {
            in_flight: 7,
            slots: 2,
        }),
        ..Faults::default()
    };
    let target = StandIn::bind(Settings {
        faults,
        ..Settings::default()
    })
    .await
    .unwrap();
    let measured = subject("sheets", 20, target.address());
    let pool = measured.pool.clone();
    let (_subjects, receiver) = subjects(vec![measured]);
    let (sender, mut samples) = mpsc::channel(16);
    let _prober = Prober::spawn(leases(0, platform.address()), receiver, sender, metrics());

    let sample = next(&mut samples).await;
    assert_eq!((sample.in_flight, sample.healthy), (Some(7), true));
    assert_eq!(sample.start, Some(target.start_id()));
    assert_eq!(pool.snapshots()[0].start, Some(target.start_id()));
    assert_eq!(standing(&pool), Standing::Active);

    target.perform(&Action::Drain { at_least_ms: 5_000 });
    let leaving = Standing::Leaving(Evidence::Response);
    until(|| standing(&pool) == leaving).await;
    let probes = target.probes_us().len();
    sleep(Duration::from_millis(500)).await;
    assert_eq!(target.probes_us().len(), probes);
}

#[tokio::test(flavor = "multi_thread")]
async fn silence_is_reported_as_unhealthy_without_a_load() {
    let platform = platform().await;
    let target = Target::start().await;
    target.set_mode(Mode::Stop);
    let (_subjects, receiver) = subjects(vec![subject("sheets", 20, target.address)]);
    let (sender, mut samples) = mpsc::channel(16);
    let _prober = Prober::spawn(leases(0, platform.address()), receiver, sender, metrics());

    let sample = next(&mut samples).await;

    assert_eq!((sample.in_flight, sample.healthy), (None, false));
    assert!(sample.latency_us >= 200_000);
}

#[tokio::test(flavor = "multi_thread")]
async fn target_that_answers_requests_gets_no_probe() {
    let platform = platform().await;
    let target = Target::start().await;
    let measured = subject("sheets", 20, target.address);
    let pool = measured.pool.clone();
    let (_subjects, receiver) = subjects(vec![measured]);
    let (sender, _samples) = mpsc::channel(16);
    let answer = async || {
        let call = Call {
            class: "view".parse().unwrap(),
            kind: Kind::Idempotent,
            deadline: Instant::now() + Duration::from_secs(1),
        };
        let slot = pool.acquire(&call).await.unwrap();
        slot.finish(&Observation::new(Outcome::Success));
        sleep(Duration::from_millis(50)).await;
    };
    // Waits for the end of the slow start, during which a target is probed.
    let start = Instant::now();
    while pool.snapshots()[0].in_slow_start || pool.snapshots()[0].last_answer.is_none() {
        assert!(start.elapsed() < Duration::from_secs(10), "still cold");
        answer().await;
    }
    let leases = leases(0, platform.address());
    let _prober = Prober::spawn(leases, receiver, sender, metrics());

    for _ in 0..40 {
        answer().await;
    }
    let busy = target.arrivals().len();
    sleep(Duration::from_secs(1)).await;

    assert_eq!(busy, 0);
    assert!(!target.arrivals().is_empty(), "a silent target is probed");
}

/// Guards against a target that counts as healthy although its answer is cut short or
/// not well-formed. The cases are those of `docs/design/responses.md`.
#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_answer_is_reported_as_unhealthy_without_a_load() {
    const RESPONSES: [&str; 5] = [
        "HTTP/1.1 200 OK\r\ncarobdrift-load: 7/2\r\ncontent-length: 9\r\n\r\npart",
        "HTTP/1.1 200 OK\r\ncarobdrift-load: 7/2\r\ncontent-length: 0\r\n\nx: y\r\n\r\n",
        "HTTP/1.1 600 High\r\ncarobdrift-load: 7/2\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncarobdrift-load: 7/2\r\ncontent-length: 0, 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncarobdrift-load: 7/2\r\ntransfer-encoding: chunked\r\n\r\n\r\n\r\n",
    ];
    let mut accepted = Vec::new();
    for response in RESPONSES {
        let platform = platform().await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move {
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                let _ = stream.read(&mut [0; 1024]).await;
                let _ = stream.write_all(response.as_bytes()).await;
            }
        });
        let (_subjects, receiver) = subjects(vec![subject("sheets", 20, address)]);
        let (sender, mut samples) = mpsc::channel(16);
        let _prober = Prober::spawn(leases(0, platform.address()), receiver, sender, metrics());

        let sample = next(&mut samples).await;

        if (sample.in_flight, sample.healthy) != (None, false) {
            accepted.push(format!("{response:?} as {sample:?}"));
        }
    }
    assert!(accepted.is_empty(), "{accepted:#?}");
}
