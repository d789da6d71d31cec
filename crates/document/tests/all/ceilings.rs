//! Guards against a document with values that exceed the platform's ceilings.

use carobdrift_document::Ceilings;
use carobdrift_units::{ByteSize, Millis, Percent};
use expect_test::expect;

use crate::{parse, show, valid};

#[test]
fn document_below_the_ceilings_passes() {
    let document = parse(&valid()).unwrap();

    assert_eq!(document.check(&Ceilings::default()), Ok(()));
}

#[test]
fn every_value_above_its_ceiling_is_reported() {
    let document = parse(&valid()).unwrap();
    let one = Percent::try_from(1.0).unwrap();
    let ceilings = Ceilings {
        max_in_flight: 1,
        max_per_second: 1,
        max_queue: 150,
        probes_per_second_per_target: 1,
        max_attempts: 1,
        retry_percent: one,
        hedge_percent: one,
        deadline_ms: Millis(1_000),
        ttl_ms: Millis(1),
        max_per_target: 1,
        max_request_bytes: ByteSize(1),
        max_response_bytes: ByteSize(1),
    };

    let rejection = document.check(&ceilings).unwrap_err();

    expect![[r#"
        bodies.max_request_bytes: must be at most 1 on this platform, not 1048576
        bodies.max_response_bytes: must be at most 1 on this platform, not 16777216
        classes[0].max_queue: must be at most 150 on this platform, not 200
        connections.max_per_target: must be at most 1 on this platform, not 64
        hedging.budget_percent: must be at most 1 on this platform, not 5
        limits.max_in_flight: must be at most 1 on this platform, not 10000
        limits.max_per_second: must be at most 1 on this platform, not 100000
        measuring.probes_per_second_per_target: must be at most 1 on this platform, not 2
        retries.budget_percent: must be at most 1 on this platform, not 10
        retries.max_attempts: must be at most 1 on this platform, not 3
        routes[1].deadline_ms: must be at most 1000 on this platform, not 2000
        steering.ttl_ms: must be at most 1 on this platform, not 5000"#]]
    .assert_eq(&show(&rejection));
}
