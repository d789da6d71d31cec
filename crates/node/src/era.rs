//! Newest era of the store that an entry knows of.

use carobdrift_units::Era;
use tokio::sync::watch;

/// Newest era of the store that this entry knows of. The era grows each time the store
/// returns from an older copy.
#[derive(Debug, Default)]
pub(crate) struct Eras {
    newest: watch::Sender<Era>,
}

impl Eras {
    /// Returns the newest era.
    pub(crate) fn newest(&self) -> Era {
        *self.newest.borrow()
    }

    /// Records an era of which the store or another entry has informed this one.
    pub(crate) fn observe(&self, era: Era, source: &str) {
        let known = self.newest();
        let is_newer = self.newest.send_if_modified(|newest| {
            let is_newer = *newest < era;
            *newest = era.max(*newest);
            is_newer
        });
        if is_newer {
            log::info!(target: "store", "event=new-era era={era} known={known} source={source}");
        }
    }

    /// Waits until a newer era than `known` is known.
    pub(crate) async fn wait_for_newer(&self, known: Era) {
        let mut eras = self.newest.subscribe();
        // Fails only when the sender is dropped, and `self` owns the sender.
        let _ = eras.wait_for(|era| *era > known).await;
    }
}
