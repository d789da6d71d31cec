//! Edits of documents.

use std::sync::Arc;
use std::time::{Duration, Instant};

use carobdrift_document::Document;
use carobdrift_platform::{Condition, Error, Put, Transaction};
use carobdrift_units::{EditId, Service, Team, Version};
use carobdrift_wire::Replica;
use rand::RngExt;
use rapidhash::v3::rapidhash_v3;
use tokio::time::sleep;

use crate::catalog::Shared;
use crate::distribute::distribute;
use crate::error::EditError;
use crate::history::enqueue;
use crate::standing::Count;
use crate::store::{
    ChangeLog, DocumentRow, EditRow, Outcome, StoreError, document_key, edit_key, log_key,
    parse_document_row, read_edit, read_log,
};

/// Time after which an edit that was neither accepted nor rejected is abandoned.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Longest pause before a transaction is retried.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Age of the last answered ping up to which a peer counts towards the quorum. A
/// link without a pong for that long is closed.
const QUORUM_WINDOW: Duration = Duration::from_secs(2);

/// Edit that replaces the document of a service.
#[derive(Debug, Clone)]
pub struct Edit {
    /// Id of the edit; an id is accepted only once.
    pub id: EditId,
    /// New document, which also names the service.
    pub document: Document,
    /// Version of the stored document that the edit is based on; 0 for a new
    /// service.
    pub expected: Version,
    /// Team that must own the stored document; `None` for an operator of the
    /// installation, who may edit documents of all teams.
    pub owner: Option<Team>,
}

/// Acceptance of an edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Acceptance {
    /// Outcome in the form in which it is stored.
    pub outcome: Outcome,
    /// Number of entries known to have the new document in force, including this
    /// entry.
    pub in_force: usize,
    /// Number of entries of the cell.
    pub cell_size: usize,
}

/// Attempt to write an edit.
struct Attempt<'a> {
    edit: &'a Edit,
    service: &'a Service,
    body: &'a str,
    digest: u64,
    /// Id of the transaction.
    transaction: String,
}

/// State of an edit according to the table, read before its transaction.
enum Stage {
    /// The edit has already been accepted.
    Accepted(Outcome),
    /// The edit can be written.
    Ready(Ready),
}

/// Rows that the transaction of an edit is based on.
struct Ready {
    /// Version of the document's row in the platform's table; 0 if there is no
    /// row.
    row_version: u64,
    /// Version of the row of the change log; 0 if there is no row.
    log_version: u64,
    log: ChangeLog,
    /// Document that the edit replaces.
    replaced: Option<Replica>,
}

/// Writes an edit, puts the new document into force and distributes it.
pub(crate) async fn run(shared: &Arc<Shared>, edit: &Edit) -> Result<Acceptance, EditError> {
    let service = &edit.document.service;
    let body = serde_json::to_string(&edit.document)?;
    let outcome = write(shared, edit, service, &body).await?;
    let replica = Replica {
        service: service.clone(),
        version: outcome.version,
        body,
    };
    shared.state.adopt(vec![replica.clone()], "edit");
    shared
        .state
        .record_change(outcome.revision, service, outcome.version);
    enqueue(shared, replica.clone());
    let (in_force, cell_size) = distribute(shared, &replica, outcome.revision).await;
    log::info!(target: "catalog", "edit {} wrote version {} of {service}, in force at {in_force} of {cell_size} entries", edit.id, outcome.version);
    Ok(Acceptance {
        outcome,
        in_force,
        cell_size,
    })
}

/// Writes the edit, unless it turns out to have been accepted already, and returns
/// its outcome.
async fn write(
    shared: &Shared,
    edit: &Edit,
    service: &Service,
    body: &str,
) -> Result<Outcome, EditError> {
    let attempt = Attempt {
        edit,
        service,
        body,
        digest: rapidhash_v3(body.as_bytes()),
        transaction: format!("{:032x}", rand::random::<u128>()),
    };
    let deadline = Instant::now() + TIMEOUT;
    // Error of an earlier transaction that may still take effect.
    let mut uncertain: Option<Error> = None;
    let mut is_retried = false;
    loop {
        let failure = match attempt.read_stage(shared).await {
            Ok(Stage::Accepted(outcome)) => return Ok(outcome),
            Ok(Stage::Ready(ready)) => match attempt.commit(shared, ready).await {
                Ok(outcome) => return Ok(outcome),
                Err(failure) => failure,
            },
            Err(failure) => failure,
        };
        match failure {
            // Another edit has taken the version or the id, so no transaction of
            // this edit can take effect any more.
            Failure::Rejected(error) => return Err(error),
            Failure::Blocked(error) if uncertain.is_none() => return Err(error),
            // The next read shows which row changed.
            Failure::Store(Error::Conflict(_)) => shared.metrics.count_edit("retried"),
            // Sent again after the next read, unless the edit has been accepted. It
            // can't take effect twice, because it requires the row of the edit to
            // be absent.
            Failure::Store(error @ Error::Unknown(_)) => {
                log::warn!(target: "catalog", "reading the row of edit {} because the outcome of its transaction is unknown: {error}", edit.id);
                uncertain = Some(error);
            }
            // The first call after an idle time may use a dead connection; its
            // timeout makes the client replace all connections, so the call is
            // retried once.
            Failure::Store(error) if uncertain.is_none() => {
                if std::mem::replace(&mut is_retried, true) {
                    return Err(EditError::Unavailable(error));
                }
            }
            Failure::Blocked(_) | Failure::Store(_) => {}
        }
        if Instant::now() >= deadline {
            let edit = edit.id.clone();
            return Err(match uncertain {
                Some(cause) => EditError::Unknown { edit, cause },
                None => EditError::Contention,
            });
        }
        // Drawn in a separate statement, because the random generator can't be held
        // across an await point.
        let pause = rand::rng().random_range(Duration::ZERO..MAX_RETRY_PAUSE);
        sleep(pause).await;
    }
}

/// Checks that a majority of the cell responds. Any majority that serves later,
/// when the store can't be reached, then has an entry in common with this one.
fn check_quorum(shared: &Shared) -> Result<(), EditError> {
    let peers = shared.links.peers();
    let all = Count::all(&peers, shared.links.cell_size());
    let responding = Count::responding(&peers, QUORUM_WINDOW, Instant::now());
    if responding.is_majority_of(all) {
        Ok(())
    } else {
        Err(EditError::NoQuorum {
            responding: responding.known,
            cell_size: all.known,
        })
    }
}

/// Failure of a read or of a transaction of an edit.
enum Failure {
    /// No transaction of the edit can take effect any more.
    Rejected(EditError),
    /// No transaction can be sent now. One that was sent earlier may still take
    /// effect.
    Blocked(EditError),
    /// The call to the table failed.
    Store(Error),
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        Self::Store(error)
    }
}

impl From<StoreError> for Failure {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::Platform(error) => Self::Store(error),
            StoreError::Malformed { key, cause } => {
                Self::Blocked(EditError::Malformed { key, cause })
            }
        }
    }
}

impl Attempt<'_> {
    /// Reads the rows that the edit depends on. The row of the edit is read last,
    /// because a changed version of the document may be the result of this edit.
    async fn read_stage(&self, shared: &Shared) -> Result<Stage, Failure> {
        let key = document_key(self.service);
        let (document, log) = tokio::join!(
            shared.client.read(&key),
            read_log(&shared.client, &shared.cell)
        );
        let document = document?;
        let (log_version, log) = log?;
        if let Some(row) = read_edit(&shared.client, &self.edit.id).await? {
            return if row.digest == self.digest && row.outcome.service == *self.service {
                Ok(Stage::Accepted(row.outcome))
            } else {
                Err(Failure::Rejected(EditError::IdReused(self.edit.id.clone())))
            };
        }
        let mut replaced = None;
        let mut current = Version::NONE;
        let row_version = document.as_ref().map_or(0, |row| row.version);
        if let Some(row) = document {
            let (version, body, document) = parse_document_row(&row);
            current = version;
            match document {
                Ok(document) => self
                    .check_owner(shared, document)
                    .map_err(Failure::Rejected)?,
                // The owner is unknown, so only an operator of the installation may
                // replace the document.
                Err(cause) if self.edit.owner.is_some() => {
                    return Err(Failure::Blocked(EditError::Malformed { key, cause }));
                }
                Err(_) => {}
            }
            replaced = Some(Replica {
                service: self.service.clone(),
                version,
                body,
            });
        }
        if current == self.edit.expected {
            Ok(Stage::Ready(Ready {
                row_version,
                log_version,
                log,
                replaced,
            }))
        } else {
            Err(Failure::Rejected(EditError::Conflict {
                service: self.service.clone(),
                expected: self.edit.expected,
                current,
            }))
        }
    }

    fn check_owner(&self, shared: &Shared, stored: DocumentRow) -> Result<(), EditError> {
        if stored.cell != shared.cell {
            return Err(EditError::OtherCell {
                service: self.service.clone(),
                cell: stored.cell,
            });
        }
        match &self.edit.owner {
            Some(team) if *team != stored.team => Err(EditError::NotOwner {
                service: self.service.clone(),
                owner: stored.team,
            }),
            _ => Ok(()),
        }
    }

    /// Commits the transaction that writes the document, the change log and the row
    /// of the edit.
    async fn commit(&self, shared: &Shared, ready: Ready) -> Result<Outcome, Failure> {
        check_quorum(shared).map_err(Failure::Blocked)?;
        let version = self.edit.expected.next();
        let log = ready
            .log
            .append(self.service.clone(), version, &self.transaction);
        let outcome = Outcome {
            edit: self.edit.id.clone(),
            service: self.service.clone(),
            team: self.edit.document.team.clone(),
            version,
            revision: log.revision,
        };
        let versions = (ready.row_version, ready.log_version);
        let transaction = self.build_transaction(shared, versions, &log, &outcome)?;
        shared.client.transact(&transaction).await?;
        if let Some(replaced) = ready.replaced {
            enqueue(shared, replaced);
        }
        Ok(outcome)
    }

    fn build_transaction(
        &self,
        shared: &Shared,
        (row_version, log_version): (u64, u64),
        log: &ChangeLog,
        outcome: &Outcome,
    ) -> Result<Transaction, Error> {
        let document = DocumentRow {
            version: outcome.version,
            body: self.body.to_owned(),
            edit: self.edit.id.clone(),
            team: outcome.team.clone(),
            cell: shared.cell.clone(),
            transaction: self.transaction.clone(),
        };
        let row = EditRow {
            outcome: outcome.clone(),
            digest: self.digest,
            transaction: self.transaction.clone(),
        };
        let keys = [
            (document_key(self.service), row_version),
            (log_key(&shared.cell), log_version),
            (edit_key(&self.edit.id), 0),
        ];
        let encoded = serde_json::to_value(document)
            .and_then(|document| {
                let log = serde_json::to_value(log)?;
                Ok([document, log, serde_json::to_value(row)?])
            })
            .map_err(|error| Error::Protocol(error.into()))?;
        Ok(Transaction {
            id: self.transaction.clone(),
            conditions: keys
                .iter()
                .map(|(key, version)| Condition {
                    key: key.clone(),
                    version: *version,
                })
                .collect(),
            puts: keys
                .into_iter()
                .zip(encoded)
                .map(|((key, _), value)| Put { key, value })
                .collect(),
            deletes: Vec::new(),
        })
    }
}
