//! The stand-in and its listeners.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::control;
use super::fault::{Action, Faults};
use super::record::Run;
use super::serve::Shared;
use super::service_time::ServiceTime;
use super::stream::{Stream, Switches};

/// How a stand-in behaves.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Settings {
    /// Name that it states in header `stand-in-name`.
    pub name: String,
    /// Address of the service listener.
    pub address: SocketAddr,
    /// Address of the control port.
    pub control: SocketAddr,
    /// Requests that it executes at a time; further ones queue.
    pub slots: u32,
    /// Distribution of the service time.
    pub service_time: ServiceTime,
    /// Faults from the start.
    pub faults: Faults,
}

impl Default for Settings {
    /// Ephemeral loopback ports, 2 slots, answers at once, no faults.
    fn default() -> Self {
        let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            name: "target".to_owned(),
            address: loopback,
            control: loopback,
            slots: 2,
            service_time: ServiceTime::default(),
            faults: Faults::default(),
        }
    }
}

/// Why a stand-in can't start.
#[derive(Debug, Error)]
pub enum Error {
    /// An address can't be listened on.
    #[error("can't listen on {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        #[source]
        cause: io::Error,
    },
}

/// A running stand-in of a target.
#[derive(Debug)]
pub struct StandIn {
    core: Arc<Core>,
    address: SocketAddr,
    control: SocketAddr,
    tasks: JoinSet<()>,
}

#[derive(Debug)]
pub(super) struct Core {
    pub(super) shared: Arc<Shared>,
    open: Mutex<Vec<Weak<Switches>>>,
    /// Set once the listener must close.
    closing: watch::Sender<bool>,
    drain_at_least: watch::Sender<Option<Duration>>,
}

impl StandIn {
    /// Starts a stand-in.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be listened on.
    pub async fn bind(settings: Settings) -> Result<Self, Error> {
        let (listener, address) = listen(settings.address).await?;
        let (control_listener, control) = listen(settings.control).await?;
        let core = Arc::new(Core {
            shared: Arc::new(Shared::new(&settings)),
            open: Mutex::default(),
            closing: watch::Sender::new(false),
            drain_at_least: watch::Sender::new(None),
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(Arc::clone(&core).accept(listener));
        tasks.spawn(Arc::clone(&core).drain());
        tasks.spawn(control::serve(control_listener, Arc::clone(&core)));
        Ok(Self {
            core,
            address,
            control,
            tasks,
        })
    }

    /// Address of the service listener.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address of the control port.
    #[must_use]
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Start id that it states now.
    #[must_use]
    pub fn start_id(&self) -> String {
        self.core.shared.start_id()
    }

    /// Replaces the faults in effect.
    pub fn set_faults(&self, faults: Faults) {
        self.core.shared.set_faults(faults);
    }

    /// Does something once.
    pub fn perform(&self, action: &Action) {
        self.core.perform(action);
    }

    /// Everything that ran, in the order of its begin.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.core.shared.record.runs()
    }

    /// Requests that are queued or run now.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.core.shared.in_flight()
    }

    /// Connections to the service listener that are open now.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.core.open_connections().len()
    }

    /// Times of all probes, in microseconds since the start.
    #[must_use]
    pub fn probes_us(&self) -> Vec<u64> {
        self.core.shared.record.probes_us()
    }

    /// Largest number of probes in any window of one second.
    #[must_use]
    pub fn peak_probes_per_second(&self) -> usize {
        self.core.shared.record.peak_probes_per_second()
    }

    /// Microseconds since the start, on the clock of the record.
    #[must_use]
    pub fn now_us(&self) -> u64 {
        self.core.shared.record.now_us()
    }

    /// Whether the service listener is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        *self.core.closing.borrow()
    }

    /// Waits until every task has ended; they end only when the stand-in is
    /// dropped or its listeners fail.
    pub async fn wait(&mut self) {
        while self.tasks.join_next().await.is_some() {}
    }
}

impl Core {
    pub(super) fn perform(&self, action: &Action) {
        match action {
            Action::SwallowOpen => {
                for switches in self.open_connections() {
                    switches.silent.store(true, Ordering::Relaxed);
                }
            }
            Action::Drain { at_least_ms } => {
                self.shared.draining.store(true, Ordering::SeqCst);
                let time = Duration::from_millis(*at_least_ms);
                self.drain_at_least.send_replace(Some(time));
            }
            Action::Restart => self.shared.restart(),
        }
    }

    fn open_connections(&self) -> Vec<Arc<Switches>> {
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.iter().filter_map(Weak::upgrade).collect()
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        connections.spawn(Arc::clone(&self).serve(stream));
                    }
                }
                () = self.closed() => break,
                Some(_) = connections.join_next() => {}
            }
        }
        drop(listener);
        while connections.join_next().await.is_some() {}
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        // Without it small responses wait for delayed acknowledgements.
        let _ = stream.set_nodelay(true);
        let switches = Arc::new(Switches::default());
        {
            let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
            open.retain(|other| other.strong_count() > 0);
            open.push(Arc::downgrade(&switches));
        }
        let shared = Arc::clone(&self.shared);
        let io = Stream::new(stream, Arc::clone(&switches), Arc::clone(&shared));
        let service = service_fn(move |request| {
            let shared = Arc::clone(&shared);
            let switches = Arc::clone(&switches);
            async move { shared.answer(&switches, request).await }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(io), service);
        let mut connection = std::pin::pin!(connection);
        // An error is a fault that was asked for or a peer that went away.
        tokio::select! {
            _ = connection.as_mut() => {}
            () = self.closed() => {
                connection.as_mut().graceful_shutdown();
                let _ = connection.await;
            }
        }
    }

    async fn closed(&self) {
        // The sender lives as long as `self`.
        let _ = self.closing.subscribe().wait_for(|closing| *closing).await;
    }

    /// Closes the listener once draining is complete.
    async fn drain(self: Arc<Self>) {
        let mut requested = self.drain_at_least.subscribe();
        let time = match requested.wait_for(Option::is_some).await {
            Ok(time) => time.unwrap_or_default(),
            Err(_) => return,
        };
        tokio::time::sleep(time).await;
        loop {
            let ended = self.shared.ended.notified();
            let mut ended = std::pin::pin!(ended);
            ended.as_mut().enable();
            if self.shared.in_flight() == 0 {
                break;
            }
            ended.await;
        }
        if self.shared.draining.load(Ordering::SeqCst) {
            self.closing.send_replace(true);
        }
    }
}

async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), Error> {
    let listen = async {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok((listener, address))
    };
    listen
        .await
        .map_err(|cause| Error::Listen { address, cause })
}
