//! Stand-in of a target (an endpoint of the users' pages).

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, Message, encode};
use crate::record::Record;
use crate::store::Store;

/// Interval at which a target reports to the store.
const HEARTBEAT: Duration = Duration::from_millis(1500);

#[derive(Clone)]
pub struct Settings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub queue: u32,
    pub work: Duration,
}

/// What happened to a request at a target, with times of the record.
#[derive(Debug, Clone)]
pub struct Event {
    pub target: String,
    pub attempt: String,
    pub arrived: f64,
    pub began: Option<f64>,
    pub ended: Option<f64>,
    pub status: u16,
}

#[derive(Default)]
struct Load {
    running: u32,
    waiting: u32,
    /// Order of the waiting requests.
    next_ticket: u64,
    queue: Vec<u64>,
}

struct Shared {
    settings: Settings,
    born: u128,
    leaving: AtomicBool,
    /// Whether it stopped reporting to the store.
    silent: AtomicBool,
    sequence: AtomicU32,
    load: Mutex<Load>,
    freed: Condvar,
    events: Mutex<Vec<Event>>,
    record: Record,
    store: Store,
}

#[derive(Clone)]
pub struct Target(Arc<Shared>);

impl Target {
    /// Starts a target, which registers itself.
    pub fn bind(settings: Settings, store: &Store, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.address)?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let target = Self(Arc::new(Shared {
            settings,
            born: born.as_millis(),
            leaving: AtomicBool::new(false),
            silent: AtomicBool::new(false),
            sequence: AtomicU32::new(1),
            load: Mutex::default(),
            freed: Condvar::new(),
            events: Mutex::default(),
            record: record.clone(),
            store: store.clone(),
        }));
        target.report();
        let served = target.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let target = served.clone();
                thread::spawn(move || target.serve(Connection::new(stream)));
            }
        });
        let reporting = target.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                reporting.report();
            }
        });
        Ok(target)
    }

    /// Reports that it is leaving, and states that in all answers. It goes on serving.
    /// Returns whether the store accepted the report.
    pub fn drain(&self) -> bool {
        self.0.leaving.store(true, Ordering::SeqCst);
        self.report()
    }

    pub fn events(&self) -> Vec<Event> {
        self.0.events.lock().unwrap().clone()
    }

    fn is_leaving(&self) -> bool {
        self.0.leaving.load(Ordering::SeqCst)
    }

    /// Writes its registration unless the store holds it as it is.
    fn report(&self) -> bool {
        if self.0.silent.load(Ordering::SeqCst) {
            return false;
        }
        let settings = &self.0.settings;
        let state = if self.is_leaving() {
            "draining"
        } else {
            "ready"
        };
        let entry = |sequence: u32| {
            format!(
                "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
                 \"zone\":\"{}\",\"slots\":{}}},\"status\":{{\"state\":\"{state}\",\
                 \"sequence\":{sequence},\"warmupLeft\":\"0ms\"}}}}",
                settings.address, self.0.born, settings.service, settings.zone, settings.slots
            )
        };
        // The entry changes when more than the sequence changes.
        let last = self.0.sequence.load(Ordering::SeqCst);
        if self.0.store.holds("servers", &settings.id, &entry(last)) {
            return true;
        }
        let sequence = self.0.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let is_written = self
            .0
            .store
            .put("servers", &settings.id, &entry(sequence))
            .is_ok();
        if is_written {
            self.0.record.line(format!(
                "store accepts target={} state={state}",
                settings.id
            ));
        }
        is_written
    }

    fn serve(&self, mut connection: Connection) {
        loop {
            let far = Instant::now() + Duration::from_secs(10);
            let Ok(Some(request)) = connection.read(far) else {
                return;
            };
            let is_sent = if request.second_word() == "/health" {
                let id = self.0.settings.id.clone();
                let status = if self.is_leaving() { 503 } else { 200 };
                let headers = [("X-Carobdrift-Instance-Id", id.as_str())];
                self.respond(&mut connection, status, &headers, b"")
            } else {
                self.work(&mut connection, &request)
            };
            if !is_sent {
                return;
            }
        }
    }

    fn respond(
        &self,
        connection: &mut Connection,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> bool {
        let load = {
            let load = self.0.load.lock().unwrap();
            let slots = self.0.settings.slots;
            format!("{},{},{slots},100", load.running, load.waiting)
        };
        let mut headers = headers.to_vec();
        headers.push(("X-Carobdrift-Server-Load", &load));
        if self.is_leaving() {
            headers.push(("Server-Leaving", "1"));
        }
        let start = format!("HTTP/1.1 {status} Status");
        connection.send(&encode(&start, &headers, body)).is_ok()
    }

    /// Serves a request in a slot; it waits for one in the queue. A request whose
    /// connection closes meanwhile is dropped.
    fn work(&self, connection: &mut Connection, request: &Message) -> bool {
        let shared = &self.0;
        let settings = &shared.settings;
        let attempt = request.header("x-carobdrift-attempt-id").unwrap_or("-");
        let expected = request.header("x-carobdrift-expect-instance");
        if expected.is_some_and(|id| id != settings.id) {
            let headers = [("X-Carobdrift-Instance-Id", settings.id.as_str())];
            return self.respond(connection, 421, &headers, b"");
        }
        let mut event = Event {
            target: settings.id.clone(),
            attempt: attempt.to_owned(),
            arrived: shared.record.now(),
            began: None,
            ended: None,
            status: 0,
        };
        let budget = request.header("x-carobdrift-deadline-ms");
        let budget: u64 = budget.and_then(|text| text.parse().ok()).unwrap_or(10_000);
        let end = Instant::now() + Duration::from_millis(budget);
        let echo = ("X-Carobdrift-Attempt-Id", attempt);
        let refuse = [echo, ("X-Carobdrift-Not-Executed", "1")];
        let admitted = self.enter(connection, end);
        match admitted {
            Admission::Started => {}
            Admission::Full | Admission::Expired => {
                event.status = 503;
                self.log(event);
                return self.respond(connection, 503, &refuse, b"");
            }
            Admission::Left => {
                self.log(event);
                return false;
            }
        }
        event.began = Some(shared.record.now());
        shared.record.line(format!(
            "run target={} attempt={attempt} arrived={:.3} leaving={}",
            settings.id,
            event.arrived,
            self.is_leaving()
        ));
        let until = Instant::now() + settings.work;
        let mut is_open = true;
        while is_open && Instant::now() < until.min(end) {
            let left = until.min(end).saturating_duration_since(Instant::now());
            thread::sleep(left.min(Duration::from_millis(10)));
            is_open = !is_closed(connection);
        }
        self.free();
        event.ended = Some(shared.record.now());
        if !is_open {
            self.log(event);
            return false;
        }
        event.status = if until <= end { 200 } else { 504 };
        let status = event.status;
        self.log(event);
        let signature = format!("sig-{attempt}");
        let headers = [echo, ("X-Carobdrift-Server-Signature", signature.as_str())];
        let body = format!("done {attempt}");
        self.respond(connection, status, &headers, body.as_bytes())
    }

    fn log(&self, event: Event) {
        self.0.record.line(format!(
            "target={} attempt={} arrived={:.3} began={} ended={} status={}",
            event.target,
            event.attempt,
            event.arrived,
            event.began.map_or("-".to_owned(), |at| format!("{at:.3}")),
            event.ended.map_or("-".to_owned(), |at| format!("{at:.3}")),
            event.status
        ));
        self.0.events.lock().unwrap().push(event);
    }

    fn enter(&self, connection: &Connection, end: Instant) -> Admission {
        let settings = &self.0.settings;
        let mut load = self.0.load.lock().unwrap();
        if load.running < settings.slots && load.waiting == 0 {
            load.running += 1;
            return Admission::Started;
        }
        if load.waiting >= settings.queue {
            return Admission::Full;
        }
        load.waiting += 1;
        load.next_ticket += 1;
        let ticket = load.next_ticket;
        load.queue.push(ticket);
        loop {
            let wait = Duration::from_millis(10);
            load = self.0.freed.wait_timeout(load, wait).unwrap().0;
            let is_first = load.queue.first() == Some(&ticket);
            let outcome = if is_closed(connection) {
                Admission::Left
            } else if Instant::now() >= end {
                Admission::Expired
            } else if is_first && load.running < settings.slots {
                load.running += 1;
                Admission::Started
            } else {
                continue;
            };
            load.queue.retain(|other| *other != ticket);
            load.waiting -= 1;
            return outcome;
        }
    }

    fn free(&self) {
        self.0.load.lock().unwrap().running -= 1;
        self.0.freed.notify_all();
    }
}

enum Admission {
    Started,
    Full,
    Expired,
    Left,
}

/// Returns whether the peer closed or reset a connection.
fn is_closed(connection: &Connection) -> bool {
    let stream = connection.stream();
    let _ = stream.set_nonblocking(true);
    let result = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match result {
        Ok(count) => count == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}
