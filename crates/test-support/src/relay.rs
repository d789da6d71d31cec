//! TCP relay that can discard or stall the bytes of its connections, as a
//! network partition does.
//!
//! The relay runs between entries, or between an entry and the platform. An
//! entry states its instance in the HTTP request that opens a link, so a relay
//! can set the flows for the connections of a single entry.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// Header field with the instance that opens a link, in lower case.
const INSTANCE_HEADER: &str = "carobdrift-instance:";

/// Longest request head that is searched for the instance header.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Capacity that is reserved for each read.
const CHUNK_BYTES: usize = 64 * 1024;

/// Treatment of the bytes in one direction of a connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Flow {
    /// Forwards the bytes.
    #[default]
    Forward,
    /// Reads and discards the bytes, until the connection is closed.
    Discard,
    /// Stops reading until the flow changes.
    Stall,
}

/// Treatment of the bytes in both directions of a connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Flows {
    /// Flow from the connecting side to the relay's target.
    pub to_target: Flow,
    /// Flow from the relay's target to the connecting side.
    pub to_client: Flow,
}

impl Flows {
    /// Discards the bytes of both directions.
    pub const DISCARD: Self = Self {
        to_target: Flow::Discard,
        to_client: Flow::Discard,
    };
}

#[derive(Debug, Clone, Default)]
struct Rules {
    default: Flows,
    instances: HashMap<String, Flows>,
}

impl Rules {
    fn flows(&self, instance: Option<&str>) -> Flows {
        instance
            .and_then(|instance| self.instances.get(instance))
            .copied()
            .unwrap_or(self.default)
    }
}

/// Running relay; stops when dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    rules: watch::Sender<Rules>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay on a free port. Connections wait until the relay has a
    /// target.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn bind() -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let target = watch::Sender::new(None);
        let rules = watch::Sender::new(Rules::default());
        let task = tokio::spawn(run(listener, target.subscribe(), rules.subscribe()));
        Ok(Self {
            address,
            target,
            rules,
            task,
        })
    }

    /// Returns the address that the relay listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the address to which new connections are relayed.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Sets the flows of the connections of all instances without flows of
    /// their own.
    pub fn set_flows(&self, flows: Flows) {
        self.rules.send_modify(|rules| rules.default = flows);
    }

    /// Sets the flows of the connections that the given instance opens.
    pub fn set_instance_flows(&self, instance: &str, flows: Flows) {
        self.rules.send_modify(|rules| {
            rules.instances.insert(instance.to_owned(), flows);
        });
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(
    listener: TcpListener,
    target: watch::Receiver<Option<SocketAddr>>,
    rules: watch::Receiver<Rules>,
) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        connections.spawn(relay(stream, target.clone(), rules.clone()));
        while connections.try_join_next().is_some() {}
    }
}

/// Relays one connection until one side closes it or an I/O error occurs.
async fn relay(
    mut client: TcpStream,
    mut target: watch::Receiver<Option<SocketAddr>>,
    rules: watch::Receiver<Rules>,
) -> io::Result<()> {
    let (head, instance) = read_head(&mut client).await?;
    let Some(address) = target
        .wait_for(Option::is_some)
        .await
        .ok()
        .and_then(|address| *address)
    else {
        return Ok(());
    };
    let server = TcpStream::connect(address).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    let to_target = Direction {
        rules: rules.clone(),
        instance: instance.clone(),
        select: |flows| flows.to_target,
    };
    let to_client = Direction {
        rules,
        instance,
        select: |flows| flows.to_client,
    };
    tokio::select! {
        result = to_target.copy(head, client_reader, server_writer) => result,
        result = to_client.copy(Vec::new(), server_reader, client_writer) => result,
    }
}

/// Reads the head of the first request and returns it with the instance that
/// the head names.
async fn read_head(client: &mut TcpStream) -> io::Result<(Vec<u8>, Option<String>)> {
    let mut head = Vec::new();
    while !head.windows(4).any(|bytes| bytes == b"\r\n\r\n") && head.len() < MAX_HEAD_BYTES {
        if client.read_buf(&mut head).await? == 0 {
            break;
        }
    }
    let text = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let instance = text
        .lines()
        .find_map(|line| line.strip_prefix(INSTANCE_HEADER))
        .map(|value| value.trim().to_owned());
    Ok((head, instance))
}

struct Direction {
    rules: watch::Receiver<Rules>,
    instance: Option<String>,
    select: fn(Flows) -> Flow,
}

impl Direction {
    async fn copy(
        mut self,
        mut bytes: Vec<u8>,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
    ) -> io::Result<()> {
        let mut discarding = false;
        loop {
            if !discarding && self.wait_while_stalled().await.is_err() {
                return Ok(());
            }
            if !bytes.is_empty() {
                discarding |= self.flow() == Flow::Discard;
                if !discarding {
                    to.write_all(&bytes).await?;
                }
                bytes.clear();
            }
            if !discarding && self.wait_while_stalled().await.is_err() {
                return Ok(());
            }
            bytes.reserve(CHUNK_BYTES);
            if from.read_buf(&mut bytes).await? == 0 {
                return Ok(());
            }
        }
    }

    fn flow(&self) -> Flow {
        let rules = self.rules.borrow();
        (self.select)(rules.flows(self.instance.as_deref()))
    }

    /// Waits while the flow is stalled.
    async fn wait_while_stalled(&mut self) -> Result<(), watch::error::RecvError> {
        let instance = self.instance.clone();
        let select = self.select;
        self.rules
            .wait_for(|rules| select(rules.flows(instance.as_deref())) != Flow::Stall)
            .await
            .map(|_| ())
    }
}
