//! Documents that an entry holds.

use std::collections::BTreeMap;
use std::sync::Arc;

use carobdrift_document::Document;
use carobdrift_units::{Service, Version};

/// A document in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Edition {
    /// The document.
    pub document: Arc<Document>,
    /// Its version.
    pub version: Version,
}

/// All documents in force, by service.
pub type Documents = BTreeMap<Service, Arc<Edition>>;

/// Newest known version of a document, in the form in which it was accepted.
#[derive(Debug, Clone)]
pub(crate) struct Stored {
    pub(crate) version: Version,
    pub(crate) body: Arc<str>,
    /// The parsed document; absent when this build can't parse it.
    pub(crate) held: Option<Arc<Edition>>,
}

impl Stored {
    /// Parses a body. A body that this build can't parse, such as one of a
    /// newer format, is kept and passed on, and the service is not served: an
    /// older version must not come back into force.
    pub(crate) fn parse(service: &Service, version: Version, body: Arc<str>) -> Self {
        let held = match Document::parse(body.as_bytes()) {
            Ok(document) if document.service == *service => Some(Arc::new(Edition {
                document: Arc::new(document),
                version,
            })),
            Ok(document) => {
                log::error!(target: "catalog", "version {version} of {service} is a document of {} and is not served", document.service);
                None
            }
            Err(rejection) => {
                let faults: Vec<_> = rejection.faults.iter().map(ToString::to_string).collect();
                log::error!(target: "catalog", "version {version} of {service} can't be parsed and is not served: {}", faults.join("; "));
                None
            }
        };
        Self {
            version,
            body,
            held,
        }
    }
}
