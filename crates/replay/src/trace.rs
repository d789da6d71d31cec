//! Traces: committed text files of calls, faults and edits, with the outcomes
//! that their replay must lead to.

mod check;
mod parse;

use std::time::Duration;

use carobdrift_test_support::fleet::Service;

pub use parse::{Error, Problem};

/// A whole trace.
#[derive(Debug, Clone)]
pub struct Trace {
    /// Entry processes at the start.
    pub entries: u32,
    /// Callers.
    pub callers: u32,
    /// Seed of all random numbers of the replay.
    pub seed: u64,
    /// Services with their targets.
    pub services: Vec<Service>,
    /// Streams of calls.
    pub streams: Vec<Stream>,
    /// Blocks, in the order in which they run.
    pub blocks: Vec<Block>,
    /// Comparison with direct calls.
    pub overhead: Option<Overhead>,
    /// Outcomes that the replay must lead to.
    pub expectations: Vec<Expectation>,
}

/// A Poisson stream of calls.
#[derive(Debug, Clone)]
pub struct Stream {
    /// Service that is called.
    pub service: String,
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Offered load; 1 occupies every slot at the mean service time.
    pub load: f64,
    /// Whether calls carry issued idempotency keys.
    pub keyed: bool,
}

/// Policies that run in turn, round after round.
#[derive(Debug, Clone)]
pub struct Block {
    /// Name.
    pub name: String,
    /// Policies.
    pub policies: Vec<Policy>,
    /// Rounds.
    pub rounds: u32,
    /// Length of one turn of one policy.
    pub turn_duration: Duration,
    /// Start of each turn that is not measured.
    pub warmup: Duration,
    /// Events at fixed times of every turn.
    pub events: Vec<Event>,
}

/// A policy and how callers are spread.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Policy {
    /// Policy as the document names it.
    pub name: String,
    /// Whether callers are steered to few entries.
    pub steered: bool,
}

impl std::fmt::Display for Policy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let spread = if self.steered { "steered" } else { "spread" };
        write!(f, "{}:{spread}", self.name)
    }
}

/// A fault or an edit.
#[derive(Debug, Clone)]
pub struct Event {
    /// Time since the start of the turn.
    pub offset: Duration,
    /// What happens.
    pub action: Action,
}

/// What happens at an event. Entries and targets are numbered from 1.
#[derive(Debug, Clone)]
pub enum Action {
    /// An entry is stopped by SIGSTOP and continued later.
    Pause {
        /// The entry.
        entry: u32,
        /// How long it stays stopped.
        duration: Duration,
    },
    /// An entry is killed.
    Kill {
        /// The entry.
        entry: u32,
    },
    /// An entry gets SIGTERM.
    Stop {
        /// The entry.
        entry: u32,
    },
    /// One more entry starts.
    Join,
    /// A fault of the platform.
    Platform(PlatformFault),
    /// Targets hold probes for a while.
    SlowProbes {
        /// Service of the targets.
        service: String,
        /// How long they do so.
        duration: Duration,
    },
    /// A target starts to drain.
    Drain {
        /// Service of the target.
        service: String,
        /// The target.
        target: u32,
    },
    /// The service's document is edited.
    Edit {
        /// The service.
        service: String,
    },
}

/// A fault of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformFault {
    /// It refuses every call.
    Down,
    /// The instance list no longer changes.
    StaleList,
    /// Every write takes effect and its response is lost.
    LoseReplies,
    /// Connections that are open go silent for good; new ones work.
    Swallow,
    /// All faults end.
    Clear,
}

/// Calls to an idle target, directly and through an entry in turn.
#[derive(Debug, Clone)]
pub struct Overhead {
    /// Service of the target.
    pub service: String,
    /// Calls of each kind.
    pub calls: u32,
}

/// An outcome that the replay must lead to.
#[derive(Debug, Clone)]
pub enum Expectation {
    /// The p99 of one policy is at most a share of another's.
    Ratio {
        /// Service.
        service: String,
        /// Block.
        block: String,
        /// Policy that is judged.
        policy: String,
        /// Largest ratio.
        limit: f64,
        /// Policy that it is compared with.
        baseline: String,
    },
    /// No target gets more probes in one second than its document permits.
    ProbesWithinBudget,
    /// A quantity of the whole replay is at most a limit.
    AtMost {
        /// The quantity.
        quantity: Quantity,
        /// Its limit.
        limit: f64,
    },
}

/// A quantity of the whole replay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Quantity {
    /// Latency that carobdrift adds, 99th percentile in milliseconds.
    AddedP99,
    /// Non-idempotent requests that ran more than once.
    Doubled,
    /// Answers that belong to another caller.
    Crossed,
    /// Requests that ran although their caller was told that they did not.
    FalseNotRun,
    /// Requests answered with success that no target ran.
    Lost,
    /// Longest time from an accepted edit until it was in force everywhere, in
    /// seconds.
    InForce,
}
