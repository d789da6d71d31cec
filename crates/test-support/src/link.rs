//! Network between machines whose links have a limited bandwidth.
//!
//! All entries use the same port for their exchange: each sends to the address of
//! the other and its own port. Entries with different ports therefore never reach
//! each other directly, but a relay that listens on the address of the one and the
//! port of the other. The relay forwards what it receives from the address of the
//! sender, so that entries learn each other's real addresses.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Largest number of bytes that one connection has in the queue of a link.
const CHUNK_BYTES: usize = 4 * 1024;

/// Size of the kernel's buffers of a relayed connection, so that the kernel does
/// not hold much more than the queue of a link.
const SOCKET_BUFFER_BYTES: u32 = 32 * 1024;

/// Bytes that the queue of a link holds. Datagrams beyond it are lost.
const QUEUE_BYTES: f64 = 128.0 * 1024.0;

/// Largest datagram that is relayed.
const MAX_DATAGRAM_BYTES: usize = 4096;

/// Link of a machine to the network.
#[derive(Debug)]
pub struct Link {
    out: Lane,
    inward: Lane,
}

/// One direction of a link: a queue that empties at a constant rate.
#[derive(Debug)]
struct Lane {
    bytes_per_second: f64,
    free_at: Mutex<Instant>,
}

/// Machine with a link.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Address of the machine.
    pub ip: IpAddr,
    /// Port of its exchange with the other machines.
    pub port: u16,
    /// Link of the machine.
    pub link: Arc<Link>,
}

impl Link {
    /// Creates a link with this bandwidth in each direction.
    #[must_use]
    pub fn new(mbit_per_second: f64) -> Self {
        let lane = || Lane {
            bytes_per_second: mbit_per_second * 1e6 / 8.0,
            free_at: Mutex::new(Instant::now()),
        };
        Self {
            out: lane(),
            inward: lane(),
        }
    }
}

impl Lane {
    /// Adds bytes to the queue and returns the time at which they have passed.
    fn enqueue(&self, bytes: usize) -> Instant {
        let mut free_at = self.free_at.lock().unwrap();
        *free_at = (*free_at).max(Instant::now()) + self.duration_of(bytes);
        *free_at
    }

    fn is_full(&self) -> bool {
        let free_at = *self.free_at.lock().unwrap();
        let backlog = free_at.saturating_duration_since(Instant::now());
        backlog.as_secs_f64() * self.bytes_per_second > QUEUE_BYTES
    }

    #[expect(clippy::cast_precision_loss, reason = "chunks have few bytes")]
    fn duration_of(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_second)
    }
}

/// Relays everything that the machines send to each other, until the returned set is
/// dropped.
///
/// # Errors
///
/// Fails when an address can't be bound.
pub async fn connect(machines: &[Machine]) -> io::Result<JoinSet<()>> {
    let mut relays = JoinSet::new();
    let index = |to: usize, from: usize| to * machines.len() + from;
    let mut sockets = Vec::with_capacity(machines.len() * machines.len());
    for to in machines {
        for from in machines {
            let socket = if to.ip == from.ip {
                None
            } else {
                Some(Arc::new(UdpSocket::bind((to.ip, from.port)).await?))
            };
            sockets.push(socket);
        }
    }
    for (to_index, to) in machines.iter().enumerate() {
        for (from_index, from) in machines.iter().enumerate() {
            let (Some(received), Some(sender)) = (
                &sockets[index(to_index, from_index)],
                &sockets[index(from_index, to_index)],
            ) else {
                continue;
            };
            relays.spawn(relay_datagrams(
                Arc::clone(received),
                Arc::clone(sender),
                from.clone(),
                to.clone(),
            ));
            let listener = TcpListener::bind((to.ip, from.port)).await?;
            let address = SocketAddr::new(to.ip, to.port);
            relays.spawn(relay_connections(
                listener,
                address,
                Arc::clone(&from.link),
                Some(Arc::clone(&to.link)),
            ));
        }
    }
    Ok(relays)
}

/// Relays the connections of a machine to a server with a fast link of its own.
/// Returns the address to connect to.
///
/// # Errors
///
/// Fails when no port can be bound.
pub async fn reach(
    server: SocketAddr,
    link: &Arc<Link>,
    relays: &mut JoinSet<()>,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    relays.spawn(relay_connections(listener, server, Arc::clone(link), None));
    Ok(address)
}

async fn relay_datagrams(
    received: Arc<UdpSocket>,
    sender: Arc<UdpSocket>,
    from: Machine,
    to: Machine,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let target = SocketAddr::new(to.ip, to.port);
    loop {
        // A machine without a process makes earlier sends fail.
        let Ok(length) = received.recv(&mut buffer).await else {
            continue;
        };
        if from.link.out.is_full() || to.link.inward.is_full() {
            continue;
        }
        let passed = from.link.out.enqueue(length);
        let passed = passed.max(to.link.inward.enqueue(length));
        let (sender, bytes) = (Arc::clone(&sender), buffer[..length].to_vec());
        tokio::spawn(async move {
            tokio::time::sleep_until(passed).await;
            // A machine without a process receives nothing.
            let _ = sender.send_to(&bytes, target).await;
        });
    }
}

async fn relay_connections(
    listener: TcpListener,
    server: SocketAddr,
    from: Arc<Link>,
    to: Option<Arc<Link>>,
) {
    let mut connections = JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        connections.spawn(relay(client, server, Arc::clone(&from), to.clone()));
        while connections.try_join_next().is_some() {}
    }
}

async fn relay(
    client: TcpStream,
    server: SocketAddr,
    from: Arc<Link>,
    to: Option<Arc<Link>>,
) -> io::Result<()> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
    let server = socket.connect(server).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    let to = to.as_deref();
    tokio::select! {
        result = copy(client_reader, server_writer, &from.out, to.map(|to| &to.inward)) => result,
        result = copy(server_reader, client_writer, &from.inward, to.map(|to| &to.out)) => result,
    }
}

async fn copy(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    near: &Lane,
    far: Option<&Lane>,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            // The other direction may still be in use.
            to.shutdown().await?;
            return std::future::pending().await;
        }
        let passed = near.enqueue(length);
        let passed = far.map_or(passed, |far| passed.max(far.enqueue(length)));
        tokio::time::sleep_until(passed).await;
        to.write_all(&buffer[..length]).await?;
    }
}
