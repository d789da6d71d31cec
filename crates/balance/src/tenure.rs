//! Whether a target is leaving, and which process it is.

use std::collections::VecDeque;

use carobdrift_units::Version;

use crate::observation::Evidence;

/// Start ids of earlier processes that are remembered, so that a late response
/// or a lagging list is not taken for a new process.
const PAST_STARTS: usize = 8;

/// Process behind a target, and its leaving mark.
#[derive(Debug, Default)]
pub(crate) struct Tenure {
    start: Option<String>,
    past: VecDeque<String>,
    mark: Option<Mark>,
    /// Document version that brought the target back last.
    returned: Version,
}

#[derive(Debug)]
struct Mark {
    evidence: Evidence,
    /// Newest document version in force where the target was seen to leave.
    version: Version,
}

/// What a start id says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Process {
    /// The known process, or one that has ended.
    Known,
    /// The first process that is known of.
    First,
    /// Another process than before.
    Changed,
}

impl Tenure {
    pub(crate) fn leaving(&self) -> Option<Evidence> {
        self.mark.as_ref().map(|mark| mark.evidence)
    }

    pub(crate) fn start(&self) -> Option<&str> {
        self.start.as_deref()
    }

    /// Whether a start id belongs to a process that has ended.
    pub(crate) fn is_past(&self, start: &str) -> bool {
        self.past.iter().any(|past| past == start)
    }

    /// Marks the target as leaving, as seen while `version` was in force;
    /// returns whether the mark is new. The first evidence counts. What was
    /// seen before the version that brought the target back is ignored.
    pub(crate) fn mark(&mut self, evidence: Evidence, version: Version) -> bool {
        if version < self.returned {
            return false;
        }
        if let Some(mark) = &mut self.mark {
            mark.version = mark.version.max(version);
            return false;
        }
        self.mark = Some(Mark { evidence, version });
        true
    }

    /// Learns the start id of the process. A changed id removes the mark when
    /// the document lists the target as active. A first id does not: it may be
    /// the process that the mark is about.
    pub(crate) fn learn(&mut self, start: &str, active: bool) -> Process {
        if self.start.as_deref() == Some(start) || self.is_past(start) {
            return Process::Known;
        }
        let Some(previous) = self.start.replace(start.to_owned()) else {
            return Process::First;
        };
        if self.past.len() == PAST_STARTS {
            self.past.pop_front();
        }
        self.past.push_back(previous);
        if active {
            self.mark = None;
        }
        Process::Changed
    }

    /// Takes in a document version; returns whether the target has come back.
    /// A version that lists the target as active only answers a mark that came
    /// from a document: an unrelated edit says nothing about a process that
    /// stated by itself that it is leaving.
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
            self.returned = version;
            return true;
        }
        false
    }
}
