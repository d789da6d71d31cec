//! Backend of a running entry.

use std::sync::Arc;
use std::time::{Duration, Instant};

use carobdrift_balance::{Pool, Snapshot};
use carobdrift_catalog::{Acceptance, Catalog, Documents, Edit, EditError, Outcome, Standing};
use carobdrift_idempotency::{Ledger, Prefix};
use carobdrift_membership::{Links, Peer};
use carobdrift_platform::Error;
use carobdrift_units::{EditId, Instance, Millis, Service, Version};
use carobdrift_wire::{Answer, Query};
use futures_util::future::{BoxFuture, join_all};

use crate::backend::{Adoption, Backend, Entry};

/// Time within which a peer must answer a query for its versions.
const VERSIONS_QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Function that returns the target pool of a service; `None` when the entry
/// does not serve the service.
pub type PoolLookup = Arc<dyn Fn(&Service) -> Option<Pool> + Send + Sync>;

/// Components of a running entry that the API shows and edits.
#[derive(Clone)]
pub struct Components {
    catalog: Catalog,
    links: Links,
    ledger: Ledger,
    pools: PoolLookup,
}

impl Components {
    /// Creates a backend from the given components.
    #[must_use]
    pub fn new(catalog: Catalog, links: Links, ledger: Ledger, pools: PoolLookup) -> Self {
        Self {
            catalog,
            links,
            ledger,
            pools,
        }
    }

    async fn query_adoption(&self, instance: Instance, service: &Service) -> Adoption {
        let query = self
            .links
            .query(&instance, Query::Versions, VERSIONS_QUERY_TIMEOUT);
        let (version, answered) = match query.await {
            Ok(Answer::Versions {
                versions,
                unreadable,
                ..
            }) => {
                let known = versions.into_iter().find(|(name, _)| name == service);
                let in_force = known.filter(|(name, _)| !unreadable.contains(name));
                (in_force.map(|(_, version)| version), true)
            }
            Ok(_) => (None, false),
            Err(error) => {
                log::debug!(target: "admin", "{instance} did not answer a query for its versions: {error}");
                (None, false)
            }
        };
        Adoption {
            instance,
            version,
            answered,
        }
    }
}

impl From<Peer> for Entry {
    fn from(peer: Peer) -> Self {
        let announced = peer.status.as_ref().is_some_and(|status| status.leaving);
        Self {
            instance: peer.instance,
            zone: peer.zone,
            caller: peer.caller,
            admin: peer.admin,
            leaving: peer.leaving || announced,
            status: peer.status,
            contact_age: peer
                .last_ack
                .map(|sent| Instant::now().saturating_duration_since(sent)),
        }
    }
}

impl Backend for Components {
    fn documents(&self) -> Arc<Documents> {
        self.catalog.documents()
    }

    fn standing(&self) -> Standing {
        self.catalog.standing()
    }

    fn local_entry(&self) -> Entry {
        let hello = self.links.hello();
        let status = self.links.status();
        Entry {
            instance: hello.instance.clone(),
            zone: hello.zone.clone(),
            caller: hello.caller,
            admin: hello.admin,
            leaving: status.leaving,
            status: Some(status),
            contact_age: Some(Duration::ZERO),
        }
    }

    fn peers(&self) -> Vec<Entry> {
        self.links.peers().into_iter().map(Entry::from).collect()
    }

    fn targets(&self, service: &Service) -> Option<Vec<Snapshot>> {
        (self.pools)(service).map(|pool| pool.snapshots())
    }

    fn key_prefix(&self, decider: &Instance) -> Option<String> {
        if decider == self.ledger.instance() {
            return Some(self.ledger.prefix().to_string());
        }
        let peers = self.links.peers();
        let peer = peers.into_iter().find(|peer| peer.instance == *decider)?;
        let ledger_age = peer.status?.ledger_age;
        // The time of issue is the one that the decider last announced. It lies
        // in the past, so keys with this prefix only expire slightly earlier
        // than keys with a prefix that the decider issues itself.
        (ledger_age > Millis(0)).then_some(())?;
        let prefix = Prefix {
            instance: peer.instance,
            incarnation: peer.incarnation?,
            issued_ms: ledger_age.0,
            nonce: rand::random(),
        };
        Some(prefix.to_string())
    }

    fn history(&self, service: &Service) -> Vec<Version> {
        self.catalog.history(service)
    }

    fn body(
        &self,
        service: Service,
        version: Version,
    ) -> BoxFuture<'_, Result<Option<String>, Error>> {
        Box::pin(async move { self.catalog.body(&service, version).await })
    }

    fn edit(&self, edit: Edit) -> BoxFuture<'_, Result<Acceptance, EditError>> {
        Box::pin(self.catalog.edit(edit))
    }

    fn edit_outcome(&self, id: EditId) -> BoxFuture<'_, Result<Option<Outcome>, Error>> {
        Box::pin(async move { self.catalog.edit_outcome(&id).await })
    }

    fn adoptions(&self, service: Service) -> BoxFuture<'_, Vec<Adoption>> {
        Box::pin(async move {
            let own = Adoption {
                instance: self.links.hello().instance.clone(),
                version: self
                    .catalog
                    .edition(&service)
                    .map(|edition| edition.version),
                answered: true,
            };
            let peers = self.links.peers().into_iter();
            let mut adoptions =
                join_all(peers.map(|peer| self.query_adoption(peer.instance, &service))).await;
            adoptions.push(own);
            adoptions
        })
    }
}
