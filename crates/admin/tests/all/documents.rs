//! Guards against edits that report a wrong outcome, and against reads that
//! fail during an outage of the store.

use std::fmt::Write;

use carobdrift_catalog::{EditError, Standing};
use carobdrift_units::{EditId, Version};
use expect_test::expect;
use serde_json::json;

use crate::fixture::{Fixture, MEETS, body, unavailable};

const PUT: &str = "/v1/documents/sheets?expected_version=3&edit_id=e-4";

#[tokio::test]
async fn accepted_edit_states_the_number_of_entries_in_force() {
    let fixture = Fixture::start();

    let (status, response) = fixture
        .put(PUT, MEETS, &body("sheets", "lanemark-meets"))
        .await;

    assert_eq!(status, 200);
    expect![[r#"{"cell_size":15,"edit_id":"e-4","in_force":14,"revision":9,"service":"sheets","version":4}"#]].assert_eq(&response.to_string());
    let edits = fixture.backend.edits();
    assert_eq!(edits[0].expected, Version(3));
    assert_eq!(edits[0].id.as_str(), "e-4");
}

#[tokio::test]
async fn edit_without_id_gets_one() {
    let fixture = Fixture::start();
    let path = "/v1/documents/sheets?expected_version=3";

    let (_, response) = fixture
        .put(path, MEETS, &body("sheets", "lanemark-meets"))
        .await;

    let id = fixture.backend.edits()[0].id.to_string();
    assert_eq!(response["edit_id"], json!(id));
}

fn id() -> EditId {
    "e-4".parse().unwrap()
}

fn conflict() -> EditError {
    EditError::Conflict {
        service: "sheets".parse().unwrap(),
        expected: Version(3),
        current: Version(7),
    }
}

fn not_owner() -> EditError {
    EditError::NotOwner {
        service: "sheets".parse().unwrap(),
        owner: "lanemark-draws".parse().unwrap(),
    }
}

fn other_cell() -> EditError {
    EditError::OtherCell {
        service: "sheets".parse().unwrap(),
        cell: "second".parse().unwrap(),
    }
}

fn no_quorum() -> EditError {
    EditError::NoQuorum {
        responding: 7,
        cell_size: 15,
    }
}

fn unknown() -> EditError {
    EditError::Unknown {
        edit: id(),
        cause: unavailable(),
    }
}

#[tokio::test]
async fn failed_edits_are_typed() {
    type Failure = fn() -> EditError;
    let cases: [(Failure, u16, &str); 9] = [
        (conflict, 409, "conflict"),
        (|| EditError::IdReused(id()), 422, "reused"),
        (not_owner, 403, "forbidden"),
        (other_cell, 409, "other-cell"),
        (no_quorum, 503, "no-quorum"),
        (|| EditError::Contention, 503, "unavailable"),
        (|| EditError::Unavailable(unavailable()), 503, "unavailable"),
        (unknown, 504, "unknown"),
        (|| EditError::Stopping(id()), 504, "unknown"),
    ];
    let fixture = Fixture::start();
    for (failure, status, kind) in cases {
        fixture.backend.fail_edits(failure);

        let (found, response) = fixture
            .put(PUT, MEETS, &body("sheets", "lanemark-meets"))
            .await;

        assert_eq!(found.as_u16(), status, "{response}");
        assert_eq!(response["error"], json!(kind));
        assert_eq!(response["edit_id"], json!("e-4"));
        let version = match kind {
            "conflict" => json!(7),
            _ => json!(null),
        };
        assert_eq!(response["current_version"], version);
    }
}

#[tokio::test]
async fn every_fault_and_ceiling_is_reported_and_nothing_is_written() {
    let fixture = Fixture::start();
    let mut faulty = body("sheets", "lanemark-meets");
    faulty["targets"][0]["slots"] = json!(0);
    faulty["colour"] = json!("red");
    let mut excessive = body("sheets", "lanemark-meets");
    excessive["limits"] = json!({"max_in_flight": 4_000_000});
    let other = body("relays", "lanemark-meets");
    let mut shown = String::new();
    for document in [faulty, excessive, other] {
        let (status, response) = fixture.put(PUT, MEETS, &document).await;

        assert_eq!(status, 400);
        writeln!(shown, "{response:#}").unwrap();
    }
    expect![[r#"
        {
          "error": "invalid",
          "faults": [
            {
              "path": "colour",
              "problem": "unknown field `colour`, expected one of `service`, `team`, `targets`, `routes`, `classes`, `limits`, `measuring`, `retries`, `hedging`, `balancing`, `steering`, `connections`, `bodies`"
            },
            {
              "path": "targets[0].slots",
              "problem": "must be between 1 and 1024, not 0"
            }
          ],
          "message": "the document has 2 fault(s)"
        }
        {
          "error": "invalid",
          "faults": [
            {
              "path": "limits.max_in_flight",
              "problem": "must be at most 100000 on this platform, not 4000000"
            }
          ],
          "message": "the document has 1 fault(s)"
        }
        {
          "error": "malformed",
          "message": "the document is of service relays"
        }
    "#]].assert_eq(&shown);
    assert!(fixture.backend.edits().is_empty());
}

#[tokio::test]
async fn malformed_calls_are_typed() {
    let fixture = Fixture::start();
    let large = format!("\"{}\"", "x".repeat(3 * 1024 * 1024));
    let cases = [
        (
            "/v1/documents/Sheets?expected_version=3",
            "{}",
            400,
            "malformed",
        ),
        ("/v1/documents/sheets", "{}", 400, "malformed"),
        (
            "/v1/documents/sheets?expected_version=x",
            "{}",
            400,
            "malformed",
        ),
        (PUT, &large, 400, "malformed"),
    ];
    for (path, sent, expected, kind) in cases {
        let (status, response) = fixture
            .call(http::Method::PUT, path, Some(MEETS), sent)
            .await;

        assert_eq!(status.as_u16(), expected, "{path}: {response}");
        assert_eq!(response["error"], json!(kind), "{path}");
    }
}

#[tokio::test]
async fn reads_during_a_store_outage() {
    let fixture = Fixture::start();
    fixture.backend.change(|state| {
        state.standing = Standing::Outage;
        state.store_down = true;
    });
    let cases = [
        ("/v1/documents", 200),
        ("/v1/documents/sheets", 200),
        ("/v1/documents/sheets/status", 200),
        ("/v1/services/sheets/targets", 200),
        ("/v1/addresses?service=sheets&zone=hobart", 200),
        ("/v1/documents/sheets/history", 200),
        ("/v1/documents/sheets/history/2", 503),
        ("/v1/edits/e-3", 503),
    ];
    for (path, expected) in cases {
        let (status, response) = fixture.get(path, Some(MEETS)).await;

        assert_eq!(status.as_u16(), expected, "{path}: {response}");
        if expected == 503 {
            assert_eq!(response["error"], json!("unavailable"), "{path}");
        }
    }
    let (_, response) = fixture.get("/v1/documents/sheets", Some(MEETS)).await;
    assert_eq!(response["standing"], json!("outage"));
    assert_eq!(response["version"], json!(3));
}

#[tokio::test]
async fn reads_show_the_documents_in_force() {
    let fixture = Fixture::start();
    let paths = [
        "/v1/documents",
        "/v1/documents/sheets/history",
        "/v1/documents/sheets/status",
        "/v1/edits/e-3",
        "/v1/services/sheets/targets",
    ];
    let mut shown = String::new();
    for path in paths {
        let (status, response) = fixture.get(path, Some(MEETS)).await;

        assert_eq!(status, 200);
        writeln!(shown, "{path}\n{response}").unwrap();
    }
    expect![[r#"
        /v1/documents
        {"confirmed_ms":120,"documents":[{"service":"sheets","team":"lanemark-meets","version":3}],"standing":"confirmed"}
        /v1/documents/sheets/history
        {"service":"sheets","versions":[3,2,1]}
        /v1/documents/sheets/status
        {"instances":[{"answered":true,"instance":"entry-1","version":3},{"answered":false,"instance":"entry-2","version":null}],"service":"sheets","version":3}
        /v1/edits/e-3
        {"edit_id":"e-3","service":"sheets","version":4}
        /v1/services/sheets/targets
        {"service":"sheets","targets":[{"address":"10.2.0.11:8080","cold":false,"foreign":0.5,"in_flight":1,"last_answer_ms":null,"latency_us":1500,"slots":2,"slowdown":1.0,"standing":{"evidence":"response","state":"leaving"},"start":null,"target":"t-1","zone":"hobart"}]}
    "#]].assert_eq(&shown);
    let (_, response) = fixture.get("/v1/documents/sheets", Some(MEETS)).await;
    assert_eq!(response["confirmed_ms"], json!(120));
    assert_eq!(response["document"]["steering"]["ttl_ms"], json!(5000));
}

#[tokio::test]
async fn absent_resources_are_not_found() {
    let fixture = Fixture::start();
    let paths = [
        "/v1/documents/relays",
        "/v1/documents/sheets/history/9",
        "/v1/edits/e-9",
        "/v1/services/relays/targets",
        "/v1/addresses?service=relays&zone=hobart",
    ];
    for path in paths {
        let (status, response) = fixture.get(path, Some(MEETS)).await;

        assert_eq!(status, 404, "{path}");
        assert_eq!(response["error"], json!("not-found"), "{path}");
    }
}
