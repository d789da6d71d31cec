//! Guards against an entry that resumes after a pause (SIGSTOP) and serves with a
//! document that was replaced during the pause.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use carobdrift_test_support::caller::{Call, Caller};
use futures_util::future::join_all;
use http::StatusCode;
use nix::sys::signal::Signal;
use serde_json::json;

use crate::installation::{Attempt, Installation, SERVICE, order, view};

/// Duration of the pause; longer than the maximum age of a confirmation.
const PAUSE: Duration = Duration::from_secs(8);

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_entry_serves_nothing_with_the_old_document() {
    let mut installation = Installation::start().await;
    installation.serve(SERVICE, 4, 10.0).await;
    let rows = installation.fleet.document_targets(SERVICE);
    let mut old = installation.document(SERVICE);
    old["targets"] = json!([rows[0], rows[1]]);
    let mut new = old.clone();
    new["targets"] = json!([rows[2], rows[3]]);
    let (status, response) = installation.put(0, SERVICE, 1, "old", &old).await;
    assert_eq!(status, StatusCode::OK, "{response}");
    installation.wait_version(&[0, 1, 2], SERVICE, 2).await;
    let caller = installation.caller_of(1);
    let key = caller.fresh_key(SERVICE).await.unwrap().unwrap();
    let before = send_all(&installation, &caller, &key, 20).await;
    assert!(before.iter().all(Attempt::is_complete), "{before:?}");

    let stopped = Instant::now();
    let process = &installation.fleet.entries[0].process;
    process.signal(Signal::SIGSTOP).unwrap();
    let (status, response) = installation.put(1, SERVICE, 2, "new", &new).await;
    assert_eq!(status, StatusCode::OK, "{response}");
    tokio::time::sleep(PAUSE.saturating_sub(stopped.elapsed() + Duration::from_millis(100))).await;
    // These requests are in the socket buffers of the entry when it resumes.
    let early = send_all(&installation, &caller, &key, 20);
    let resume = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        process.signal(Signal::SIGCONT).unwrap();
        let mut late = Vec::new();
        for _ in 0..20 {
            late.extend(send_all(&installation, &caller, &key, 6).await);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        late
    };
    let (mut attempts, late) = futures_util::join!(early, resume);
    attempts.extend(late);

    let tokens: HashSet<&str> = attempts
        .iter()
        .map(|attempt| attempt.token.as_str())
        .collect();
    let runs = installation.runs(SERVICE).await;
    let ran = |runs: &[Vec<_>]| -> HashSet<String> {
        let runs = runs.iter().flatten();
        runs.filter_map(|run: &carobdrift_test_support::target::Run| run.token.clone())
            .collect()
    };
    let (on_old, on_new) = (ran(&runs[..2]), ran(&runs[2..]));
    assert!(on_old.iter().all(|token| !tokens.contains(token.as_str())));
    for attempt in &attempts {
        assert!(
            attempt.is_complete() || attempt.claims_not_run(),
            "{attempt:?}"
        );
        assert_eq!(
            attempt.is_complete(),
            on_new.contains(&attempt.token),
            "{attempt:?}"
        );
    }
    let served = attempts
        .iter()
        .rev()
        .take(60)
        .filter(|attempt| attempt.is_complete());
    assert_eq!(
        served.count(),
        60,
        "does not serve after the pause: {attempts:?}"
    );
}

/// Sends views and orders alternately and concurrently through the first entry.
async fn send_all(
    installation: &Installation,
    caller: &Caller,
    key: &str,
    count: usize,
) -> Vec<Attempt> {
    let calls: Vec<Call> = (0..count)
        .map(|number| {
            let token = caller.fresh_token();
            match number % 2 {
                0 => view(caller),
                _ => order(caller, &format!("{key}-{token}")),
            }
        })
        .collect();
    let sends = calls.iter().map(|call| installation.send(caller, 0, call));
    join_all(sends).await
}
