//! Event loop that plays entries, their grantors and the messages between them against
//! the real accounts and allocators.

mod faults;
mod traffic;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::net::IpAddr;
use std::time::Duration;

use carobdrift_quota::{Accounts, Allocator, Key, Limit, grantor};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

const ZONES: usize = 3;
const TICK: Duration = Duration::from_millis(100);
const URGENT_INTERVAL: Duration = Duration::from_millis(5);
/// Silence after which an entry of the same zone is not a hub, and one of another
/// zone counts as lost.
const RESPONSIVE: Duration = Duration::from_millis(900);
const ALIVE: Duration = Duration::from_secs(2);
/// Silence between two runs after which an entry knows that it was frozen.
const FROZEN: Duration = Duration::from_millis(700);
/// Silence of all others after which an entry is out of contact.
const ISOLATED: Duration = Duration::from_millis(600);
/// Time in which news of an entry that returned reach the others.
const JOIN: Duration = Duration::from_millis(300);
/// Headers of a datagram, in bytes.
const HEADER_BYTES: usize = 28;

/// Returns the number of the entry with an address.
fn index(address: IpAddr) -> usize {
    let IpAddr::V4(address) = address else {
        unreachable!("the simulation has no other addresses");
    };
    let [.., high, low] = address.octets();
    usize::from(high) * 250 + usize::from(low)
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick,
    Arrival,
    Send(usize),
    /// A caller that waits at an entry since a time asks again.
    Repeat(usize, Instant),
    Deliver(usize, usize, Vec<u8>, bool),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Process {
    Running,
    Frozen,
    Ended,
}

struct Entry {
    address: IpAddr,
    zone: usize,
    accounts: Accounts,
    allocator: Allocator,
    limit: Limit,
    process: Process,
    /// Whether the entry is in the part that is cut off while `connected` is false.
    cut: bool,
    /// Time from which on a started entry knows the others.
    joined: Instant,
    last_run: Instant,
    waiting: Vec<Instant>,
    may_send_at: Instant,
    send_planned: bool,
    /// Messages that wait for the end of a freeze.
    inbox: Vec<(usize, Vec<u8>, bool)>,
    /// Since when each part of the installation can reach the entry, or can't.
    reached: [(bool, Instant); 2],
}

/// What the entries of a part and zone know of the others.
struct View {
    hubs: Vec<IpAddr>,
    is_majority: bool,
    lost: Vec<IpAddr>,
    silent: Vec<(IpAddr, Instant)>,
}

/// Simulated installation with one workspace.
pub(crate) struct Simulation {
    entries: Vec<Entry>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    order: u64,
    pub(crate) now: Instant,
    start: Instant,
    pub(crate) key: Key,
    random: StdRng,
    connected: bool,
    /// Candidates and lost entries by part and zone, as of the last tick.
    views: Vec<View>,
    /// Time of the last change of what reaches what.
    changed_at: Instant,
    /// Requests per second of all callers.
    pub(crate) demand: f64,
    /// Entries that the callers use.
    pub(crate) callers: Vec<usize>,
    /// Whether requests arrive at equal intervals.
    pub(crate) even: bool,
    pub(crate) loss: f64,
    pub(crate) latency: Duration,
    pub(crate) admitted: Vec<Instant>,
    pub(crate) refused: usize,
    pub(crate) messages: usize,
    pub(crate) bytes: usize,
    pub(crate) largest: usize,
}

impl Simulation {
    pub(crate) fn new(count: usize, limit: Limit, seed: u64) -> Self {
        let now = Instant::now() + Duration::from_mins(1);
        let entries = (0..count).map(|number| {
            let address = IpAddr::from([10, 0, (number / 250) as u8, (number % 250) as u8]);
            Entry {
                address,
                zone: number % ZONES,
                accounts: Accounts::open(0),
                allocator: Allocator::open(address),
                limit,
                process: Process::Running,
                cut: false,
                joined: now,
                last_run: now,
                waiting: Vec::new(),
                may_send_at: now,
                send_planned: false,
                inbox: Vec::new(),
                reached: [(true, now - ALIVE); 2],
            }
        });
        let mut simulation = Self {
            entries: entries.collect(),
            events: BinaryHeap::new(),
            order: 0,
            now,
            start: now,
            key: Key::Workspace("blue".into()),
            random: StdRng::seed_from_u64(seed),
            connected: true,
            views: Vec::new(),
            changed_at: now,
            demand: 0.0,
            callers: (0..count).collect(),
            even: false,
            loss: 0.001,
            latency: Duration::from_millis(3),
            admitted: Vec::new(),
            refused: 0,
            messages: 0,
            bytes: 0,
            largest: 0,
        };
        simulation.plan(now, Event::Tick);
        simulation.plan(now, Event::Arrival);
        simulation
    }

    /// Returns the number of the entry that grants the tokens.
    pub(crate) fn grantor(&self) -> usize {
        let address = grantor(&self.key, &self.views[0].hubs).unwrap();
        index(address)
    }

    pub(crate) fn count(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    pub(crate) fn zone(&self, zone: usize) -> Vec<usize> {
        let entries = 0..self.entries.len();
        entries.filter(|e| self.entries[*e].zone == zone).collect()
    }

    /// Runs for some time.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, ..))) = self.events.peek()
            && *at <= end
        {
            let Reverse((at, _, event)) = self.events.pop().unwrap();
            self.now = at;
            self.process(event);
        }
        self.now = end;
    }

    /// Changes the limit at each entry within a time.
    pub(crate) fn set_limit(&mut self, limit: Limit, at: impl Fn(usize) -> bool) {
        let entries = self.entries.iter_mut().enumerate();
        for (_, entry) in entries.filter(|(number, _)| at(*number)) {
            entry.limit = limit;
        }
    }

    /// Returns the largest number of requests admitted within `window`, at or after
    /// `from`, in seconds from the start.
    pub(crate) fn most(&self, window: Duration, from: Duration) -> usize {
        let from = self.start + from;
        let times: Vec<_> = self.admitted.iter().filter(|at| **at >= from).collect();
        let mut first = 0;
        let mut most = 0;
        for last in 0..times.len() {
            while *times[last] - *times[first] > window {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most
    }

    fn plan(&mut self, at: Instant, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn update_reach(&mut self) {
        self.changed_at = self.now;
        for entry in &mut self.entries {
            for part in 0..2 {
                let up = entry.process == Process::Running;
                let reached = up && (self.connected || entry.cut == (part == 1));
                if entry.reached[part].0 != reached {
                    entry.reached[part] = (reached, self.now);
                }
            }
        }
    }

    fn process(&mut self, event: Event) {
        match event {
            Event::Tick => {
                self.plan(self.now + TICK, Event::Tick);
                self.update_views();
                for number in 0..self.entries.len() {
                    self.tick(number);
                }
            }
            Event::Arrival => {
                let mean = 1.0 / self.demand;
                let random: f64 = self.random.random_range(f64::EPSILON..1.0);
                let wait = if self.even { mean } else { -random.ln() * mean };
                let wait = Duration::from_secs_f64(wait.min(1.0));
                self.plan(self.now + wait, Event::Arrival);
                if self.demand > 0.0 {
                    let caller = self.random.random_range(0..self.callers.len());
                    self.arrive(self.callers[caller]);
                }
            }
            Event::Send(number) => {
                self.entries[number].send_planned = false;
                self.request(number, false);
            }
            Event::Repeat(number, since) => self.repeat(number, since),
            Event::Deliver(from, to, bytes, is_request) => {
                self.deliver(from, to, bytes, is_request);
            }
        }
    }

    /// Recomputes what the entries of each part and zone know of the others.
    fn update_views(&mut self) {
        let now = self.now;
        if now - self.changed_at > ALIVE * 2 && !self.views.is_empty() {
            return;
        }
        self.views.clear();
        for part in 0..2 {
            let lost: Vec<IpAddr> = self
                .entries
                .iter()
                .filter(|e| !e.reached[part].0 && now - e.reached[part].1 > ALIVE)
                .map(|e| e.address)
                .collect();
            let reachable = self.entries.iter().filter(|e| e.reached[part].0).count();
            let contact = self.entries.iter().filter(|e| !e.reached[part].0);
            let cut_at = contact.map(|e| e.reached[part].1).max().unwrap_or(now);
            let is_isolated = reachable <= 1 && now - cut_at > ISOLATED;
            let is_majority = 2 * lost.len() < self.entries.len() && !is_isolated;
            let silent = self.entries.iter().filter(|e| !e.reached[part].0);
            let silent: Vec<_> = silent
                .filter(|e| now - e.reached[part].1 > RESPONSIVE)
                .map(|e| (e.address, e.reached[part].1))
                .collect();
            for zone in 0..ZONES {
                let mut hubs = Vec::new();
                for other in 0..ZONES {
                    let limit = if other == zone { RESPONSIVE } else { ALIVE };
                    let present = self.entries.iter().filter(|e| {
                        let (reached, since) = e.reached[part];
                        let known = if reached {
                            since + JOIN <= now
                        } else {
                            now - since <= limit
                        };
                        e.zone == other && known
                    });
                    hubs.extend(present.take(2).map(|e| e.address));
                }
                hubs.sort_unstable();
                self.views.push(View {
                    hubs,
                    is_majority,
                    lost: lost.clone(),
                    silent: silent.clone(),
                });
            }
        }
    }

    fn view(&self, number: usize) -> usize {
        let entry = &self.entries[number];
        usize::from(entry.cut) * ZONES + entry.zone
    }

    /// Empties the buckets and discards the tokens of an entry that was frozen.
    fn check_frozen(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        if self.now - entry.last_run > FROZEN {
            entry.allocator.restart(self.now);
            entry.accounts.discard_tokens(self.now);
        }
        entry.last_run = self.now;
    }

    fn tick(&mut self, number: usize) {
        let entry = &self.entries[number];
        if entry.process != Process::Running || self.now < entry.joined {
            return;
        }
        self.check_frozen(number);
        let view = &self.views[self.view(number)];
        let entry = &mut self.entries[number];
        let is_hub = view.hubs.contains(&entry.address);
        let candidates = if view.is_majority {
            view.hubs.clone()
        } else {
            Vec::new()
        };
        entry
            .allocator
            .set_candidates(candidates, &view.silent, self.now);
        if is_hub {
            entry
                .allocator
                .set_lost(view.lost.iter().copied(), self.now);
        }
        entry.allocator.remove_idle(self.now);
        if entry.accounts.is_empty() {
            return;
        }
        self.request(number, true);
    }

    /// Returns `count` different entries.
    pub(crate) fn some(&mut self, count: usize) -> Vec<usize> {
        let mut chosen = HashSet::new();
        while chosen.len() < count {
            chosen.insert(self.random.random_range(0..self.entries.len()));
        }
        let mut chosen: Vec<usize> = chosen.into_iter().collect();
        chosen.sort_unstable();
        chosen
    }
}
