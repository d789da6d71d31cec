//! Guards against startup with a faulty setting, against reports that name only
//! the first fault, and against secrets in output.

use carobdrift_entry::{Arguments, Settings};
use clap::Parser;
use expect_test::expect;

#[derive(Parser)]
struct Command {
    #[command(flatten)]
    arguments: Arguments,
}

const COMPLETE: [&str; 8] = [
    "--instance=entry-1",
    "--zone=hobart",
    "--platform-address=127.0.0.1:9000",
    "--peer-secret=0123456789abcdef-peer",
    "--operator-token=0123456789abcdef-operator",
    "--team-token=lanemark-meets=0123456789abcdef-team",
    "--team-limit=lanemark-meets=100/2000",
    "--caller-listen=127.0.0.1:0",
];

fn check(flags: &[&str]) -> Result<Settings, Vec<String>> {
    let arguments = std::iter::once("serve").chain(flags.iter().copied());
    let command = Command::parse_from(arguments);
    Settings::check(&command.arguments)
        .map_err(|rejection| rejection.faults.iter().map(ToString::to_string).collect())
}

#[test]
fn complete_settings_are_accepted() {
    let settings = check(&COMPLETE).unwrap();

    assert_eq!(settings.instance.as_str(), "entry-1");
    assert_eq!(settings.team_limits.len(), 1);
    assert_eq!(settings.peer_secret.expose(), "0123456789abcdef-peer");
}

#[test]
fn every_fault_is_reported_at_once() {
    let faults = check(&[
        "--cell=Main",
        "--caller-listen=localhost",
        "--peer-secret=short",
        "--team-token=lanemark-meets:0123456789abcdef-team",
        "--team-limit=lanemark-meets=many",
        "--max-entries=0",
        "--log-format=xml",
    ])
    .unwrap_err();

    expect![[r#"
        --instance is required
        --cell "Main" is invalid: must not contain 'M'; permitted are a-z, 0-9 and "-"
        --zone is required
        --caller-listen "localhost" is invalid: invalid socket address syntax
        --platform-address is required
        --peer-secret must have at least 16 characters
        --team-token item 1 is invalid: expected TEAM=TOKEN with a valid team name
        --team-limit "lanemark-meets=many" is invalid: expected TEAM=IN_FLIGHT/PER_SECOND
        --max-entries must be at least 1
        --log-format "xml" is invalid: expected plain or json"#]]
    .assert_eq(&faults.join("\n"));
}

#[test]
fn secrets_are_not_printed() {
    let settings = check(&COMPLETE).unwrap();

    let debug = format!("{settings:?}");
    let json = serde_json::to_string(&settings).unwrap();

    for shown in [debug, json] {
        assert!(!shown.contains("0123456789abcdef"), "{shown}");
    }
}

#[test]
fn a_faulty_secret_is_not_repeated_in_the_report() {
    let faults = check(&["--team-token=Lanemark=0123456789abcdef-team"]).unwrap_err();

    assert!(!faults.join("\n").contains("0123456789abcdef"));
}
