//! Entry process, started and supervised as the platform does.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::record::Record;
use crate::store::Store;

/// Program of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/carobdrift";

/// Interval at which the memory of the process is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Delay after which a process that ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Time within which an entry must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Limits of a machine.
#[derive(Debug, Clone, Copy)]
pub struct Machine {
    /// Memory in units of 1,000,000 bytes.
    pub memory_mb: u64,
    pub descriptors: u32,
}

/// Supervised entry.
#[derive(Clone)]
pub struct Entry {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    settings: PathBuf,
    state: Mutex<State>,
}

struct State {
    child: Option<Child>,
    /// Largest memory in use, in bytes.
    peak: u64,
    /// Times at which the process was ended because of its memory.
    kills: Vec<Instant>,
    /// Number of ends by the process itself.
    ends: u32,
    stopped: bool,
}

impl Entry {
    /// Starts an entry on a loopback address of its own and waits until it is ready.
    pub fn start(
        directory: &std::path::Path,
        store: &Store,
        number: u8,
        seeds: &[IpAddr],
        machine: Machine,
        record: &Arc<Record>,
    ) -> Result<Self, String> {
        let ip = address(number);
        let ports: Vec<u16> = (0..4).map(|_| free_port(ip)).collect::<Result<_, _>>()?;
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}:1\"")).collect();
        let text = format!(
            "nodeName = \"entry-{number}\"\nrole = \"entry\"\nmachineClass = \"edge\"\n\
             serves = [\"edge\", \"control\", \"directory\"]\nip = \"{ip}\"\nzone = \"z1\"\nregion = \"r1\"\n\
             internalPortRange = [{}, {}]\nseeds = [{}]\nbootstrap = false\ndiscovery = \"platform\"\n\
             heartbeat = \"1500ms\"\n\
             bounds = [\"contact=3000ms\", \"drain=2000ms\", \"grace=6s\", \"configApply=2000ms\", \
             \"retryBudgetRatio=0.2\", \"budgetWindow=10s\", \"budgetSlack=62\", \"ttl_max=5s\"]\n\
             [listen]\nfront = \"{ip}:{}\"\nready = \"{ip}:{}\"\ncontrol = \"{ip}:{}\"\n\
             directory = \"{ip}:{}\"\n\
             [limits]\ncpuShare = 0.5\ncpuCores = 1\nmemoryMb = {}\nmaxFds = {}\nlinkMbps = 1000.0\n\
             [platformApi]\naddress = \"{}\"\nform = \"table\"\n",
            PEER_PORT,
            PEER_PORT + 1,
            seeds.join(", "),
            ports[0],
            ports[1],
            ports[2],
            ports[3],
            machine.memory_mb,
            machine.descriptors,
            store.address,
        );
        let settings = directory.join(format!("settings-{number}.toml"));
        fs::write(&settings, text).map_err(|e| e.to_string())?;
        let entry = Self {
            front: SocketAddr::new(ip, ports[0]),
            ready: SocketAddr::new(ip, ports[1]),
            shared: Arc::new(Shared {
                settings,
                state: Mutex::new(State {
                    child: None,
                    peak: 0,
                    kills: Vec::new(),
                    ends: 0,
                    stopped: false,
                }),
            }),
        };
        entry.spawn()?;
        let (supervised, record) = (entry.clone(), Arc::clone(record));
        thread::spawn(move || supervised.supervise(machine, number, &record));
        entry.wait_ready()?;
        Ok(entry)
    }

    /// Waits until the entry is ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        let end = Instant::now() + READY_TIMEOUT;
        while Instant::now() < end {
            if self.is_ready() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("entry {} is not ready", self.front))
    }

    /// Asks the entry whether it is ready, as the platform does.
    pub fn is_ready(&self) -> bool {
        let time = Duration::from_secs(1);
        let Ok(stream) = TcpStream::connect_timeout(&self.ready, time) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(time));
        let mut connection = Connection::new(stream);
        let request = format!("GET /api/ready HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready);
        connection.write(request.as_bytes()).is_ok()
            && matches!(connection.read(), Ok(Some(answer)) if answer.status() == 200)
    }

    /// Returns the largest memory in use in bytes, the number of ends because of the
    /// memory, and the number of other ends.
    pub fn usage(&self) -> (u64, usize, u32) {
        let state = self.shared.state.lock().unwrap();
        (state.peak, state.kills.len(), state.ends)
    }

    /// Ends the process.
    pub fn stop(&self) {
        let mut state = self.shared.state.lock().unwrap();
        state.stopped = true;
        if let Some(mut child) = state.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn spawn(&self) -> Result<(), String> {
        let log = self.shared.settings.with_extension("log");
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .map_err(|e| e.to_string())?;
        let child = Command::new(PROGRAM)
            .arg("entry")
            .env("CAROBDRIFT_SETTINGS", &self.shared.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|error| format!("{PROGRAM}: {error}"))?;
        self.shared.state.lock().unwrap().child = Some(child);
        Ok(())
    }

    /// Ends the process when it exceeds its memory, and starts it again after an end.
    fn supervise(&self, machine: Machine, number: u8, record: &Record) {
        loop {
            thread::sleep(CHECK_INTERVAL);
            let mut state = self.shared.state.lock().unwrap();
            if state.stopped {
                return;
            }
            let Some(child) = state.child.as_mut() else {
                continue;
            };
            let id = child.id();
            let ended = child.try_wait().ok().flatten();
            let memory = resident(id);
            state.peak = state.peak.max(memory);
            if let Some(status) = ended {
                record.say(format!("entry {number} ended by itself: {status}"));
                state.ends += 1;
                state.child = None;
            } else if memory > machine.memory_mb * 1_000_000 {
                let mut child = state.child.take().unwrap();
                let _ = child.kill();
                let _ = child.wait();
                state.kills.push(Instant::now());
                record.say(format!(
                    "entry {number} killed by the platform: {} MB in use, {} MB allowed",
                    memory / 1_000_000,
                    machine.memory_mb
                ));
            } else {
                continue;
            }
            drop(state);
            thread::sleep(RESTART_DELAY);
            if !self.shared.state.lock().unwrap().stopped
                && let Err(error) = self.spawn()
            {
                record.say(format!("entry {number} does not start again: {error}"));
                return;
            }
        }
    }
}

/// Port of all entries for each other, on an address of its own each.
const PEER_PORT: u16 = 17_300;

/// Returns a loopback address for an entry of this run.
pub fn address(number: u8) -> IpAddr {
    let run = std::process::id();
    let octet = |shift: u32| u8::try_from(run >> shift & 0x7f).unwrap_or_default() + 1;
    IpAddr::V4(Ipv4Addr::new(127, octet(7), octet(0), number))
}

fn free_port(ip: IpAddr) -> Result<u16, String> {
    let listener = TcpListener::bind((ip, 0)).map_err(|e| e.to_string())?;
    listener
        .local_addr()
        .map(|a| a.port())
        .map_err(|e| e.to_string())
}

/// Returns the resident memory of a process in bytes.
fn resident(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok());
    kib.unwrap_or_default() * 1024
}
