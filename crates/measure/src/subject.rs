//! What is measured.

use std::sync::Arc;

use carobdrift_balance::Pool;
use carobdrift_document::Document;
use tokio::sync::watch;

/// A service in force, with the pool that takes the results.
#[derive(Debug, Clone)]
pub struct Subject {
    /// Document in force.
    pub document: Arc<Document>,
    /// Pool of its targets.
    pub pool: Pool,
}

/// The services in force.
pub type Subjects = watch::Receiver<Arc<Vec<Subject>>>;
