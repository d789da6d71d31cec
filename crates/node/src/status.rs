//! What an entry knows of the store's answers, to itself and to other entries.

use std::time::Duration;

use carobdrift_peers::StoreHealth;
use carobdrift_units::StoreRevision;
use tokio::time::Instant;

use crate::store::Subject;

/// Time beyond the requested wait after which a call without a received byte is overdue.
/// Usual answers take some milliseconds.
const OVERDUE_MARGIN: Duration = Duration::from_millis(200);

/// Status of the store as known to this entry.
#[derive(Debug, Default)]
pub(crate) struct Status {
    state: Session,
    targets: Session,
    /// Last successful response to another entry that this one knows of.
    peer_response: Option<Instant>,
    /// Last time at which the store was known to answer an entry.
    read_at: Option<Instant>,
    /// Health that was last announced to other entries.
    announced: Option<StoreHealth>,
}

/// Calls of this entry about one subject.
#[derive(Debug, Default)]
struct Session {
    /// Time at which the entry began to read the subject, if it does.
    since: Option<Instant>,
    /// Last successful response.
    response: Option<Instant>,
    /// Whether the last call failed.
    is_failing: bool,
    /// Time from which the call in progress is overdue if no byte arrives.
    due: Option<Instant>,
    /// Store revision up to which this entry has all changes.
    known: StoreRevision,
}

impl Status {
    fn session(&mut self, subject: Subject) -> Option<&mut Session> {
        match subject {
            Subject::State => Some(&mut self.state),
            Subject::Targets => Some(&mut self.targets),
            Subject::Entries => None,
        }
    }

    /// Records whether this entry reads a subject. Returns whether that is new.
    pub(crate) fn set_reading(&mut self, subject: Subject, is_reading: bool, now: Instant) -> bool {
        let Some(session) = self.session(subject) else {
            return false;
        };
        if session.since.is_some() == is_reading {
            return false;
        }
        session.since = is_reading.then_some(now);
        session.is_failing = false;
        session.due = None;
        true
    }

    /// Records that a call begins, which asks the store to wait for a change for at most
    /// `wait`.
    pub(crate) fn begin_call(&mut self, subject: Subject, wait: Duration, now: Instant) {
        if let Some(session) = self.session(subject) {
            session.due = Some(now + wait + OVERDUE_MARGIN);
        }
    }

    /// Records a successful response.
    pub(crate) fn record_response(&mut self, subject: Subject, now: Instant) {
        if let Some(session) = self.session(subject) {
            session.response = Some(now);
            session.is_failing = false;
            session.due = None;
        }
    }

    /// Records that all changes of a subject up to a revision are applied.
    pub(crate) fn record_applied(&mut self, subject: Subject, revision: StoreRevision) {
        if let Some(session) = self.session(subject) {
            session.known = session.known.max(revision);
        }
    }

    /// Records a failed call.
    pub(crate) fn record_failure(&mut self, subject: Subject) {
        if let Some(session) = self.session(subject) {
            session.is_failing = true;
            session.due = None;
        }
    }

    /// Records the age of a store response that another entry knows of.
    pub(crate) fn record_peer_age(&mut self, age: Duration, now: Instant) {
        self.peer_response = self.peer_response.max(now.checked_sub(age));
    }

    /// Records that this entry has all changes up to a revision, through another entry.
    pub(crate) fn record_known(&mut self, revision: StoreRevision) {
        for session in [&mut self.state, &mut self.targets] {
            session.known = session.known.max(revision);
        }
    }

    /// Returns the store revision up to which this entry has all changes.
    pub(crate) fn known(&self) -> StoreRevision {
        self.state.known.min(self.targets.known)
    }

    /// Returns the age of the newest successful response to another entry that this one
    /// knows of.
    pub(crate) fn peer_age(&self, now: Instant) -> Duration {
        age(self.peer_response, now)
    }

    /// Returns the age of the newest successful response that this entry knows of.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        let own_response = self.state.response.min(self.targets.response);
        age(own_response.max(self.peer_response), now)
    }

    /// Returns how the store answers this entry. `received` is the time at which the last
    /// byte of the store arrived: a large response may take long.
    pub(crate) fn health(&self, received: Option<Instant>, now: Instant) -> StoreHealth {
        let sessions = [&self.state, &self.targets];
        let mut sessions = sessions
            .into_iter()
            .filter_map(|session| Some((session.since?, session)))
            .peekable();
        if sessions.peek().is_none() {
            return StoreHealth::Idle;
        }
        let is_receiving = received.is_some_and(|at| at + OVERDUE_MARGIN >= now);
        let mut health = StoreHealth::Answering;
        for (since, session) in sessions {
            let is_overdue = session.due.is_some_and(|due| due <= now) && !is_receiving;
            if session.is_failing || is_overdue {
                return StoreHealth::Failing;
            }
            if session.response.max(received) < Some(since) {
                health = StoreHealth::Idle;
            }
        }
        health
    }

    /// Records the health that is announced to other entries. Returns the one before.
    pub(crate) fn replace_announced(&mut self, health: StoreHealth) -> StoreHealth {
        self.announced.replace(health).unwrap_or(StoreHealth::Idle)
    }

    /// Returns for how long the store has not been known to answer any entry. `is_read`
    /// states whether it is known to answer one now; `started_at` is the time from which
    /// this entry can know.
    pub(crate) fn unread_for(
        &mut self,
        is_read: bool,
        started_at: Instant,
        now: Instant,
    ) -> Duration {
        if is_read {
            self.read_at = Some(now);
        }
        let since = self.read_at.map_or(started_at, |at| at.max(started_at));
        now.saturating_duration_since(since)
    }
}

fn age(at: Option<Instant>, now: Instant) -> Duration {
    at.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
}
