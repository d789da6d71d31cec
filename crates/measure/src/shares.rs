//! Shares of limits: asked for by every entry, granted by the holder of the
//! service's shard lease.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use carobdrift_balance::Share;
use carobdrift_membership::Links;
use carobdrift_units::{Instance, Service};
use carobdrift_wire::{Answer, Query};
use futures_util::future::join_all;
use tokio::time::{Instant, sleep};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::book::{Book, VALIDITY};
use crate::leases::Leases;
use crate::metrics::Metrics;
use crate::shard::Shard;
use crate::subject::{Subject, Subjects};

/// Pause between two requests for the same share. Short enough that two lost
/// answers don't end a grant.
const REFRESH: Duration = Duration::from_millis(500);

/// Shares of the limits of all services; cheap to clone. Stops asking once the
/// last clone is dropped.
#[derive(Debug, Clone)]
pub struct Shares {
    shared: Arc<Shared>,
    _guard: Arc<DropGuard>,
}

#[derive(Debug)]
struct Shared {
    leases: Leases,
    subjects: Subjects,
    /// Largest permitted number of entries of the cell.
    max_entries: u32,
    metrics: Metrics,
    books: Mutex<HashMap<Service, Book>>,
}

impl Shares {
    /// Starts to ask for shares. `max_entries` is the largest permitted number
    /// of entries of the cell, the same on all of them.
    #[must_use]
    pub fn spawn(
        leases: Leases,
        links: Links,
        subjects: Subjects,
        max_entries: u32,
        metrics: Metrics,
    ) -> Self {
        let shared = Arc::new(Shared {
            leases,
            subjects,
            max_entries,
            metrics,
            books: Mutex::default(),
        });
        let stopped = CancellationToken::new();
        tokio::spawn({
            let shared = Arc::clone(&shared);
            let stopped = stopped.clone();
            async move { stopped.run_until_cancelled(shared.run(links)).await }
        });
        Self {
            shared,
            _guard: Arc::new(stopped.drop_guard()),
        }
    }

    /// Answers `Query::Share` of a peer.
    #[must_use]
    pub fn answer(&self, from: &Instance, service: &Service, want: Share) -> Answer {
        self.shared.answer(from, service, want)
    }
}

impl Shared {
    async fn run(&self, links: Links) {
        loop {
            let subjects = Arc::clone(&self.subjects.borrow());
            join_all(subjects.iter().map(|subject| self.refresh(&links, subject))).await;
            sleep(REFRESH).await;
        }
    }

    /// Asks for a share when the fixed one does not suffice by far.
    async fn refresh(&self, links: &Links, subject: &Subject) {
        let service = &subject.document.service;
        let limits = &subject.document.limits;
        let allowance = subject.pool.allowance();
        let demand = allowance.demand();
        // Twice the demand, so that a load that doubles between two requests
        // still finds room.
        let missing = |demand: u32, limit: u32| {
            let fixed = limit / 2 / self.max_entries.max(1);
            demand.saturating_mul(2).saturating_sub(fixed).min(limit)
        };
        let want = Share {
            in_flight: missing(demand.in_flight, limits.max_in_flight),
            per_second: missing(demand.per_second, limits.max_per_second),
        };
        if want == Share::default() {
            return;
        }
        let Some(holder) = self.leases.holder(Shard::of(service)) else {
            return;
        };
        let sent = Instant::now();
        let own = &self.leases.owner().instance;
        let answer = if holder == *own {
            self.answer(own, service, want)
        } else {
            let query = Query::Share {
                service: service.clone(),
                in_flight: want.in_flight,
                per_second: want.per_second,
            };
            match links.query(&holder, query, REFRESH).await {
                Ok(answer) => answer,
                Err(error) => {
                    log::debug!(target: "measure", "{service}: no share: {error}");
                    return;
                }
            }
        };
        if let Answer::Share {
            in_flight,
            per_second,
            valid_ms,
        } = answer
        {
            let share = Share {
                in_flight,
                per_second,
            };
            let validity = Duration::from_millis(valid_ms).min(VALIDITY);
            allowance.grant(share, sent + validity);
        }
    }

    fn answer(&self, from: &Instance, service: &Service, want: Share) -> Answer {
        let now = Instant::now();
        let Some(tenure) = self.leases.tenure(Shard::of(service)) else {
            self.metrics.count_share("not-holder");
            return Answer::NotHolder;
        };
        let subjects = Arc::clone(&self.subjects.borrow());
        let subject = subjects.iter().find(|s| s.document.service == *service);
        // Grants of the last holder may be in use until then.
        let settled = now >= tenure.since + VALIDITY;
        let Some(subject) = subject.filter(|_| settled) else {
            self.metrics.count_share("unavailable");
            return Answer::Unavailable;
        };
        let limits = &subject.document.limits;
        let mut books = self.books.lock().unwrap_or_else(PoisonError::into_inner);
        let book = books.entry(service.clone()).or_default();
        let share = book.grant(limits, self.max_entries, from, want, now);
        self.metrics.count_share("granted");
        Answer::Share {
            in_flight: share.in_flight,
            per_second: share.per_second,
            valid_ms: u64::try_from(VALIDITY.as_millis()).unwrap_or(u64::MAX),
        }
    }
}
