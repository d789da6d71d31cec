use std::time::Duration;

use carobdrift_idempotency::{Limits, MAX_RECORDED_BODY_BYTES};
use carobdrift_units::ByteSize;
use carobdrift_wire::{Decision, Fingerprint};

use crate::fixture::{FINGERPRINT, attempt, key, ledger, ledger_of, recorded};

enum Step {
    Claim(u128, Decision),
    ClaimOther(u128, Decision),
    Settle(u128, usize),
    Release(u128),
}

fn cases() -> Vec<(&'static str, Vec<Step>)> {
    use Step::{Claim, ClaimOther, Release, Settle};
    let replay = Decision::AlreadyRun(Some(recorded(&[b'x'; 3])));
    vec![
        (
            "a claimed key is in progress",
            vec![
                Claim(1, Decision::Granted),
                Claim(2, Decision::InProgress),
                Claim(1, Decision::Granted),
            ],
        ),
        (
            "a settled key is replayed",
            vec![
                Claim(1, Decision::Granted),
                Settle(1, 3),
                Claim(2, replay.clone()),
                Claim(1, replay.clone()),
            ],
        ),
        (
            "a large response is not kept",
            vec![
                Claim(1, Decision::Granted),
                Settle(1, MAX_RECORDED_BODY_BYTES + 1),
                Claim(2, Decision::AlreadyRun(None)),
            ],
        ),
        (
            "a released key can be claimed once more",
            vec![
                Claim(1, Decision::Granted),
                Release(1),
                Claim(2, Decision::Granted),
                Claim(3, Decision::InProgress),
            ],
        ),
        (
            "a release by an earlier attempt has no effect",
            vec![
                Claim(1, Decision::Granted),
                Release(1),
                Claim(2, Decision::Granted),
                Release(1),
                Claim(3, Decision::InProgress),
            ],
        ),
        (
            "a settlement by an earlier attempt has no effect",
            vec![
                Claim(1, Decision::Granted),
                Release(1),
                Claim(2, Decision::Granted),
                Settle(1, 3),
                Claim(3, Decision::InProgress),
                Settle(2, 3),
                Claim(3, replay.clone()),
            ],
        ),
        (
            "a release after the settlement has no effect",
            vec![
                Claim(1, Decision::Granted),
                Settle(1, 3),
                Release(1),
                Claim(2, replay),
            ],
        ),
        (
            "a release without a claim has no effect",
            vec![
                Release(1),
                Claim(2, Decision::Granted),
                Claim(3, Decision::InProgress),
            ],
        ),
        (
            "another request with the key is refused",
            vec![
                Claim(1, Decision::Granted),
                ClaimOther(2, Decision::Mismatch),
                Release(1),
                ClaimOther(2, Decision::Mismatch),
            ],
        ),
    ]
}

/// Guards against a second run of a key in different orders of claims,
/// settlements and releases, including those of earlier attempts.
#[test]
fn a_key_runs_once() {
    for (name, steps) in cases() {
        let ledger = ledger(Limits::default());
        let key = key(&ledger, "own");
        for (index, step) in steps.into_iter().enumerate() {
            match step {
                Step::Claim(number, expected) => {
                    let decision = ledger.claim(&key, attempt(number), FINGERPRINT);
                    assert_eq!(decision, expected, "{name}, step {index}");
                }
                Step::ClaimOther(number, expected) => {
                    let decision = ledger.claim(&key, attempt(number), Fingerprint(8));
                    assert_eq!(decision, expected, "{name}, step {index}");
                }
                Step::Settle(number, size) => {
                    ledger.settle(&key, attempt(number), Some(recorded(&vec![b'x'; size])));
                }
                Step::Release(number) => ledger.release(&key, attempt(number)),
            }
        }
    }
}

/// Guards against a second run after the record of a key was dropped because of
/// its age.
#[test]
fn an_expired_key_is_refused() {
    let limits = Limits {
        lifetime: Duration::from_millis(30),
        ..Limits::default()
    };
    let ledger = ledger(limits);
    let settled = key(&ledger, "settled");
    let unused = key(&ledger, "unused");
    assert_eq!(
        ledger.claim(&settled, attempt(1), FINGERPRINT),
        Decision::Granted
    );
    ledger.settle(&settled, attempt(1), Some(recorded(b"done")));

    std::thread::sleep(Duration::from_millis(60));

    for key in [settled, unused] {
        let decision = ledger.claim(&key, attempt(2), FINGERPRINT);
        assert_eq!(decision, Decision::Expired);
    }
    assert_eq!(ledger.bytes(), 0);
}

/// Guards against unbounded growth of a ledger, and against a second run of a
/// key whose record was evicted.
#[test]
fn a_full_ledger_refuses_the_oldest_keys() {
    let limit = 20_000;
    let limits = Limits {
        memory: ByteSize(limit),
        ..Limits::default()
    };
    let ledger = ledger(limits);
    let mut keys = Vec::new();
    for number in 0..30 {
        let key = key(&ledger, &number.to_string());
        let decision = ledger.claim(&key, attempt(number), FINGERPRINT);
        assert_eq!(decision, Decision::Granted);
        ledger.settle(&key, attempt(number), Some(recorded(&[0; 1000])));
        assert!(ledger.bytes() <= usize::try_from(limit).expect("fits"));
        keys.push(key);
        std::thread::sleep(Duration::from_millis(2));
    }

    let decisions: Vec<_> = keys
        .iter()
        .map(|key| ledger.claim(key, attempt(99), FINGERPRINT))
        .collect();

    let expired = decisions
        .iter()
        .take_while(|d| **d == Decision::Expired)
        .count();
    assert!(expired >= 10, "{expired} keys were evicted");
    let remaining = &decisions[expired..];
    assert!(!remaining.is_empty());
    assert!(
        remaining
            .iter()
            .all(|d| matches!(d, Decision::AlreadyRun(Some(_))))
    );
}

/// Guards against a decision by a process that does not know the history of a
/// key, because another instance or an earlier process of the same instance
/// issued it, or because its issue time is in the future.
#[test]
fn a_key_of_another_process_is_not_decided() {
    let ledger = ledger(Limits::default());
    let earlier = key(&ledger_of("entry-1", Limits::default()), "own");
    let other = key(&ledger_of("entry-2", Limits::default()), "own");
    let mut prefix = ledger.prefix();
    prefix.issued_ms += 60_000;
    let future = format!("{prefix}.own").parse().expect("valid");
    for key in [earlier, other, future] {
        let decision = ledger.claim(&key, attempt(1), FINGERPRINT);
        assert_eq!(decision, Decision::NotIssuer, "{key}");
    }
}
