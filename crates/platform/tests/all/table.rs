//! Guards against a client and a platform that disagree on keys, versions,
//! conditions or the format of the instance list.

use bytes::Bytes;
use carobdrift_platform::{Conflict, Error, Member, Metrics, State, Transaction};
use carobdrift_platform_stand_in::{self as platform, Listing};
use prometheus::Registry;
use serde_json::json;

use crate::fixture::{create, put, start};

#[tokio::test]
async fn keys_with_reserved_characters_are_kept_apart() {
    let (stand_in, client) = start().await;
    let keys = [
        "claims/s/a?b",
        "claims/s/a#b",
        "claims/s/a%2Fb",
        "claims/s/ä&=+",
    ];

    for (number, key) in keys.iter().enumerate() {
        client.transact(&put(key, 0, json!(number))).await.unwrap();
    }

    for (number, key) in keys.iter().enumerate() {
        let row = client.read(key).await.unwrap().unwrap();
        assert_eq!((row.key.as_str(), row.value), (*key, json!(number)));
        assert!(stand_in.row(key).is_some());
        let after = client.scan(key, "", 10).await.unwrap();
        assert_eq!(after[0].key, *key);
    }
}

#[tokio::test]
async fn conflict_names_the_versions_and_writes_nothing() {
    let (stand_in, client) = start().await;
    client.transact(&create()).await.unwrap();
    let mut outdated = put("a", 0, json!(2));
    outdated.puts.extend(put("b", 0, json!(2)).puts);

    let result = client.transact(&outdated).await;

    let Err(Error::Conflict(conflicts)) = result else {
        panic!("{result:?}");
    };
    let conflict = Conflict {
        key: "a".to_owned(),
        version: 1,
    };
    assert_eq!(conflicts, [conflict]);
    assert_eq!(stand_in.row("a").unwrap().value, json!(1));
    assert_eq!(stand_in.row("b"), None);
}

#[tokio::test]
async fn version_of_a_deleted_row_continues() {
    let (_stand_in, client) = start().await;
    let first = client.transact(&create()).await.unwrap();
    let delete = Transaction {
        deletes: vec!["a".to_owned()],
        puts: Vec::new(),
        ..put("a", 1, json!(0))
    };
    client.transact(&delete).await.unwrap();

    let absent = client.read("a").await.unwrap();
    let commit = client.transact(&create()).await.unwrap();

    assert_eq!(absent, None);
    let recreated = client.read("a").await.unwrap().unwrap();
    assert!(commit.versions["a"] > first.versions["a"], "{commit:?}");
    assert_eq!(recreated.version, commit.versions["a"]);
}

#[tokio::test]
async fn scan_returns_pages_in_key_order() {
    let (stand_in, client) = start().await;
    for key in ["d/b", "d/a", "e/a", "d/c", "c/a"] {
        stand_in.put_row(key, &json!(0));
    }

    let first = client.scan("d/", "", 2).await.unwrap();
    let second = client.scan("d/", &first[1].key, 2).await.unwrap();

    let keys: Vec<_> = first.iter().chain(&second).map(|row| &row.key).collect();
    assert_eq!(keys, ["d/a", "d/b", "d/c"]);
}

#[tokio::test]
async fn objects_are_kept_whole() {
    let (_stand_in, client) = start().await;
    let body = Bytes::from(vec![0xff; 100_000]);

    client.put_object("d/s/1", body.clone()).await.unwrap();

    assert_eq!(client.get_object("d/s/1").await.unwrap(), Some(body));
    assert_eq!(client.get_object("d/s/2").await.unwrap(), None);
}

#[tokio::test]
async fn instance_list_is_read_and_may_be_out_of_date() {
    let (stand_in, client) = start().await;
    let entry = Listing::entry(
        &"e-1".parse().unwrap(),
        "main".parse().unwrap(),
        "hobart".parse().unwrap(),
        "tasmania".parse().unwrap(),
        [1, 2, 3].map(|port| ([127, 0, 0, 1], port).into()),
    );
    let target = Listing::target(
        &"sheets-1".parse().unwrap(),
        "sheets".parse().unwrap(),
        "hobart".parse().unwrap(),
        Some("s1".to_owned()),
    );
    stand_in.put_instance(entry.clone());
    stand_in.put_instance(target);
    let stale = platform::Fault {
        stale_instances: true,
        ..platform::Fault::default()
    };
    stand_in.set_fault(stale).await;
    stand_in.put_instance(entry.with_state(platform::State::Leaving));

    let before = client.instances().await.unwrap();
    stand_in.set_fault(platform::Fault::default()).await;
    let after = client.instances().await.unwrap();

    let [Member::Entry(entry), Member::Target(target)] = &before[..] else {
        panic!("{before:?}");
    };
    assert_eq!((entry.state, entry.peer.port()), (State::Live, 3));
    assert_eq!(target.start.as_deref(), Some("s1"));
    assert!(matches!(&after[0], Member::Entry(entry) if entry.state == State::Leaving));
}

/// Guards against futures of calls that are not `Send` and can't be spawned on a
/// multi-threaded runtime.
#[tokio::test]
async fn calls_can_be_spawned() {
    let (_stand_in, client) = start().await;

    let write = tokio::spawn({
        let client = client.clone();
        async move { client.transact(&create()).await }
    });
    write.await.unwrap().unwrap();
    let read = tokio::spawn(async move { client.read("a").await });

    assert!(read.await.unwrap().unwrap().is_some());
}

#[tokio::test]
async fn calls_are_counted_by_outcome() {
    let (_stand_in, client) = start().await;
    let registry = Registry::new();
    let client = client.with_metrics(Metrics::register(&registry).unwrap());

    client.transact(&create()).await.unwrap();
    client.transact(&create()).await.unwrap_err();
    client.read("a").await.unwrap();

    let text = prometheus::TextEncoder::new()
        .encode_to_string(&registry.gather())
        .unwrap();
    for line in [
        "carobdrift_platform_calls_total{call=\"transact\",outcome=\"ok\"} 1",
        "carobdrift_platform_calls_total{call=\"transact\",outcome=\"conflict\"} 1",
        "carobdrift_platform_seconds_count{call=\"read\"} 1",
    ] {
        assert!(text.contains(line), "{text}");
    }
}
