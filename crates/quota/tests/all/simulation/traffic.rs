//! Requests of callers, and messages between entries.

use carobdrift_quota::{Decision, Grants, REPEAT_INTERVAL, RESPONSE_TIMEOUT, Request, grantor};
use rand::RngExt;
use tokio::time::Instant;

use super::{Event, HEADER_BYTES, Process, Simulation, URGENT_INTERVAL, index};

impl Simulation {
    pub(super) fn arrive(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        if entry.process != Process::Running {
            return;
        }
        match entry.accounts.admit(&self.key, self.now) {
            Decision::Admitted(_) => self.admitted.push(self.now),
            Decision::Refused(_) => self.refused += 1,
            Decision::Wait => {
                entry.waiting.push(self.now);
                self.plan(self.now + REPEAT_INTERVAL, Event::Repeat(number, self.now));
                self.plan(self.now + RESPONSE_TIMEOUT, Event::Repeat(number, self.now));
                self.plan_send(number);
            }
        }
    }

    fn plan_send(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        if !std::mem::replace(&mut entry.send_planned, true) {
            let at = entry.may_send_at.max(self.now);
            self.plan(at, Event::Send(number));
        }
    }

    pub(super) fn repeat(&mut self, number: usize, since: Instant) {
        let entry = &mut self.entries[number];
        if entry.process != Process::Running || !entry.waiting.contains(&since) {
            return;
        }
        let is_last = self.now >= since + RESPONSE_TIMEOUT;
        let decision = entry.accounts.decide_waiting(&self.key, is_last, self.now);
        if decision == Decision::Wait {
            self.plan_send(number);
        } else {
            entry.waiting.retain(|other| *other != since);
            self.end_wait(number, &decision);
        }
    }

    fn end_wait(&mut self, number: usize, decision: &Decision) {
        self.entries[number].accounts.end_wait(&self.key);
        match decision {
            Decision::Admitted(_) => self.admitted.push(self.now),
            _ => self.refused += 1,
        }
    }

    pub(super) fn request(&mut self, number: usize, in_advance: bool) {
        let entry = &self.entries[number];
        if entry.process != Process::Running {
            return;
        }
        let hubs = if self.now < entry.joined {
            Vec::new()
        } else {
            self.views[self.view(number)].hubs.clone()
        };
        let entry = &mut self.entries[number];
        if !in_advance {
            entry.may_send_at = self.now + URGENT_INTERVAL;
        }
        let requests = entry
            .accounts
            .requests(in_advance, |key| grantor(key, &hubs), self.now);
        for (to, request) in requests {
            let bytes = postcard::to_allocvec(&request).unwrap();
            self.transmit(number, index(to), bytes, true);
        }
    }

    fn transmit(&mut self, from: usize, to: usize, bytes: Vec<u8>, is_request: bool) {
        if from == to {
            self.deliver(from, to, bytes, is_request);
            return;
        }
        self.messages += 1;
        self.bytes += bytes.len() + HEADER_BYTES;
        self.largest = self.largest.max(bytes.len());
        let parts = self.entries[from].cut == self.entries[to].cut;
        let is_lost = self.random.random_bool(self.loss);
        if (parts || self.connected) && !is_lost {
            let jitter = self.random.random_range(0.0..1.0);
            let delay = self.latency.mul_f64(0.5 + jitter);
            self.plan(
                self.now + delay,
                Event::Deliver(from, to, bytes, is_request),
            );
        }
    }

    pub(super) fn deliver(&mut self, from: usize, to: usize, bytes: Vec<u8>, is_request: bool) {
        let entry = &mut self.entries[to];
        if entry.process == Process::Ended {
            return;
        }
        if entry.process == Process::Frozen {
            entry.inbox.push((from, bytes, is_request));
            return;
        }
        if is_request {
            self.check_frozen(to);
            let request: Request = postcard::from_bytes(&bytes).unwrap();
            let source = self.entries[from].address;
            let entry = &mut self.entries[to];
            let (limit, now) = (entry.limit, self.now);
            let grants = request
                .demands
                .iter()
                .map(|(key, demand)| entry.allocator.grant(source, key, *demand, limit, now));
            let grants = Grants {
                sequence: request.sequence,
                grants: grants.collect(),
            };
            let bytes = postcard::to_allocvec(&grants).unwrap();
            self.transmit(to, from, bytes, false);
            return;
        }
        let grants: Grants = postcard::from_bytes(&bytes).unwrap();
        let source = self.entries[from].address;
        let entry = &mut self.entries[to];
        if entry.accounts.apply(source, &grants, self.now) {
            for since in std::mem::take(&mut self.entries[to].waiting) {
                let accounts = &mut self.entries[to].accounts;
                let decision = accounts.decide_waiting(&self.key, false, self.now);
                if decision == Decision::Wait {
                    self.entries[to].waiting.push(since);
                    self.plan_send(to);
                } else {
                    self.end_wait(to, &decision);
                }
            }
        }
    }
}
