//! Entries that only know each other.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use carobdrift_peers::{
    Baseline, Heartbeat, Peers, Phase, Settings, Snapshot, StoreHealth, Targets, Watermark,
};
use carobdrift_units::{Version, Zone};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Port of all entries; they have addresses of their own.
const PORT: u16 = 17_300;

/// Last part of the address of the next group of entries.
static NEXT: AtomicU8 = AtomicU8::new(2);

/// What an entry states of itself.
#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) rate: AtomicU32,
    /// Revision of the targets that it knows.
    pub(crate) revision: AtomicU64,
    /// Snapshots that were made.
    pub(crate) made: AtomicU32,
}

/// An entry that runs until it is dropped.
pub(crate) struct Entry {
    pub(crate) ip: IpAddr,
    pub(crate) peers: Peers,
    pub(crate) state: Arc<State>,
    /// The runtime of the entry, which ends all of its tasks.
    runtime: Option<tokio::runtime::Runtime>,
}

impl Entry {
    fn start(ip: IpAddr, zone: &str, started_ms: u64, seed: IpAddr) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let zone: Zone = zone.parse().unwrap();
        let state = Arc::<State>::default();
        let settings = Settings {
            address: SocketAddr::new(ip, PORT),
            zone: zone.clone(),
            started_ms,
        };
        let (stating, telling, source) =
            (Arc::clone(&state), Arc::clone(&state), Arc::clone(&state));
        let bind = Peers::bind(
            settings,
            Box::new(move |sequence| Heartbeat {
                started_ms,
                sequence,
                zone: zone.clone(),
                phase: Phase::Ready,
                capacity: 200,
                rate: stating.rate.load(Ordering::SeqCst),
                store: StoreHealth::Healthy,
                watermark: watermark(&stating),
            }),
            Box::new(move || watermark(&telling)),
            Box::new(move |known| snapshot(&source, known)),
        );
        // Binding needs the runtime of the entry, and this thread has one already.
        let (peers, mut events) = std::thread::scope(|scope| {
            scope
                .spawn(|| runtime.block_on(bind))
                .join()
                .unwrap()
                .unwrap()
        });
        runtime.spawn(async move { while events.recv().await.is_some() {} });
        peers.add_candidates([seed]);
        Self {
            ip,
            peers,
            state,
            runtime: Some(runtime),
        }
    }

    /// Addresses of the other entries that are alive.
    pub(crate) fn alive(&self) -> Vec<IpAddr> {
        let membership = self.peers.membership();
        let mut alive: Vec<IpAddr> = membership.alive(Instant::now()).map(|(ip, _)| ip).collect();
        alive.sort_unstable();
        alive
    }

    /// Whether it heard of all these so lately that callers may be sent there.
    pub(crate) fn finds_prompt(&self, others: &[IpAddr]) -> bool {
        let now = Instant::now();
        let membership = self.peers.membership();
        let prompt: Vec<IpAddr> = membership
            .alive(now)
            .filter(|(_, peer)| peer.is_responsive(now))
            .map(|(ip, _)| ip)
            .collect();
        others
            .iter()
            .all(|other| *other == self.ip || prompt.contains(other))
    }

    /// The rate that it knows of another entry.
    pub(crate) fn rate_of(&self, other: IpAddr) -> Option<u32> {
        let membership = self.peers.membership();
        let mut alive = membership.alive(Instant::now());
        let found = alive.find(|(ip, _)| *ip == other);
        found.map(|(_, peer)| peer.rate)
    }

    pub(crate) fn address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, PORT)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Starts entries of one zone that know the first one of them.
pub(crate) fn zone(count: u8) -> Vec<Entry> {
    let first = NEXT.fetch_add(count, Ordering::SeqCst);
    let ips: Vec<IpAddr> = (first..first + count).map(address).collect();
    ips.iter()
        .map(|ip| Entry::start(*ip, "hobart", 1, ips[0]))
        .collect()
}

/// Starts an entry again, as another process.
pub(crate) fn restart(ip: IpAddr, seed: IpAddr) -> Entry {
    Entry::start(ip, "hobart", 2, seed)
}

/// A loopback address that no other test process uses.
fn address(last: u8) -> IpAddr {
    let process = u8::try_from(std::process::id() % 250).unwrap();
    IpAddr::from([127, 12, process, last])
}

/// Waits until something holds.
pub(crate) async fn eventually(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(8);
    while !holds() {
        assert!(Instant::now() < end, "not in time: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Runs futures at the same time.
pub(crate) async fn all<T: Send + 'static>(
    futures: impl IntoIterator<Item = impl Future<Output = T> + Send + 'static>,
) -> Vec<T> {
    let mut set = JoinSet::new();
    for future in futures {
        set.spawn(future);
    }
    set.join_all().await
}

fn watermark(state: &State) -> Watermark {
    Watermark {
        state: Version::NONE,
        targets: state.revision.load(Ordering::SeqCst),
        store_age_ms: 0,
    }
}

fn snapshot(state: &State, known: Baseline) -> Snapshot {
    state.made.fetch_add(1, Ordering::SeqCst);
    let revision = state.revision.load(Ordering::SeqCst);
    let targets = Targets {
        revision,
        rows: Vec::new(),
    };
    Snapshot {
        state: None,
        targets: (known.targets < Some(revision)).then_some(targets),
    }
}
