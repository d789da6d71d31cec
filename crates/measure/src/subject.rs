//! Services that are measured.

use std::sync::Arc;

use carobdrift_balance::Pool;
use carobdrift_document::Document;
use tokio::sync::watch;

/// Service in force, and the pool that receives its results.
#[derive(Debug, Clone)]
pub struct Subject {
    /// Document of the service.
    pub document: Arc<Document>,
    /// Pool of the service's targets.
    pub pool: Pool,
}

/// Services in force, updated as documents change.
pub type Subjects = watch::Receiver<Arc<Vec<Subject>>>;
