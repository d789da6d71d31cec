//! Guards against identifiers that are accepted in one format and rejected in
//! another, and against text that changes in a round trip.

use carobdrift_units::{EditId, NameError, Service, Target};

#[test]
fn invalid_names_are_rejected_with_the_reason() {
    let cases = [
        ("", NameError::Empty),
        (
            "Sheets",
            NameError::Character {
                found: 'S',
                extra: "-",
            },
        ),
        (
            "a/b",
            NameError::Character {
                found: '/',
                extra: "-",
            },
        ),
        (
            "a.b",
            NameError::Character {
                found: '.',
                extra: "-",
            },
        ),
    ];
    for (text, error) in cases {
        let parsed = text.parse::<Service>();

        assert_eq!(parsed, Err(error), "{text:?}");
    }
    let long = "a".repeat(64);
    assert_eq!(
        long.parse::<Service>(),
        Err(NameError::TooLong { limit: 63 })
    );
}

#[test]
fn display_and_parse_agree() {
    let target: Target = "sheets-1.hobart".parse().unwrap();

    let parsed: Target = target.to_string().parse().unwrap();

    assert_eq!(target, parsed);
}

#[test]
fn json_is_validated_like_text() {
    let valid = serde_json::from_str::<Service>("\"sheets\"");
    let invalid = serde_json::from_str::<Service>("\"Sheets\"");

    assert_eq!(valid.unwrap().as_str(), "sheets");
    assert!(invalid.is_err());
}

/// Guards against generated ids that are rejected when an operator passes them on
/// the command line or in a URL.
#[test]
fn generated_edit_ids_are_valid_and_differ() {
    let first = EditId::random();
    let second = EditId::random();

    assert_eq!(first.as_str().parse(), Ok(first.clone()));
    assert_ne!(first, second);
}
