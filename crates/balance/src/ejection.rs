//! Ejection of failing targets, within its cap.

use tokio::time::Instant;

use crate::node::Node;
use crate::state::State;

/// Largest part of the targets that is ejected at a time: one in three.
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
            let length = node.health.eject(now, latest);
            let target = &node.endpoint.id;
            log::warn!(target: "balance", "{service}: target {target} is ejected for {length:?}");
            self.metrics
                .ejections
                .with_label_values(&[service.as_str()])
                .inc();
        }
    }

    /// Returns ejected targets early when fewer targets are left.
    pub(crate) fn enforce_ejection_cap(&mut self, now: Instant) {
        while self.ejected().count() > self.ejection_cap() {
            let next = self.ejected().min_by_key(|node| node.health.until());
            let Some(serial) = next.map(|node| node.serial) else {
                return;
            };
            if let Some(node) = self.nodes.get_mut(&serial) {
                node.health.restore(now);
            }
        }
    }
}
