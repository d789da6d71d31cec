//! Permission to use a lease for one probe.

use std::sync::Arc;

use tokio::sync::watch;

/// Permission to use a lease for one probe. The lease is released only after
/// the last permit is dropped.
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
