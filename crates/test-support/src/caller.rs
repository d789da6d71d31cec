//! Client of the load balancer: discovers the entries to use, sends calls to
//! them and checks that each response belongs to its call.

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

/// Header that carries the token of a call; targets echo it in the response.
pub const TOKEN_HEADER: &str = "stand-in-token";

/// Time limit for a request to the discovery API.
const ADDRESS_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a caller waits beyond the deadline of its request.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);

/// Failure of a call that got no complete response. The text is part of the JSON
/// report of a replay.
#[derive(Debug, Error)]
pub enum Error {
    /// No administration API returned an address list.
    #[error("no entry answered which addresses to use")]
    NoAddress,
    /// The connection to the entry could not be opened; nothing was sent.
    #[error("entry {0} refused the connection")]
    Connect(SocketAddr),
    /// The connection failed, or no complete response arrived in time, after
    /// the request was sent.
    #[error("entry {0} gave no whole answer")]
    Broken(SocketAddr),
    /// The request could not be built.
    #[error("malformed request: {0}")]
    Request(#[from] http::Error),
}

/// Request to a service, with its deadline and idempotency key.
#[derive(Debug, Clone)]
pub struct Call {
    /// Service name, sent as the host.
    pub service: String,
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Body.
    pub body: Bytes,
    /// Idempotency key.
    pub key: Key,
    /// Token that identifies the call in the response and in the target's
    /// record.
    pub token: String,
    /// Deadline that is sent to the entry, relative to the start of the call.
    pub deadline: Duration,
}

/// Idempotency key of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Key {
    /// No key.
    None,
    /// New key with the prefix of the entry that receives the call, which makes
    /// that entry decide whether the request may run.
    Fresh,
    /// Key chosen by the test.
    Given(String),
}

/// Complete response.
#[derive(Debug)]
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Time from the start of the request, including the connection setup, to
    /// the last byte of the response.
    pub latency: Duration,
    /// Address of the entry that sent the response.
    pub entry: SocketAddr,
    /// Whether the response carries the token of this call; `None` for a
    /// response without a token, as the load balancer itself sends it.
    pub token_matches: Option<bool>,
}

impl Response {
    /// Returns the outcome stated by the load balancer, if it generated the
    /// response itself.
    #[must_use]
    pub fn outcome(&self) -> Option<&str> {
        self.headers.get("carobdrift-outcome")?.to_str().ok()
    }

    /// Returns the reason stated by the load balancer, if it generated the
    /// response itself.
    #[must_use]
    pub fn reason(&self) -> Option<&str> {
        self.headers.get("carobdrift-reason")?.to_str().ok()
    }
}

#[derive(Debug, Clone, Deserialize)]
struct AddressList {
    #[serde(rename = "addresses")]
    entries: Vec<EntryAddress>,
    ttl_ms: u64,
}

#[derive(Debug, Clone, Deserialize)]
struct EntryAddress {
    address: SocketAddr,
    key_prefix: Option<String>,
}

#[derive(Debug, Clone)]
struct CachedList {
    list: AddressList,
    expires: Instant,
}

/// Client in one availability zone; cheap to clone.
#[derive(Debug, Clone)]
pub struct Caller {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    zone: String,
    discovery: Vec<SocketAddr>,
    http: Client<HttpConnector, Full<Bytes>>,
    cache: Mutex<HashMap<String, CachedList>>,
    sequence: AtomicU64,
}

impl Caller {
    /// Creates a caller that queries the given administration addresses, from
    /// a random one on, until one returns an address list.
    #[must_use]
    pub fn new(zone: &str, discovery: Vec<SocketAddr>) -> Self {
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

    /// Returns a token that no other call has.
    #[must_use]
    pub fn fresh_token(&self) -> String {
        let sequence = self.shared.sequence.fetch_add(1, Ordering::Relaxed);
        format!(
            "{}-{sequence}-{:x}",
            self.shared.zone,
            rand::random::<u64>()
        )
    }

    /// Returns a new idempotency key with the prefix of the first entry for a
    /// service, or `None` if the address list states no
    /// prefix for that entry.
    ///
    /// # Errors
    ///
    /// Fails when no administration API returns an address list.
    pub async fn fresh_key(&self, service: &str) -> Result<Option<String>, Error> {
        let addresses = self.addresses(service).await?;
        Ok(addresses
            .entries
            .first()
            .and_then(|entry| self.key_with_prefix(entry)))
    }

    /// Returns the addresses of the entries for a service, in order of
    /// preference.
    ///
    /// # Errors
    ///
    /// Fails when no administration API returns an address list.
    pub async fn entries(&self, service: &str) -> Result<Vec<SocketAddr>, Error> {
        let addresses = self.addresses(service).await?;
        Ok(addresses
            .entries
            .iter()
            .map(|entry| entry.address)
            .collect())
    }

    /// Sends a call to the first entry that accepts the connection.
    ///
    /// # Errors
    ///
    /// Fails when no entry returns a complete response. After
    /// [`Error::Broken`] the request may have run; after the other errors it
    /// was not sent.
    pub async fn send(&self, call: &Call) -> Result<Response, Error> {
        let mut call = call.clone();
        self.send_keyed(&mut call).await
    }

    /// Sends a call as [`Caller::send`] does and replaces [`Key::Fresh`] in the
    /// call by the key that was sent, so that the call can be repeated.
    ///
    /// # Errors
    ///
    /// See [`Caller::send`].
    pub async fn send_keyed(&self, call: &mut Call) -> Result<Response, Error> {
        let fresh = call.key == Key::Fresh;
        let mut tried = Vec::new();
        // When all cached addresses have been tried, the list is fetched again:
        // the cached one may predate the start of other entries.
        while let Some(entry) = self.next_untried(&call.service, &tried).await? {
            if fresh {
                // A key of an entry that refused the connection was never sent.
                call.key = self.key_with_prefix(&entry).map_or(Key::None, Key::Given);
            }
            match self.send_to(entry.address, call).await {
                Err(Error::Connect(_)) => tried.push(entry.address),
                other => {
                    if !tried.is_empty() {
                        self.invalidate_addresses(&call.service);
                    }
                    return other;
                }
            }
        }
        Err(tried
            .last()
            .map_or(Error::NoAddress, |address| Error::Connect(*address)))
    }

    /// Returns the first address that has not been tried, fetching the list
    /// again when the cached one has none.
    async fn next_untried(
        &self,
        service: &str,
        tried: &[SocketAddr],
    ) -> Result<Option<EntryAddress>, Error> {
        let is_untried = |entry: &EntryAddress| !tried.contains(&entry.address);
        let known = self.addresses(service).await?.entries;
        if let Some(entry) = known.into_iter().find(is_untried) {
            return Ok(Some(entry));
        }
        self.invalidate_addresses(service);
        Ok(self
            .addresses(service)
            .await?
            .entries
            .into_iter()
            .find(is_untried))
    }

    /// Sends a call to the given entry.
    ///
    /// # Errors
    ///
    /// Fails when the entry returns no complete response; see
    /// [`Caller::send`].
    pub async fn send_to(&self, entry: SocketAddr, call: &Call) -> Result<Response, Error> {
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
        let (head, body) = tokio::time::timeout(call.deadline + RESPONSE_GRACE, exchange)
            .await
            .unwrap_or(Err(Error::Broken(entry)))?;
        let token_matches = head
            .headers
            .get(TOKEN_HEADER)
            .map(|token| token.as_bytes() == call.token.as_bytes());
        Ok(Response {
            status: head.status,
            headers: head.headers,
            body,
            latency: start.elapsed(),
            entry,
            token_matches,
        })
    }

    /// Removes the cached address list of a service.
    pub fn invalidate_addresses(&self, service: &str) {
        self.cache().remove(service);
    }

    fn key_with_prefix(&self, entry: &EntryAddress) -> Option<String> {
        let prefix = entry.key_prefix.as_ref()?;
        let sequence = self.shared.sequence.fetch_add(1, Ordering::Relaxed);
        Some(format!("{prefix}.{sequence}"))
    }

    async fn addresses(&self, service: &str) -> Result<AddressList, Error> {
        if let Some(cached) = self.cache().get(service)
            && cached.expires > Instant::now()
        {
            return Ok(cached.list.clone());
        }
        let offset = rand::random::<u32>() as usize;
        let count = self.shared.discovery.len();
        for step in 0..count {
            let admin = self.shared.discovery[(offset + step) % count];
            if let Some(addresses) = self.fetch_addresses(admin, service).await {
                let expires = Instant::now() + Duration::from_millis(addresses.ttl_ms);
                let cached = CachedList {
                    list: addresses.clone(),
                    expires,
                };
                self.cache().insert(service.to_owned(), cached);
                return Ok(addresses);
            }
        }
        Err(Error::NoAddress)
    }

    async fn fetch_addresses(&self, admin: SocketAddr, service: &str) -> Option<AddressList> {
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
        let addresses: AddressList = serde_json::from_slice(&body).ok()?;
        (!addresses.entries.is_empty()).then_some(addresses)
    }

    fn cache(&self) -> std::sync::MutexGuard<'_, HashMap<String, CachedList>> {
        self.shared
            .cache
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
