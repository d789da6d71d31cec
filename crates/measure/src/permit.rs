//! Permission to use a lease once.

use std::sync::Arc;

use tokio::sync::watch;

/// Use of a lease in progress. The lease is given back to the platform only
/// after the last permit is dropped.
#[derive(Debug)]
pub struct Permit {
    outstanding: Arc<watch::Sender<usize>>,
}

impl Permit {
    pub(crate) fn new(outstanding: &Arc<watch::Sender<usize>>) -> Self {
        outstanding.send_modify(|count| *count += 1);
        Self {
            outstanding: Arc::clone(outstanding),
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.outstanding.send_modify(|count| *count -= 1);
    }
}
