//! Admission of one request under all limits that apply to it.

use tokio::time::Instant;

use crate::call::Scope;
use crate::quota::Quota;
use crate::usage::Stage;

/// Quotas that a request is counted against.
#[derive(Debug, Clone)]
pub(crate) struct Quotas {
    pub(crate) class: Quota,
    pub(crate) service: Quota,
    pub(crate) team: Option<Quota>,
}

/// Admission of a request under the limits of its class, service and team.
/// Dropping the permit ends the request.
#[derive(Debug)]
pub(crate) struct Permit {
    quotas: Quotas,
}

impl Quotas {
    /// Returns the quota for the limit in `scope`.
    pub(crate) fn get(&self, scope: Scope) -> &Quota {
        match scope {
            Scope::Class => &self.class,
            Scope::Service => &self.service,
            Scope::Team => self.team.as_ref().unwrap_or(&self.service),
        }
    }
}

impl Permit {
    /// Counts a call or an additional attempt against all quotas, or against
    /// none of them when one is exhausted.
    pub(crate) fn acquire(quotas: Quotas, stage: Stage, now: Instant) -> Result<Self, Scope> {
        let Quotas {
            class,
            service,
            team,
        } = &quotas;
        if stage == Stage::First {
            // The quotas register the demand together, so that the grants are
            // requested at the same time and not one after the other.
            class.record_request(now);
            service.record_request(now);
        }
        if !class.try_admit(stage, now) {
            return Err(Scope::Class);
        }
        if !service.try_admit(stage, now) {
            class.revert(stage, now);
            return Err(Scope::Service);
        }
        if team
            .as_ref()
            .is_some_and(|team| !team.try_admit(stage, now))
        {
            service.revert(stage, now);
            class.revert(stage, now);
            return Err(Scope::Team);
        }
        Ok(Self { quotas })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.quotas.class.release();
        self.quotas.service.release();
        if let Some(team) = &self.quotas.team {
            team.release();
        }
    }
}
