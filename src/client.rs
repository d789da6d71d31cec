//! Client of the administration API.

use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use bytes::Bytes;
use carobdrift_units::Millis;
use clap::Args;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

/// Largest size of a response body.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Connection settings of the administration API.
#[derive(Debug, Args)]
pub(crate) struct Settings {
    /// Addresses of the administration API of entries, separated by commas; if
    /// connecting to one fails, the next one is used
    #[arg(
        long,
        env = "CAROBDRIFT_API",
        value_name = "IP:PORT",
        value_delimiter = ',',
        required = true
    )]
    api: Vec<SocketAddr>,

    /// Bearer token of a team or of the operator; prefer the environment
    /// variable, because other users of the machine may see command lines
    #[arg(
        long,
        env = "CAROBDRIFT_API_TOKEN",
        value_name = "TOKEN",
        hide_env_values = true
    )]
    api_token: Option<Token>,

    /// Timeout of each call in milliseconds; accepting an edit takes up to 2 s if
    /// entries of the cell don't respond
    #[arg(
        long,
        env = "CAROBDRIFT_API_TIMEOUT_MS",
        value_name = "MS",
        default_value = "10000"
    )]
    api_timeout_ms: Millis,
}

/// Bearer token. Its text is never printed.
#[derive(Clone)]
struct Token(String);

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token")
    }
}

impl FromStr for Token {
    type Err = Infallible;

    /// Accepts any text, because the argument parser prints rejected values.
    /// [`Token::header`] validates the token.
    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(Self(text.to_owned()))
    }
}

impl Token {
    fn header(&self) -> Result<HeaderValue, TokenError> {
        if self.0.is_empty() || !self.0.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(TokenError);
        }
        let mut value =
            HeaderValue::try_from(format!("Bearer {}", self.0)).map_err(|_| TokenError)?;
        value.set_sensitive(true);
        Ok(value)
    }
}

/// Error for an invalid token. The message does not contain the token.
#[derive(Debug, Error)]
#[error("the API token must not be empty and must have only visible ASCII characters")]
pub(crate) struct TokenError;

/// Error of a call without a usable response.
#[derive(Debug, Error)]
pub(crate) enum Error {
    /// No connection could be opened; the call did not reach any entry.
    #[error("could not connect to {address}: {source}")]
    Connect {
        address: SocketAddr,
        source: hyper_util::client::legacy::Error,
    },
    /// The connection failed after the call may have been sent.
    #[error("the connection to {address} failed: {source}")]
    Broken {
        address: SocketAddr,
        source: hyper_util::client::legacy::Error,
    },
    /// The response body is incomplete or too large.
    #[error("could not read the response of {address}: {source}")]
    Body {
        address: SocketAddr,
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The entry did not respond in time.
    #[error("{address} did not respond within {timeout} ms")]
    TimedOut {
        address: SocketAddr,
        timeout: Millis,
    },
    /// The response is not the expected JSON.
    #[error("{address} answered with status {status} and an unexpected body: {source}")]
    Malformed {
        address: SocketAddr,
        status: StatusCode,
        source: serde_json::Error,
    },
    /// The request could not be built.
    #[error("could not build the request: {0}")]
    Request(#[from] http::Error),
    /// The API rejected the call.
    #[error("{0}")]
    Refused(Box<Refusal>),
}

/// Error response of the API.
#[derive(Debug, Deserialize)]
pub(crate) struct Refusal {
    #[serde(skip)]
    pub(crate) status: StatusCode,
    /// Kind of the refusal, such as `conflict`.
    #[serde(alias = "error_code")]
    pub(crate) error: Option<String>,
    /// Description of the refusal for the user.
    pub(crate) message: String,
    #[serde(default)]
    pub(crate) current_version: Option<u64>,
    #[serde(default)]
    pub(crate) faults: Vec<Fault>,
}

/// Fault of a document as the API reports it.
#[derive(Debug, Deserialize)]
pub(crate) struct Fault {
    pub(crate) path: String,
    pub(crate) problem: String,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = self.error.as_deref().unwrap_or("refused");
        write!(f, "{kind} ({}): {}", self.status.as_u16(), self.message)
    }
}

/// Client of the administration API.
pub(crate) struct Client {
    settings: Settings,
    authorization: Option<HeaderValue>,
    http: hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client, which opens connections on demand.
    ///
    /// # Errors
    ///
    /// Returns an error if the token is invalid.
    pub(crate) fn open(settings: Settings) -> Result<Self, TokenError> {
        let authorization = settings.api_token.as_ref().map(Token::header);
        let http = hyper_util::client::legacy::Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build_http();
        Ok(Self {
            settings,
            authorization: authorization.transpose()?,
            http,
        })
    }

    /// Reads a resource from the first entry that answers.
    pub(crate) async fn get(&self, path: &str) -> Result<Value, Error> {
        self.call(&Method::GET, path, &Bytes::new()).await
    }

    /// Sends a document to the first entry to which a connection can be opened.
    pub(crate) async fn put(&self, path: &str, body: &Bytes) -> Result<Value, Error> {
        self.call(&Method::PUT, path, body).await
    }

    async fn call(&self, method: &Method, path: &str, body: &Bytes) -> Result<Value, Error> {
        let mut addresses = self.settings.api.iter().peekable();
        loop {
            // The argument parser requires at least one address.
            let address = *addresses.next().unwrap_or(&self.settings.api[0]);
            let is_last = addresses.peek().is_none();
            match self.call_one(address, method, path, body).await {
                Err(Error::Connect { .. }) if !is_last => {}
                Err(Error::TimedOut { .. } | Error::Broken { .. } | Error::Body { .. })
                    if !is_last && method.is_safe() => {}
                result => return result,
            }
        }
    }

    async fn call_one(
        &self,
        address: SocketAddr,
        method: &Method,
        path: &str,
        body: &Bytes,
    ) -> Result<Value, Error> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(CONTENT_TYPE, "application/json");
        if let Some(value) = &self.authorization {
            request = request.header(AUTHORIZATION, value);
        }
        let request = request.body(Full::new(body.clone()))?;
        let exchange = async {
            let response = self.http.request(request).await.map_err(|source| {
                if source.is_connect() {
                    Error::Connect { address, source }
                } else {
                    Error::Broken { address, source }
                }
            })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
                .collect()
                .await
                .map_err(|source| Error::Body { address, source })?;
            Ok((status, body.to_bytes()))
        };
        let timeout = self.settings.api_timeout_ms;
        let (status, bytes) = tokio::time::timeout(timeout.duration(), exchange)
            .await
            .unwrap_or(Err(Error::TimedOut { address, timeout }))?;
        let malformed = |source| Error::Malformed {
            address,
            status,
            source,
        };
        if status.is_success() {
            return serde_json::from_slice(&bytes).map_err(malformed);
        }
        let mut refusal: Refusal = serde_json::from_slice(&bytes).map_err(malformed)?;
        refusal.status = status;
        Err(Error::Refused(Box::new(refusal)))
    }
}
