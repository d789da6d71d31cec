//! Queues of waiting calls, one per class.

use std::collections::BTreeMap;

use carobdrift_document::Kind;
use carobdrift_units::Class;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::call::Shed;
use crate::permit::Permit;
use crate::slot::Slot;

/// Stride of a class with weight 1, and the weight of an unlisted class.
const BASE_WEIGHT: f64 = 1.0;

/// Queue length limit of a class that the document does not list.
const UNLISTED_QUEUE_LIMIT: u32 = 100;

/// Weight of a new interval in the average.
const INTERVAL_GAIN: f64 = 0.1;

/// Number of intervals below which no average is reported.
const MIN_INTERVALS: u32 = 8;

/// Result that a queued call gets.
pub(crate) type Answer = Result<Slot, Shed>;

/// Queued calls. Within a class, the earliest deadline is served first; classes
/// are served in proportion to their weights (stride scheduling).
#[derive(Debug, Default)]
pub(crate) struct Queue {
    queues: BTreeMap<Class, ClassQueue>,
    /// Pass value of the class that was served last.
    pass: f64,
    sequence: u64,
    waiting: usize,
    interval: Interval,
}

#[derive(Debug)]
struct ClassQueue {
    weight: f64,
    limit: u32,
    pass: f64,
    listed: bool,
    waiters: BTreeMap<Position, Waiter>,
}

/// Position of a call in the queue of its class, ordered by deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    deadline: Instant,
    sequence: u64,
}

/// Queued call.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) class: Class,
    pub(crate) kind: Kind,
    pub(crate) deadline: Instant,
    pub(crate) queued_at: Instant,
    pub(crate) permit: Permit,
    pub(crate) answer: oneshot::Sender<Answer>,
}

/// Average time between two dispatches while calls wait.
#[derive(Debug, Default)]
struct Interval {
    average: f64,
    count: u32,
    last: Option<Instant>,
}

impl Queue {
    /// Sets the weight and the queue length limit of each class. Queued calls
    /// remain.
    pub(crate) fn reload<'a>(&mut self, classes: impl Iterator<Item = (&'a Class, u32, u32)>) {
        for queue in self.queues.values_mut() {
            queue.listed = false;
        }
        for (class, weight, limit) in classes {
            let queue = self.queues.entry(class.clone()).or_default();
            queue.weight = f64::from(weight.max(1));
            queue.limit = limit;
            queue.listed = true;
        }
        for queue in self.queues.values_mut().filter(|queue| !queue.listed) {
            queue.weight = BASE_WEIGHT;
            queue.limit = UNLISTED_QUEUE_LIMIT;
        }
        self.queues
            .retain(|_, queue| queue.listed || !queue.waiters.is_empty());
    }

    /// Returns the number of free places in the queue of a class.
    pub(crate) fn free_places(&self, class: &Class) -> u32 {
        let (limit, waiting) = self
            .queues
            .get(class)
            .map_or((UNLISTED_QUEUE_LIMIT, 0), |queue| {
                (queue.limit, queue.waiters.len())
            });
        limit.saturating_sub(u32::try_from(waiting).unwrap_or(u32::MAX))
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Returns the time in seconds that a call would wait, from the average
    /// dispatch interval; `None` while the average is unknown.
    pub(crate) fn expected_wait(&self, class: &Class, deadline: Instant) -> Option<f64> {
        let seconds = self.interval.seconds()?;
        let queue = self.queues.get(class)?;
        let end = Position {
            deadline,
            sequence: u64::MAX,
        };
        let ahead = queue.waiters.range(..=end).count();
        let busy = self
            .queues
            .values()
            .filter(|other| !other.waiters.is_empty());
        let weights = busy.map(|other| other.weight).sum::<f64>();
        let share = queue.weight / weights.max(queue.weight);
        Some(crate::number::to_f64(ahead) * seconds / share)
    }

    /// Adds a call; returns the call when the queue of the class is full.
    pub(crate) fn push(&mut self, waiter: Waiter) -> Result<Position, Waiter> {
        let queue = self.queues.entry(waiter.class.clone()).or_default();
        if queue.waiters.len() >= usize::try_from(queue.limit).unwrap_or(usize::MAX) {
            return Err(waiter);
        }
        if queue.waiters.is_empty() {
            // A class that was idle earns no credit for that time.
            queue.pass = queue.pass.max(self.pass);
        }
        self.sequence += 1;
        let position = Position {
            deadline: waiter.deadline,
            sequence: self.sequence,
        };
        queue.waiters.insert(position, waiter);
        self.waiting += 1;
        Ok(position)
    }

    /// Removes a call that no longer waits.
    pub(crate) fn remove(&mut self, class: &Class, position: Position) -> Option<Waiter> {
        let waiter = self.queues.get_mut(class)?.waiters.remove(&position)?;
        self.record_removal();
        Some(waiter)
    }

    /// Returns the next call.
    pub(crate) fn peek(&self) -> Option<&Waiter> {
        let queue = self.next_queue()?.1;
        queue.waiters.first_key_value().map(|(_, waiter)| waiter)
    }

    /// Removes and returns the next call. `served` states whether the call gets
    /// a slot; a call that is shed does not count as service to its class.
    pub(crate) fn pop(&mut self, served: bool, now: Instant) -> Option<Waiter> {
        let class = self.next_queue()?.0.clone();
        let queue = self.queues.get_mut(&class)?;
        let (_, waiter) = queue.waiters.pop_first()?;
        if served {
            self.pass = queue.pass;
            queue.pass += BASE_WEIGHT / queue.weight;
            self.interval.record(now);
        }
        self.record_removal();
        Some(waiter)
    }

    fn record_removal(&mut self) {
        self.waiting -= 1;
        if self.waiting == 0 {
            self.interval = Interval::default();
        }
    }

    fn next_queue(&self) -> Option<(&Class, &ClassQueue)> {
        let busy = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.waiters.is_empty());
        busy.min_by(|(_, a), (_, b)| a.pass.total_cmp(&b.pass))
    }
}

impl Default for ClassQueue {
    fn default() -> Self {
        Self {
            weight: BASE_WEIGHT,
            limit: UNLISTED_QUEUE_LIMIT,
            pass: 0.0,
            listed: false,
            waiters: BTreeMap::new(),
        }
    }
}

impl Interval {
    fn seconds(&self) -> Option<f64> {
        (self.count >= MIN_INTERVALS).then_some(self.average)
    }

    fn record(&mut self, now: Instant) {
        if let Some(last) = self.last.replace(now) {
            let seconds = (now - last).as_secs_f64();
            if self.count == 0 {
                self.average = seconds;
            }
            self.average += INTERVAL_GAIN * (seconds - self.average);
            self.count = self.count.saturating_add(1);
        }
    }
}
