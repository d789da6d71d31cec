//! Faults of entries and of the links between them.

use carobdrift_quota::{Accounts, Allocator};

use super::{Event, JOIN, Process, Simulation};

impl Simulation {
    pub(crate) fn set_running(&mut self, numbers: &[usize], running: bool) {
        for number in numbers {
            let entry = &mut self.entries[*number];
            entry.process = if running {
                Process::Running
            } else {
                Process::Ended
            };
            entry.accounts = Accounts::open(self.order as u32);
            entry.allocator = Allocator::open(entry.address);
            entry.joined = self.now + JOIN;
            entry.last_run = self.now;
            entry.waiting.clear();
            entry.inbox.clear();
        }
        self.update_reach();
    }

    pub(crate) fn set_frozen(&mut self, number: usize, frozen: bool) {
        self.entries[number].process = if frozen {
            Process::Frozen
        } else {
            Process::Running
        };
        self.update_reach();
        if !frozen {
            for (from, bytes, is_request) in std::mem::take(&mut self.entries[number].inbox) {
                self.plan(self.now, Event::Deliver(from, number, bytes, is_request));
            }
        }
    }

    /// Disconnects entries from all others, or connects them again.
    pub(crate) fn cut(&mut self, numbers: &[usize]) {
        for number in numbers {
            self.entries[*number].cut = true;
        }
        self.connected = false;
        self.update_reach();
    }

    pub(crate) fn reconnect(&mut self) {
        self.connected = true;
        self.update_reach();
    }
}
