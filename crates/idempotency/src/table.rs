//! Claims of callers' own keys in the platform's table.

use std::sync::Arc;
use std::time::Duration;

use carobdrift_platform::{Client, Condition, Error, Put, Row, Transaction};
use carobdrift_units::Service;
use carobdrift_wire::{Attempt, Decision, Fingerprint, Key, Response};
use log::warn;
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::bucket::Bucket;
use crate::ledger::MAX_RECORDED_BODY_BYTES;
use crate::refusal::Refusal;

/// Time for which the end of a claim is tried to be written.
const END_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(500);

/// Characters of a long idempotency key that its row's key holds. With a
/// service's name and a hash the row's key stays within the platform's 200 bytes.
const LONG_KEY_HEAD: usize = 100;

#[derive(Debug)]
pub(crate) struct Table {
    platform: Client,
    writes: Bucket,
}

/// A claim row that an attempt wrote.
#[derive(Debug)]
pub(crate) struct Claimed {
    row: String,
    version: u64,
    value: Value,
}

/// Value of a claim row.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Value {
    /// Attempt that wrote the row, as text: JSON numbers can't hold it.
    attempt: String,
    fingerprint: u64,
    /// Absent until the request is known to have run.
    settled: Option<Settled>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Settled {
    recorded: Option<Response>,
}

impl Table {
    pub(crate) fn open(platform: Client, writes_per_second: u32) -> Arc<Self> {
        Arc::new(Self {
            platform,
            writes: Bucket::new(f64::from(writes_per_second)),
        })
    }

    pub(crate) async fn claim(
        self: &Arc<Self>,
        service: &Service,
        key: &Key,
        attempt: Attempt,
        fingerprint: Fingerprint,
    ) -> Result<Claimed, Refusal> {
        if !self.writes.take() {
            return Err(Refusal::RateLimited);
        }
        let row = row_key(service, key);
        let value = Value {
            attempt: text(attempt),
            fingerprint: fingerprint.0,
            settled: None,
        };
        let put = transaction(&row, 0, Some(&value))?;
        let claimed = |version| Claimed {
            row: row.clone(),
            version,
            value: value.clone(),
        };
        match self.platform.transact(&put).await {
            Ok(commit) => {
                let version = commit.versions.get(&row).copied();
                Ok(claimed(version.ok_or(Refusal::StoreUnavailable)?))
            }
            Err(Error::Conflict(_) | Error::Unknown(_)) => {
                let found = self.platform.read(&row).await.ok().flatten();
                let Some((version, theirs)) = found.and_then(parse) else {
                    self.withdraw_later(row, value);
                    return Err(Refusal::StoreUnavailable);
                };
                if theirs.attempt == value.attempt {
                    return Ok(claimed(version));
                }
                Err(refusal(theirs, fingerprint))
            }
            Err(Error::Unavailable(_) | Error::Protocol(_)) => Err(Refusal::StoreUnavailable),
        }
    }

    pub(crate) async fn settle(&self, mut claimed: Claimed, recorded: Option<Response>) {
        let recorded = recorded.filter(|recorded| recorded.body.len() <= MAX_RECORDED_BODY_BYTES);
        claimed.value.settled = Some(Settled { recorded });
        let settle = transaction(&claimed.row, claimed.version, Some(&claimed.value));
        self.end(settle.ok()).await;
    }

    pub(crate) async fn release(&self, claimed: Claimed) {
        let release = transaction(&claimed.row, claimed.version, None);
        self.end(release.ok()).await;
    }

    /// Deletes a claim row that may have been written for an attempt that does
    /// not run; the write may even take effect later than the first reads.
    fn withdraw_later(self: &Arc<Self>, row: String, value: Value) {
        let table = Arc::clone(self);
        tokio::spawn(async move {
            let deadline = Instant::now() + END_TIMEOUT;
            while Instant::now() < deadline {
                tokio::time::sleep(PAUSE).await;
                let found = table.platform.read(&row).await.ok().flatten();
                let Some((version, theirs)) = found.and_then(parse) else {
                    continue;
                };
                if theirs.attempt == value.attempt {
                    let claimed = Claimed {
                        row,
                        version,
                        value,
                    };
                    table.release(claimed).await;
                }
                return;
            }
        });
    }

    /// Writes the end of a claim. When that fails the key stays claimed.
    async fn end(&self, transaction: Option<Transaction>) {
        let Some(transaction) = transaction else {
            return;
        };
        let deadline = Instant::now() + END_TIMEOUT;
        while self.writes.wait(deadline).await {
            match self.platform.transact(&transaction).await {
                // After a lost response the version has moved on: a conflict
                // means that the write took effect.
                Ok(_) | Err(Error::Conflict(_)) => return,
                Err(_) => tokio::time::sleep(PAUSE).await,
            }
        }
        warn!(target: "keys", "the end of a claim could not be written; its key stays claimed");
    }
}

/// Key of the row of a claim. Two long keys share a row only if their heads and
/// their hashes are equal; the second one is then refused, never run twice.
fn row_key(service: &Service, key: &Key) -> String {
    let text = key.as_str();
    match text.get(..LONG_KEY_HEAD) {
        Some(head) if text.len() > LONG_KEY_HEAD => {
            format!(
                "claims/{service}/{head}/{:016x}",
                rapidhash_v3(text.as_bytes())
            )
        }
        _ => format!("claims/{service}/{text}"),
    }
}

fn transaction(row: &str, version: u64, value: Option<&Value>) -> Result<Transaction, Refusal> {
    let key = row.to_owned();
    let condition = Condition {
        key: key.clone(),
        version,
    };
    let mut transaction = Transaction {
        id: text(Attempt(rand::random())),
        conditions: vec![condition],
        puts: Vec::new(),
        deletes: Vec::new(),
    };
    match value {
        Some(value) => {
            let value = serde_json::to_value(value).map_err(|_| Refusal::StoreUnavailable)?;
            transaction.puts.push(Put { key, value });
        }
        None => transaction.deletes.push(key),
    }
    Ok(transaction)
}

fn parse(row: Row) -> Option<(u64, Value)> {
    let value = serde_json::from_value(row.value).ok()?;
    Some((row.version, value))
}

fn refusal(theirs: Value, fingerprint: Fingerprint) -> Refusal {
    if theirs.fingerprint != fingerprint.0 {
        return Refusal::Mismatch;
    }
    let decision = match theirs.settled {
        Some(settled) => Decision::AlreadyRun(settled.recorded),
        None => Decision::InProgress,
    };
    Refusal::from_decision(decision).unwrap_or(Refusal::InProgress)
}

fn text(attempt: Attempt) -> String {
    format!("{:032x}", attempt.0)
}
