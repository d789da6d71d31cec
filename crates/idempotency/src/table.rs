//! Claims of keys that callers chose, as rows of the platform's table.

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

/// Time for which a settlement or release waits for its share of the write rate,
/// and for which the row of a claim to withdraw is looked for.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Leading part of a long idempotency key that the key of its row keeps. With the
/// name of the service and a hash, the key of the row stays within the platform's
/// limit of 200 bytes.
const MAX_KEY_HEAD_BYTES: usize = 100;

/// Table of claims.
#[derive(Debug)]
pub(crate) struct Table {
    platform: Client,
    writes: Bucket,
}

/// Row of a claim that an attempt holds.
#[derive(Debug)]
pub(crate) struct ClaimRow {
    row: String,
    version: u64,
    value: Value,
}

/// Value of the row of a claim.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Value {
    /// Attempt that wrote the row, as text because JSON numbers can't hold 128
    /// bits.
    attempt: String,
    fingerprint: u64,
    /// Absent until the request is known to have run.
    settled: Option<Settled>,
}

/// Settlement of a claim, with the response if it was kept.
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
    ) -> Result<ClaimRow, Refusal> {
        if !self.writes.try_take() {
            return Err(Refusal::RateLimited);
        }
        let row = row_key(service, key);
        let value = Value {
            attempt: attempt_text(attempt),
            fingerprint: fingerprint.0,
            settled: None,
        };
        let put = transaction(&row, 0, Some(&value))?;
        let claimed = |version| ClaimRow {
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
                let read_back = self.platform.read(&row).await.ok().flatten();
                let Some((version, existing)) = read_back.and_then(decode) else {
                    self.spawn_withdrawal(row, value);
                    return Err(Refusal::StoreUnavailable);
                };
                if existing.attempt == value.attempt {
                    return Ok(claimed(version));
                }
                Err(refusal(existing, fingerprint))
            }
            Err(Error::Unavailable(_) | Error::Protocol(_)) => Err(Refusal::StoreUnavailable),
        }
    }

    pub(crate) async fn settle(&self, mut claimed: ClaimRow, recorded: Option<Response>) {
        let recorded = recorded.filter(|recorded| recorded.body.len() <= MAX_RECORDED_BODY_BYTES);
        claimed.value.settled = Some(Settled { recorded });
        let settle = transaction(&claimed.row, claimed.version, Some(&claimed.value));
        self.complete(settle.ok()).await;
    }

    pub(crate) async fn release(&self, claimed: ClaimRow) {
        let release = transaction(&claimed.row, claimed.version, None);
        self.complete(release.ok()).await;
    }

    /// Deletes the row that may have been written for an attempt that does not run.
    /// The write may take effect only after the first reads, so a background task
    /// looks for the row repeatedly.
    fn spawn_withdrawal(self: &Arc<Self>, row: String, value: Value) {
        let table = Arc::clone(self);
        tokio::spawn(async move {
            let deadline = Instant::now() + COMPLETION_TIMEOUT;
            while Instant::now() < deadline {
                tokio::time::sleep(RETRY_INTERVAL).await;
                let read_back = table.platform.read(&row).await.ok().flatten();
                let Some((version, existing)) = read_back.and_then(decode) else {
                    continue;
                };
                if existing.attempt == value.attempt {
                    let claimed = ClaimRow {
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

    /// Writes the settlement or the release of a claim. A failed write is retried
    /// until it succeeds, or until the write rate is used up at the deadline; the
    /// key then stays claimed.
    async fn complete(&self, transaction: Option<Transaction>) {
        let Some(transaction) = transaction else {
            return;
        };
        let deadline = Instant::now() + COMPLETION_TIMEOUT;
        while self.writes.take_before(deadline).await {
            match self.platform.transact(&transaction).await {
                // After a lost response, a conflict means that the write took
                // effect and changed the version.
                Ok(_) | Err(Error::Conflict(_)) => return,
                Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
            }
        }
        warn!(target: "keys", "could not write the settlement or release of a claim; its key stays claimed");
    }
}

/// Returns the key of the row of a claim. Two long idempotency keys share a row
/// only if their heads and their hashes are equal; the second one is then
/// refused, so no request runs twice.
fn row_key(service: &Service, key: &Key) -> String {
    let text = key.as_str();
    match text.get(..MAX_KEY_HEAD_BYTES) {
        Some(head) if text.len() > MAX_KEY_HEAD_BYTES => {
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
        id: attempt_text(Attempt(rand::random())),
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

fn decode(row: Row) -> Option<(u64, Value)> {
    let value = serde_json::from_value(row.value).ok()?;
    Some((row.version, value))
}

fn refusal(existing: Value, fingerprint: Fingerprint) -> Refusal {
    if existing.fingerprint != fingerprint.0 {
        return Refusal::Mismatch;
    }
    let decision = match existing.settled {
        Some(settled) => Decision::AlreadyRun(settled.recorded),
        None => Decision::InProgress,
    };
    Refusal::from_decision(decision).unwrap_or(Refusal::InProgress)
}

fn attempt_text(attempt: Attempt) -> String {
    format!("{:032x}", attempt.0)
}
