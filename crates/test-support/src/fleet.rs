//! Installation of separate processes on loopback: the platform stand-in,
//! target stand-ins and entries.

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

/// Secret that authenticates the links between the entries.
const PEER_SECRET: &str = "loopback-peer-secret";

/// Operator token, which may read and edit every document.
pub const OPERATOR_TOKEN: &str = "loopback-operator-token";

/// Time limit for a call to a control port or an administration API.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// Failure to start, control or query a process of the installation.
#[derive(Debug, Error)]
pub enum Error {
    /// A process could not be started, signalled or awaited.
    #[error(transparent)]
    Process(#[from] process::Error),
    /// A call to the control port of the platform stand-in failed.
    #[error("control port of the platform: {0}")]
    Platform(#[from] platform::Error),
    /// An identifier is invalid.
    #[error("invalid identifier: {0}")]
    Identifier(#[from] carobdrift_units::NameError),
    /// A call got no response, or one that could not be used.
    #[error("no usable response from {0}")]
    Call(String),
    /// No entry has this index.
    #[error("no entry has index {0}")]
    UnknownEntry(usize),
}

/// Targets of a service: their number, availability zones and service time.
#[derive(Debug, Clone)]
pub struct Service {
    /// Service name.
    pub name: String,
    /// Number of targets.
    pub targets: u32,
    /// Number of requests that each target executes concurrently.
    pub slots: u32,
    /// Availability zones, to which the targets are assigned round-robin.
    pub zones: Vec<String>,
    /// Mean service time in milliseconds.
    pub mean_ms: f64,
    /// Standard deviation of the logarithm of the service time.
    pub sigma: f64,
    /// Noisy neighbour of each target, if any.
    pub noise: Option<Noise>,
}

/// Running target.
#[derive(Debug)]
pub struct Target {
    /// Service name.
    pub service: String,
    /// Target id.
    pub id: String,
    /// Availability zone.
    pub zone: String,
    /// Number of requests that the target executes concurrently.
    pub slots: u32,
    /// Process of the target.
    pub process: Process,
    /// Address of the service listener.
    pub address: SocketAddr,
    control: SocketAddr,
}

/// Running entry.
#[derive(Debug)]
pub struct Entry {
    /// Instance id.
    pub id: Instance,
    /// Availability zone.
    pub zone: Zone,
    /// Process of the entry.
    pub process: Process,
    /// Address of the listener for callers.
    pub caller: SocketAddr,
    /// Address of the administration API.
    pub admin: SocketAddr,
    /// Address of the listener for links of other entries.
    pub peer: SocketAddr,
}

/// Running installation; dropping it kills all processes.
#[derive(Debug)]
pub struct Fleet {
    /// Client of the platform stand-in's control port.
    pub platform: platform::Control,
    /// Process of the platform stand-in.
    pub platform_process: Process,
    /// Address of the platform's HTTP service.
    pub platform_address: SocketAddr,
    /// Entries in the order of their start, including those that have exited.
    pub entries: Vec<Entry>,
    /// Targets of all services.
    pub targets: Vec<Target>,
    log_directory: Option<PathBuf>,
    zones: Vec<String>,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl Fleet {
    /// Starts the platform stand-in. Entries are assigned to `zones`
    /// round-robin. Their logs go to files in `log_directory`, if given, and
    /// are discarded otherwise.
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

    /// Starts an entry, registers it on the platform's instance list and
    /// returns its index. The given flags override the default ones.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start or the platform's control port
    /// fails.
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

    /// Returns the entry with the given index.
    ///
    /// # Errors
    ///
    /// Fails when no entry has the index.
    pub fn entry(&mut self, index: usize) -> Result<&mut Entry, Error> {
        self.entries
            .get_mut(index)
            .ok_or(Error::UnknownEntry(index))
    }

    /// Kills an entry with SIGKILL. The entry stays on the instance list until
    /// [`Fleet::deregister_entry`].
    ///
    /// # Errors
    ///
    /// Fails when no entry has the index or the process can't be killed.
    pub async fn kill_entry(&mut self, index: usize) -> Result<(), Error> {
        Ok(self.entry(index)?.process.kill().await?)
    }

    /// Stops an entry as the platform does: sends SIGTERM and marks the entry
    /// as leaving on the instance list.
    ///
    /// # Errors
    ///
    /// Fails when no entry has the index, the process can't be signalled, or
    /// the platform's control port fails.
    pub async fn stop_entry(&mut self, index: usize) -> Result<(), Error> {
        let entry = self.entry(index)?;
        let listing = entry.listing()?.with_state(platform::State::Leaving);
        entry.process.signal(Signal::SIGTERM)?;
        Ok(self.platform.put_instance(&listing).await?)
    }

    /// Removes an entry from the instance list.
    ///
    /// # Errors
    ///
    /// Fails when no entry has the index or the platform's control port fails.
    pub async fn deregister_entry(&mut self, index: usize) -> Result<(), Error> {
        let id = self.entry(index)?.id.clone();
        Ok(self.platform.remove_instance(id.as_str()).await?)
    }

    /// Returns the targets of a service.
    pub fn targets_of(&self, service: &str) -> impl Iterator<Item = &Target> {
        self.targets
            .iter()
            .filter(move |target| target.service == service)
    }

    /// Returns the value of `targets` for the document of a service.
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
    /// Fails when the target's control port does not respond with success.
    pub async fn set_faults(&self, target: &Target, faults: &Faults) -> Result<(), Error> {
        self.control(target, Method::PUT, "/faults", faults).await
    }

    /// Makes a target perform an action.
    ///
    /// # Errors
    ///
    /// Fails when the target's control port does not respond with success.
    pub async fn perform(&self, target: &Target, action: &Action) -> Result<(), Error> {
        self.control(target, Method::POST, "/actions", action).await
    }

    /// Returns all runs that a target recorded.
    ///
    /// # Errors
    ///
    /// Fails when the target's control port returns no valid record.
    pub async fn runs(&self, target: &Target) -> Result<Vec<Run>, Error> {
        let mut record: Value = self.get(target.control, "/record").await?;
        serde_json::from_value(record["runs"].take()).map_err(|_| Error::Call("record".to_owned()))
    }

    /// Returns the number of probes that a target received.
    ///
    /// # Errors
    ///
    /// Fails when the target's control port returns no valid response.
    pub async fn probe_count(&self, target: &Target) -> Result<usize, Error> {
        let probes: Value = self.get(target.control, "/probes").await?;
        probes["probes_us"]
            .as_array()
            .map(Vec::len)
            .ok_or_else(|| Error::Call("probes".to_owned()))
    }

    /// Returns the largest number of probes that a target received in any
    /// window of 1 s.
    ///
    /// # Errors
    ///
    /// Fails when the target's control port returns no valid response.
    pub async fn peak_probes_per_second(&self, target: &Target) -> Result<u64, Error> {
        let probes: Value = self.get(target.control, "/probes").await?;
        probes["most_in_one_second"]
            .as_u64()
            .ok_or_else(|| Error::Call("probes".to_owned()))
    }

    /// Calls the administration API of an entry with the operator token and
    /// returns the status and body of the response.
    ///
    /// # Errors
    ///
    /// Fails when there is no response or its body is not JSON.
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

    /// Returns the metrics of an entry in the text format.
    ///
    /// # Errors
    ///
    /// Fails when there is no response.
    pub async fn metrics(&self, entry: &Entry) -> Result<String, Error> {
        let (_, body) = self
            .send(entry.admin, Method::GET, "/metrics", Bytes::new())
            .await?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    /// Waits until an entry reports that it is ready and returns whether it
    /// did so within `limit`.
    pub async fn wait_ready(&self, admin: SocketAddr, limit: Duration) -> bool {
        let ready = async {
            loop {
                let response = self.send(admin, Method::GET, "/ready", Bytes::new()).await;
                if matches!(response, Ok((StatusCode::OK, _))) {
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
        let failed = || Error::Call(format!("control port of {}", target.id));
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
    /// Returns the entry's listing for the platform's instance list.
    ///
    /// # Errors
    ///
    /// Fails when the cell or region name is invalid, which the names used
    /// here never are.
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
