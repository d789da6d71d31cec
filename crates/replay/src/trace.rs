//! Traces: text files that describe calls, faults and edits, and the results
//! expected from their replay.

mod check;
mod parse;

use std::time::Duration;

use carobdrift_test_support::fleet::Service;

pub use parse::{Error, Problem};

/// Parsed trace.
#[derive(Debug, Clone)]
pub struct Trace {
    /// Number of entry processes at the start.
    pub entries: u32,
    /// Number of callers, spread evenly over the availability zones.
    pub callers: u32,
    /// Seed of the arrival times of the calls and of the choice of callers.
    pub seed: u64,
    /// Services and their targets.
    pub services: Vec<Service>,
    /// Streams of calls.
    pub streams: Vec<Stream>,
    /// Blocks, in execution order.
    pub blocks: Vec<Block>,
    /// Measurement of the latency overhead, if the trace requests one.
    pub overhead: Option<Overhead>,
    /// Results that the replay must meet.
    pub expectations: Vec<Expectation>,
}

/// Stream of calls with Poisson arrivals.
#[derive(Debug, Clone)]
pub struct Stream {
    /// Name of the called service.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Request path.
    pub path: String,
    /// Offered load as a fraction of the capacity of the service: 1 occupies
    /// every slot of its targets at the mean service time.
    pub load: f64,
    /// Whether calls carry idempotency keys that the cell issued.
    pub keyed: bool,
}

/// Comparison of policies under the same load and events.
///
/// Each round runs every policy once, in order; one run of one policy is a turn.
#[derive(Debug, Clone)]
pub struct Block {
    /// Name of the block.
    pub name: String,
    /// Policies to compare.
    pub policies: Vec<Policy>,
    /// Number of rounds.
    pub rounds: u32,
    /// Duration of one turn.
    pub turn_duration: Duration,
    /// Time at the start of each turn; the rows of the report omit calls due within
    /// it.
    pub warmup: Duration,
    /// Events that occur in every turn.
    pub events: Vec<Event>,
}

/// Balancing policy, and the distribution of callers over entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Policy {
    /// Name of the policy in service documents.
    pub name: String,
    /// Whether callers are steered to one entry per availability zone instead of
    /// spread over all entries.
    pub steered: bool,
}

impl std::fmt::Display for Policy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let distribution = if self.steered { "steered" } else { "spread" };
        write!(f, "{}:{distribution}", self.name)
    }
}

/// Fault, membership change or document edit at a fixed time of each turn.
#[derive(Debug, Clone)]
pub struct Event {
    /// Time from the start of the turn to the event.
    pub offset: Duration,
    /// Action that the event performs.
    pub action: Action,
}

/// Action of an event. Entries and targets are numbered from 1.
#[derive(Debug, Clone)]
pub enum Action {
    /// Suspends an entry with SIGSTOP and resumes it later with SIGCONT.
    Pause {
        /// Number of the entry.
        entry: u32,
        /// Time for which the entry stays suspended.
        duration: Duration,
    },
    /// Kills an entry and removes it from the instance list.
    Kill {
        /// Number of the entry.
        entry: u32,
    },
    /// Lists an entry as leaving and sends it SIGTERM.
    Stop {
        /// Number of the entry.
        entry: u32,
    },
    /// Starts another entry.
    Join,
    /// Sets or clears a fault of the platform.
    Platform(PlatformFault),
    /// Lengthens the service time of requests at all targets of a service. Despite
    /// the name, the targets do not delay probes.
    SlowProbes {
        /// Service of the targets.
        service: String,
        /// Time for which the targets are slow.
        duration: Duration,
    },
    /// Starts to drain a target.
    Drain {
        /// Service of the target.
        service: String,
        /// Number of the target.
        target: u32,
    },
    /// Puts the document of a service again, as a new version.
    Edit {
        /// Name of the service.
        service: String,
    },
}

/// Fault of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformFault {
    /// Open connections to the platform are closed and new ones refused.
    Down,
    /// The instance list stays as it was when the fault was set.
    StaleList,
    /// Every write takes effect, but its response is lost.
    LoseReplies,
    /// Connections that are open when the fault is set never respond again; new
    /// connections work.
    Swallow,
    /// No fault: clears those in effect.
    Clear,
}

/// Measurement of the latency overhead by calls to an idle target, alternately
/// sent directly and through an entry.
#[derive(Debug, Clone)]
pub struct Overhead {
    /// Service of the idle target.
    pub service: String,
    /// Number of measured calls on each path.
    pub calls: u32,
}

/// Result that the replay must meet.
#[derive(Debug, Clone)]
pub enum Expectation {
    /// The p99 latency of one policy is at most a multiple of that of another.
    Ratio {
        /// Name of the service.
        service: String,
        /// Name of the block.
        block: String,
        /// Evaluated policy.
        policy: String,
        /// Largest permitted ratio.
        limit: f64,
        /// Policy used as the baseline.
        baseline: String,
    },
    /// No target receives more probes in any one second than the document of
    /// its service permits.
    ProbesWithinBudget,
    /// A quantity measured over the whole replay is at most a limit.
    AtMost {
        /// Measured quantity.
        quantity: Quantity,
        /// Largest permitted value, in the unit of the quantity.
        limit: f64,
    },
}

/// Quantity measured over the whole replay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Quantity {
    /// 99th percentile of the latency that an entry adds, in milliseconds.
    AddedP99,
    /// Number of requests that were to run at most once but ran more often.
    Doubled,
    /// Number of responses that belong to another call.
    Crossed,
    /// Number of requests that ran although the caller was told that they did
    /// not.
    FalseNotRun,
    /// Number of requests with a successful response that no target ran.
    Lost,
    /// Longest time from the acceptance of an edit until all running entries
    /// adopted it, in seconds.
    InForce,
}
