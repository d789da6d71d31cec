//! Stand-in of the platform's store: rows, feeds, transactions, and the drill in which
//! the store returns from an older copy.

use std::collections::{BTreeMap, HashSet};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, encode};

/// Time of an answer of the store.
const ANSWER_TIME: Duration = Duration::from_millis(4);

const PAGE_ROWS: usize = 500;

#[derive(Clone)]
struct Change {
    table: String,
    key: String,
    /// Value in base64; `None` for a removal.
    value: Option<String>,
    ver: u64,
}

/// Rows by table and key, and all changes since the start.
#[derive(Clone, Default)]
struct Content {
    rows: BTreeMap<(String, String), (String, u64)>,
    changes: Vec<Change>,
    ver: u64,
}

struct State {
    content: Content,
    copy: Option<Content>,
    era: u64,
    away: bool,
    /// Number of the current open time; calls of an earlier one are not answered.
    opened: u64,
    /// Machines that are turned away.
    refused: HashSet<u8>,
}

#[derive(Clone)]
pub struct Store {
    start: Instant,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn open() -> Self {
        Self {
            start: Instant::now(),
            state: Arc::new((
                Mutex::new(State {
                    content: Content::default(),
                    copy: None,
                    era: 1,
                    away: false,
                    opened: 0,
                    refused: HashSet::new(),
                }),
                Condvar::new(),
            )),
        }
    }

    /// Serves a machine at an address of its own, by which the store knows it. Answers pass
    /// at the bandwidth of the machine's link, in Mbit/s.
    pub fn serve_machine(&self, machine: u8, address: SocketAddr, mbps: u32) -> io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let served = self.clone();
        let link = Arc::new(Link {
            mbps,
            free_at: Mutex::new(Instant::now()),
        });
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, link) = (served.clone(), Arc::clone(&link));
                thread::spawn(move || store.serve(Connection::new(stream), machine, &link));
            }
        });
        Ok(())
    }

    /// Turns machines away: their calls get 503, and nothing is done.
    pub fn refuse(&self, machines: impl IntoIterator<Item = u8>) {
        let mut state = self.state.0.lock().unwrap();
        state.refused = machines.into_iter().collect();
        self.state.1.notify_all();
    }

    /// Writes a row as the operator or a target does. Fails while the store is away.
    pub fn put(&self, table: &str, key: &str, value: &str) -> Result<u64, ()> {
        self.change(table, key, Some(base64(value.as_bytes())))
    }

    /// Returns whether a row holds a value.
    pub fn holds(&self, table: &str, key: &str, value: &str) -> bool {
        let state = self.state.0.lock().unwrap();
        let row = state.content.rows.get(&(table.to_owned(), key.to_owned()));
        row.is_some_and(|(held, _)| *held == base64(value.as_bytes()))
    }

    fn change(&self, table: &str, key: &str, value: Option<String>) -> Result<u64, ()> {
        let mut state = self.state.0.lock().unwrap();
        if state.away {
            return Err(());
        }
        let content = &mut state.content;
        content.ver += 1;
        let ver = content.ver;
        let row = (table.to_owned(), key.to_owned());
        match &value {
            Some(value) => content.rows.insert(row, (value.clone(), ver)),
            None => content.rows.remove(&row),
        };
        content.changes.push(Change {
            table: table.to_owned(),
            key: key.to_owned(),
            value,
            ver,
        });
        self.state.1.notify_all();
        Ok(ver)
    }

    /// Takes the copy from which a drill returns.
    pub fn take_copy(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.copy = Some(state.content.clone());
    }

    /// Goes away: open calls end without an answer, further ones are cut off.
    pub fn leave(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.away = true;
        state.opened += 1;
        self.state.1.notify_all();
    }

    /// Returns from the copy, in the next era.
    pub fn return_from_copy(&self) {
        let mut state = self.state.0.lock().unwrap();
        if let Some(copy) = state.copy.take() {
            state.content = copy;
            state.era += 1;
        }
        state.away = false;
        self.state.1.notify_all();
    }

    fn serve(&self, mut connection: Connection, machine: u8, link: &Link) {
        let opened = self.state.0.lock().unwrap().opened;
        loop {
            let far = Instant::now() + Duration::from_secs(300);
            let Ok(Some(request)) = connection.read(far) else {
                return;
            };
            thread::sleep(ANSWER_TIME);
            let Some((status, body)) = self.answer(&request, opened, machine) else {
                // The call and its connection end without an answer.
                return;
            };
            let era = self.state.0.lock().unwrap().era.to_string();
            let headers = [("Content-Type", "application/json"), ("Store-Era", &era)];
            let start = format!("HTTP/1.1 {status} Status");
            let bytes = encode(&start, &headers, body.as_bytes());
            if link.send(&mut connection, &bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, opened: u64, machine: u8) -> Option<(u16, String)> {
        if self.state.0.lock().unwrap().refused.contains(&machine) {
            return Some((503, "{}".to_owned()));
        }
        let target = request.second_word().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        match path {
            "/api/rows-get" => self.rows(query, opened),
            "/api/rows-feed" => self.feed(query, opened, machine),
            "/api/rows-tx" => self.transact(&String::from_utf8_lossy(&request.body), opened),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn is_gone(state: &State, opened: u64) -> bool {
        state.away || state.opened != opened
    }

    fn rows(&self, query: &str, opened: u64) -> Option<(u16, String)> {
        let state = self.state.0.lock().unwrap();
        if Self::is_gone(&state, opened) {
            return None;
        }
        let table = parameter(query, "table").unwrap_or_default();
        let from = parameter(query, "from").unwrap_or_default();
        let to = parameter(query, "to").unwrap_or_default();
        let limit = parameter(query, "limit").and_then(|text| text.parse().ok());
        let limit = limit.unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        let rows = state.content.rows.iter().filter(|((other, key), _)| {
            *other == table && *key >= from && (to.is_empty() || *key < to)
        });
        let rows: Vec<String> = rows
            .map(|((table, key), (value, ver))| row(table, key, Some(value), *ver))
            .collect();
        let truncated = rows.len() > limit;
        let rows = &rows[..rows.len().min(limit)];
        Some((
            200,
            format!(
                "{{\"rows\":[{}],\"truncated\":{truncated},\"ver\":{},\"now\":\"{}ms\"}}",
                rows.join(","),
                state.content.ver,
                self.start.elapsed().as_millis()
            ),
        ))
    }

    fn feed(&self, query: &str, opened: u64, machine: u8) -> Option<(u16, String)> {
        let table = parameter(query, "table").unwrap_or_default();
        let after: u64 = parameter(query, "after")?.parse().ok()?;
        let wait: u64 = parameter(query, "waitMs")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.0.lock().unwrap();
        loop {
            if Self::is_gone(&state, opened) {
                return None;
            }
            if state.refused.contains(&machine) {
                return Some((503, "{}".to_owned()));
            }
            if after > state.content.ver {
                return Some((410, "{}".to_owned()));
            }
            let changes = state.content.changes.iter();
            // Only the newest change of each key.
            let mut newest: BTreeMap<&str, &Change> = BTreeMap::new();
            for change in changes.filter(|c| c.table == table && c.ver > after) {
                newest.insert(&change.key, change);
            }
            let left = end.saturating_duration_since(Instant::now());
            if !newest.is_empty() || left.is_zero() {
                let mut changes: Vec<&Change> = newest.into_values().collect();
                changes.sort_by_key(|change| change.ver);
                let rows: Vec<String> = changes
                    .iter()
                    .map(|c| row(&c.table, &c.key, c.value.as_deref(), c.ver))
                    .collect();
                return Some((
                    200,
                    format!(
                        "{{\"rows\":[{}],\"ver\":{},\"now\":\"{}ms\"}}",
                        rows.join(","),
                        state.content.ver,
                        self.start.elapsed().as_millis()
                    ),
                ));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Applies a transaction with writes and without preconditions, which is the only
    /// kind that an entry sends.
    fn transact(&self, body: &str, opened: u64) -> Option<(u16, String)> {
        if Self::is_gone(&self.state.0.lock().unwrap(), opened) {
            return None;
        }
        let writes = body.split("\"writes\":").nth(1).unwrap_or_default();
        let mut ver = 0;
        for write in writes.split("{\"table\":").skip(1) {
            let text = format!("\"table\":{write}");
            let field = |name: &str| {
                let rest = text.split(&format!("\"{name}\":\"")).nth(1)?;
                rest.split('"').next().map(str::to_owned)
            };
            let (table, key, value) = (field("table")?, field("key")?, field("value")?);
            if table == "op" || table == "servers" {
                return Some((403, "{}".to_owned()));
            }
            ver = self.change(&table, &key, Some(value)).ok()?;
        }
        Some((200, format!("{{\"ver\":{ver},\"now\":\"0ms\"}}")))
    }
}

/// Link of a machine to the store, which all its connections share.
struct Link {
    mbps: u32,
    /// Time at which what was sent so far has passed.
    free_at: Mutex<Instant>,
}

impl Link {
    fn send(&self, connection: &mut Connection, bytes: &[u8]) -> io::Result<()> {
        const PART: usize = 4 * 1024;
        for part in bytes.chunks(PART) {
            let seconds = part.len() as f64 * 8.0 / (f64::from(self.mbps) * 1e6);
            let due = {
                let mut free_at = self.free_at.lock().unwrap();
                *free_at = free_at.max(Instant::now()) + Duration::from_secs_f64(seconds);
                *free_at
            };
            thread::sleep(due.saturating_duration_since(Instant::now()));
            connection.send(part)?;
        }
        Ok(())
    }
}

fn row(table: &str, key: &str, value: Option<&str>, ver: u64) -> String {
    match value {
        Some(value) => format!(
            "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"value\":\"{value}\",\"ver\":{ver}}}"
        ),
        None => format!(
            "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{ver},\"tombstone\":true}}"
        ),
    }
}

fn parameter(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(other, _)| *other == name)?;
    let mut bytes = Vec::new();
    let mut rest = value.as_bytes();
    while let Some((first, others)) = rest.split_first() {
        if *first == b'%' && others.len() >= 2 {
            let digits = std::str::from_utf8(&others[..2]).ok()?;
            bytes.push(u8::from_str_radix(digits, 16).ok()?);
            rest = &others[2..];
        } else {
            bytes.push(*first);
            rest = others;
        }
    }
    String::from_utf8(bytes).ok()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0_usize;
        for index in 0..3 {
            number = number << 8 | usize::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            if index <= group.len() {
                text.push(char::from(DIGITS[number >> (18 - 6 * index) & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
