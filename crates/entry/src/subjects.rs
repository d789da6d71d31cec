//! Current documents with their pools, for components that process all services.

use std::sync::Arc;

use carobdrift_catalog::{Catalog, Documents};
use carobdrift_measure::{Subject, Subjects};
use carobdrift_proxy::Services;
use tokio::sync::watch;

/// Watches the current documents. Each change also updates the pools, so that a
/// leaving mark in a document takes effect before the next call.
pub(crate) fn watch_documents(catalog: &Catalog, services: &Services) -> Subjects {
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
    let subjects = documents.iter().filter_map(|(service, edition)| {
        Some(Subject {
            document: edition.document.clone(),
            pool: services.pool(service)?,
        })
    });
    Arc::new(subjects.collect())
}
