use carobdrift_idempotency::{Limits, Prefix, PrefixError};
use carobdrift_wire::Key;

use crate::fixture::{key, ledger};

/// Guards against a prefix that can't be parsed from a key that starts with it.
#[test]
fn a_prefix_is_parsed_from_its_key() {
    let prefix = ledger(Limits::default()).prefix();
    let key: Key = format!("{prefix}.book.7").parse().expect("valid");

    let parsed = Prefix::from_key(&key).expect("the key has a prefix");

    assert_eq!(parsed, prefix);
    assert_eq!(prefix.to_string().parse::<Prefix>(), Ok(prefix));
}

/// Guards against keys that do not name the deciding entry, and against different
/// requests that share a key because nothing was appended to the prefix.
#[test]
fn other_keys_are_refused() {
    let ledger = ledger(Limits::default());
    let valid_key = key(&ledger, "x");
    let cases = [
        ("anything", PrefixError::Malformed),
        ("cd1.entry-1.x.3.ff.own", PrefixError::Malformed),
        ("cd2.entry-1.1.3.ff.own", PrefixError::Malformed),
        ("cd1.Entry.1.3.ff.own", PrefixError::Malformed),
        ("cd1.entry-1.1.3.ff", PrefixError::MissingSuffix),
        ("cd1.entry-1.1.3.ff.", PrefixError::MissingSuffix),
    ];
    for (text, expected) in cases {
        let key: Key = text.parse().expect("valid");
        assert_eq!(Prefix::from_key(&key), Err(expected), "{text}");
    }
    assert!(Prefix::from_key(&valid_key).is_ok());
}
