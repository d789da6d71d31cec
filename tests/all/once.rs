//! Guards against a second run of a request that its caller sends again, and
//! against "not run" for a request that ran.

use std::time::{Duration, Instant};

use carobdrift_test_support::caller::{Call, Caller};
use carobdrift_test_support::platform::{Down, Fault, Lose};
use carobdrift_test_support::target::{Faults, Reset};
use futures_util::future::join_all;
use nix::sys::signal::Signal;

use crate::installation::{Installation, SERVICE, Sent, order, payment};

/// Makes a request last for half a second.
const LONG: f64 = 50.0;

/// Time within which a response that was passed on can be replayed.
const SETTLED: Duration = Duration::from_secs(1);

/// Time after an outage of the store within which a key of the caller's choice
/// can be claimed.
const CLAIMABLE: Duration = Duration::from_secs(5);

type Kind = fn(&Caller, &str) -> Call;

/// Keys that the first entry decides, and everything that was sent.
struct Trial {
    installation: Installation,
    caller: Caller,
    prefix: String,
    sent: Vec<(String, Sent)>,
}

impl Trial {
    async fn start() -> Self {
        let mut installation = Installation::start().await;
        installation.serve(SERVICE, 3, 10.0).await;
        let caller = installation.caller_of(0);
        Self {
            prefix: caller.fresh_key(SERVICE).await.unwrap().unwrap(),
            installation,
            caller,
            sent: Vec::new(),
        }
    }

    fn key(&self, name: &str) -> String {
        format!("{}-{name}", self.prefix)
    }

    async fn send(&mut self, entry: usize, kind: Kind, name: &str) -> &Sent {
        let key = self.key(name);
        let call = kind(&self.caller, &key);
        let sent = self.installation.send(&self.caller, entry, &call).await;
        self.sent.push((key, sent));
        &self.sent[self.sent.len() - 1].1
    }

    /// Sends a key that ran until its response is replayed. The claim is settled
    /// after the response was passed on, so a repeat may come too early.
    async fn send_until_replayed(&mut self, entry: usize, kind: Kind, name: &str) {
        let begin = Instant::now();
        loop {
            let again = self.send(entry, kind, name).await;
            if again.replayed {
                return;
            }
            assert_eq!(again.reason.as_deref(), Some("in-progress"), "{again:?}");
            assert!(begin.elapsed() < SETTLED, "{again:?}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn set_targets(&self, faults: &Faults) {
        for target in &self.installation.fleet.targets {
            let fleet = &self.installation.fleet;
            fleet.set_faults(target, faults).await.unwrap();
        }
    }

    async fn set_platform(&self, fault: &Fault) {
        let platform = &self.installation.fleet.platform;
        platform.set_fault(fault).await.unwrap();
    }

    /// Checks what was sent against the targets' records.
    async fn judge(&self) {
        let counts = self.installation.counts(SERVICE).await;
        let runs = |token: &str| counts.get(token).copied().unwrap_or(0);
        for (key, sent) in &self.sent {
            let of_key = self.installation.runs_of_key(SERVICE, key).await;
            assert!(of_key <= 1, "{key} ran {of_key} times: {:?}", self.sent);
            if sent.claims_not_run() {
                assert_eq!(runs(&sent.token), 0, "{sent:?}");
            }
            if sent.outcome.as_deref() == Some("not-run") {
                let before = self
                    .sent
                    .iter()
                    .take_while(|(_, other)| other.token != sent.token);
                let ran = before.filter(|(other, _)| other == key);
                let ran: usize = ran.map(|(_, other)| runs(&other.token)).sum();
                assert_eq!(ran, 0, "an earlier send of {key} ran: {sent:?}");
            }
            if let Some(answered) = &sent.answered {
                assert_eq!(runs(answered), 1, "{sent:?}");
                assert_eq!(sent.replayed, *answered != sent.token, "{sent:?}");
            }
        }
    }

    async fn assert_runs(&self, name: &str, expected: usize) {
        let runs = self
            .installation
            .runs_of_key(SERVICE, &self.key(name))
            .await;
        assert_eq!(runs, expected, "{name}: {:?}", self.sent);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn repeats_after_an_unknown_outcome_run_once() {
    let mut trial = Trial::start().await;
    let cases: [(&str, Kind); 2] = [("order", order), ("payment", payment)];
    for (name, kind) in cases {
        let reset = Faults {
            reset: Some(Reset::AfterRunning),
            ..Faults::default()
        };
        trial.set_targets(&reset).await;

        let first = trial.send(1, kind, name).await;
        assert_eq!(first.outcome.as_deref(), Some("unknown"), "{first:?}");
        trial.set_targets(&Faults::default()).await;
        for entry in [2, 0, 1] {
            let again = trial.send(entry, kind, name).await;
            assert_eq!(again.outcome.as_deref(), Some("unknown"), "{again:?}");
        }

        trial.assert_runs(name, 1).await;
    }
    trial.judge().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn repeats_through_all_entries_at_once_run_once() {
    let mut trial = Trial::start().await;
    let cases: [(&str, Kind); 2] = [("order", order), ("payment", payment)];
    for (name, kind) in cases {
        for number in 0..8 {
            let name = format!("{name}-{number}");
            let key = trial.key(&name);
            let calls: Vec<Call> = (0..6).map(|_| kind(&trial.caller, &key)).collect();
            let sends = calls
                .iter()
                .enumerate()
                .map(|(n, call)| trial.installation.send(&trial.caller, n % 3, call));
            let sent = join_all(sends).await;
            trial
                .sent
                .extend(sent.into_iter().map(|sent| (key.clone(), sent)));

            let entry = (number + 1) % 3;
            trial.send_until_replayed(entry, kind, &name).await;
            trial.assert_runs(&name, 1).await;
        }
    }
    trial.judge().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn repeats_after_the_end_of_the_deciding_entry_do_not_run() {
    let mut trial = Trial::start().await;
    trial.send(1, order, "settled").await;
    let long = Faults {
        slow: Some(LONG),
        ..Faults::default()
    };
    trial.set_targets(&long).await;
    let calls = [
        (0, trial.key("through-decider")),
        (1, trial.key("through-other")),
    ];
    let sends: Vec<_> = calls
        .iter()
        .map(|(entry, key)| (*entry, order(&trial.caller, key)))
        .collect();
    let caller = trial.caller.clone();
    let addresses: Vec<_> = trial
        .installation
        .fleet
        .entries
        .iter()
        .map(|e| e.caller)
        .collect();
    let in_progress = tokio::spawn(async move {
        let sends = sends
            .iter()
            .map(|(entry, call)| caller.send_to(addresses[*entry], call));
        join_all(sends).await
    });
    tokio::time::sleep(Duration::from_millis(200)).await;

    trial.installation.fleet.kill_entry(0).await.unwrap();
    let first = in_progress.await.unwrap();
    trial.set_targets(&Faults::default()).await;

    assert!(first[0].is_err(), "{first:?}");
    assert!(
        first[1]
            .as_ref()
            .is_ok_and(|answer| answer.token_matches == Some(true)),
        "{first:?}"
    );
    for name in ["settled", "through-decider", "through-other", "fresh"] {
        for entry in [1, 2] {
            let again = trial.send(entry, order, name).await;
            assert_eq!(again.outcome.as_deref(), Some("unknown"), "{again:?}");
            assert_eq!(
                again.reason.as_deref(),
                Some("decider-unreachable"),
                "{again:?}"
            );
            assert!(again.attempt_not_run, "{again:?}");
        }
    }
    for (name, runs) in [
        ("settled", 1),
        ("through-decider", 1),
        ("through-other", 1),
        ("fresh", 0),
    ] {
        trial.assert_runs(name, runs).await;
    }
    trial.judge().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn repeats_around_a_pause_of_the_deciding_entry_run_once() {
    let mut trial = Trial::start().await;
    trial.send(1, order, "settled").await;
    let long = Faults {
        slow: Some(LONG),
        ..Faults::default()
    };
    trial.set_targets(&long).await;
    let call = order(&trial.caller, &trial.key("claimed"));
    let caller = trial.caller.clone();
    let address = trial.installation.fleet.entries[1].caller;
    let in_progress = tokio::spawn(async move { caller.send_to(address, &call).await });
    tokio::time::sleep(Duration::from_millis(200)).await;

    trial.installation.fleet.entries[0]
        .process
        .signal(Signal::SIGSTOP)
        .unwrap();
    let first = in_progress.await.unwrap();
    assert!(first.is_ok_and(|answer| answer.token_matches == Some(true)));
    trial.set_targets(&Faults::default()).await;
    // The first of these queries lie in the socket buffer of the paused entry
    // and are answered once it wakes up.
    for name in ["settled", "claimed", "fresh"] {
        for entry in [1, 2] {
            let again = trial.send(entry, order, name).await;
            assert_eq!(
                again.reason.as_deref(),
                Some("decider-unreachable"),
                "{again:?}"
            );
            assert!(again.attempt_not_run, "{again:?}");
        }
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    trial.installation.fleet.entries[0]
        .process
        .signal(Signal::SIGCONT)
        .unwrap();
    for _ in 0..20 {
        for name in ["settled", "claimed", "fresh"] {
            for entry in [2, 0, 1] {
                trial.send(entry, order, name).await;
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }

    for name in ["settled", "claimed", "fresh"] {
        trial.assert_runs(name, 1).await;
        let key = trial.key(name);
        let last = trial.sent.iter().rfind(|(other, _)| *other == key).unwrap();
        // The end of a claim may not reach a decider that was paused for long;
        // the key then stays claimed.
        let claimed = name == "claimed" && last.1.reason.as_deref() == Some("in-progress");
        assert!(last.1.replayed || claimed, "{last:?}");
    }
    trial.judge().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn repeats_around_an_outage_of_the_store_run_once() {
    let mut trial = Trial::start().await;
    for (number, down) in [Down::Refuse, Down::Fail, Down::Hang]
        .into_iter()
        .enumerate()
    {
        let fault = Fault {
            down,
            ..Fault::default()
        };
        let (issued, chosen) = (format!("issued-{number}"), format!("chosen-{number}"));
        trial.set_platform(&fault).await;

        let first = trial.send(1, order, &issued).await;
        assert!(first.is_whole(), "{down:?}: {first:?}");
        trial.send_until_replayed(2, order, &issued).await;
        let refused = trial.send(1, payment, &chosen).await;
        assert_eq!(
            refused.reason.as_deref(),
            Some("store-unavailable"),
            "{down:?}: {refused:?}"
        );
        assert!(refused.claims_not_run(), "{refused:?}");
        trial.set_platform(&Fault::default()).await;
        // A claim that was sent into the outage is withdrawn before the key can
        // be claimed again.
        let begin = Instant::now();
        while !trial.send(2, payment, &chosen).await.is_whole() {
            let reasons: Vec<_> = trial.sent.iter().map(|(_, sent)| &sent.reason).collect();
            assert!(begin.elapsed() < CLAIMABLE, "{down:?}: {reasons:?}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        for entry in [0, 1] {
            trial.send(entry, payment, &chosen).await;
        }

        trial.assert_runs(&issued, 1).await;
        trial.assert_runs(&chosen, 1).await;
    }
    trial.judge().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_response_is_lost_runs_once() {
    let mut trial = Trial::start().await;
    for number in 0..4 {
        let name = format!("lost-{number}");
        let lose = Fault {
            lose_writes: Lose::Next(1 + number % 2),
            ..Fault::default()
        };
        trial.set_platform(&lose).await;

        for entry in [1, 2, 0, 1] {
            trial.send(entry, payment, &name).await;
        }

        trial.assert_runs(&name, 1).await;
    }
    trial.judge().await;
}
