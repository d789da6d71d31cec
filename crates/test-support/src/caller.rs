//! A caller: asks which entries to use, connects there, checks its answers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use thiserror::Error;

/// Header that carries a caller's token; targets repeat it in their answer.
pub const TOKEN_HEADER: &str = "stand-in-token";

/// Time within which the discovery API must answer.
const ADDRESS_TIMEOUT: Duration = Duration::from_secs(1);

/// Time that a caller grants beyond the deadline of its request.
const GRACE: Duration = Duration::from_millis(500);

/// Why a call ended without an answer.
#[derive(Debug, Error)]
pub enum Error {
    /// No administration address answered.
    #[error("no entry answered which addresses to use")]
    NoAddress,
    /// The connection to the entry could not be opened; nothing was sent.
    #[error("entry {0} refused the connection")]
    Connect(SocketAddr),
    /// The connection broke or stayed silent after the request was sent.
    #[error("entry {0} gave no whole answer")]
    Broken(SocketAddr),
    /// The request is malformed.
    #[error("malformed request: {0}")]
    Request(#[from] http::Error),
}

/// What a call asks for.
#[derive(Debug, Clone)]
pub struct Call {
    /// Service.
    pub service: String,
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Body.
    pub body: Bytes,
    /// Idempotency key.
    pub key: Key,
    /// Token by which the answer and the target's record are recognised.
    pub token: String,
    /// Deadline that is passed to the entry.
    pub deadline: Duration,
}

/// Idempotency key of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Key {
    /// None.
    None,
    /// A fresh one that the entry that the call is sent to decides on.
    Fresh,
    /// A given one.
    Given(String),
}

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Time from the first byte sent to the last one received.
    pub latency: Duration,
    /// Entry that answered.
    pub entry: SocketAddr,
    /// Whether the answer carries the token of this call. Answers that the
    /// system itself gives carry none.
    pub own: Option<bool>,
}

impl Answer {
    /// The outcome that the system states, when the answer is its own.
    #[must_use]
    pub fn outcome(&self) -> Option<&str> {
        self.headers.get("carobdrift-outcome")?.to_str().ok()
    }

    /// The reason that the system states, when the answer is its own.
    #[must_use]
    pub fn reason(&self) -> Option<&str> {
        self.headers.get("carobdrift-reason")?.to_str().ok()
    }
}

#[derive(Debug, Clone, Deserialize)]
struct Addresses {
    #[serde(rename = "addresses")]
    listed: Vec<Listed>,
    ttl_ms: u64,
}

#[derive(Debug, Clone, Deserialize)]
struct Listed {
    address: SocketAddr,
    key_prefix: Option<String>,
}

#[derive(Debug, Clone)]
struct Cached {
    addresses: Addresses,
    until: Instant,
}

/// A caller in one availability zone; cheap to clone.
#[derive(Debug, Clone)]
pub struct Caller {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    zone: String,
    discovery: Vec<SocketAddr>,
    http: Client<HttpConnector, Full<Bytes>>,
    cache: Mutex<HashMap<String, Cached>>,
    sequence: AtomicU64,
}

impl Caller {
    /// Opens a caller that asks the given administration addresses in turn.
    #[must_use]
    pub fn open(zone: &str, discovery: Vec<SocketAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(500)));
        let http = Client::builder(TokioExecutor::new()).build(connector);
        Self {
            shared: Arc::new(Shared {
                zone: zone.to_owned(),
                discovery,
                http,
                cache: Mutex::new(HashMap::new()),
                sequence: AtomicU64::new(rand::random::<u32>().into()),
            }),
        }
    }

    /// A token that no other call has.
    #[must_use]
    pub fn token(&self) -> String {
        let number = self.shared.sequence.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}-{:x}", self.shared.zone, rand::random::<u64>())
    }

    /// A fresh idempotency key that the first entry for a service decides on.
    ///
    /// # Errors
    ///
    /// Fails when no entry answers.
    pub async fn key(&self, service: &str) -> Result<Option<String>, Error> {
        let addresses = self.addresses(service).await?;
        Ok(addresses
            .listed
            .first()
            .and_then(|listed| self.fresh_key(listed)))
    }

    /// Addresses to use for a service, in order.
    ///
    /// # Errors
    ///
    /// Fails when no entry answers.
    pub async fn entries(&self, service: &str) -> Result<Vec<SocketAddr>, Error> {
        let addresses = self.addresses(service).await?;
        Ok(addresses
            .listed
            .iter()
            .map(|listed| listed.address)
            .collect())
    }

    /// Sends a call to the first entry that takes the connection.
    ///
    /// # Errors
    ///
    /// Fails when no entry gives a whole answer; the request may have run
    /// unless the failure says that nothing was sent.
    pub async fn send(&self, call: &Call) -> Result<Answer, Error> {
        let mut call = call.clone();
        self.send_keyed(&mut call).await
    }

    /// Like [`Caller::send`]; a fresh key is replaced by the one that was sent,
    /// so that the call can be sent again.
    ///
    /// # Errors
    ///
    /// See [`Caller::send`].
    pub async fn send_keyed(&self, call: &mut Call) -> Result<Answer, Error> {
        let fresh = call.key == Key::Fresh;
        let mut tried = Vec::new();
        // Once the addresses are used up, the system is asked for others. The
        // first answer may be from a time when fewer entries were known.
        while let Some(listed) = self.untried(&call.service, &tried).await? {
            if fresh {
                // Nothing was sent under the last key.
                call.key = self.fresh_key(&listed).map_or(Key::None, Key::Given);
            }
            match self.send_to(listed.address, call).await {
                Err(Error::Connect(_)) => tried.push(listed.address),
                other => {
                    if !tried.is_empty() {
                        self.forget(&call.service);
                    }
                    return other;
                }
            }
        }
        Err(tried
            .last()
            .map_or(Error::NoAddress, |entry| Error::Connect(*entry)))
    }

    /// The first address that was not tried yet.
    async fn untried(&self, service: &str, tried: &[SocketAddr]) -> Result<Option<Listed>, Error> {
        let is_untried = |listed: &Listed| !tried.contains(&listed.address);
        let known = self.addresses(service).await?.listed;
        if let Some(listed) = known.into_iter().find(is_untried) {
            return Ok(Some(listed));
        }
        self.forget(service);
        Ok(self
            .addresses(service)
            .await?
            .listed
            .into_iter()
            .find(is_untried))
    }

    /// Sends a call to a given entry.
    ///
    /// # Errors
    ///
    /// See [`Caller::send`].
    pub async fn send_to(&self, entry: SocketAddr, call: &Call) -> Result<Answer, Error> {
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(format!("http://{entry}{}", call.path))
            .header(http::header::HOST, &call.service)
            .header(TOKEN_HEADER, &call.token)
            .header(
                "carobdrift-deadline-ms",
                call.deadline.as_millis().to_string(),
            );
        if let Key::Given(key) = &call.key {
            request = request.header("idempotency-key", key);
        }
        let request = request.body(Full::new(call.body.clone()))?;
        let start = Instant::now();
        let exchange = async {
            let response = self.shared.http.request(request).await.map_err(|error| {
                if error.is_connect() {
                    Error::Connect(entry)
                } else {
                    Error::Broken(entry)
                }
            })?;
            let (head, body) = response.into_parts();
            let body = body
                .collect()
                .await
                .map_err(|_| Error::Broken(entry))?
                .to_bytes();
            Ok((head, body))
        };
        let (head, body) = tokio::time::timeout(call.deadline + GRACE, exchange)
            .await
            .unwrap_or(Err(Error::Broken(entry)))?;
        let own = head
            .headers
            .get(TOKEN_HEADER)
            .map(|found| found.as_bytes() == call.token.as_bytes());
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body,
            latency: start.elapsed(),
            entry,
            own,
        })
    }

    /// Drops the remembered address answer of a service.
    pub fn forget(&self, service: &str) {
        self.cache().remove(service);
    }

    fn fresh_key(&self, listed: &Listed) -> Option<String> {
        let prefix = listed.key_prefix.as_ref()?;
        let number = self.shared.sequence.fetch_add(1, Ordering::Relaxed);
        Some(format!("{prefix}.{number}"))
    }

    async fn addresses(&self, service: &str) -> Result<Addresses, Error> {
        if let Some(cached) = self.cache().get(service)
            && cached.until > Instant::now()
        {
            return Ok(cached.addresses.clone());
        }
        let offset = rand::random::<u32>() as usize;
        let count = self.shared.discovery.len();
        for step in 0..count {
            let admin = self.shared.discovery[(offset + step) % count];
            if let Some(addresses) = self.ask(admin, service).await {
                let until = Instant::now() + Duration::from_millis(addresses.ttl_ms);
                let cached = Cached {
                    addresses: addresses.clone(),
                    until,
                };
                self.cache().insert(service.to_owned(), cached);
                return Ok(addresses);
            }
        }
        Err(Error::NoAddress)
    }

    async fn ask(&self, admin: SocketAddr, service: &str) -> Option<Addresses> {
        let zone = &self.shared.zone;
        let uri = format!("http://{admin}/v1/addresses?service={service}&zone={zone}");
        let request = Request::get(uri).body(Full::default()).ok()?;
        let exchange = async {
            let response = self.shared.http.request(request).await.ok()?;
            if response.status() != StatusCode::OK {
                return None;
            }
            response
                .into_body()
                .collect()
                .await
                .ok()
                .map(http_body_util::Collected::to_bytes)
        };
        let body = tokio::time::timeout(ADDRESS_TIMEOUT, exchange)
            .await
            .ok()??;
        let addresses: Addresses = serde_json::from_slice(&body).ok()?;
        (!addresses.listed.is_empty()).then_some(addresses)
    }

    fn cache(&self) -> std::sync::MutexGuard<'_, HashMap<String, Cached>> {
        self.shared
            .cache
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
