use carobdrift_idempotency::{Limits, Prefix, PrefixError};
use carobdrift_wire::Key;

use crate::fixture::{key, ledger};

/// Guards against a prefix that the entry can't read back from a key.
#[test]
fn a_key_names_its_prefix() {
    let prefix = ledger(Limits::default()).prefix();
    let key: Key = format!("{prefix}.book.7").parse().expect("valid");

    let read = Prefix::from_key(&key).expect("the key has a prefix");

    assert_eq!(read, prefix);
    assert_eq!(prefix.to_string().parse::<Prefix>(), Ok(prefix));
}

/// Guards against keys that name no decider and against callers that share a
/// key because they appended nothing.
#[test]
fn other_keys_are_refused() {
    let ledger = ledger(Limits::default());
    let whole = key(&ledger, "x");
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
    assert!(Prefix::from_key(&whole).is_ok());
}
