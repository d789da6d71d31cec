//! A whole installation as separate processes on loopback: the platform
//! stand-in, target stand-ins and entries.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use carobdrift_units::{Cell, Instance, Region, Zone};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use nix::sys::signal::Signal;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use thiserror::Error;

use crate::platform;
use crate::process::{self, Process};
use crate::target::{Action, Faults, Noise, Run};

/// Secret of the links between the entries.
const PEER_SECRET: &str = "loopback-peer-secret";

/// Token that reads and edits every document.
pub const OPERATOR_TOKEN: &str = "loopback-operator-token";

/// Time within which a control or administration call must be answered.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// Why the installation could not be set up or steered.
#[derive(Debug, Error)]
pub enum Error {
    /// A process did not start or could not be signalled.
    #[error(transparent)]
    Process(#[from] process::Error),
    /// The platform's control port failed.
    #[error("control of the platform: {0}")]
    Platform(#[from] platform::Error),
    /// An identifier is invalid.
    #[error("invalid identifier: {0}")]
    Identifier(#[from] carobdrift_units::NameError),
    /// A call gave no usable answer.
    #[error("{0} gave no usable answer")]
    Call(String),
    /// No entry or target has this number.
    #[error("no process numbered {0}")]
    UnknownEntry(usize),
}

/// How the targets of a service behave.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Number of targets.
    pub targets: u32,
    /// Requests that each target executes at a time.
    pub slots: u32,
    /// Availability zones, filled in turn.
    pub zones: Vec<String>,
    /// Mean service time in milliseconds.
    pub mean_ms: f64,
    /// Standard deviation of the logarithm of the service time.
    pub sigma: f64,
    /// Noisy neighbour.
    pub noise: Option<Noise>,
}

/// A running target.
#[derive(Debug)]
pub struct Target {
    /// Service.
    pub service: String,
    /// Id.
    pub id: String,
    /// Availability zone.
    pub zone: String,
    /// Requests that it executes at a time.
    pub slots: u32,
    /// Its process.
    pub process: Process,
    /// Where it listens.
    pub address: SocketAddr,
    control: SocketAddr,
}

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    /// Instance id.
    pub id: Instance,
    /// Availability zone.
    pub zone: Zone,
    /// Its process.
    pub process: Process,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address of the administration API.
    pub admin: SocketAddr,
    /// Address for links.
    pub peer: SocketAddr,
}

/// A running installation; all processes end when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// Control of the platform stand-in.
    pub platform: platform::Control,
    /// Process of the platform stand-in.
    pub platform_process: Process,
    /// Address of the platform's HTTP service.
    pub platform_address: SocketAddr,
    /// Entries, dead ones included.
    pub entries: Vec<Entry>,
    /// Targets of all services.
    pub targets: Vec<Target>,
    log_directory: Option<PathBuf>,
    zones: Vec<String>,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl Fleet {
    /// Starts the platform stand-in. Entries take the zones in turn. Logs of
    /// the entries go to files in `log_directory`, when given.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start.
    pub async fn spawn(zones: &[&str], log_directory: Option<PathBuf>) -> Result<Self, Error> {
        let platform_process = Process::spawn("platform-stand-in", &[], None).await?;
        let platform_address = platform_process.startup_field("address")?;
        let control: SocketAddr = platform_process.startup_field("control")?;
        Ok(Self {
            platform: platform::Control::new(control),
            platform_process,
            platform_address,
            entries: Vec::new(),
            targets: Vec::new(),
            log_directory,
            zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
            http: Client::builder(TokioExecutor::new()).build_http(),
        })
    }

    /// Starts the targets of a service.
    ///
    /// # Errors
    ///
    /// Fails when a process does not start.
    pub async fn start_targets(&mut self, service: &Service) -> Result<(), Error> {
        for number in 1..=service.targets {
            let zone = &service.zones[(number as usize - 1) % service.zones.len()];
            let id = format!("{}-{number}", service.name);
            let mut arguments = vec![
                format!("--name={id}"),
                format!("--slots={}", service.slots),
                format!("--mean-ms={}", service.mean_ms),
                format!("--sigma={}", service.sigma),
                format!("--seed={number}"),
            ];
            if let Some(noise) = &service.noise {
                arguments.push(format!("--noise-factor={}", noise.factor));
                arguments.push(format!("--noise-ms={}", noise.duration_ms));
                arguments.push(format!("--noise-share={}", noise.share));
            }
            let process = Process::spawn("target-stand-in", &arguments, None).await?;
            let target = Target {
                service: service.name.clone(),
                id,
                zone: zone.clone(),
                slots: service.slots,
                address: process.startup_field("address")?,
                control: process.startup_field("control")?,
                process,
            };
            self.targets.push(target);
        }
        Ok(())
    }

    /// Starts one more entry and lists it at the platform. Returns its index.
    /// The given flags replace those that the fleet sets of itself.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start.
    pub async fn start_entry(&mut self, flags: &[&str]) -> Result<usize, Error> {
        let index = self.entries.len();
        let id: Instance = format!("entry-{}", index + 1).parse()?;
        let zone: Zone = self.zones[index % self.zones.len()].parse()?;
        let mut arguments = vec![
            "serve".to_owned(),
            format!("--instance={id}"),
            format!("--zone={zone}"),
            format!("--platform-address={}", self.platform_address),
            format!("--peer-secret={PEER_SECRET}"),
            format!("--operator-token={OPERATOR_TOKEN}"),
            "--caller-listen=127.0.0.1:0".to_owned(),
            "--admin-listen=127.0.0.1:0".to_owned(),
            "--peer-listen=127.0.0.1:0".to_owned(),
        ];
        for flag in flags {
            let name = flag.split('=').next().unwrap_or(flag);
            arguments.retain(|argument| argument.split('=').next() != Some(name));
            arguments.push((*flag).to_owned());
        }
        let log = self
            .log_directory
            .as_ref()
            .map(|path| path.join(format!("{id}.log")));
        let process = Process::spawn("carobdrift", &arguments, log.as_deref()).await?;
        let entry = Entry {
            caller: process.startup_field("caller")?,
            admin: process.startup_field("admin")?,
            peer: process.startup_field("peer")?,
            id,
            zone,
            process,
        };
        self.platform.put_instance(&entry.listing()?).await?;
        self.entries.push(entry);
        Ok(index)
    }

    /// An entry by its index.
    ///
    /// # Errors
    ///
    /// Fails when there is none.
    pub fn entry(&mut self, index: usize) -> Result<&mut Entry, Error> {
        self.entries
            .get_mut(index)
            .ok_or(Error::UnknownEntry(index))
    }

    /// Kills an entry. Its row stays on the instance list until
    /// [`Fleet::deregister_entry`].
    ///
    /// # Errors
    ///
    /// Fails when there is none.
    pub async fn kill_entry(&mut self, index: usize) -> Result<(), Error> {
        Ok(self.entry(index)?.process.kill().await?)
    }

    /// Asks an entry to leave, as the platform does: it is listed as leaving
    /// and gets SIGTERM.
    ///
    /// # Errors
    ///
    /// Fails when there is none.
    pub async fn stop_entry(&mut self, index: usize) -> Result<(), Error> {
        let entry = self.entry(index)?;
        let listing = entry.listing()?.with_state(platform::State::Leaving);
        entry.process.signal(Signal::SIGTERM)?;
        Ok(self.platform.put_instance(&listing).await?)
    }

    /// Takes an entry off the instance list.
    ///
    /// # Errors
    ///
    /// Fails when there is none.
    pub async fn deregister_entry(&mut self, index: usize) -> Result<(), Error> {
        let id = self.entry(index)?.id.clone();
        Ok(self.platform.remove_instance(id.as_str()).await?)
    }

    /// The targets of a service.
    pub fn targets_of(&self, service: &str) -> impl Iterator<Item = &Target> {
        self.targets
            .iter()
            .filter(move |target| target.service == service)
    }

    /// The target list of a service as its document states it.
    #[must_use]
    pub fn document_targets(&self, service: &str) -> Value {
        self.targets_of(service)
            .map(|target| {
                json!({
                    "id": target.id,
                    "address": target.address,
                    "zone": target.zone,
                    "slots": target.slots,
                })
            })
            .collect()
    }

    /// Sets the faults of a target.
    ///
    /// # Errors
    ///
    /// Fails when its control port does not answer.
    pub async fn set_faults(&self, target: &Target, faults: &Faults) -> Result<(), Error> {
        self.control(target, Method::PUT, "/faults", faults).await
    }

    /// Makes a target do something.
    ///
    /// # Errors
    ///
    /// Fails when its control port does not answer.
    pub async fn perform(&self, target: &Target, action: &Action) -> Result<(), Error> {
        self.control(target, Method::POST, "/actions", action).await
    }

    /// Everything that a target ran.
    ///
    /// # Errors
    ///
    /// Fails when its control port does not answer.
    pub async fn runs(&self, target: &Target) -> Result<Vec<Run>, Error> {
        let mut record: Value = self.get(target.control, "/record").await?;
        serde_json::from_value(record["runs"].take()).map_err(|_| Error::Call("record".to_owned()))
    }

    /// Number of probes that a target received.
    ///
    /// # Errors
    ///
    /// Fails when its control port does not answer.
    pub async fn probe_count(&self, target: &Target) -> Result<usize, Error> {
        let probes: Value = self.get(target.control, "/probes").await?;
        probes["probes_us"]
            .as_array()
            .map(Vec::len)
            .ok_or_else(|| Error::Call("probes".to_owned()))
    }

    /// The most probes that a target received in any one second.
    ///
    /// # Errors
    ///
    /// Fails when its control port does not answer.
    pub async fn peak_probes_per_second(&self, target: &Target) -> Result<u64, Error> {
        let probes: Value = self.get(target.control, "/probes").await?;
        probes["most_in_one_second"]
            .as_u64()
            .ok_or_else(|| Error::Call("probes".to_owned()))
    }

    /// Calls the administration API of an entry as the operator.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer or it is not JSON.
    pub async fn call_admin(
        &self,
        admin: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<(StatusCode, Value), Error> {
        let bytes = body
            .map(|body| Bytes::from(body.to_string()))
            .unwrap_or_default();
        let (status, body) = self.send(admin, method, path, bytes).await?;
        let value = serde_json::from_slice(&body).map_err(|_| Error::Call(path.to_owned()))?;
        Ok((status, value))
    }

    /// The metrics of an entry as text.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer.
    pub async fn metrics(&self, entry: &Entry) -> Result<String, Error> {
        let (_, body) = self
            .send(entry.admin, Method::GET, "/metrics", Bytes::new())
            .await?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    /// Waits until an entry is ready. Returns whether it is in time.
    pub async fn wait_ready(&self, admin: SocketAddr, limit: Duration) -> bool {
        let ready = async {
            loop {
                let answer = self.send(admin, Method::GET, "/ready", Bytes::new()).await;
                if matches!(answer, Ok((StatusCode::OK, _))) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(limit, ready).await.is_ok()
    }

    async fn control<T: Serialize>(
        &self,
        target: &Target,
        method: Method,
        path: &str,
        body: &T,
    ) -> Result<(), Error> {
        let failed = || Error::Call(format!("control of {}", target.id));
        let body = serde_json::to_vec(body).map_err(|_| failed())?;
        let (status, _) = self.send(target.control, method, path, body.into()).await?;
        if status.is_success() {
            Ok(())
        } else {
            Err(failed())
        }
    }

    async fn get<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Result<T, Error> {
        let (_, body) = self.send(address, Method::GET, path, Bytes::new()).await?;
        serde_json::from_slice(&body).map_err(|_| Error::Call(path.to_owned()))
    }

    async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), Error> {
        let failed = || Error::Call(format!("http://{address}{path}"));
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {OPERATOR_TOKEN}"))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|_| failed())?;
        let exchange = async {
            let response = self.http.request(request).await.map_err(|_| failed())?;
            let status = response.status();
            let body = response.into_body().collect().await.map_err(|_| failed())?;
            Ok((status, body.to_bytes()))
        };
        tokio::time::timeout(CALL_TIMEOUT, exchange)
            .await
            .map_err(|_| failed())?
    }
}

impl Entry {
    /// Row of the entry on the instance list.
    ///
    /// # Errors
    ///
    /// Never fails with the identifiers that a fleet uses.
    pub fn listing(&self) -> Result<platform::Listing, Error> {
        let cell: Cell = "main".parse()?;
        let region: Region = "main".parse()?;
        let addresses = [self.caller, self.admin, self.peer];
        Ok(platform::Listing::entry(
            &self.id,
            cell,
            self.zone.clone(),
            region,
            addresses,
        ))
    }
}
