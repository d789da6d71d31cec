//! Stand-in of the platform's store: reads, feeds and transactions of rows.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, response};

/// Value of a row in base64, its version, and whether it was removed.
type Row = (String, u64, bool);

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<(String, String), Row>,
}

/// Running store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn spawn() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            shared: Arc::default(),
            address: listener.local_addr()?,
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a row.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, base64(value.as_bytes()), false);
    }

    fn write(&self, table: &str, key: &str, value: String, removed: bool) -> u64 {
        let mut state = self.shared.0.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let key = (table.to_owned(), key.to_owned());
        state.rows.insert(key, (value, version, removed));
        self.shared.1.notify_all();
        version
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read() {
            // The pages state 4 ms for an answer.
            thread::sleep(Duration::from_millis(4));
            let answer = self.answer(&request);
            if connection.write(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(other, _)| *other == name);
            found.map_or("", |(_, value)| value)
        };
        let (status, body) = match path {
            "/api/rows-get" => (200, self.read(parameter("table"))),
            "/api/rows-feed" => {
                let after = parameter("after").parse().unwrap_or_default();
                let wait = parameter("waitMs").parse().unwrap_or_default();
                let wait = Duration::from_millis(wait);
                match self.feed(parameter("table"), after, wait) {
                    Some(rows) => (200, rows),
                    None => (410, "{}".to_owned()),
                }
            }
            "/api/rows-tx" => (200, self.transact(&String::from_utf8_lossy(&request.body))),
            _ => (404, "{}".to_owned()),
        };
        let kind = ("Content-Type", "application/json".to_owned());
        response(status, &[kind], body.as_bytes())
    }

    fn transact(&self, body: &str) -> String {
        let text = |name: &str| {
            let start = body.find(&format!("\"{name}\":\""))? + name.len() + 4;
            let length = body[start..].find('"')?;
            Some(body[start..start + length].to_owned())
        };
        let version = match (text("table"), text("key"), text("value")) {
            (Some(table), Some(key), Some(value)) => self.write(&table, &key, value, false),
            _ => self.shared.0.lock().unwrap().version,
        };
        format!("{{\"ver\":{version},\"now\":0}}")
    }

    fn read(&self, table: &str) -> String {
        let state = self.shared.0.lock().unwrap();
        rows(&state, table, 0, false)
    }

    /// Returns the changes after a version once there are any; `None` if the store does
    /// not have that version.
    fn feed(&self, table: &str, after: u64, wait: Duration) -> Option<String> {
        let end = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            if after > state.version {
                return None;
            }
            let mut rows_of_table = state.rows.iter().filter(|((t, _), _)| t == table);
            let has_changes = rows_of_table.any(|(_, row)| row.1 > after);
            let left = end.saturating_duration_since(Instant::now());
            if has_changes || left.is_zero() {
                return Some(rows(&state, table, after, true));
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn rows(state: &State, table: &str, after: u64, with_removed: bool) -> String {
    let chosen = state.rows.iter().filter(|((t, _), (_, version, removed))| {
        t == table && *version > after && (with_removed || !removed)
    });
    let mut chosen: Vec<_> = chosen.collect();
    if with_removed {
        chosen.sort_by_key(|(_, row)| row.1);
    }
    let rows: Vec<String> = chosen
        .into_iter()
        .map(|((table, key), (value, version, removed))| {
            format!(
                "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"value\":\"{value}\",\
                 \"ver\":{version},\"tombstone\":{removed}}}"
            )
        })
        .collect();
    format!(
        "{{\"rows\":[{}],\"ver\":{},\"now\":0,\"truncated\":false}}",
        rows.join(","),
        state.version
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for place in 0..4 {
            if place <= chunk.len() {
                let digit = (number >> (18 - 6 * place)) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
