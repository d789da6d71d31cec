//! Parsed documents and the bodies that they were parsed from.

use std::collections::BTreeMap;
use std::sync::Arc;

use carobdrift_document::Document;
use carobdrift_units::{Service, Version};

/// Version of a document that is in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Edition {
    /// The document.
    pub document: Arc<Document>,
    /// Version of the document.
    pub version: Version,
}

/// Documents in force, by service.
pub type Documents = BTreeMap<Service, Arc<Edition>>;

/// Record of the newest known version of a document.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    pub(crate) version: Version,
    /// Document in the form in which it was accepted.
    pub(crate) body: Arc<str>,
    /// Parsed document; `None` if this build can't parse the body.
    pub(crate) edition: Option<Arc<Edition>>,
}

impl Record {
    /// Parses a body. A body that this build can't parse, such as one in a newer
    /// format, is kept and replicated, but the service is not served: an older
    /// version must not come back into force.
    pub(crate) fn parse(service: &Service, version: Version, body: Arc<str>) -> Self {
        let edition = match Document::parse(body.as_bytes()) {
            Ok(document) if document.service == *service => Some(Arc::new(Edition {
                document: Arc::new(document),
                version,
            })),
            Ok(document) => {
                log::error!(target: "catalog", "version {version} of {service} holds a document of service {} and is not served", document.service);
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
            edition,
        }
    }
}
