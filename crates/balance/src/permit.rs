//! Admission of one request against all limits that apply to it.

use std::sync::{Arc, Mutex, PoisonError};

use tokio::time::Instant;

use crate::allowance::{Allowance, Count, Share};
use crate::call::Scope;

/// Limits of one class. They scale with the entry's share of the service's
/// limits, so their sum over the entries holds whenever that of the service
/// does.
#[derive(Debug, Default)]
pub(crate) struct ClassLimit {
    limits: Mutex<ClassLimits>,
    count: Mutex<Count>,
}

#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct ClassLimits {
    pub(crate) in_flight: Option<u32>,
    pub(crate) per_second: Option<u32>,
}

/// A request counted against the limits of its class, service and team.
/// Dropping it ends the request.
#[derive(Debug)]
pub(crate) struct Permit {
    class: Arc<ClassLimit>,
    service: Allowance,
    team: Option<Allowance>,
}

impl ClassLimit {
    pub(crate) fn reload(&self, limits: ClassLimits) {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner) = limits;
    }

    fn share(&self, service: &Allowance) -> Share {
        let limits = *self.limits.lock().unwrap_or_else(PoisonError::into_inner);
        let share = service.share();
        let whole = service.limits();
        Share {
            in_flight: scale(limits.in_flight, share.in_flight, whole.max_in_flight),
            per_second: scale(limits.per_second, share.per_second, whole.max_per_second),
        }
    }

    fn enter(&self, share: Share, new: bool, now: Instant) -> bool {
        let mut count = self.count.lock().unwrap_or_else(PoisonError::into_inner);
        count.enter(share, new, now)
    }

    fn undo(&self, new: bool, now: Instant) {
        let mut count = self.count.lock().unwrap_or_else(PoisonError::into_inner);
        count.undo(new, now);
    }

    fn leave(&self) {
        let mut count = self.count.lock().unwrap_or_else(PoisonError::into_inner);
        count.leave();
    }
}

impl Permit {
    /// Counts a call (`new`) or one more attempt of it against all limits, or
    /// against none when one of them is reached.
    pub(crate) fn enter(
        class: Arc<ClassLimit>,
        service: Allowance,
        team: Option<Allowance>,
        new: bool,
        now: Instant,
    ) -> Result<Self, Scope> {
        if !class.enter(class.share(&service), new, now) {
            return Err(Scope::Class);
        }
        if !service.enter(new, now) {
            class.undo(new, now);
            return Err(Scope::Service);
        }
        if team.as_ref().is_some_and(|team| !team.enter(new, now)) {
            service.undo(new, now);
            class.undo(new, now);
            return Err(Scope::Team);
        }
        Ok(Self {
            class,
            service,
            team,
        })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.class.leave();
        self.service.leave();
        if let Some(team) = &self.team {
            team.leave();
        }
    }
}

fn scale(limit: Option<u32>, share: u32, whole: u32) -> u32 {
    let Some(limit) = limit else {
        return u32::MAX;
    };
    let scaled = u64::from(limit) * u64::from(share) / u64::from(whole.max(1));
    u32::try_from(scaled).unwrap_or(limit).min(limit)
}
