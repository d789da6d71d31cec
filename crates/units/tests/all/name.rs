//! Guards against identifiers that are accepted in one place and refused in
//! another, and against text that does not survive a round trip.

use carobdrift_units::{EditId, NameError, Service, Target};

#[test]
fn invalid_names_are_refused_with_their_fault() {
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
    for (text, fault) in cases {
        let parsed = text.parse::<Service>();

        assert_eq!(parsed, Err(fault), "{text:?}");
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

    let again: Target = target.to_string().parse().unwrap();

    assert_eq!(target, again);
}

#[test]
fn json_is_checked_like_text() {
    let good = serde_json::from_str::<Service>("\"sheets\"");
    let bad = serde_json::from_str::<Service>("\"Sheets\"");

    assert_eq!(good.unwrap().as_str(), "sheets");
    assert!(bad.is_err());
}

/// Guards against drawn ids that a later command line or URL refuses.
#[test]
fn drawn_edit_ids_are_valid_and_differ() {
    let first = EditId::random();
    let second = EditId::random();

    assert_eq!(first.as_str().parse(), Ok(first.clone()));
    assert_ne!(first, second);
}
