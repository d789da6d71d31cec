//! Stand-in of the platform and a client of it.

use std::time::Duration;

use carobdrift_platform::{Client, Condition, Put, Transaction};
use carobdrift_platform_stand_in::{Settings, StandIn, open_client};
use serde_json::{Value, json};

pub(crate) const TIMEOUT: Duration = Duration::from_millis(300);

pub(crate) async fn start() -> (StandIn, Client) {
    let stand_in = StandIn::bind(Settings::default()).await.unwrap();
    let client = open_client(stand_in.address(), TIMEOUT);
    (stand_in, client)
}

/// Returns a transaction that writes a value to a row if the row has the version.
pub(crate) fn put(key: &str, version: u64, value: Value) -> Transaction {
    Transaction {
        id: "t".to_owned(),
        conditions: vec![Condition {
            key: key.to_owned(),
            version,
        }],
        puts: vec![Put {
            key: key.to_owned(),
            value,
        }],
        deletes: Vec::new(),
    }
}

/// Returns a transaction that writes 1 to the row `a` if the row is absent.
pub(crate) fn create() -> Transaction {
    put("a", 0, json!(1))
}
