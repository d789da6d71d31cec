//! Ejection of failing targets, and its limit.

use tokio::time::Instant;

use crate::node::Node;
use crate::state::State;

/// Largest part of the usable targets that is ejected at a time, as a divisor:
/// one in three. One of two targets may be ejected as well, but never the only
/// one.
const EJECTION_DIVISOR: usize = 3;

impl State {
    fn ejection_cap(&self) -> usize {
        match self.nodes.values().filter(|node| node.is_usable()).count() {
            0 | 1 => 0,
            usable => (usable / EJECTION_DIVISOR).max(1),
        }
    }

    fn ejected(&self) -> impl Iterator<Item = &Node> {
        let usable = self.nodes.values().filter(|node| node.is_usable());
        usable.filter(|node| node.health.is_ejected())
    }

    pub(crate) fn eject(&mut self, serial: u64, now: Instant) {
        let others = self.ejected().filter(|node| node.serial != serial).count();
        if others >= self.ejection_cap() {
            return;
        }
        let latest = self.attempts;
        let service = &self.document.service;
        if let Some(node) = self.nodes.get_mut(&serial) {
            let duration = node.health.eject(now, latest);
            let target = &node.endpoint.id;
            log::warn!(target: "balance", "{service}: target {target} ejected for {duration:?} after failures");
            self.metrics
                .ejections
                .with_label_values(&[service.as_str()])
                .inc();
        }
    }

    /// Ends ejections while more targets are ejected than the cap allows,
    /// because fewer targets are left. The ejections that would end next come
    /// first.
    pub(crate) fn enforce_ejection_cap(&mut self, now: Instant) {
        while self.ejected().count() > self.ejection_cap() {
            let next = self.ejected().min_by_key(|node| node.health.ejection_end());
            let Some(serial) = next.map(|node| node.serial) else {
                return;
            };
            if let Some(node) = self.nodes.get_mut(&serial) {
                node.health.end_ejection(now);
            }
        }
    }
}
