//! The cases.

use std::collections::HashMap;
use std::env;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Barrier, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::entry::{Entry, Machine, Net, SIGTERM, USUAL};
use crate::http::{Connection, Message, encode};
use crate::record::Record;
use crate::store::Store;
use crate::target::{Settings, Target};

/// `drain` of the bounds, in seconds.
const DRAIN_S: f64 = 2.0;

/// `configApply` of the bounds, in seconds.
const CONFIG_APPLY_S: f64 = 2.0;

/// First host of the targets.
const TARGET_HOST: u8 = 30;

const ZONES: [&str; 3] = ["sofia-a", "sofia-b", "sofia-c"];

/// `maxSkew` of the bounds, in seconds.
const MAX_SKEW_S: f64 = 5.0;

type Broken = Vec<String>;

pub fn run(case: &str, is_troubled: bool, record: &Record) -> Result<Broken, String> {
    match case {
        "drill" => drill(is_troubled, record),
        "stop" => stop(is_troubled, record),
        "limits" => limits(is_troubled, record),
        "narrow" => narrow(is_troubled, record),
        "turned-away" => turned_away(is_troubled, record),
        _ => Err(format!("there is no case {case}")),
    }
}

/// Installation on loopback; its processes end when it is dropped.
struct Installation {
    net: Net,
    store: Store,
    entries: Vec<Entry>,
    folder: PathBuf,
    record: Record,
    ids: Arc<AtomicU64>,
}

impl Installation {
    /// Prepares entries, one in each of the zones in turn, with a desired state.
    fn start(count: u8, state: &str, record: &Record) -> Result<Self, String> {
        Self::prepare(count, |_| USUAL, state, record)
    }

    /// Prepares entries on machines of several sizes.
    fn prepare(
        count: u8,
        machine: impl Fn(u8) -> Machine,
        state: &str,
        record: &Record,
    ) -> Result<Self, String> {
        let net = Net::find(62).map_err(text)?;
        let store = Store::open();
        let folder = env::temp_dir().join(format!("rig-2-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(text)?;
        let mut installation = Self {
            net,
            store,
            entries: Vec::new(),
            folder,
            record: record.clone(),
            ids: Arc::new(AtomicU64::new(1)),
        };
        installation.put_state(state)?;
        for host in 1..=count {
            let address = installation.net.address(host, 8);
            let machine = machine(host);
            let served = installation
                .store
                .serve_machine(host, address, machine.link_mbps);
            served.map_err(text)?;
            let zone = ZONES[usize::from(host - 1) % ZONES.len()];
            let entry = Entry::prepare(
                &installation.net,
                host,
                machine,
                zone,
                &ZONES,
                &installation.folder,
                record,
            );
            installation.entries.push(entry.map_err(text)?);
        }
        Ok(installation)
    }

    fn start_entries(&mut self) -> Result<(), String> {
        for entry in &mut self.entries {
            entry.start().map_err(text)?;
        }
        for entry in &self.entries {
            entry.wait_ready(Duration::from_secs(15))?;
        }
        Ok(())
    }

    fn put_state(&self, state: &str) -> Result<(), String> {
        let put = self.store.put("op", "config", state);
        put.map_err(|()| "the store is away".to_owned())?;
        let version = state.split("\"version\":\"").nth(1).unwrap_or_default();
        let version = version.split('"').next().unwrap_or_default();
        self.record
            .line(format!("store confirms version={version}"));
        Ok(())
    }

    fn target(
        &self,
        number: u8,
        service: &str,
        slots: u32,
        queue: u32,
        work: Duration,
    ) -> Result<Target, String> {
        let settings = Settings {
            id: format!("i-{service}-{number}"),
            service: service.to_owned(),
            zone: ZONES[usize::from(number) % ZONES.len()].to_owned(),
            address: self.net.address(TARGET_HOST + number, 0),
            slots,
            queue,
            work,
        };
        Target::bind(settings, &self.store, &self.record).map_err(text)
    }

    fn next_id(&self) -> String {
        next_id(&self.ids)
    }
}

impl Drop for Installation {
    fn drop(&mut self) {
        for entry in &mut self.entries {
            entry.stop();
        }
        if env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn next_id(ids: &AtomicU64) -> String {
    format!("{:016x}", ids.fetch_add(1, Ordering::SeqCst))
}

fn text(error: io::Error) -> String {
    error.to_string()
}

/// Route of a desired state.
struct Route<'a> {
    name: &'a str,
    prefix: &'a str,
    service: &'a str,
    timeout_ms: u64,
    target_latency_ms: u64,
}

fn state(version: u32, max_body: u64, routes: &[Route<'_>]) -> String {
    let mut resources: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"resourceKind\":\"routes\",\"metadata\":{{\"name\":\"{}\"}},\"spec\":{{\
                 \"host\":\"book.example\",\"prefix\":\"{}\",\"kind\":\"unsafe\",\
                 \"timeout\":\"{}ms\",\"targetLatency\":\"{}ms\",\"priority\":1,\
                 \"service\":\"{}\",\"maxAttempts\":2}}}}",
                route.name, route.prefix, route.timeout_ms, route.target_latency_ms, route.service
            )
        })
        .collect();
    let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
    services.sort_unstable();
    services.dedup();
    for service in services {
        resources.push(format!(
            "{{\"resourceKind\":\"services\",\"metadata\":{{\"name\":\"{}\"}},\"spec\":{{\
             \"healthPath\":\"/health\",\"maxConnections\":220,\"protocol\":\"h1\",\
             \"tls\":false}}}}",
            service
        ));
    }
    resources.push(format!(
        "{{\"resourceKind\":\"limits\",\"metadata\":{{}},\"spec\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":{max_body},\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}}}"
    ));
    format!(
        "{{\"version\":\"{version:08x}\",\"baseVersion\":\"00000000\",\"resources\":[{}]}}",
        resources.join(",")
    )
}

/// Encodes a request of a caller.
fn request(path: &str, id: &str, budget_ms: u64, body: &[u8]) -> Vec<u8> {
    let budget = budget_ms.to_string();
    let headers = [
        ("Host", "book.example"),
        ("X-Carobdrift-Attempt-Id", id),
        ("X-Carobdrift-Deadline-Ms", budget.as_str()),
    ];
    encode(&format!("POST {path} HTTP/1.1"), &headers, body)
}

/// What a caller got for one attempt.
#[derive(Debug, Clone)]
struct Outcome {
    attempt: String,
    entry: usize,
    sent: f64,
    ended: f64,
    /// Complete answer, or the error with which the connection ended.
    answer: Result<Message, String>,
}

impl Outcome {
    fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, Message::status)
    }

    fn retry_after(&self) -> Duration {
        let answer = self.answer.as_ref().ok();
        let seconds = answer.and_then(|answer| answer.header("retry-after"));
        let seconds = seconds.and_then(|text| text.parse().ok()).unwrap_or(0.05);
        Duration::from_secs_f64(seconds)
    }
}

/// Sends one request over a connection and reads its answer.
fn exchange(
    connection: &mut Connection,
    entry: usize,
    bytes: &[u8],
    id: &str,
    budget_ms: u64,
    record: &Record,
) -> Outcome {
    let sent = record.now();
    record.line(format!("send attempt={id} entry={entry}"));
    let deadline = Instant::now() + Duration::from_millis(budget_ms);
    let is_sent = connection.send(bytes);
    let answer = match is_sent.and_then(|()| connection.read(deadline)) {
        Ok(Some(answer)) => Ok(answer),
        Ok(None) => Err("the connection ended without an answer".to_owned()),
        Err(error) => Err(format!("{:?}", error.kind())),
    };
    let outcome = Outcome {
        attempt: id.to_owned(),
        entry,
        sent,
        ended: record.now(),
        answer,
    };
    record.line(format!(
        "answer attempt={id} entry={entry} after_s={:.3} {}",
        outcome.ended - outcome.sent,
        match &outcome.answer {
            Ok(answer) => format!("status={}", answer.status()),
            Err(error) => format!("none: {error}"),
        }
    ));
    outcome
}

/// Asks an entry which entries to use.
fn resolve(directory: SocketAddr, zone: &str) -> Vec<SocketAddr> {
    let ask = || -> io::Result<Option<Message>> {
        let second = Duration::from_secs(1);
        let mut connection = Connection::open(directory, second)?;
        let start = format!("GET /api/resolve?name=book.example&region=sofia&zone={zone} HTTP/1.1");
        connection.send(&encode(&start, &[("Host", "directory")], b""))?;
        connection.read(Instant::now() + second)
    };
    let Ok(Some(answer)) = ask() else {
        return Vec::new();
    };
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    let list = body.split('[').nth(1).unwrap_or_default();
    let list = list.split(']').next().unwrap_or_default();
    let addresses = list.split(',').map(|text| text.trim_matches('"'));
    addresses.filter_map(|text| text.parse().ok()).collect()
}

/// The store returns from an older copy, in which targets that are leaving are ready.
///
/// Of two services, four of 16 targets drain, while twice as many callers as slots keep the
/// others busy. All
/// entries stop using them. Then the store is away for half a second and returns from a
/// copy that was made before the targets reported that they drain. The targets report it
/// again with their next heartbeat.
fn drill(is_troubled: bool, record: &Record) -> Result<Broken, String> {
    const SERVICES: [&str; 2] = ["bookdesk", "paycake"];
    const TARGETS: u8 = 16;
    const DRAINING: u8 = 4;
    const CALLERS: usize = 96;
    const BUDGET_MS: u64 = 1_500;
    let routes = SERVICES.map(|service| Route {
        name: service,
        prefix: if service == SERVICES[0] {
            "/bookdesk/"
        } else {
            "/paycake/"
        },
        service,
        timeout_ms: 800,
        target_latency_ms: 300,
    });
    let mut installation = Installation::start(9, &state(1, 1 << 20, &routes), record)?;
    let mut targets = Vec::new();
    for number in 0..TARGETS {
        for (index, service) in (0..).zip(SERVICES) {
            let work = Duration::from_millis(120);
            let target = installation.target(number + TARGETS * index, service, 2, 8, work)?;
            targets.push((number, target));
        }
    }
    installation.start_entries()?;
    thread::sleep(Duration::from_secs(3));

    let ends = Arc::new(AtomicBool::new(false));
    let fronts: Vec<SocketAddr> = installation.entries.iter().map(|e| e.front).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (fronts, ends) = (fronts.clone(), Arc::clone(&ends));
            let directory = installation.entries[caller % fronts.len()].directory;
            let ids = Arc::clone(&installation.ids);
            let record = record.clone();
            thread::spawn(move || {
                let zone = ZONES[caller % ZONES.len()];
                let mut known: (Vec<SocketAddr>, Option<Instant>) = (Vec::new(), None);
                let mut connections: HashMap<SocketAddr, Connection> = HashMap::new();
                let mut turn = caller;
                while !ends.load(Ordering::SeqCst) {
                    let ttl = Duration::from_secs(1);
                    if known.1.is_none_or(|at| at.elapsed() > ttl) {
                        known = (resolve(directory, zone), Some(Instant::now()));
                    }
                    turn += 1;
                    let Some(front) = known.0.get(turn % known.0.len().max(1)).copied() else {
                        thread::sleep(Duration::from_millis(50));
                        continue;
                    };
                    let entry = fronts.iter().position(|f| *f == front).unwrap_or(99);
                    let opened = connections
                        .remove(&front)
                        .map_or_else(|| Connection::open(front, Duration::from_secs(1)), Ok);
                    let Ok(mut connection) = opened else {
                        continue;
                    };
                    let id = next_id(&ids);
                    let path = format!("/{}/1", SERVICES[caller / 3 % SERVICES.len()]);
                    let bytes = request(&path, &id, BUDGET_MS, b"seat=1");
                    let outcome = exchange(&mut connection, entry, &bytes, &id, BUDGET_MS, &record);
                    if outcome.answer.is_ok() {
                        connections.insert(front, connection);
                    }
                    if outcome.status() == 503 || outcome.status() == 429 {
                        thread::sleep(outcome.retry_after());
                    }
                }
            })
        })
        .collect();

    thread::sleep(Duration::from_secs(3));
    installation.store.take_copy();
    record.line("store copy taken");
    thread::sleep(Duration::from_secs(1));
    let draining = targets.iter().filter(|(number, _)| *number < DRAINING);
    let draining: Vec<&Target> = draining.map(|(_, target)| target).collect();
    let mut drained = 0.0;
    for target in &draining {
        if !target.drain() {
            return Err("the store did not accept the report".to_owned());
        }
        drained = record.now();
    }
    thread::sleep(Duration::from_millis(4_000));
    let away = record.now();
    if is_troubled {
        record.line("store leaves");
        installation.store.leave();
        thread::sleep(Duration::from_millis(500));
        installation.store.return_from_copy();
        record.line("store returns from the copy");
    }
    thread::sleep(Duration::from_millis(5_000));
    ends.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }

    let events: Vec<_> = draining.iter().flat_map(|target| target.events()).collect();
    let runs = |from: f64, to: f64| {
        let events = events.iter();
        events
            .filter(|event| event.began.is_some() && event.arrived > from && event.arrived < to)
            .count()
    };
    let before = runs(0.0, drained);
    let between = runs(drained + DRAIN_S, away);
    let after = runs(away, f64::MAX);
    record.line(format!(
        "drained={drained:.3} runs_before={before} runs_later_than_drain={between} \
         runs_after_the_return={after}"
    ));
    if before == 0 {
        return Err("the targets were not used before".to_owned());
    }
    let mut broken = Vec::new();
    if between + after > 0 {
        broken.push(format!(
            "DRAIN: {} requests ran at targets later than {DRAIN_S} s after their leaving was \
             confirmed, {after} of them after the store had left",
            between + after
        ));
    }
    Ok(broken)
}

/// An entry gets SIGTERM while its requests wait in the queue of a target.
///
/// Callers of five entries book at the same moment. Each target serves two requests at a
/// time, and the others wait in its queue. 0.3 s later one of the entries gets SIGTERM.
fn stop(is_troubled: bool, record: &Record) -> Result<Broken, String> {
    const ENTRIES: u8 = 5;
    const STOPPED: usize = 4;
    const SERVICES: [&str; 6] = ["tables", "cakes", "rooms", "cars", "bands", "halls"];
    const CALLERS_PER_ENTRY: usize = 2;
    const BUDGET_MS: u64 = 8_000;
    const LATEST_S: f64 = 3.0;
    let routes: Vec<Route<'_>> = SERVICES
        .iter()
        .zip([
            "/tables/", "/cakes/", "/rooms/", "/cars/", "/bands/", "/halls/",
        ])
        .map(|(service, prefix)| Route {
            name: service,
            prefix,
            service,
            timeout_ms: 8_000,
            target_latency_ms: 1_500,
        })
        .collect();
    let mut installation = Installation::start(ENTRIES, &state(1, 1 << 20, &routes), record)?;
    let work = Duration::from_millis(2_200);
    let targets: Result<Vec<Target>, String> = (0..)
        .zip(SERVICES)
        .map(|(number, service)| installation.target(number, service, 2, 8, work))
        .collect();
    let targets = targets?;
    installation.start_entries()?;
    thread::sleep(Duration::from_secs(4));

    let count = usize::from(ENTRIES) * CALLERS_PER_ENTRY * SERVICES.len();
    let barrier = Arc::new(Barrier::new(count + 1));
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let mut callers = Vec::new();
    for (index, entry) in installation.entries.iter().enumerate() {
        for service in SERVICES {
            for _ in 0..CALLERS_PER_ENTRY {
                let (front, id) = (entry.front, installation.next_id());
                let (barrier, outcomes) = (Arc::clone(&barrier), Arc::clone(&outcomes));
                let record = record.clone();
                callers.push(thread::spawn(move || {
                    let connection = Connection::open(front, Duration::from_secs(1));
                    barrier.wait();
                    let Ok(mut connection) = connection else {
                        return;
                    };
                    let path = format!("/{service}/1");
                    let bytes = request(&path, &id, BUDGET_MS, b"guest=1");
                    let budget = BUDGET_MS + 500;
                    let outcome = exchange(&mut connection, index, &bytes, &id, budget, &record);
                    outcomes.lock().unwrap().push(outcome);
                }));
            }
        }
    }
    barrier.wait();
    thread::sleep(Duration::from_millis(300));
    let stopped = record.now();
    if is_troubled {
        installation.entries[STOPPED].signal(SIGTERM);
    }
    for caller in callers {
        let _ = caller.join();
    }
    if is_troubled && !installation.entries[STOPPED].has_ended() {
        return Err("the entry did not end within its grace time".to_owned());
    }

    let outcomes = outcomes.lock().unwrap();
    let events: HashMap<String, _> = targets
        .iter()
        .flat_map(Target::events)
        .map(|event| (event.attempt.clone(), event))
        .collect();
    let mut broken = Vec::new();
    for outcome in outcomes.iter().filter(|outcome| outcome.answer.is_err()) {
        let event = events.get(&outcome.attempt);
        let is_passed_on = event.is_some();
        let was_at_work = event.is_some_and(|event| event.began.is_some());
        let is_in_budget = outcome.ended - outcome.sent < BUDGET_MS as f64 / 1000.0 - 0.1;
        let is_early = outcome.sent < stopped + LATEST_S;
        record.line(format!(
            "without answer: attempt={} entry={} sent={:.3} ended={:.3} passed_on={is_passed_on} \
             at_work={was_at_work}",
            outcome.attempt,
            outcome.entry,
            outcome.sent - stopped,
            outcome.ended - stopped
        ));
        if is_passed_on && !was_at_work && is_in_budget && is_early {
            broken.push(format!(
                "LOST: attempt {} was passed on to a target, which had not begun to work on it, \
                 and its connection ended without an answer {:.2} s after it was sent",
                outcome.attempt,
                outcome.ended - outcome.sent
            ));
        }
    }
    if outcomes.len() < count {
        return Err(format!("{} of {count} callers connected", outcomes.len()));
    }
    Ok(broken)
}

/// A desired state raises the largest body, and kept connections go on with the old one.
///
/// Callers keep a connection each after a small request. Then the operator raises
/// `maxBodyBytes`. Later than `configApply`, each caller sends a request with a body that
/// only the new version allows, on its kept connection. Without the change the first
/// version allows these bodies.
fn limits(is_troubled: bool, record: &Record) -> Result<Broken, String> {
    const CALLERS: usize = 24;
    const SMALL: u64 = 64 * 1024;
    const LARGE: u64 = 1024 * 1024;
    const BODY: usize = 200 * 1024;
    const BUDGET_MS: u64 = 2_500;
    let route = || Route {
        name: "book",
        prefix: "/book/",
        service: "bookdesk",
        timeout_ms: 2_500,
        target_latency_ms: 500,
    };
    let first = if is_troubled { SMALL } else { LARGE };
    let mut installation = Installation::start(3, &state(1, first, &[route()]), record)?;
    let targets: Result<Vec<Target>, String> = (0..4)
        .map(|n| installation.target(n, "bookdesk", 6, 8, Duration::from_millis(20)))
        .collect();
    let _targets = targets?;
    installation.start_entries()?;
    thread::sleep(Duration::from_secs(4));

    let mut kept = Vec::new();
    for caller in 0..CALLERS {
        let entry = caller % installation.entries.len();
        let front = installation.entries[entry].front;
        let mut connection = Connection::open(front, Duration::from_secs(1)).map_err(text)?;
        let id = installation.next_id();
        let bytes = request("/book/slot", &id, BUDGET_MS, b"seat=1");
        let outcome = exchange(&mut connection, entry, &bytes, &id, BUDGET_MS, record);
        if outcome.status() != 200 {
            return Err(format!("the small request got {:?}", outcome.answer));
        }
        kept.push((entry, connection));
    }
    if is_troubled {
        installation.put_state(&state(9, LARGE, &[route()]))?;
    }
    let confirmed = record.now();
    thread::sleep(Duration::from_secs_f64(2.0 * CONFIG_APPLY_S));

    let mut refused = 0;
    let mut fresh = 0;
    let body = vec![b'x'; BODY];
    for (entry, connection) in &mut kept {
        let id = installation.next_id();
        let bytes = request("/book/photo", &id, BUDGET_MS, &body);
        let outcome = exchange(connection, *entry, &bytes, &id, BUDGET_MS, record);
        refused += usize::from(outcome.status() == 413);
        // The same on a new connection shows which version is in force.
        let front = installation.entries[*entry].front;
        let mut other = Connection::open(front, Duration::from_secs(1)).map_err(text)?;
        let id = installation.next_id();
        let bytes = request("/book/photo", &id, BUDGET_MS, &body);
        let outcome = exchange(&mut other, *entry, &bytes, &id, BUDGET_MS, record);
        fresh += usize::from(outcome.status() == 200);
    }
    let after = record.now() - confirmed;
    record.line(format!(
        "refused_on_kept={refused} of {CALLERS}, served_on_new={fresh}, ended {after:.1} s \
         after the confirmation"
    ));
    let mut broken = Vec::new();
    if refused > 0 {
        broken.push(format!(
            "CONFIG: {refused} of {CALLERS} requests that were sent on kept connections later than \
             {CONFIG_APPLY_S} s after the confirmation got 413, as only the older version says; \
             {fresh} of {CALLERS} on new connections were served"
        ));
    }
    Ok(broken)
}

/// The store turns away the entries that read it, and serves the others.
///
/// The store answers 8 of 24 machines with 503 for 9 s: those that come first in the order in
/// which entries read it. Right after that the operator moves a route to another service.
/// The store confirms that, and serves the other 16 machines all the while.
fn turned_away(is_troubled: bool, record: &Record) -> Result<Broken, String> {
    const ENTRIES: u8 = 24;
    const REFUSED: u8 = 8;
    const BUDGET_MS: u64 = 2_500;
    const INTERVAL: Duration = Duration::from_millis(250);
    let routes = |service| {
        let route = |name, prefix, service| Route {
            name,
            prefix,
            service,
            timeout_ms: 2_500,
            target_latency_ms: 500,
        };
        [
            route("book", "/book/", service),
            route("old", "/old/", "oldbook"),
            route("new", "/new/", "newbook"),
        ]
    };
    let first = state(1, 1 << 20, &routes("oldbook"));
    let mut installation = Installation::start(ENTRIES, &first, record)?;
    let mut targets = Vec::new();
    for number in 0..8 {
        let service = if number < 4 { "oldbook" } else { "newbook" };
        let work = Duration::from_millis(10);
        targets.push((service, installation.target(number, service, 6, 8, work)?));
    }
    installation.start_entries()?;
    thread::sleep(Duration::from_secs(4));

    let ends = Arc::new(AtomicBool::new(false));
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    // Those that the store serves.
    let served = installation.entries.iter().enumerate();
    let callers: Vec<_> = served
        .skip(usize::from(REFUSED))
        .map(|(index, entry)| {
            let (front, ids) = (entry.front, Arc::clone(&installation.ids));
            let (ends, outcomes) = (Arc::clone(&ends), Arc::clone(&outcomes));
            let record = record.clone();
            thread::spawn(move || {
                while !ends.load(Ordering::SeqCst) {
                    thread::sleep(INTERVAL);
                    let opened = Connection::open(front, Duration::from_secs(1));
                    let Ok(mut connection) = opened else {
                        continue;
                    };
                    let id = next_id(&ids);
                    let bytes = request("/book/slot", &id, BUDGET_MS, b"seat=1");
                    let outcome = exchange(&mut connection, index, &bytes, &id, BUDGET_MS, &record);
                    outcomes.lock().unwrap().push(outcome);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    if is_troubled {
        record.line(format!("store turns away the machines 1 to {REFUSED}"));
        installation.store.refuse(1..=REFUSED);
    }
    thread::sleep(Duration::from_millis(100));
    installation.put_state(&state(9, 1 << 20, &routes("newbook")))?;
    let confirmed = record.now();
    thread::sleep(Duration::from_millis(8_900));
    installation.store.refuse([]);
    let returned = record.now();
    record.line("store serves all machines");
    thread::sleep(Duration::from_secs(4));
    ends.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }

    let services: HashMap<String, &str> = targets
        .iter()
        .flat_map(|(service, target)| target.events().into_iter().map(|event| (*service, event)))
        .filter(|(_, event)| event.began.is_some())
        .map(|(service, event)| (event.attempt, service))
        .collect();
    let outcomes = outcomes.lock().unwrap();
    let runs = |service: &str, from: f64, to: f64| {
        let sent = outcomes.iter().filter(|o| o.sent > from && o.sent < to);
        sent.filter(|o| services.get(&o.attempt) == Some(&service))
            .count()
    };
    let bound = if is_troubled {
        CONFIG_APPLY_S + MAX_SKEW_S
    } else {
        CONFIG_APPLY_S
    };
    let late = runs("oldbook", confirmed + bound, f64::MAX);
    let newest = outcomes.iter().map(|o| o.sent).fold(0.0, f64::max);
    record.line(format!(
        "runs later than {bound} s after the confirmation: by the old service {late}, by the \
         new one {}; by the new one before the store served all machines again {}; in the last \
         second by the old one {}",
        runs("newbook", confirmed + bound, f64::MAX),
        runs("newbook", confirmed, returned),
        runs("oldbook", newest - 1.0, f64::MAX)
    ));
    if runs("oldbook", 0.0, confirmed) == 0 || runs("newbook", newest - 1.0, f64::MAX) == 0 {
        return Err("the services were not used before and after the change".to_owned());
    }
    let mut broken = Vec::new();
    if late > 0 {
        broken.push(format!(
            "CONFIG: {late} requests that were sent later than {bound} s after the confirmation \
             ran at the old service, by machines that the store served all the while"
        ));
    }
    Ok(broken)
}

/// All large machines are lost while the desired state is large.
///
/// Three of 24 machines have wide links and read the store. They lose power at once, and the
/// operator adds a route right after that. The others have links of 10 Mbit/s.
fn narrow(is_troubled: bool, record: &Record) -> Result<Broken, String> {
    const ENTRIES: u8 = 24;
    const LARGE: u8 = 3;
    const ROUTES: usize = 3_500;
    const OTHERS: u32 = 424;
    const APPLY_S: f64 = 2.5;
    const BUDGET_MS: u64 = 2_500;
    const INTERVAL: Duration = Duration::from_millis(100);
    let names: Vec<String> = (0..ROUTES).map(|number| format!("r{number}")).collect();
    let prefixes: Vec<String> = names.iter().map(|name| format!("/{name}/")).collect();
    let route = |name, prefix| Route {
        name,
        prefix,
        service: "bookdesk",
        timeout_ms: 2_500,
        target_latency_ms: 500,
    };
    let routes = || -> Vec<Route<'_>> {
        let routes = names.iter().zip(&prefixes);
        routes.map(|(name, prefix)| route(name, prefix)).collect()
    };
    let machine = |host| {
        if host <= LARGE {
            Machine {
                share: 0.5,
                link_mbps: 200,
                config_apply_ms: 2_500,
            }
        } else {
            Machine {
                share: 0.1,
                link_mbps: 10,
                config_apply_ms: 2_500,
            }
        }
    };
    let first = state(1, 1 << 20, &routes());
    record.line(format!("the desired state has {} bytes", first.len()));
    let mut installation = Installation::prepare(ENTRIES, machine, &first, record)?;
    let targets: Result<Vec<Target>, String> = (0..8)
        .map(|n| installation.target(n, "bookdesk", 6, 8, Duration::from_millis(10)))
        .collect();
    let _targets = targets?;
    // Registrations of a service that no route leads to.
    for number in 0..OTHERS {
        let row = format!(
            "{{\"address\":\"127.0.0.1:{}\",\"born\":1,\"info\":{{\"service\":\"otherdesk\",\
             \"version\":\"v1\",\"zone\":\"sofia-a\",\"slots\":2}},\"status\":{{\
             \"state\":\"ready\",\"sequence\":1,\"warmupLeft\":\"0ms\"}}}}",
            20_000 + number
        );
        let key = format!("i-other-{number}");
        let put = installation.store.put("servers", &key, &row);
        put.map_err(|()| "the store is away".to_owned())?;
    }
    installation.start_entries()?;
    thread::sleep(Duration::from_secs(6));

    let ends = Arc::new(AtomicBool::new(false));
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let small = installation.entries.iter().enumerate();
    let small: Vec<_> = small.skip(usize::from(LARGE)).collect();
    let fronts: Vec<_> = small.iter().map(|(index, e)| (*index, e.front)).collect();
    let mut lost = Vec::new();
    let mut grown = routes();
    grown.push(route("added", "/added/"));
    let grown = state(9, 1 << 20, &grown);
    if is_troubled {
        for entry in &mut installation.entries[..usize::from(LARGE)] {
            record.line(format!("power off entry={}", entry.name));
            entry.stop();
            lost.push(entry.name.clone());
        }
    }
    thread::sleep(Duration::from_millis(50));
    installation.put_state(&grown)?;
    let confirmed = record.now();
    let callers: Vec<_> = fronts
        .into_iter()
        .map(|(index, front)| {
            let (ends, outcomes) = (Arc::clone(&ends), Arc::clone(&outcomes));
            let (ids, record) = (Arc::clone(&installation.ids), record.clone());
            thread::spawn(move || {
                while !ends.load(Ordering::SeqCst) {
                    thread::sleep(INTERVAL);
                    let opened = Connection::open(front, Duration::from_secs(1));
                    let Ok(mut connection) = opened else {
                        continue;
                    };
                    let id = next_id(&ids);
                    let bytes = request("/added/1", &id, BUDGET_MS, b"seat=1");
                    let outcome = exchange(&mut connection, index, &bytes, &id, BUDGET_MS, &record);
                    outcomes.lock().unwrap().push(outcome);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(8));
    ends.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }

    let outcomes = outcomes.lock().unwrap();
    let missed = outcomes.iter().filter(|outcome| outcome.status() == 404);
    let last = missed.clone().map(|o| o.sent).fold(confirmed, f64::max);
    let late = missed.filter(|o| o.sent > confirmed + APPLY_S).count();
    let served = outcomes.iter().filter(|o| o.status() == 200).count();
    record.line(format!(
        "lost={lost:?} served={served} not_found_later_than_{APPLY_S}_s={late} the last sent \
         {:.3} s after the confirmation",
        last - confirmed
    ));
    if served == 0 {
        return Err("the added route was never served".to_owned());
    }
    let mut broken = Vec::new();
    if late > 0 {
        broken.push(format!(
            "CONFIG: {late} requests on the added route that were sent later than {APPLY_S} s \
             after the confirmation got 404, the last one {:.2} s after it",
            last - confirmed
        ));
    }
    Ok(broken)
}
