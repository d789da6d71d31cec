//! Guards against settings without an environment variable, incomplete help
//! texts, and tokens in the output.

use crate::{carobdrift, outcome};

#[test]
fn help_names_every_setting_and_its_variable() {
    let cases: [(&[&str], &[&str]); 8] = [
        (&["--help"], &["check", "document", "addresses"]),
        (&["check", "--help"], &["<FILE>", "Exit status"]),
        (
            &["document", "--help"],
            &["get", "put", "history", "status", "outcome"],
        ),
        (&["document", "get", "--help"], &["CAROBDRIFT_SERVICE"]),
        (
            &["document", "put", "--help"],
            &["CAROBDRIFT_EXPECTED_VERSION", "CAROBDRIFT_EDIT_ID"],
        ),
        (
            &["document", "history", "--help"],
            &["CAROBDRIFT_DOCUMENT_VERSION"],
        ),
        (&["document", "outcome", "--help"], &["CAROBDRIFT_EDIT_ID"]),
        (
            &["addresses", "--help"],
            &["CAROBDRIFT_SERVICE", "CAROBDRIFT_ZONE"],
        ),
    ];
    let client_variables = [
        "CAROBDRIFT_API",
        "CAROBDRIFT_API_TOKEN",
        "CAROBDRIFT_API_TIMEOUT_MS",
    ];
    for (arguments, expected) in cases {
        let output = carobdrift(arguments)
            .env("CAROBDRIFT_API_TOKEN", "secret-token")
            .output()
            .unwrap();

        let (status, help, _) = outcome(&output);
        assert_eq!(status, Some(0), "{arguments:?}");
        for text in expected {
            assert!(help.contains(text), "{arguments:?} lacks {text}:\n{help}");
        }
        if help.contains("--api ") {
            for text in client_variables {
                assert!(help.contains(text), "{arguments:?} lacks {text}:\n{help}");
            }
        }
        assert!(!help.contains("secret-token"), "{help}");
    }
}

#[test]
fn invalid_usage_has_exit_status_2() {
    let cases: [&[&str]; 6] = [
        &[],
        &["check"],
        &["document"],
        &["document", "get", "sheets"],
        &["document", "get", "Sheets", "--api", "127.0.0.1:1"],
        &["addresses", "--service", "sheets", "--api", "127.0.0.1:1"],
    ];
    for arguments in cases {
        let output = carobdrift(arguments).output().unwrap();

        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
    }
}

#[test]
fn malformed_token_is_not_printed() {
    let output = carobdrift(&["document", "get", "sheets", "--api", "127.0.0.1:1"])
        .env("CAROBDRIFT_API_TOKEN", "secret token")
        .output()
        .unwrap();

    let (status, out, err) = outcome(&output);
    assert_eq!(status, Some(2));
    assert!(!format!("{out}{err}").contains("secret"), "{err}");
}
