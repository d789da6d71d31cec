//! Guards against faulty documents that are accepted, and against faults that
//! are reported one at a time or without their path.

use carobdrift_document::Document;
use expect_test::{Expect, expect};
use serde_json::{Value, json};

use crate::{changed, parse, show, valid};

fn assert_rejected(changes: &[(&str, Value)], expected: &Expect) {
    let rejection = parse(&changed(changes)).expect_err("document was accepted");
    expected.assert_eq(&show(&rejection));
}

#[test]
fn structural_and_semantic_faults_are_reported_at_once() {
    assert_rejected(
        &[
            ("/service", json!("Sheets")),
            ("/colour", json!("red")),
            ("/targets/0/slots", json!("two")),
            ("/targets/0/bogus", json!(1)),
            ("/targets/1", json!({"id": "sheets-2", "zone": "burnie"})),
            ("/routes/0/kind", json!("sometimes")),
            ("/routes/1/class", json!("seedings")),
            ("/routes/1/methods", json!(["post"])),
            (
                "/retries",
                json!({"max_attempts": -1, "budget_percent": 101}),
            ),
            ("/limits", json!(7)),
            ("/steering", json!({"ttl": 5})),
        ],
        &expect![[r#"
            colour: unknown field `colour`, expected one of `service`, `team`, `targets`, `routes`, `classes`, `limits`, `measuring`, `retries`, `hedging`, `balancing`, `steering`, `connections`, `bodies`
            limits: invalid type: integer `7`, expected struct Limits
            retries.budget_percent: must be between 0 and 100, not 101
            retries.max_attempts: invalid value: integer `-1`, expected u32
            routes[0].kind: unknown variant `sometimes`, expected `idempotent` or `non-idempotent`
            routes[1].class: class seedings does not exist
            routes[1].methods[0]: must be one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS, not "post"
            service: must not contain 'S'; permitted are a-z, 0-9 and "-"
            steering.ttl: unknown field `ttl`, expected `entries_per_zone` or `ttl_ms`
            targets[0].bogus: unknown field `bogus`, expected one of `id`, `address`, `zone`, `slots`, `state`
            targets[0].slots: invalid type: string "two", expected u32
            targets[1].address: is missing
            targets[1].slots: is missing"#]],
    );
}

#[test]
fn values_out_of_range() {
    assert_rejected(
        &[
            ("/targets/0/slots", json!(0)),
            ("/targets/1/slots", json!(1025)),
            ("/targets/0/address", json!("10.2.0.11:0")),
            ("/targets/1/address", json!("0.0.0.0:80")),
            ("/routes/0/deadline_ms", json!(0)),
            ("/classes/0/weight", json!(0)),
            ("/classes/1/max_queue", json!(100_001)),
            ("/classes/1/max_in_flight", json!(101)),
            ("/classes/1/max_per_second", json!(0)),
            (
                "/limits",
                json!({"max_in_flight": 100, "max_per_second": 0}),
            ),
            (
                "/measuring",
                json!({"probes_per_second_per_target": 1001, "timeout_ms": 0}),
            ),
            (
                "/retries",
                json!({"max_attempts": 11, "budget_percent": 100.5}),
            ),
            (
                "/hedging",
                json!({"after_percentile": 100, "budget_percent": 101,
                                "min_delay_ms": 60_001}),
            ),
            ("/steering", json!({"entries_per_zone": 1001, "ttl_ms": 99})),
            (
                "/connections",
                json!({"max_per_target": 0, "connect_timeout_ms": 0,
                                    "idle_timeout_ms": 0}),
            ),
            ("/bodies", json!({"max_response_bytes": 0})),
        ],
        &expect![[r#"
            bodies.max_response_bytes: must be at least 1
            classes[0].weight: must be between 1 and 1000, not 0
            classes[1].max_in_flight: must be at most limits.max_in_flight (100), not 101
            classes[1].max_per_second: must be at least 1
            classes[1].max_queue: must be between 0 and 100000, not 100001
            connections.connect_timeout_ms: must be between 1 and 60000, not 0
            connections.idle_timeout_ms: must be between 1 and 3600000, not 0
            connections.max_per_target: must be between 1 and 65535, not 0
            hedging.after_percentile: must be at least 50 and below 100, not 100
            hedging.budget_percent: must be between 0 and 100, not 101
            hedging.min_delay_ms: must be between 0 and 60000, not 60001
            limits.max_per_second: must be between 1 and 4294967295, not 0
            measuring.probes_per_second_per_target: must be between 0 and 1000, not 1001
            measuring.timeout_ms: must be between 1 and 10000, not 0
            retries.budget_percent: must be between 0 and 100, not 100.5
            retries.max_attempts: must be between 1 and 10, not 11
            routes[0].deadline_ms: must be between 1 and 3600000, not 0
            steering.entries_per_zone: must be between 0 and 1000, not 1001
            steering.ttl_ms: must be between 100 and 600000, not 99
            targets[0].address: must have a port other than 0
            targets[0].slots: must be between 1 and 1024, not 0
            targets[1].address: must be the address of one instance
            targets[1].slots: must be between 1 and 1024, not 1025"#]],
    );
}

#[test]
fn duplicates_and_ambiguous_routes() {
    assert_rejected(
        &[
            ("/targets/1/id", json!("sheets-1")),
            ("/targets/1/address", json!("10.2.0.11:8080")),
            ("/classes/1/name", json!("view")),
            ("/routes/0/methods", json!(["GET", "HEAD", "GET"])),
            (
                "/routes/1",
                json!({"name": "view", "methods": ["GET", "POST"], "path": "/heats/*",
                                 "kind": "idempotent", "class": "view", "deadline_ms": 400}),
            ),
        ],
        &expect![[r#"
            classes[1].name: view is already used by classes[0]
            routes[0].methods[2]: GET is already listed
            routes[1].name: view is already used by routes[0]
            routes[1].path: GET /heats/* is already taken by routes[0]
            targets[1].address: 10.2.0.11:8080 is already used by targets[0]
            targets[1].id: sheets-1 is already used by targets[0]"#]],
    );
}

#[test]
fn empty_lists() {
    assert_rejected(
        &[
            ("/targets", json!([])),
            ("/routes/0/methods", json!([])),
            ("/classes", json!([])),
        ],
        &expect![[r#"
            classes: must not be empty
            routes[0].class: class view does not exist
            routes[0].methods: must not be empty
            routes[1].class: class seeding does not exist
            targets: must not be empty"#]],
    );
}

#[test]
fn keys_on_an_idempotent_route() {
    assert_rejected(
        &[("/routes/0/keys", json!("issued"))],
        &expect![[r#"routes[0].keys: must be "none" on an idempotent route, which may run again"#]],
    );
}

#[test]
fn fewer_connections_than_slots() {
    assert_rejected(
        &[
            ("/targets/1/slots", json!(8)),
            ("/connections", json!({"max_per_target": 4})),
        ],
        &expect!["connections.max_per_target: must be at least the 8 slots of target sheets-2"],
    );
}

#[test]
fn path_patterns() {
    let cases = [
        ("heats", expect![[r#"routes[0].path: must start with "/""#]]),
        (
            "/heats//1",
            expect!["routes[0].path: must not have an empty segment"],
        ),
        (
            "/heats/**/lanes",
            expect![[r#"routes[0].path: may have "**" as its last segment only"#]],
        ),
        (
            "/heats/a*",
            expect![[r#"routes[0].path: may have "*" as a whole segment only, not in "a*""#]],
        ),
        (
            "/heats/../x",
            expect![[r#"routes[0].path: must not have the segment "..""#]],
        ),
        (
            "/heats?x=1",
            expect!["routes[0].path: must not contain '?'; segments are compared after decoding"],
        ),
        (
            "/he%61ts",
            expect!["routes[0].path: must not contain '%'; segments are compared after decoding"],
        ),
    ];
    for (pattern, expected) in cases {
        assert_rejected(&[("/routes/0/path", json!(pattern))], &expected);
    }
    for pattern in ["/", "/**", "/heats/", "/heats/*/lanes/**", "/~a/b:c@d"] {
        parse(&changed(&[("/routes/0/path", json!(pattern))])).unwrap();
    }
}

#[test]
fn text_that_is_not_one_json_object() {
    let cases = [
        (
            "",
            expect!["document: EOF while parsing a value at line 1 column 0"],
        ),
        (
            "{\"service\": ",
            expect!["document: EOF while parsing a value at line 1 column 12"],
        ),
        ("[]", expect!["document: must be an object, not a list"]),
        (
            "{} {}",
            expect!["document: trailing characters at line 1 column 4"],
        ),
    ];
    for (text, expected) in cases {
        let rejection = Document::parse(text.as_bytes()).unwrap_err();

        expected.assert_eq(&show(&rejection));
    }
}

#[test]
fn lists_in_place_of_objects() {
    assert_rejected(
        &[
            ("/limits", json!([400, 20_000])),
            ("/classes/0", json!(["view", 4, 200, null, null])),
        ],
        &expect![[r#"
            classes[0]: must be an object, not a list
            limits: must be an object, not a list"#]],
    );
}

#[test]
fn duplicate_field() {
    let text = valid()
        .to_string()
        .replacen("\"slots\":2", "\"slots\":2,\"slots\":9", 1);

    let rejection = Document::parse(text.as_bytes()).unwrap_err();

    expect!["targets[0].slots: is given more than once"].assert_eq(&show(&rejection));
}

#[test]
fn oversized_document() {
    let text = format!("{}{}", " ".repeat(1024 * 1024), valid());

    let rejection = Document::parse(text.as_bytes()).unwrap_err();

    expect!["document: must be at most 1048576 bytes long, not 1049129"]
        .assert_eq(&show(&rejection));
}

#[test]
fn number_of_reported_faults_is_bounded() {
    let targets: Vec<Value> = (0..200).map(|index| json!({"id": index})).collect();

    let rejection = parse(&changed(&[("/targets", json!(targets))])).unwrap_err();

    assert_eq!(rejection.faults.len(), 101);
}
