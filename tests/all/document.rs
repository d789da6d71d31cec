//! Guards against a `document` command that reports a wrong outcome of an edit
//! or omits the version, the edit id or the token from its request.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use expect_test::expect;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

use crate::{carobdrift, outcome};

const DOCUMENT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/draws.json");

/// Stand-in for an entry that sends the same response to each request, or closes
/// the connection if it has no response.
struct Entry {
    address: SocketAddr,
    received: Arc<Mutex<Vec<String>>>,
    _runtime: Runtime,
}

impl Entry {
    fn start(canned_response: Option<(u16, &'static str)>) -> Self {
        let runtime = Runtime::new().unwrap();
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap();
        let received = Arc::new(Mutex::new(Vec::new()));
        let heads = Arc::clone(&received);
        runtime.spawn(async move {
            loop {
                let (mut stream, _) = listener.accept().await.unwrap();
                let mut request = vec![0; 64 * 1024];
                let length = stream.read(&mut request).await.unwrap();
                let text = String::from_utf8_lossy(&request[..length]).into_owned();
                let head = text.split("\r\n\r\n").next().unwrap_or_default();
                heads.lock().unwrap().push(head.to_owned());
                if let Some((status, body)) = canned_response {
                    let length = body.len();
                    let response = format!(
                        "HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\
                         connection: close\r\n\r\n{body}"
                    );
                    stream.write_all(response.as_bytes()).await.unwrap();
                }
            }
        });
        Self {
            address,
            received,
            _runtime: runtime,
        }
    }

    fn put(&self) -> (Option<i32>, String, String) {
        self.put_with_fallbacks(&[])
    }

    /// Puts a document. The command gets the addresses of this entry and of the
    /// other ones, in this order.
    fn put_with_fallbacks(&self, fallbacks: &[&Self]) -> (Option<i32>, String, String) {
        let addresses: Vec<String> = std::iter::once(&self)
            .chain(fallbacks)
            .map(|entry| entry.address.to_string())
            .collect();
        let arguments = [
            "document",
            "put",
            DOCUMENT,
            "--expected-version=6",
            "--edit-id=e-1",
        ];
        let output = carobdrift(&arguments)
            .env("CAROBDRIFT_API", addresses.join(","))
            .env("CAROBDRIFT_API_TOKEN", "secret-token")
            .output()
            .unwrap();
        let (status, out, err) = outcome(&output);
        assert!(!format!("{out}{err}").contains("secret-token"));
        let address = self.address.to_string();
        let normalized = out
            .replace(&address, "ADDRESS")
            .replace(env!("CARGO_MANIFEST_DIR"), "");
        (status, normalized, err)
    }
}

#[test]
fn put_sends_version_edit_id_and_token() {
    let response = r#"{"version": 7, "in_force": 14, "cell_size": 15}"#;
    let entry = Entry::start(Some((200, response)));

    let (status, out, err) = entry.put();

    assert_eq!((status, err.as_str()), (Some(0), ""));
    expect![[r#"
        accepted: version 7 of draws, in force on 14 of 15 instances, edit e-1
    "#]]
    .assert_eq(&out);
    let received = entry.received.lock().unwrap().join("\n");
    assert!(received.starts_with("PUT /v1/documents/draws?expected_version=6&edit_id=e-1 "));
    assert!(received.contains("authorization: Bearer secret-token"));
}

#[test]
fn put_reports_a_conflict_with_the_current_version() {
    let response = r#"{"error": "conflict", "message": "x", "current_version": 9}"#;
    let entry = Entry::start(Some((409, response)));

    let (status, out, _) = entry.put();

    assert_eq!(status, Some(1));
    expect![[r#"
        rejected: draws is at version 9; read it, repeat the change on it and put it again with --expected-version 9
    "#]].assert_eq(&out);
}

#[test]
fn put_prints_the_faults_of_an_invalid_document() {
    let response = r#"{"error": "invalid", "message": "above the ceilings",
        "faults": [{"path": "limits.max_in_flight", "problem": "must be at most 10"}]}"#;
    let entry = Entry::start(Some((400, response)));

    let (status, out, _) = entry.put();

    assert_eq!(status, Some(1));
    expect![[r#"
        rejected: invalid (400): above the ceilings
        limits.max_in_flight: must be at most 10
    "#]]
    .assert_eq(&out);
}

#[test]
fn put_without_a_valid_response_is_unknown_and_sent_once() {
    let cases = [
        None,
        Some((
            504,
            r#"{"error": "unknown", "message": "no answer of the store"}"#,
        )),
        Some((
            500,
            r#"{"error_code": null, "message": "Internal Server Error"}"#,
        )),
        Some((200, "not json")),
    ];
    for response in cases {
        let entry = Entry::start(response);
        let other = Entry::start(Some((200, "{}")));

        let (status, out, _) = entry.put_with_fallbacks(&[&other]);

        assert_eq!(status, Some(3), "{response:?}: {out}");
        let next_command = "carobdrift document outcome e-1";
        assert!(out.contains(next_command), "{response:?}: {out}");
        assert!(out.contains("--expected-version 6 --edit-id e-1"), "{out}");
        assert_eq!(entry.received.lock().unwrap().len(), 1, "{response:?}");
        assert!(other.received.lock().unwrap().is_empty(), "{response:?}");
    }
}

#[test]
fn put_that_reaches_no_entry_is_not_sent() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let closed = listener.local_addr().unwrap();
    drop(listener);

    let output = carobdrift(&["document", "put", DOCUMENT, "--expected-version=6"])
        .env("CAROBDRIFT_API", closed.to_string())
        .output()
        .unwrap();

    let (status, out, _) = outcome(&output);
    assert_eq!(status, Some(1));
    assert!(out.starts_with("not sent: could not connect"), "{out}");
}

#[test]
fn get_prints_the_document_apart_from_its_version_and_tries_the_next_entry() {
    let broken = Entry::start(None);
    let response = r#"{"document": {"service": "draws"}, "version": 4, "confirmed_ms": 120}"#;
    let entry = Entry::start(Some((200, response)));

    let output = carobdrift(&["document", "get", "draws"])
        .env(
            "CAROBDRIFT_API",
            format!("{},{}", broken.address, entry.address),
        )
        .output()
        .unwrap();

    let (status, out, err) = outcome(&output);
    assert_eq!(status, Some(0), "{err}");
    expect![[r#"
        {
          "service": "draws"
        }
    "#]]
    .assert_eq(&out);
    expect![[r#"
        version 4, confirmed 120 ms ago
    "#]]
    .assert_eq(&err);
}
