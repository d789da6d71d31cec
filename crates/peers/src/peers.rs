//! Exchange of datagrams with the other entries.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use carobdrift_units::{Version, Zone};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::datagram::{Beat, Datagram, MAX_DATAGRAM, Row, Rows};
use crate::roster::Roster;
use crate::snapshot::{Server, Snapshot};

/// Interval of beats to entries of the same zone.
const LOCAL_INTERVAL: Duration = Duration::from_millis(500);

/// Beats to other zones, and to entries that do not answer, go out each this
/// many intervals: bytes between zones are dear.
const REMOTE_EVERY: u64 = 2;

/// Events that wait to be taken in. More are dropped: beats repeat, and rows
/// that are missed are fetched.
const EVENTS: usize = 256;

/// Rows of one datagram; with ids of usual length they fit into one packet.
const ROWS: usize = 8;

/// Settings of the exchange between entries.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address of this entry for datagrams and snapshots; all entries use the
    /// same port.
    pub address: SocketAddr,
    /// Availability zone of this entry.
    pub zone: Zone,
}

/// What another entry told.
#[derive(Debug, Clone)]
pub enum Event {
    /// A beat.
    Beat(IpAddr, Beat),
    /// Changes of targets.
    Rows(Rows),
}

/// The running exchange with the other entries; cheap to clone.
#[derive(Clone)]
pub struct Peers {
    shared: Arc<Shared>,
}

struct Shared {
    socket: UdpSocket,
    settings: Settings,
    roster: Mutex<Roster>,
    statement: Box<dyn Fn() -> Beat + Send + Sync>,
}

impl Peers {
    /// Starts to beat and to serve snapshots. `statement` tells what this entry
    /// states of itself, `source` what it knows beyond a version of the desired
    /// state.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub async fn bind(
        settings: Settings,
        statement: Box<dyn Fn() -> Beat + Send + Sync>,
        source: Arc<dyn Fn(Version) -> Snapshot + Send + Sync>,
    ) -> io::Result<(Self, mpsc::Receiver<Event>)> {
        let socket = UdpSocket::bind(settings.address).await?;
        let listener = TcpListener::bind(settings.address).await?;
        let peers = Self {
            shared: Arc::new(Shared {
                socket,
                settings,
                roster: Mutex::default(),
                statement,
            }),
        };
        let (sender, events) = mpsc::channel(EVENTS);
        tokio::spawn(peers.clone().receive(sender));
        tokio::spawn(peers.clone().beat());
        tokio::spawn(serve(listener, Arc::new(Server(source))));
        Ok((peers, events))
    }

    /// Contacts entries that may exist.
    pub fn name(&self, addresses: impl IntoIterator<Item = IpAddr>) {
        let now = Instant::now();
        let own = self.shared.settings.address.ip();
        let mut roster = self.roster();
        for address in addresses {
            if address != own {
                roster.name(address, now);
            }
        }
    }

    /// The other entries.
    pub fn roster(&self) -> MutexGuard<'_, Roster> {
        let roster = self.shared.roster.lock();
        roster.unwrap_or_else(PoisonError::into_inner)
    }

    /// Address at which an entry serves snapshots.
    #[must_use]
    pub fn snapshot_address(&self, entry: IpAddr) -> SocketAddr {
        SocketAddr::new(entry, self.shared.settings.address.port())
    }

    /// Beats to all entries now, because something changed.
    pub async fn announce(&self) {
        self.send_beats(true).await;
    }

    /// Passes changes of targets on to all entries.
    pub async fn pass_on(&self, rows: &Rows) {
        let addresses: Vec<IpAddr> = {
            let roster = self.roster();
            let alive = roster.alive(Instant::now());
            alive.map(|(address, _)| address).collect()
        };
        for part in rows.rows.chunks(ROWS) {
            let part = Datagram::Rows(Rows {
                after: rows.after,
                // Only the last part completes the revision.
                revision: if is_last(part, &rows.rows) {
                    rows.revision
                } else {
                    rows.after
                },
                rows: part.to_vec(),
            });
            self.send(&part, &addresses).await;
        }
    }

    async fn beat(self) {
        let mut interval = tokio::time::interval(LOCAL_INTERVAL);
        let mut count = 0_u64;
        loop {
            interval.tick().await;
            self.send_beats(count.is_multiple_of(REMOTE_EVERY)).await;
            count += 1;
            self.roster().sweep(Instant::now());
        }
    }

    async fn send_beats(&self, everywhere: bool) {
        let now = Instant::now();
        let zone = &self.shared.settings.zone;
        let addresses: Vec<IpAddr> = {
            let roster = self.roster();
            let contacts = roster.contacts();
            let due = contacts.filter(|(_, peer)| {
                everywhere || peer.is_some_and(|p| p.is_alive(now) && p.beat.zone == *zone)
            });
            due.map(|(address, _)| address).collect()
        };
        let beat = Datagram::Beat((self.shared.statement)());
        self.send(&beat, &addresses).await;
    }

    async fn send(&self, datagram: &Datagram, addresses: &[IpAddr]) {
        let bytes = match postcard::to_allocvec(datagram) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(target: "peers", "event=encode-failed error=\"{error}\"");
                return;
            }
        };
        for address in addresses {
            let address = self.snapshot_address(*address);
            if let Err(error) = self.shared.socket.send_to(&bytes, address).await {
                // Datagrams may be lost anyway; the next beat makes up for it.
                log::debug!(target: "peers", "event=send-failed peer={address} error=\"{error}\"");
            }
        }
    }

    async fn receive(self, events: mpsc::Sender<Event>) {
        let mut buffer = vec![0; 2 * MAX_DATAGRAM];
        loop {
            let (length, from) = match self.shared.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    log::debug!(target: "peers", "event=receive-failed error=\"{error}\"");
                    continue;
                }
            };
            let event = match postcard::from_bytes(&buffer[..length]) {
                Ok(Datagram::Beat(beat)) => {
                    self.hear(from.ip(), &beat).await;
                    Event::Beat(from.ip(), beat)
                }
                Ok(Datagram::Rows(rows)) => Event::Rows(rows),
                Err(error) => {
                    log::warn!(target: "peers", "event=malformed from={from} error=\"{error}\"");
                    continue;
                }
            };
            if events.try_send(event).is_err() {
                log::warn!(target: "peers", "event=dropped from={from} reason=queue-full");
            }
        }
    }

    async fn hear(&self, from: IpAddr, beat: &Beat) {
        let new = self.roster().hear(from, beat.clone(), Instant::now());
        if new {
            log::info!(
                target: "peers",
                "event=joined peer={from} zone={} incarnation={} phase={:?}",
                beat.zone, beat.incarnation, beat.phase
            );
            // It need not wait for the next interval to learn of this entry.
            let beat = Datagram::Beat((self.shared.statement)());
            self.send(&beat, &[from]).await;
        }
    }
}

fn is_last(part: &[Row], rows: &[Row]) -> bool {
    part.as_ptr_range().end == rows.as_ptr_range().end
}

async fn serve(listener: TcpListener, server: Arc<Server>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let server = Arc::clone(&server);
                tokio::spawn(carobdrift_http1::serve(
                    stream,
                    server,
                    CancellationToken::new(),
                ));
            }
            Err(error) => {
                log::warn!(target: "peers", "event=accept-failed error=\"{error}\"");
                tokio::time::sleep(LOCAL_INTERVAL).await;
            }
        }
    }
}
