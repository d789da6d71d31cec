//! Guards against rates and percentages with invalid values.

use carobdrift_units::{Millis, ParseError, PerSecond, Percent, Version};

#[test]
fn negative_and_infinite_quantities_are_rejected() {
    for text in ["-1", "inf", "NaN"] {
        let parsed = text.parse::<PerSecond>();

        assert_eq!(parsed, Err(ParseError::OutOfRange), "{text}");
    }
}

#[test]
fn json_quantities_are_validated() {
    assert!(serde_json::from_str::<Percent>("-0.5").is_err());
    let ten = serde_json::from_str::<Percent>("10").unwrap();
    assert!((ten.fraction() - 0.1).abs() < 1e-9);
}

#[test]
fn counters_round_trip_through_text() {
    let millis: Millis = "1500".parse().unwrap();

    assert_eq!(millis.to_string(), "1500");
    assert_eq!(millis.duration().as_millis(), 1500);
    assert_eq!(Version::NONE.next(), Version(1));
}
