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
use crate::error::EditError;
use crate::history::keep;
use crate::spread::spread;
use crate::standing::Count;
use crate::store::{
    ChangeLog, DocumentRow, EditRow, Outcome, StoreError, document_key, edit_key, log_key,
    read_document, read_edit, read_log,
};

/// Time within which an edit is accepted, rejected or given up.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Longest pause before a transaction is tried again.
const PAUSE: Duration = Duration::from_millis(50);

/// Time within which a pong makes a peer count for the quorum; a link without
/// one for that long is closed.
const QUORUM_WINDOW: Duration = Duration::from_secs(2);

/// A replacement of a service's document.
#[derive(Debug, Clone)]
pub struct Edit {
    /// Id of the edit; the same id is accepted once.
    pub id: EditId,
    /// The new document; it names the service.
    pub document: Document,
    /// Version that the edit is based on; 0 for a new service.
    pub expected: Version,
    /// Team that must own the stored document; none for an operator of the
    /// installation.
    pub owner: Option<Team>,
}

/// An accepted edit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Acceptance {
    /// The outcome as stored.
    pub outcome: Outcome,
    /// Entries that have it in force, this one included.
    pub in_force: usize,
    /// Entries of the cell.
    pub cell_size: usize,
}

/// An edit on its way.
struct Attempt<'a> {
    edit: &'a Edit,
    service: &'a Service,
    body: &'a str,
    digest: u64,
    transaction: String,
}

/// What the table says about an edit before its transaction.
enum Stage {
    /// It was accepted earlier.
    Accepted(Outcome),
    /// It can be written.
    Ready(Ready),
}

/// What the transaction of an edit is based on.
struct Ready {
    /// Version of the document's row in the platform's table; 0 without a row.
    row_version: u64,
    /// The same of the change log.
    log_version: u64,
    log: ChangeLog,
    /// The document that the edit replaces.
    replaced: Option<Replica>,
}

/// Runs an edit to its end.
pub(crate) async fn run(shared: &Arc<Shared>, edit: &Edit) -> Result<Acceptance, EditError> {
    let service = &edit.document.service;
    let body = serde_json::to_string(&edit.document)?;
    let outcome = write(shared, edit, service, &body).await?;
    let copy = Replica {
        service: service.clone(),
        version: outcome.version,
        body,
    };
    shared.state.adopt(vec![copy.clone()], "edit");
    shared
        .state
        .mark(outcome.revision, service, outcome.version);
    keep(shared, copy.clone());
    let (in_force, cell_size) = spread(shared, &copy, outcome.revision).await;
    log::info!(target: "catalog", "edit {} made version {} of {service}, in force on {in_force} of {cell_size} entries", edit.id, outcome.version);
    Ok(Acceptance {
        outcome,
        in_force,
        cell_size,
    })
}

/// Writes the edit, or finds out that it was written.
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
    // Cause of a transaction that may still take effect.
    let mut open: Option<Error> = None;
    let mut is_repeated = false;
    loop {
        let refused = match attempt.look(shared).await {
            Ok(Stage::Accepted(outcome)) => return Ok(outcome),
            Ok(Stage::Ready(ready)) => match attempt.send(shared, ready).await {
                Ok(outcome) => return Ok(outcome),
                Err(refused) => refused,
            },
            Err(refused) => refused,
        };
        match refused {
            // Another write has the version or the id, so no transaction of
            // this edit can take effect any more.
            Refused::Final(error) => return Err(error),
            Refused::Now(error) if open.is_none() => return Err(error),
            // The next look tells which row changed.
            Refused::Store(Error::Conflict(_)) => shared.metrics.count_edit("retried"),
            // Sent again after the next look. It can't take effect twice,
            // because it requires the row of the edit to be absent.
            Refused::Store(error @ Error::Unknown(_)) => {
                log::warn!(target: "catalog", "reading back edit {}: {error}", edit.id);
                open = Some(error);
            }
            // The first call after a while may meet a connection that went
            // silent; its timeout replaces all connections.
            Refused::Store(error) if open.is_none() => {
                if std::mem::replace(&mut is_repeated, true) {
                    return Err(EditError::Unavailable(error));
                }
            }
            Refused::Now(_) | Refused::Store(_) => {}
        }
        if Instant::now() >= deadline {
            let edit = edit.id.clone();
            return Err(match open {
                Some(cause) => EditError::Unknown { edit, cause },
                None => EditError::Contention,
            });
        }
        // A statement of its own: the generator can't be held across the wait.
        let pause = rand::rng().random_range(Duration::ZERO..PAUSE);
        sleep(pause).await;
    }
}

/// Requires that more than half of the cell is heard. Any majority that later
/// serves without the store then shares a member with this one.
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

/// Why a look or a transaction did not lead on.
enum Refused {
    /// No transaction of the edit can take effect any more.
    Final(EditError),
    /// No transaction can be sent now; one that was sent may take effect.
    Now(EditError),
    Store(Error),
}

impl From<Error> for Refused {
    fn from(error: Error) -> Self {
        Self::Store(error)
    }
}

impl From<StoreError> for Refused {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::Platform(error) => Self::Store(error),
            StoreError::Malformed { key, cause } => Self::Now(EditError::Malformed { key, cause }),
        }
    }
}

impl Attempt<'_> {
    /// Reads what the edit depends on. The row of the edit is read last: a
    /// document that moved on before it was read may have done so by this edit.
    async fn look(&self, shared: &Shared) -> Result<Stage, Refused> {
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
                Err(Refused::Final(EditError::IdReused(self.edit.id.clone())))
            };
        }
        let mut replaced = None;
        let mut current = Version::NONE;
        let row_version = document.as_ref().map_or(0, |row| row.version);
        if let Some(row) = document {
            let (version, body, document) = read_document(&row);
            current = version;
            match document {
                Ok(document) => self.check_owner(shared, document).map_err(Refused::Final)?,
                // Without a known owner only an operator of the installation
                // may replace it.
                Err(cause) if self.edit.owner.is_some() => {
                    return Err(Refused::Now(EditError::Malformed { key, cause }));
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
            Err(Refused::Final(EditError::Conflict {
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

    /// Sends the transaction that writes the document, the change log and the
    /// row of the edit.
    async fn send(&self, shared: &Shared, ready: Ready) -> Result<Outcome, Refused> {
        check_quorum(shared).map_err(Refused::Now)?;
        let version = self.edit.expected.next();
        let log = ready
            .log
            .with(self.service.clone(), version, &self.transaction);
        let outcome = Outcome {
            edit: self.edit.id.clone(),
            service: self.service.clone(),
            team: self.edit.document.team.clone(),
            version,
            revision: log.revision,
        };
        let versions = (ready.row_version, ready.log_version);
        let transaction = self.transaction(shared, versions, &log, &outcome)?;
        shared.client.transact(&transaction).await?;
        if let Some(replaced) = ready.replaced {
            keep(shared, replaced);
        }
        Ok(outcome)
    }

    fn transaction(
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
