//! Guards against a document that reads back with other values than those in
//! effect.

use expect_test::expect;

use carobdrift_document::Document;

use crate::{parse, valid};

#[test]
fn defaults_are_filled_in() {
    let document = parse(&valid()).unwrap();

    let json = document.to_json();

    let defaults = json.split_once(r#","limits""#).unwrap().1;
    expect![[r#":{"max_in_flight":10000,"max_per_second":100000},"measuring":{"probes_per_second_per_target":2,"path":"/health","timeout_ms":200},"retries":{"max_attempts":3,"budget_percent":10.0},"hedging":{"after_percentile":95.0,"min_delay_ms":5,"budget_percent":5.0},"balancing":{"policy":"adaptive"},"steering":{"entries_per_zone":1,"ttl_ms":5000},"connections":{"max_per_target":64,"connect_timeout_ms":250,"idle_timeout_ms":10000},"bodies":{"max_request_bytes":1048576,"max_response_bytes":16777216}}"#]]
    .assert_eq(defaults);
    assert!(json.contains(r#""state":"active""#));
    assert!(json.contains(r#""keys":"none""#));
}

#[test]
fn canonical_form_is_a_fixed_point() {
    let document = parse(&valid()).unwrap();

    let again = Document::parse(document.to_json().as_bytes()).unwrap();

    assert_eq!(again, document);
    assert_eq!(again.to_json(), document.to_json());
}
