//! Stand-in of a target: executes requests in slots and reports its load.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Connection, Message, response};
use crate::store::Store;

/// Stack of a thread that serves one connection, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// Returns the work of a request by its path, and the size of its body.
pub type Work = fn(&str) -> (Duration, usize);

/// Running target.
#[derive(Clone)]
pub struct Target {
    pub id: String,
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    slots: usize,
    service: String,
    work: Work,
    running: Mutex<usize>,
    freed: Condvar,
    waiting: AtomicUsize,
    /// Number of runs by attempt id.
    runs: Mutex<HashMap<String, u32>>,
}

impl Target {
    /// Starts a target and registers it.
    pub fn spawn(
        store: &Store,
        id: &str,
        service: &str,
        slots: usize,
        work: Work,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let target = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            shared: Arc::new(Shared {
                slots,
                service: service.to_owned(),
                work,
                running: Mutex::new(0),
                freed: Condvar::new(),
                waiting: AtomicUsize::new(0),
                runs: Mutex::default(),
            }),
        };
        let served = target.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let target = served.clone();
                let thread = thread::Builder::new().stack_size(STACK_BYTES);
                let _ = thread.spawn(move || target.serve(stream));
            }
        });
        target.register(store);
        Ok(target)
    }

    /// Writes the registration.
    fn register(&self, store: &Store) {
        let registration = format!(
            "{{\"address\":\"{}\",\"born\":1765000000000,\"info\":{{\"service\":\"{}\",\
             \"version\":\"v1\",\"zone\":\"z1\",\"slots\":{}}},\"status\":{{\"state\":\"ready\",\
             \"sequence\":1,\"warmupLeft\":\"0ms\"}}}}",
            self.address, self.shared.service, self.shared.slots
        );
        store.put("servers", &self.id, &registration);
    }

    /// Returns how often a request ran.
    pub fn runs(&self, attempt: &str) -> u32 {
        let runs = self.shared.runs.lock().unwrap();
        runs.get(attempt).copied().unwrap_or_default()
    }

    fn load(&self) -> String {
        let running = *self.shared.running.lock().unwrap();
        let waiting = self.shared.waiting.load(Ordering::Relaxed);
        format!("{running},{waiting},{},100", self.shared.slots)
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read() {
            let answer = self.answer(&request);
            if connection.write(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let load = ("X-Carobdrift-Server-Load", self.load());
        if request.target() == "/health" {
            let id = ("X-Carobdrift-Instance-Id", self.id.clone());
            return response(200, &[id, load], b"");
        }
        let attempt = request.field("x-carobdrift-attempt-id").unwrap_or_default();
        let echo = ("X-Carobdrift-Attempt-Id", attempt.to_owned());
        if request
            .field("x-carobdrift-expect-instance")
            .is_some_and(|id| id != self.id)
        {
            return response(421, &[echo], b"");
        }
        self.shared.waiting.fetch_add(1, Ordering::Relaxed);
        {
            let mut running = self.shared.running.lock().unwrap();
            while *running >= self.shared.slots {
                running = self.shared.freed.wait(running).unwrap();
            }
            *running += 1;
        }
        self.shared.waiting.fetch_sub(1, Ordering::Relaxed);
        *self
            .shared
            .runs
            .lock()
            .unwrap()
            .entry(attempt.to_owned())
            .or_default() += 1;
        let (time, size) = (self.shared.work)(request.target());
        thread::sleep(time);
        *self.shared.running.lock().unwrap() -= 1;
        self.shared.freed.notify_one();
        let proof = (
            "X-Carobdrift-Server-Signature",
            format!("{}.{attempt}", self.id),
        );
        let load = ("X-Carobdrift-Server-Load", self.load());
        response(200, &[echo, proof, load], &vec![b'x'; size])
    }
}
