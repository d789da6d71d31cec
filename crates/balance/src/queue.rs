//! Queues of waiting calls, one per class.

use std::collections::BTreeMap;

use carobdrift_document::Kind;
use carobdrift_units::Class;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::call::Shed;
use crate::permit::Permit;
use crate::slot::Slot;

/// Weight of one class in the order of service.
const BASE_WEIGHT: f64 = 1.0;

/// Queue length of a class that the document no longer lists.
const UNLISTED_QUEUE: u32 = 100;

/// Share of a new interval that enters the pace.
const PACE_GAIN: f64 = 0.1;

/// Intervals without which the pace states nothing.
const FEWEST_INTERVALS: u32 = 8;

/// What a waiting call gets in the end.
pub(crate) type Answer = Result<Slot, Shed>;

/// Calls that wait for a slot. Within a class the earliest deadline is first;
/// classes are served in proportion to their weights (stride scheduling).
#[derive(Debug, Default)]
pub(crate) struct Queue {
    lines: BTreeMap<Class, Line>,
    /// Pass of the line that was served last.
    pass: f64,
    sequence: u64,
    waiting: usize,
    pace: Pace,
}

#[derive(Debug)]
struct Line {
    weight: f64,
    max: u32,
    pass: f64,
    listed: bool,
    waiters: BTreeMap<Position, Waiter>,
}

/// Rank in the queue of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    deadline: Instant,
    sequence: u64,
}

/// A call that waits.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) class: Class,
    pub(crate) kind: Kind,
    pub(crate) deadline: Instant,
    pub(crate) since: Instant,
    pub(crate) permit: Permit,
    pub(crate) answer: oneshot::Sender<Answer>,
}

/// Time between two dispatches while calls wait.
#[derive(Debug, Default)]
struct Pace {
    interval: f64,
    count: u32,
    last: Option<Instant>,
}

impl Queue {
    /// Sets the weight and the length of each class. Waiting calls stay.
    pub(crate) fn reload<'a>(&mut self, classes: impl Iterator<Item = (&'a Class, u32, u32)>) {
        for line in self.lines.values_mut() {
            line.listed = false;
        }
        for (class, weight, max) in classes {
            let line = self.lines.entry(class.clone()).or_default();
            line.weight = f64::from(weight.max(1));
            line.max = max;
            line.listed = true;
        }
        for line in self.lines.values_mut().filter(|line| !line.listed) {
            line.weight = BASE_WEIGHT;
            line.max = UNLISTED_QUEUE;
        }
        self.lines
            .retain(|_, line| line.listed || !line.waiters.is_empty());
    }

    /// Free places in the queue of a class.
    pub(crate) fn room(&self, class: &Class) -> u32 {
        let (max, waiting) = self
            .lines
            .get(class)
            .map_or((UNLISTED_QUEUE, 0), |line| (line.max, line.waiters.len()));
        max.saturating_sub(u32::try_from(waiting).unwrap_or(u32::MAX))
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Time in seconds that a call would wait, by the pace of late. `None`
    /// while the pace is unknown.
    pub(crate) fn expected_wait(&self, class: &Class, deadline: Instant) -> Option<f64> {
        let interval = self.pace.interval()?;
        let line = self.lines.get(class)?;
        let end = Position {
            deadline,
            sequence: u64::MAX,
        };
        let ahead = line.waiters.range(..=end).count();
        let busy = self
            .lines
            .values()
            .filter(|other| !other.waiters.is_empty());
        let weights = busy.map(|other| other.weight).sum::<f64>();
        let share = line.weight / weights.max(line.weight);
        Some(crate::number::count(ahead) * interval / share)
    }

    /// Adds a call.
    pub(crate) fn push(&mut self, waiter: Waiter) -> Result<Position, Waiter> {
        let line = self.lines.entry(waiter.class.clone()).or_default();
        if line.waiters.len() >= usize::try_from(line.max).unwrap_or(usize::MAX) {
            return Err(waiter);
        }
        if line.waiters.is_empty() {
            // An idle class earns no credit for the time in which it had
            // nothing to do.
            line.pass = line.pass.max(self.pass);
        }
        self.sequence += 1;
        let position = Position {
            deadline: waiter.deadline,
            sequence: self.sequence,
        };
        line.waiters.insert(position, waiter);
        self.waiting += 1;
        Ok(position)
    }

    /// Removes a call that no longer waits.
    pub(crate) fn remove(&mut self, class: &Class, position: Position) -> Option<Waiter> {
        let waiter = self.lines.get_mut(class)?.waiters.remove(&position)?;
        self.removed();
        Some(waiter)
    }

    /// The call that is next.
    pub(crate) fn peek(&self) -> Option<&Waiter> {
        let line = self.next_line()?.1;
        line.waiters.first_key_value().map(|(_, waiter)| waiter)
    }

    /// Takes the call that is next. `served` states whether it gets a slot; a
    /// call that is shed does not count as service to its class.
    pub(crate) fn pop(&mut self, served: bool, now: Instant) -> Option<Waiter> {
        let class = self.next_line()?.0.clone();
        let line = self.lines.get_mut(&class)?;
        let (_, waiter) = line.waiters.pop_first()?;
        if served {
            self.pass = line.pass;
            line.pass += BASE_WEIGHT / line.weight;
            self.pace.step(now);
        }
        self.removed();
        Some(waiter)
    }

    fn removed(&mut self) {
        self.waiting -= 1;
        if self.waiting == 0 {
            self.pace = Pace::default();
        }
    }

    fn next_line(&self) -> Option<(&Class, &Line)> {
        let busy = self
            .lines
            .iter()
            .filter(|(_, line)| !line.waiters.is_empty());
        busy.min_by(|(_, a), (_, b)| a.pass.total_cmp(&b.pass))
    }
}

impl Default for Line {
    fn default() -> Self {
        Self {
            weight: BASE_WEIGHT,
            max: UNLISTED_QUEUE,
            pass: 0.0,
            listed: false,
            waiters: BTreeMap::new(),
        }
    }
}

impl Pace {
    fn interval(&self) -> Option<f64> {
        (self.count >= FEWEST_INTERVALS).then_some(self.interval)
    }

    fn step(&mut self, now: Instant) {
        if let Some(last) = self.last.replace(now) {
            let seconds = (now - last).as_secs_f64();
            if self.count == 0 {
                self.interval = seconds;
            }
            self.interval += PACE_GAIN * (seconds - self.interval);
            self.count = self.count.saturating_add(1);
        }
    }
}
