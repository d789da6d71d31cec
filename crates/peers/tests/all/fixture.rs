//! Entries without a store, which exchange membership and snapshots only.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use carobdrift_peers::{
    Data, Heartbeat, Peers, Phase, Row, Settings, StoreHealth, Targets, Update, Watermark,
};
use carobdrift_routing::{Limits, State as DesiredState};
use carobdrift_units::{BitRate, Era, StoreRevision, Version, Zone};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Port of the entries of most tests; each entry has its own address.
const PORT: u16 = 17_300;

/// Port of entries that get messages with wrong addresses, which must not reach
/// the entries of other tests.
const ISOLATED_PORT: u16 = 17_301;

/// Capacity of most entries, in thousandths of a core.
const CAPACITY: u32 = 200;

/// Bandwidth that the entries state for their links; allows two transfers at a time.
const LINK: BitRate = BitRate(10_000_000);

/// Last octet of the address of the next entry that a test starts.
static NEXT_ADDRESS: AtomicU8 = AtomicU8::new(2);

/// State that an entry reports about itself.
#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) rate: AtomicU32,
    /// Store revision of the entry's targets.
    pub(crate) revision: AtomicU64,
    /// Era of the store.
    pub(crate) era: AtomicU64,
    /// Number of targets, none of which is registered any longer.
    pub(crate) targets: AtomicU32,
    /// Version of the entry's desired state, which has no routes.
    pub(crate) version: AtomicU64,
    /// Number of snapshots that were taken of this state.
    pub(crate) snapshots: AtomicU32,
}

/// Entry that runs until it is dropped.
pub(crate) struct Entry {
    pub(crate) ip: IpAddr,
    port: u16,
    pub(crate) peers: Peers,
    pub(crate) state: Arc<State>,
    /// Runtime of the entry; its shutdown ends all tasks of the entry.
    runtime: Option<tokio::runtime::Runtime>,
}

impl Entry {
    fn start(ip: IpAddr, port: u16, capacity: u32, started_ms: u64, seed: IpAddr) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let zone: Zone = "hobart".parse().unwrap();
        let state = Arc::<State>::default();
        let settings = Settings {
            address: SocketAddr::new(ip, port),
            zone: zone.clone(),
            started_ms,
            capacity,
            link: LINK,
        };
        let (heartbeat_state, version_state, targets_state) =
            (Arc::clone(&state), Arc::clone(&state), Arc::clone(&state));
        let data = Data {
            heartbeat: Box::new(move |sequence| Heartbeat {
                started_ms,
                sequence,
                zone: zone.clone(),
                phase: Phase::Ready,
                capacity,
                rate: heartbeat_state.rate.load(Ordering::SeqCst),
                store: StoreHealth::Idle,
                watermark: watermark(&heartbeat_state),
                evacuations: Vec::new(),
            }),
            state: Box::new(move |since| update(&version_state, since)),
            targets: Box::new(move |since| targets(&targets_state, since)),
        };
        let bind = Peers::bind(settings, data);
        // Binds on another thread, because this one is inside the runtime of the
        // test and can't block on the runtime of the entry.
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
            port,
            peers,
            state,
            runtime: Some(runtime),
        }
    }

    /// Returns the addresses of the other entries that are alive, sorted.
    pub(crate) fn alive(&self) -> Vec<IpAddr> {
        let membership = self.peers.membership();
        let mut alive: Vec<IpAddr> = membership.alive(Instant::now()).map(|(ip, _)| ip).collect();
        alive.sort_unstable();
        alive
    }

    /// Returns whether this entry sees all of `others` as responsive.
    pub(crate) fn sees_responsive(&self, others: &[IpAddr]) -> bool {
        let now = Instant::now();
        let membership = self.peers.membership();
        let responsive: Vec<IpAddr> = membership
            .alive(now)
            .filter(|(_, peer)| peer.is_responsive(now))
            .map(|(ip, _)| ip)
            .collect();
        others
            .iter()
            .all(|other| *other == self.ip || responsive.contains(other))
    }

    /// Returns the request rate of another entry as known to this one.
    pub(crate) fn rate_of(&self, other: IpAddr) -> Option<u32> {
        let membership = self.peers.membership();
        let mut alive = membership.alive(Instant::now());
        let found = alive.find(|(ip, _)| *ip == other);
        found.map(|(_, peer)| peer.rate)
    }

    /// Stops all tasks of the entry for some time, as a frozen machine does.
    pub(crate) fn freeze(&self, duration: Duration) {
        let runtime = self.runtime.as_ref().unwrap();
        runtime.spawn(async move { std::thread::sleep(duration) });
    }

    pub(crate) fn address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.port)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Starts entries of one zone, each with the first one as its seed.
pub(crate) fn zone(count: u8) -> Vec<Entry> {
    zone_on(PORT, &vec![CAPACITY; count.into()])
}

/// Starts entries of one zone like [`zone`], with these capacities in thousandths of
/// a core, in the order of their addresses.
pub(crate) fn zone_of(capacities: &[u32]) -> Vec<Entry> {
    zone_on(PORT, capacities)
}

/// Starts entries of one zone like [`zone`], which no entries of other tests can
/// reach.
pub(crate) fn isolated_zone(count: u8) -> Vec<Entry> {
    zone_on(ISOLATED_PORT, &vec![CAPACITY; count.into()])
}

fn zone_on(port: u16, capacities: &[u32]) -> Vec<Entry> {
    let count = u8::try_from(capacities.len()).unwrap();
    let first = NEXT_ADDRESS.fetch_add(count, Ordering::SeqCst);
    let ips: Vec<IpAddr> = (first..first + count).map(address).collect();
    ips.iter()
        .zip(capacities)
        .map(|(ip, capacity)| Entry::start(*ip, port, *capacity, 1, ips[0]))
        .collect()
}

/// Starts an entry on the address of a stopped one, as another process.
pub(crate) fn restart(ip: IpAddr, seed: IpAddr) -> Entry {
    Entry::start(ip, PORT, CAPACITY, 2, seed)
}

/// Returns an address that no entry uses.
pub(crate) fn free_address() -> IpAddr {
    address(NEXT_ADDRESS.fetch_add(1, Ordering::SeqCst))
}

/// Returns a loopback address that is unlikely to be used by another test
/// process at the same time.
fn address(last: u8) -> IpAddr {
    let process = u8::try_from(std::process::id() % 250).unwrap();
    IpAddr::from([127, 12, process, last])
}

/// Waits until a condition holds, for eight seconds at most.
pub(crate) async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(8);
    while !condition() {
        assert!(Instant::now() < deadline, "not within 8 s: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Runs futures concurrently and returns their results.
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
        state: Version(state.version.load(Ordering::SeqCst)),
        targets: revision(state),
        known: StoreRevision::default(),
        store_age_ms: 0,
    }
}

fn update(state: &State, since: Version) -> Option<Update> {
    let version = Version(state.version.load(Ordering::SeqCst));
    (version > since).then(|| {
        Update::Whole(DesiredState {
            version,
            routes: Vec::new(),
            services: BTreeMap::new(),
            limits: Limits::default(),
            requires_keys: false,
            workspaces: BTreeMap::new(),
        })
    })
}

fn revision(state: &State) -> StoreRevision {
    StoreRevision {
        era: Era(state.era.load(Ordering::SeqCst)),
        version: state.revision.load(Ordering::SeqCst),
    }
}

fn targets(state: &State, since: Option<StoreRevision>) -> Option<Targets> {
    let revision = revision(state);
    (since < Some(revision)).then(|| {
        state.snapshots.fetch_add(1, Ordering::SeqCst);
        let count = state.targets.load(Ordering::SeqCst);
        let rows = (0..count).map(|number| Row {
            revision: StoreRevision {
                version: number.into(),
                ..revision
            },
            target: format!("i-{number:016}").parse().unwrap(),
            endpoint: None,
        });
        Targets {
            revision,
            rows: rows.collect(),
        }
    })
}
