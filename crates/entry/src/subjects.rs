//! Services in force with their pools, for the parts that look at all of them.

use std::sync::Arc;

use carobdrift_catalog::{Catalog, Documents};
use carobdrift_measure::{Subject, Subjects};
use carobdrift_proxy::Services;
use tokio::sync::watch;

/// Follows the documents in force. Each change also brings the pools up to
/// date, so that a leaving mark in a document does not wait for a call.
pub(crate) fn follow(catalog: &Catalog, services: &Services) -> Subjects {
    let mut changes = catalog.watch_documents();
    let services = services.clone();
    let first = collect(&changes.borrow_and_update(), &services);
    let (sender, receiver) = watch::channel(first);
    tokio::spawn(async move {
        while changes.changed().await.is_ok() {
            let documents = changes.borrow_and_update().clone();
            if sender.send(collect(&documents, &services)).is_err() {
                return;
            }
        }
    });
    receiver
}

fn collect(documents: &Documents, services: &Services) -> Arc<Vec<Subject>> {
    let subjects = documents.iter().filter_map(|(service, held)| {
        Some(Subject {
            document: held.document.clone(),
            pool: services.pool(service)?,
        })
    });
    Arc::new(subjects.collect())
}
