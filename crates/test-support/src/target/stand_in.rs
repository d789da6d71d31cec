//! Stand-in with its listeners, connections and draining.

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
use super::request::Shared;
use super::service_time::ServiceTime;
use super::stream::{State, Stream};

/// Settings of a stand-in.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Settings {
    /// Name stated in the response header `stand-in-name`.
    pub name: String,
    /// Address of the service listener.
    pub address: SocketAddr,
    /// Address of the control port.
    pub control: SocketAddr,
    /// Number of requests that are executed concurrently; further requests are
    /// queued.
    pub slots: u32,
    /// Distribution of the service time.
    pub service_time: ServiceTime,
    /// Initial faults.
    pub faults: Faults,
}

impl Default for Settings {
    /// Returns settings with ephemeral loopback ports, 2 slots, no service time
    /// and no faults.
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

/// Failure to start a stand-in.
#[derive(Debug, Error)]
pub enum Error {
    /// An address could not be listened on.
    #[error("could not listen on {address}: {cause}")]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// Error of the operating system.
        #[source]
        cause: io::Error,
    },
}

/// Running stand-in for a target; dropping it aborts all its tasks.
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
    connections: Mutex<Vec<Weak<State>>>,
    /// Whether the service listener must be closed.
    closing: watch::Sender<bool>,
    minimum_drain: watch::Sender<Option<Duration>>,
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
            connections: Mutex::default(),
            closing: watch::Sender::new(false),
            minimum_drain: watch::Sender::new(None),
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

    /// Returns the address of the service listener.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the control port.
    #[must_use]
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Returns the current start id, which identifies one run of the target
    /// process.
    #[must_use]
    pub fn start_id(&self) -> String {
        self.core.shared.start_id()
    }

    /// Replaces the faults in effect.
    pub fn set_faults(&self, faults: Faults) {
        self.core.shared.set_faults(faults);
    }

    /// Performs an action.
    pub fn perform(&self, action: &Action) {
        self.core.perform(action);
    }

    /// Returns all recorded runs in the order of their start.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.core.shared.record.runs()
    }

    /// Returns the number of requests that are queued or running.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.core.shared.in_flight()
    }

    /// Returns the number of open connections to the service listener.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.core.open_connections().len()
    }

    /// Returns the times of all probes, in microseconds since the start.
    #[must_use]
    pub fn probes_us(&self) -> Vec<u64> {
        self.core.shared.record.probes_us()
    }

    /// Returns the largest number of probes in any window of 1 s.
    #[must_use]
    pub fn peak_probes_per_second(&self) -> usize {
        self.core.shared.record.peak_probes_per_second()
    }

    /// Returns the microseconds since the start, on the clock of the record.
    #[must_use]
    pub fn now_us(&self) -> u64 {
        self.core.shared.record.now_us()
    }

    /// Returns whether the service listener is closed or about to be closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        *self.core.closing.borrow()
    }

    /// Waits for the tasks of the stand-in. The control port is served until the
    /// stand-in is dropped, so the wait does not end.
    pub async fn wait(&mut self) {
        while self.tasks.join_next().await.is_some() {}
    }
}

impl Core {
    pub(super) fn perform(&self, action: &Action) {
        match action {
            Action::SwallowOpen => {
                for state in self.open_connections() {
                    state.silent.store(true, Ordering::Relaxed);
                }
            }
            Action::Drain { at_least_ms } => {
                self.shared.draining.store(true, Ordering::SeqCst);
                let minimum = Duration::from_millis(*at_least_ms);
                self.minimum_drain.send_replace(Some(minimum));
            }
            Action::Restart => self.shared.restart(),
        }
    }

    fn open_connections(&self) -> Vec<Arc<State>> {
        let connections = self
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        connections.iter().filter_map(Weak::upgrade).collect()
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
                () = self.wait_closing() => break,
                Some(_) = connections.join_next() => {}
            }
        }
        drop(listener);
        while connections.join_next().await.is_some() {}
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        // With Nagle's algorithm, small responses would wait for delayed
        // acknowledgements.
        let _ = stream.set_nodelay(true);
        let state = Arc::new(State::default());
        {
            let mut connections = self
                .connections
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            connections.retain(|other| other.strong_count() > 0);
            connections.push(Arc::downgrade(&state));
        }
        let shared = Arc::clone(&self.shared);
        let io = Stream::new(stream, Arc::clone(&state), Arc::clone(&shared));
        let service = service_fn(move |request| {
            let shared = Arc::clone(&shared);
            let state = Arc::clone(&state);
            async move { shared.handle(&state, request).await }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(io), service);
        let mut connection = std::pin::pin!(connection);
        // An error means that a fault was injected or that the client closed the
        // connection.
        tokio::select! {
            _ = connection.as_mut() => {}
            () = self.wait_closing() => {
                connection.as_mut().graceful_shutdown();
                let _ = connection.await;
            }
        }
    }

    async fn wait_closing(&self) {
        // The sender lives as long as `self`.
        let _ = self.closing.subscribe().wait_for(|closing| *closing).await;
    }

    /// Waits for [`Action::Drain`] and closes the service listener once draining
    /// is complete.
    async fn drain(self: Arc<Self>) {
        let mut requested = self.minimum_drain.subscribe();
        let minimum = match requested.wait_for(Option::is_some).await {
            Ok(minimum) => minimum.unwrap_or_default(),
            Err(_) => return,
        };
        tokio::time::sleep(minimum).await;
        loop {
            let ended = self.shared.request_ended.notified();
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
