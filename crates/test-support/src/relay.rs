//! TCP relay whose connections can go silent.
//!
//! It stands between entries, or between an entry and the platform. Connections
//! of entries name their instance in the request that opens the link, so a
//! relay can treat the connections of one entry apart from the others.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// Header field that names the instance that opens a link, in lower case.
const INSTANCE_HEADER: &str = "carobdrift-instance:";

/// Longest request head that is searched for the name of an instance.
const HEAD_BYTES: usize = 16 * 1024;

/// Bytes that are passed on at a time.
const CHUNK_BYTES: usize = 64 * 1024;

/// What happens to the bytes of one direction of a connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Flow {
    /// They are passed on.
    #[default]
    Pass,
    /// They are taken and dropped, for the rest of the connection's life.
    Silent,
    /// They are not taken until the flow changes.
    Stall,
}

/// What happens to the bytes of a connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Flows {
    /// Bytes towards the target of the relay.
    pub forth: Flow,
    /// Bytes back to the side that opened the connection.
    pub back: Flow,
}

impl Flows {
    /// Both directions silent.
    pub const CUT: Self = Self {
        forth: Flow::Silent,
        back: Flow::Silent,
    };
}

#[derive(Debug, Clone, Default)]
struct Rules {
    all: Flows,
    instances: HashMap<String, Flows>,
}

impl Rules {
    fn flows(&self, instance: Option<&str>) -> Flows {
        instance
            .and_then(|instance| self.instances.get(instance))
            .copied()
            .unwrap_or(self.all)
    }
}

/// A running relay; stops when dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    rules: watch::Sender<Rules>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay on a free port. Connections wait until it has a target.
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

    /// Address of the relay.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets where connections lead.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Sets the flows of all connections that have no flows of their own.
    pub fn set(&self, flows: Flows) {
        self.rules.send_modify(|rules| rules.all = flows);
    }

    /// Sets the flows of the connections that an instance opens.
    pub fn set_for(&self, instance: &str, flows: Flows) {
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

/// Relays one connection until it fails.
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
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let forth = Direction {
        rules: rules.clone(),
        instance: instance.clone(),
        select: |flows| flows.forth,
    };
    let back = Direction {
        rules,
        instance,
        select: |flows| flows.back,
    };
    tokio::select! {
        result = forth.copy(head, from_client, to_server) => result,
        result = back.copy(Vec::new(), from_server, to_client) => result,
    }
}

/// Reads the head of the first request and the instance that it names.
async fn read_head(client: &mut TcpStream) -> io::Result<(Vec<u8>, Option<String>)> {
    let mut head = Vec::new();
    while !head.windows(4).any(|bytes| bytes == b"\r\n\r\n") && head.len() < HEAD_BYTES {
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
        let mut silent = false;
        loop {
            if !silent && self.wait().await.is_err() {
                return Ok(());
            }
            if !bytes.is_empty() {
                silent |= self.flow() == Flow::Silent;
                if !silent {
                    to.write_all(&bytes).await?;
                }
                bytes.clear();
            }
            if !silent && self.wait().await.is_err() {
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

    /// Waits until the flow is not stalled.
    async fn wait(&mut self) -> Result<(), watch::error::RecvError> {
        let instance = self.instance.clone();
        let select = self.select;
        self.rules
            .wait_for(|rules| select(rules.flows(instance.as_deref())) != Flow::Stall)
            .await
            .map(|_| ())
    }
}
