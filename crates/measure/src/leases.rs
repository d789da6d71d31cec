//! Acquisition, renewal and release of the shard leases of a cell.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use carobdrift_platform::{Client, Condition, Error, Put, Transaction};
use carobdrift_units::{Cell, Instance, rank};
use futures_util::future::join_all;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::lease::{Claim, Lease, Owner, Tenure, Timing};
use crate::metrics::Metrics;
use crate::permit::Permit;
use crate::shard::Shard;

/// Delay between the last probe and the release of a lease. The delay covers
/// the window of the probe budget, because the successor may probe at once.
const RELEASE_DELAY: Duration = Duration::from_millis(1_010);

/// Settings of the leases.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Cell whose services are measured.
    pub cell: Cell,
    /// Owner under which this process takes leases.
    pub owner: Owner,
    /// Times that must be the same on all entries of the cell.
    pub timing: Timing,
}

/// Shard leases of a cell from the view of this entry; cheap to clone. The
/// leases are renewed until the last clone is dropped or they are released.
#[derive(Debug, Clone)]
pub struct Leases {
    shared: Arc<Shared>,
    _guard: Arc<DropGuard>,
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    client: Client,
    members: watch::Receiver<Vec<Instance>>,
    metrics: Metrics,
    state: Mutex<State>,
    outstanding: Arc<watch::Sender<usize>>,
    releasing: CancellationToken,
    stopped: CancellationToken,
}

#[derive(Debug)]
struct State {
    leases: Vec<Lease>,
    releasing: bool,
    /// Shards held when the leases were last logged.
    held: Vec<Shard>,
}

impl Leases {
    /// Starts to compete for the leases. The leases are distributed over
    /// `members`, the live entries of the cell.
    #[must_use]
    pub fn spawn(
        settings: Settings,
        client: Client,
        members: watch::Receiver<Vec<Instance>>,
        metrics: Metrics,
    ) -> Self {
        let lease = || Lease::new(settings.owner.clone(), settings.timing);
        let state = State {
            leases: Shard::all().map(|_| lease()).collect(),
            releasing: false,
            held: Vec::new(),
        };
        let shared = Arc::new(Shared {
            settings,
            client,
            members,
            metrics,
            state: Mutex::new(state),
            outstanding: Arc::new(watch::Sender::new(0)),
            releasing: CancellationToken::new(),
            stopped: CancellationToken::new(),
        });
        let dropped = CancellationToken::new();
        tokio::spawn({
            let shared = Arc::clone(&shared);
            let dropped = dropped.clone();
            async move {
                dropped.run_until_cancelled(shared.run()).await;
                shared.stopped.cancel();
            }
        });
        Self {
            shared,
            _guard: Arc::new(dropped.drop_guard()),
        }
    }

    /// Returns the permission to send one probe for a shard; `None` when its
    /// lease is not held at this moment.
    #[must_use]
    pub fn permit(&self, shard: Shard) -> Option<Permit> {
        let state = self.shared.lock();
        // Created under the lock, so that no permit is issued after `release`
        // has seen that none is outstanding.
        state
            .tenure(shard)
            .map(|_| Permit::new(&self.shared.outstanding))
    }

    /// Returns the tenure of a shard; `None` when its lease is not held at this
    /// moment.
    #[must_use]
    pub fn tenure(&self, shard: Shard) -> Option<Tenure> {
        self.shared.lock().tenure(shard)
    }

    /// Returns the instance that holds the lease of a shard, as far as known.
    #[must_use]
    pub fn holder(&self, shard: Shard) -> Option<Instance> {
        self.shared.lock().leases[shard.index()].holder().cloned()
    }

    /// Returns the owner under which this process takes leases.
    #[must_use]
    pub fn owner(&self) -> &Owner {
        &self.shared.settings.owner
    }

    /// Releases all leases permanently. No further permit is issued. The rows
    /// are marked as released after the window of the probe budget has passed
    /// without a probe.
    pub async fn release(&self) {
        self.shared.lock().releasing = true;
        self.shared.releasing.cancel();
        self.shared.stopped.cancelled().await;
    }
}

impl State {
    fn tenure(&self, shard: Shard) -> Option<Tenure> {
        if self.releasing {
            return None;
        }
        self.leases[shard.index()].tenure(Instant::now())
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run(&self) {
        loop {
            let next_round = self.renew_due().await;
            tokio::select! {
                () = sleep_until(next_round) => {}
                () = self.releasing.cancelled() => break,
            }
        }
        // Fails only when the sender is dropped, and `self` holds the sender.
        let _ = self
            .outstanding
            .subscribe()
            .wait_for(|count| *count == 0)
            .await;
        sleep(RELEASE_DELAY).await;
        let own: Vec<_> = {
            let state = self.lock();
            let own = Shard::all().filter(|shard| state.leases[shard.index()].is_own());
            own.map(|shard| (shard, state.leases[shard.index()].version()))
                .collect()
        };
        join_all(own.into_iter().map(|(shard, version)| async move {
            let Some(transaction) = self.build_write(shard, version, true) else {
                return;
            };
            if let Err(error) = self.client.transact(&transaction).await {
                log::warn!(target: "measure", "lease of shard {shard} cannot be released and will expire: {error}");
            }
        }))
        .await;
    }

    /// Reads all rows, writes those that are due and returns the time of the
    /// next round.
    async fn renew_due(&self) -> Instant {
        let timing = self.settings.timing;
        let prefix = Shard::prefix(&self.settings.cell);
        let limit = u32::from(Shard::COUNT) * 2;
        let read = self.client.scan(&prefix, "", limit).await;
        let now = Instant::now();
        let rows = match read {
            Ok(rows) => rows,
            Err(error) => {
                log::debug!(target: "measure", "shard leases cannot be read: {error}");
                self.record_held();
                return now + timing.rank_step;
            }
        };
        let due: Vec<_> = {
            let mut state = self.lock();
            let due = Shard::all().filter_map(|shard| {
                let key = self.key(shard);
                let lease = &mut state.leases[shard.index()];
                lease.observe(rows.iter().find(|row| row.key == key), now);
                let due = lease.next_write(self.rank(shard))?;
                // The leases of this process are renewed together, which
                // reduces the number of rounds and of reads.
                let lead = if lease.is_own() {
                    timing.renewal / 2
                } else {
                    Duration::ZERO
                };
                (due <= now + lead).then(|| (shard, lease.version()))
            });
            due.collect()
        };
        join_all(
            due.into_iter()
                .map(|(shard, version)| self.write_row(shard, version)),
        )
        .await;
        self.record_held();
        let now = Instant::now();
        let state = self.lock();
        Shard::all()
            .filter_map(|shard| state.leases[shard.index()].next_write(self.rank(shard)))
            .min()
            .unwrap_or(now)
            .min(now + timing.renewal)
            .max(now + timing.rank_step)
    }

    /// Takes or renews the lease of a shard.
    async fn write_row(&self, shard: Shard, version: u64) {
        let key = self.key(shard);
        let Some(transaction) = self.build_write(shard, version, false) else {
            return;
        };
        let sent = Instant::now();
        let result = self.client.transact(&transaction).await;
        let written = result
            .as_ref()
            .ok()
            .and_then(|commit| commit.versions.get(&key));
        if let Some(version) = written {
            let mut state = self.lock();
            state.leases[shard.index()].record_write(*version, sent, Instant::now());
            return;
        }
        match result {
            Err(Error::Conflict(_) | Error::Unavailable(_)) => {}
            Ok(_) | Err(Error::Unknown(_) | Error::Protocol(_)) => {
                self.lock().leases[shard.index()].record_unknown_write(transaction.id, sent);
                if let Ok(row) = self.client.read(&key).await {
                    let now = Instant::now();
                    self.lock().leases[shard.index()].observe(row.as_ref(), now);
                }
            }
        }
    }

    /// Builds the transaction that takes, renews or releases the lease of a
    /// shard.
    fn build_write(&self, shard: Shard, version: u64, released: bool) -> Option<Transaction> {
        let id = format!("{:032x}", rand::random::<u128>());
        let claim = Claim {
            owner: self.settings.owner.clone(),
            transaction: id.clone(),
            released,
        };
        let key = self.key(shard);
        let value = match serde_json::to_value(claim) {
            Ok(value) => value,
            Err(error) => {
                log::error!(target: "measure", "lease row of shard {shard} cannot be encoded: {error}");
                return None;
            }
        };
        Some(Transaction {
            id,
            conditions: vec![Condition {
                key: key.clone(),
                version,
            }],
            puts: vec![Put { key, value }],
            deletes: Vec::new(),
        })
    }

    fn key(&self, shard: Shard) -> String {
        shard.key(&self.settings.cell)
    }

    /// Returns the rendezvous rank of this entry for a shard.
    fn rank(&self, shard: Shard) -> u32 {
        let own = &self.settings.owner.instance;
        let members = self.members.borrow();
        let others = members.iter().filter(|member| *member != own);
        let ranked = rank(&self.key(shard), others.chain([own]));
        let position = ranked.iter().position(|member| *member == own);
        position
            .and_then(|position| u32::try_from(position).ok())
            .unwrap_or(u32::MAX)
    }

    /// Logs and counts the leases that are held.
    fn record_held(&self) {
        let mut state = self.lock();
        let held: Vec<_> = Shard::all()
            .filter(|s| state.tenure(*s).is_some())
            .collect();
        for shard in held.iter().filter(|shard| !state.held.contains(shard)) {
            log::info!(target: "measure", "acquired the lease of shard {shard}");
        }
        for shard in state.held.iter().filter(|shard| !held.contains(shard)) {
            log::info!(target: "measure", "lost the lease of shard {shard}");
        }
        self.metrics.set_leases(held.len());
        state.held = held;
    }
}
