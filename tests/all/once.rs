//! Guards against a second run of a request that its caller repeats, and against
//! the outcome "not run" for a request that ran.

use std::time::{Duration, Instant};

use carobdrift_test_support::caller::{Call, Caller};
use carobdrift_test_support::platform::{Fault, Loss, Outage};
use carobdrift_test_support::target::{Faults, Reset};
use futures_util::future::join_all;
use nix::sys::signal::Signal;

use crate::installation::{Attempt, Installation, SERVICE, order, payment};

/// Factor that lengthens the service time from 10 ms to half a second.
const SLOW_FACTOR: f64 = 50.0;

/// Time after a forwarded response within which the response must be replayable.
const REPLAY_BOUND: Duration = Duration::from_secs(1);

/// Time after a store outage within which a key chosen by the caller must be
/// claimable.
const CLAIM_BOUND: Duration = Duration::from_secs(5);

/// Constructor of a call with the given idempotency key.
type NewCall = fn(&Caller, &str) -> Call;

/// Installation with a caller whose keys the first entry decides on, and all
/// attempts that were sent.
struct Scenario {
    installation: Installation,
    caller: Caller,
    prefix: String,
    /// Keys and attempts in the order in which they were sent.
    attempts: Vec<(String, Attempt)>,
}

impl Scenario {
    async fn start() -> Self {
        let mut installation = Installation::start().await;
        installation.serve(SERVICE, 3, 10.0).await;
        let caller = installation.caller_of(0);
        Self {
            prefix: caller.fresh_key(SERVICE).await.unwrap().unwrap(),
            installation,
            caller,
            attempts: Vec::new(),
        }
    }

    fn key(&self, name: &str) -> String {
        format!("{}-{name}", self.prefix)
    }

    async fn send(&mut self, entry: usize, new_call: NewCall, name: &str) -> &Attempt {
        let key = self.key(name);
        let call = new_call(&self.caller, &key);
        let attempt = self.installation.send(&self.caller, entry, &call).await;
        self.attempts.push((key, attempt));
        &self.attempts[self.attempts.len() - 1].1
    }

    /// Repeats a request with a key that has run until its response is replayed.
    /// The entry settles the claim after it has forwarded the response, so the
    /// first repeats may find the claim in progress.
    async fn send_until_replayed(&mut self, entry: usize, new_call: NewCall, name: &str) {
        let start = Instant::now();
        loop {
            let again = self.send(entry, new_call, name).await;
            if again.replayed {
                return;
            }
            assert_eq!(again.reason.as_deref(), Some("in-progress"), "{again:?}");
            assert!(start.elapsed() < REPLAY_BOUND, "{again:?}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn set_target_faults(&self, faults: &Faults) {
        for target in &self.installation.fleet.targets {
            let fleet = &self.installation.fleet;
            fleet.set_faults(target, faults).await.unwrap();
        }
    }

    async fn set_platform_fault(&self, fault: &Fault) {
        let platform = &self.installation.fleet.platform;
        platform.set_fault(fault).await.unwrap();
    }

    /// Checks the statements about all attempts against the runs of the targets.
    async fn check_attempts(&self) {
        let counts = self.installation.counts(SERVICE).await;
        let runs = |token: &str| counts.get(token).copied().unwrap_or(0);
        for (key, attempt) in &self.attempts {
            let of_key = self.installation.runs_of_key(SERVICE, key).await;
            assert!(of_key <= 1, "{key} ran {of_key} times: {:?}", self.attempts);
            if attempt.claims_not_run() {
                assert_eq!(runs(&attempt.token), 0, "{attempt:?}");
            }
            if attempt.outcome.as_deref() == Some("not-run") {
                let earlier = self
                    .attempts
                    .iter()
                    .take_while(|(_, other)| other.token != attempt.token);
                let ran = earlier.filter(|(other, _)| other == key);
                let ran: usize = ran.map(|(_, other)| runs(&other.token)).sum();
                assert_eq!(ran, 0, "an earlier attempt with {key} ran: {attempt:?}");
            }
            if let Some(token) = &attempt.response_token {
                assert_eq!(runs(token), 1, "{attempt:?}");
                assert_eq!(attempt.replayed, *token != attempt.token, "{attempt:?}");
            }
        }
    }

    async fn assert_runs(&self, name: &str, expected: usize) {
        let runs = self
            .installation
            .runs_of_key(SERVICE, &self.key(name))
            .await;
        assert_eq!(runs, expected, "{name}: {:?}", self.attempts);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn repeats_after_an_unknown_outcome_run_once() {
    let mut scenario = Scenario::start().await;
    let cases: [(&str, NewCall); 2] = [("order", order), ("payment", payment)];
    for (name, new_call) in cases {
        let reset = Faults {
            reset: Some(Reset::AfterRunning),
            ..Faults::default()
        };
        scenario.set_target_faults(&reset).await;

        let first = scenario.send(1, new_call, name).await;
        assert_eq!(first.outcome.as_deref(), Some("unknown"), "{first:?}");
        scenario.set_target_faults(&Faults::default()).await;
        for entry in [2, 0, 1] {
            let again = scenario.send(entry, new_call, name).await;
            assert_eq!(again.outcome.as_deref(), Some("unknown"), "{again:?}");
        }

        scenario.assert_runs(name, 1).await;
    }
    scenario.check_attempts().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_repeats_through_all_entries_run_once() {
    let mut scenario = Scenario::start().await;
    let cases: [(&str, NewCall); 2] = [("order", order), ("payment", payment)];
    for (name, new_call) in cases {
        for number in 0..8 {
            let name = format!("{name}-{number}");
            let key = scenario.key(&name);
            let calls: Vec<Call> = (0..6).map(|_| new_call(&scenario.caller, &key)).collect();
            let sends = calls
                .iter()
                .enumerate()
                .map(|(n, call)| scenario.installation.send(&scenario.caller, n % 3, call));
            let attempts = join_all(sends).await;
            scenario
                .attempts
                .extend(attempts.into_iter().map(|attempt| (key.clone(), attempt)));

            let entry = (number + 1) % 3;
            scenario.send_until_replayed(entry, new_call, &name).await;
            scenario.assert_runs(&name, 1).await;
        }
    }
    scenario.check_attempts().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn repeats_after_a_kill_of_the_deciding_entry_do_not_run() {
    let mut scenario = Scenario::start().await;
    scenario.send(1, order, "settled").await;
    let slow = Faults {
        slow: Some(SLOW_FACTOR),
        ..Faults::default()
    };
    scenario.set_target_faults(&slow).await;
    let calls = [
        (0, scenario.key("through-decider")),
        (1, scenario.key("through-other")),
    ];
    let sends: Vec<_> = calls
        .iter()
        .map(|(entry, key)| (*entry, order(&scenario.caller, key)))
        .collect();
    let caller = scenario.caller.clone();
    let addresses: Vec<_> = scenario
        .installation
        .fleet
        .entries
        .iter()
        .map(|entry| entry.caller)
        .collect();
    let in_progress = tokio::spawn(async move {
        let sends = sends
            .iter()
            .map(|(entry, call)| caller.send_to(addresses[*entry], call));
        join_all(sends).await
    });
    tokio::time::sleep(Duration::from_millis(200)).await;

    scenario.installation.fleet.kill_entry(0).await.unwrap();
    let first = in_progress.await.unwrap();
    scenario.set_target_faults(&Faults::default()).await;

    assert!(first[0].is_err(), "{first:?}");
    assert!(
        first[1]
            .as_ref()
            .is_ok_and(|response| response.token_matches == Some(true)),
        "{first:?}"
    );
    for name in ["settled", "through-decider", "through-other", "fresh"] {
        for entry in [1, 2] {
            let again = scenario.send(entry, order, name).await;
            assert_eq!(again.outcome.as_deref(), Some("unknown"), "{again:?}");
            assert_eq!(
                again.reason.as_deref(),
                Some("decider-unreachable"),
                "{again:?}"
            );
            assert!(again.not_run, "{again:?}");
        }
    }
    for (name, runs) in [
        ("settled", 1),
        ("through-decider", 1),
        ("through-other", 1),
        ("fresh", 0),
    ] {
        scenario.assert_runs(name, runs).await;
    }
    scenario.check_attempts().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn repeats_around_a_pause_of_the_deciding_entry_run_once() {
    let mut scenario = Scenario::start().await;
    scenario.send(1, order, "settled").await;
    let slow = Faults {
        slow: Some(SLOW_FACTOR),
        ..Faults::default()
    };
    scenario.set_target_faults(&slow).await;
    let call = order(&scenario.caller, &scenario.key("claimed"));
    let caller = scenario.caller.clone();
    let address = scenario.installation.fleet.entries[1].caller;
    let in_progress = tokio::spawn(async move { caller.send_to(address, &call).await });
    tokio::time::sleep(Duration::from_millis(200)).await;

    scenario.installation.fleet.entries[0]
        .process
        .signal(Signal::SIGSTOP)
        .unwrap();
    let first = in_progress.await.unwrap();
    assert!(first.is_ok_and(|response| response.token_matches == Some(true)));
    scenario.set_target_faults(&Faults::default()).await;
    // The first of these queries stay in the socket buffer of the paused entry,
    // which handles them when it resumes.
    for name in ["settled", "claimed", "fresh"] {
        for entry in [1, 2] {
            let again = scenario.send(entry, order, name).await;
            assert_eq!(
                again.reason.as_deref(),
                Some("decider-unreachable"),
                "{again:?}"
            );
            assert!(again.not_run, "{again:?}");
        }
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    scenario.installation.fleet.entries[0]
        .process
        .signal(Signal::SIGCONT)
        .unwrap();
    for _ in 0..20 {
        for name in ["settled", "claimed", "fresh"] {
            for entry in [2, 0, 1] {
                scenario.send(entry, order, name).await;
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }

    for name in ["settled", "claimed", "fresh"] {
        scenario.assert_runs(name, 1).await;
        let key = scenario.key(name);
        let last = scenario
            .attempts
            .iter()
            .rfind(|(other, _)| *other == key)
            .unwrap();
        // The completion of a claim may not reach a deciding entry that was paused
        // for long; the key then stays claimed.
        let claimed = name == "claimed" && last.1.reason.as_deref() == Some("in-progress");
        assert!(last.1.replayed || claimed, "{last:?}");
    }
    scenario.check_attempts().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn repeats_around_an_outage_of_the_store_run_once() {
    let mut scenario = Scenario::start().await;
    for (number, down) in [Outage::Refuse, Outage::Fail, Outage::Hang]
        .into_iter()
        .enumerate()
    {
        let fault = Fault {
            outage: down,
            ..Fault::default()
        };
        let (issued, chosen) = (format!("issued-{number}"), format!("chosen-{number}"));
        scenario.set_platform_fault(&fault).await;

        let first = scenario.send(1, order, &issued).await;
        assert!(first.is_complete(), "{down:?}: {first:?}");
        scenario.send_until_replayed(2, order, &issued).await;
        let refused = scenario.send(1, payment, &chosen).await;
        assert_eq!(
            refused.reason.as_deref(),
            Some("store-unavailable"),
            "{down:?}: {refused:?}"
        );
        assert!(refused.claims_not_run(), "{refused:?}");
        scenario.set_platform_fault(&Fault::default()).await;
        // A claim that was sent during the outage is withdrawn before the key can
        // be claimed again.
        let start = Instant::now();
        while !scenario.send(2, payment, &chosen).await.is_complete() {
            let reasons: Vec<_> = scenario
                .attempts
                .iter()
                .map(|(_, attempt)| &attempt.reason)
                .collect();
            assert!(start.elapsed() < CLAIM_BOUND, "{down:?}: {reasons:?}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        for entry in [0, 1] {
            scenario.send(entry, payment, &chosen).await;
        }

        scenario.assert_runs(&issued, 1).await;
        scenario.assert_runs(&chosen, 1).await;
    }
    scenario.check_attempts().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_response_is_lost_runs_once() {
    let mut scenario = Scenario::start().await;
    for number in 0..4 {
        let name = format!("lost-{number}");
        let lose = Fault {
            response_loss: Loss::Next(1 + number % 2),
            ..Fault::default()
        };
        scenario.set_platform_fault(&lose).await;

        for entry in [1, 2, 0, 1] {
            scenario.send(entry, payment, &name).await;
        }

        scenario.assert_runs(&name, 1).await;
    }
    scenario.check_attempts().await;
}
