//! Guards against teams that read or edit a service of another team, and
//! against endpoints that do not check the token.

use http::Method;

use crate::fixture::{DRAWS, Fixture, MEETS, OPERATOR, body};

#[tokio::test]
async fn each_endpoint_serves_the_owner_and_the_operator_only() {
    let fixture = Fixture::start();
    let put = "/v1/documents/sheets?expected_version=3";
    let document = body("sheets", "lanemark-meets").to_string();
    let cases = [
        (Method::GET, "/v1/documents/sheets", ""),
        (Method::PUT, put, document.as_str()),
        (Method::GET, "/v1/documents/sheets/history", ""),
        (Method::GET, "/v1/documents/sheets/history/2", ""),
        (Method::GET, "/v1/documents/sheets/status", ""),
        (Method::GET, "/v1/edits/e-3", ""),
        (Method::GET, "/v1/services/sheets/targets", ""),
    ];
    let tokens = [
        (Some(MEETS), 200, None),
        (Some(OPERATOR), 200, None),
        (Some(DRAWS), 403, Some("forbidden")),
        (None, 401, Some("unauthorized")),
        (Some("wrong-token-000001"), 401, Some("unauthorized")),
        (Some(""), 401, Some("unauthorized")),
    ];
    for (method, path, sent) in cases {
        for (token, status, error) in tokens {
            let (found, response) = fixture.call(method.clone(), path, token, sent).await;

            let case = format!("{method} {path} with {token:?}: {response}");
            assert_eq!(found.as_u16(), status, "{case}");
            assert_eq!(response["error"].as_str(), error, "{case}");
        }
    }
    assert_eq!(fixture.backend.edits().len(), 2);
}

#[tokio::test]
async fn list_contains_own_services_only() {
    let fixture = Fixture::start();
    for (token, expected) in [(MEETS, 1), (OPERATOR, 1), (DRAWS, 0)] {
        let (status, response) = fixture.get("/v1/documents", Some(token)).await;

        assert_eq!(status, 200);
        let listed = response["documents"].as_array().unwrap();
        assert_eq!(listed.len(), expected, "{token}");
    }
    let (status, _) = fixture.get("/v1/documents", None).await;
    assert_eq!(status, 401);
}

#[tokio::test]
async fn instances_need_any_valid_token() {
    let fixture = Fixture::start();
    for (token, expected) in [(Some(DRAWS), 200), (Some(OPERATOR), 200), (None, 401)] {
        let (status, _) = fixture.get("/v1/instances", token).await;

        assert_eq!(status, expected, "{token:?}");
    }
}

#[tokio::test]
async fn discovery_and_operations_need_no_token() {
    let fixture = Fixture::start();
    let addresses = "/v1/addresses?service=sheets&zone=hobart";
    for path in ["/health", "/ready", "/metrics", addresses] {
        let (status, response) = fixture.get(path, None).await;

        assert_eq!(status, 200, "{path}: {response}");
    }
}

/// Guards against a team that takes over a service, or overwrites a version
/// whose owner this instance does not know yet. The catalog checks the stored
/// owner, so the edit must contain the team.
#[tokio::test]
async fn ownership_is_checked_before_and_after_an_edit() {
    let fixture = Fixture::start();
    let cases = [
        // Gives the team's own service to another team.
        (MEETS, "sheets", "lanemark-draws", 3, 403),
        // Takes over the service of another team.
        (DRAWS, "sheets", "lanemark-draws", 3, 403),
        // Creates a service for another team.
        (DRAWS, "relays", "lanemark-meets", 0, 403),
        // Permitted by the API; the catalog checks the stored owner.
        (MEETS, "sheets", "lanemark-meets", 4, 200),
        (DRAWS, "relays", "lanemark-draws", 1, 200),
        (OPERATOR, "sheets", "lanemark-draws", 4, 200),
    ];
    for (token, service, team, version, expected) in cases {
        let path = format!("/v1/documents/{service}?expected_version={version}");

        let (status, response) = fixture.put(&path, token, &body(service, team)).await;

        let case = format!("{token} {service} {team} {version}: {response}");
        assert_eq!(status.as_u16(), expected, "{case}");
    }
    let owners: Vec<Option<String>> = fixture
        .backend
        .edits()
        .into_iter()
        .map(|edit| edit.owner.map(|team| team.to_string()))
        .collect();
    let team = |name: &str| Some(name.to_owned());
    assert_eq!(
        owners,
        [team("lanemark-meets"), team("lanemark-draws"), None]
    );
}
