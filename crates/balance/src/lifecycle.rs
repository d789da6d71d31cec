//! Process behind a target, and whether the target is leaving.

use std::collections::VecDeque;

use carobdrift_units::Version;

use crate::observation::Evidence;

/// Largest number of start ids of ended processes that are kept. A late response
/// or an outdated instance list with one of them is not taken for a new process.
const MAX_ENDED_STARTS: usize = 8;

/// Process behind a target, and the mark that it is leaving.
#[derive(Debug, Default)]
pub(crate) struct Lifecycle {
    start: Option<String>,
    /// Start ids of processes that have ended, the newest last.
    ended: VecDeque<String>,
    mark: Option<Mark>,
    /// Document version that last returned the target to service.
    reactivated: Version,
}

#[derive(Debug)]
struct Mark {
    evidence: Evidence,
    /// Newest document version that was in force where the target was seen to
    /// leave.
    version: Version,
}

/// Comparison of a reported start id with the known ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Process {
    /// The id of the current process, or of one that has ended.
    Known,
    /// The first id that was reported.
    First,
    /// The id of a new process.
    Changed,
}

impl Lifecycle {
    pub(crate) fn leaving(&self) -> Option<Evidence> {
        self.mark.as_ref().map(|mark| mark.evidence)
    }

    pub(crate) fn start(&self) -> Option<&str> {
        self.start.as_deref()
    }

    /// Returns whether a start id belongs to a process that has ended.
    pub(crate) fn has_ended(&self, start: &str) -> bool {
        self.ended.iter().any(|ended| ended == start)
    }

    /// Marks the target as leaving and returns whether the mark is new.
    /// `version` is the document version that was in force where the target was
    /// seen to leave; a version older than the one that last returned the
    /// target is ignored. Only the first evidence is kept.
    pub(crate) fn mark(&mut self, evidence: Evidence, version: Version) -> bool {
        if version < self.reactivated {
            return false;
        }
        if let Some(mark) = &mut self.mark {
            mark.version = mark.version.max(version);
            return false;
        }
        self.mark = Some(Mark { evidence, version });
        true
    }

    /// Records the start id of the process. A changed id removes the mark if
    /// the document lists the target as active. A first id keeps the mark,
    /// because it may belong to the process that is leaving.
    pub(crate) fn record_start(&mut self, start: &str, active: bool) -> Process {
        if self.start.as_deref() == Some(start) || self.has_ended(start) {
            return Process::Known;
        }
        let Some(previous) = self.start.replace(start.to_owned()) else {
            return Process::First;
        };
        if self.ended.len() == MAX_ENDED_STARTS {
            self.ended.pop_front();
        }
        self.ended.push_back(previous);
        if active {
            self.mark = None;
        }
        Process::Changed
    }

    /// Applies a document version; returns whether the target is back in
    /// service. A version that lists the target as active removes only a mark
    /// that a document set: an unrelated edit is no evidence about a process
    /// that reported that it is leaving.
    pub(crate) fn reload(&mut self, version: Version, active: bool) -> bool {
        if !active {
            self.mark(Evidence::Document, version);
            return false;
        }
        if self
            .mark
            .as_ref()
            .is_some_and(|mark| mark.evidence == Evidence::Document && version > mark.version)
        {
            self.mark = None;
            self.reactivated = version;
            return true;
        }
        false
    }
}
