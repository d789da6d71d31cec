//! The catalog as the data path sees it.

use std::time::Duration;

use carobdrift_catalog::Catalog;
use carobdrift_proxy::{Held, Standing, Wait};
use carobdrift_units::Service;

/// Documents in force at this entry.
#[derive(Debug)]
pub(crate) struct Documents(pub(crate) Catalog);

impl carobdrift_proxy::Documents for Documents {
    fn held(&self, service: &Service) -> Option<Held> {
        let held = self.0.held(service)?;
        Some(Held {
            document: held.document.clone(),
            version: held.version,
        })
    }

    fn standing(&self) -> Standing {
        convert(self.0.standing())
    }

    fn confirm(&self, max_wait: Duration) -> Wait {
        let catalog = self.0.clone();
        Box::pin(async move { convert(catalog.confirm(max_wait).await) })
    }
}

fn convert(standing: carobdrift_catalog::Standing) -> Standing {
    if standing.serves() {
        Standing::Serves
    } else {
        Standing::Unconfirmed
    }
}
