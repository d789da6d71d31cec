//! Guards against a start that reports only the first invalid setting, and
//! against secrets in the output.

use expect_test::expect;
use serde_json::Value;

use crate::{carobdrift, outcome};

#[test]
fn all_invalid_settings_are_reported() {
    let arguments = [
        "serve",
        "--instance=entry 1",
        "--caller-listen=here",
        "--team-token=secret-without-a-team",
        "--team-limit=desk=many",
        "--max-entries=0",
        "--platform-timeout-ms=0",
        "--key-lifetime-ms=ten",
        "--log-level=loud",
        "--operator-token=too-short",
    ];
    let output = carobdrift(&arguments)
        .env("CAROBDRIFT_PEER_SECRET", "secret")
        .output()
        .unwrap();

    let (status, out, err) = outcome(&output);
    assert_eq!((status, out.as_str()), (Some(2), ""));
    expect![[r#"
        error: --instance "entry 1" is invalid: must not contain ' '; permitted are a-z, 0-9 and "-"
        error: --zone is required
        error: --caller-listen "here" is invalid: invalid socket address syntax
        error: --platform-address is required
        error: --platform-timeout-ms must be at least 1
        error: --peer-secret must have at least 16 characters
        error: --operator-token must have at least 16 characters
        error: --team-token item 1 is invalid: expected TEAM=TOKEN with a valid team name
        error: --team-limit "desk=many" is invalid: expected TEAM=IN_FLIGHT/PER_SECOND
        error: --max-entries must be at least 1
        error: --key-lifetime-ms "ten" is invalid: not a whole number: invalid digit found in string
        error: --log-level "loud" is invalid: attempted to convert a string that doesn't match an existing log level
    "#]].assert_eq(&err);
    assert!(!err.contains("secret-without") && !err.contains("too-short"));
}

#[test]
fn printed_settings_show_no_secret() {
    let arguments = [
        "serve",
        "--instance=entry-1",
        "--zone=hobart",
        "--platform-address=127.0.0.1:9",
        "--team-token=desk-team=hidden-team-token-1",
        "--print-settings",
    ];
    let output = carobdrift(&arguments)
        .env("CAROBDRIFT_PEER_SECRET", "hidden-peer-secret")
        .env("CAROBDRIFT_OPERATOR_TOKEN", "hidden-operator-token")
        .env("CAROBDRIFT_TEAM_TOKENS", "other-team=hidden-team-token-2")
        .output()
        .unwrap();

    let (status, out, err) = outcome(&output);
    assert_eq!(status, Some(0), "{err}");
    assert!(!format!("{out}{err}").contains("hidden"), "{out}{err}");
    let settings: Value = serde_json::from_str(&out).unwrap();
    assert_eq!(settings["instance"], "entry-1");
    assert_eq!(settings["platform"]["timeout_ms"], 1000);
}
