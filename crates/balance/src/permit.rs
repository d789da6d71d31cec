//! Admission of one request against all limits that apply to it.

use tokio::time::Instant;

use crate::call::Scope;
use crate::count::Stage;
use crate::quota::Quota;

/// The shares that a request is counted against.
#[derive(Debug, Clone)]
pub(crate) struct Shares {
    pub(crate) class: Quota,
    pub(crate) service: Quota,
    pub(crate) team: Option<Quota>,
}

/// A request counted against the limits of its class, service and team.
/// Dropping it ends the request.
#[derive(Debug)]
pub(crate) struct Permit {
    shares: Shares,
}

impl Shares {
    /// The share that a limit in `scope` is divided into.
    pub(crate) fn get(&self, scope: Scope) -> &Quota {
        match scope {
            Scope::Class => &self.class,
            Scope::Service => &self.service,
            Scope::Team => self.team.as_ref().unwrap_or(&self.service),
        }
    }
}

impl Permit {
    /// Counts a call or one more attempt of it against all limits, or against
    /// none when one of them is reached.
    pub(crate) fn enter(shares: Shares, stage: Stage, now: Instant) -> Result<Self, Scope> {
        let Shares {
            class,
            service,
            team,
        } = &shares;
        if stage == Stage::First {
            // All shares learn of the demand at once, so that a call need not
            // wait for one grant after the other.
            class.ask(now);
            service.ask(now);
        }
        if !class.enter(stage, now) {
            return Err(Scope::Class);
        }
        if !service.enter(stage, now) {
            class.undo(stage, now);
            return Err(Scope::Service);
        }
        if team.as_ref().is_some_and(|team| !team.enter(stage, now)) {
            service.undo(stage, now);
            class.undo(stage, now);
            return Err(Scope::Team);
        }
        Ok(Self { shares })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.shares.class.leave();
        self.shares.service.leave();
        if let Some(team) = &self.shares.team {
            team.leave();
        }
    }
}
