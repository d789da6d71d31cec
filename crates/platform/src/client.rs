//! The client and its calls.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use crate::error::{Cause, Error};
use crate::instance::Listed;
use crate::metrics::{Call, Metrics};
use crate::table::{Commit, Conflict, Row, Transaction};
use crate::transport::Transport;

/// Characters that are escaped in a key or name within a path.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'/')
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// How to reach the platform.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address of the platform's HTTP service.
    pub address: SocketAddr,
    /// Time within which a call must be answered, its repeats included.
    pub timeout: Duration,
}

/// Client of the platform; cheap to clone.
#[derive(Debug, Clone)]
pub struct Client {
    transport: Transport,
    metrics: Option<Metrics>,
}

#[derive(Deserialize)]
struct Rows {
    rows: Vec<Row>,
}

#[derive(Deserialize)]
struct Instances {
    instances: Vec<Listed>,
}

#[derive(Deserialize)]
struct Conflicts {
    conflicts: Vec<Conflict>,
}

impl Client {
    /// Opens a client; connections are opened on demand.
    #[must_use]
    pub fn open(settings: Settings) -> Self {
        Self {
            transport: Transport::open(settings),
            metrics: None,
        }
    }

    /// The same client, counting its calls.
    #[must_use]
    pub fn with_metrics(self, metrics: Metrics) -> Self {
        Self {
            metrics: Some(metrics),
            ..self
        }
    }

    /// Reads a row; `None` when it is absent.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached or misbehaves.
    pub async fn read(&self, key: &str) -> Result<Option<Row>, Error> {
        let path = format!("/table/rows/{}", escape(key));
        self.observe(Call::Read, async {
            match self.get(&path).await? {
                (StatusCode::OK, body) => parse(&body).map(Some),
                (StatusCode::NOT_FOUND, _) => Ok(None),
                (other, _) => Err(unexpected(other)),
            }
        })
        .await
    }

    /// Reads at most `limit` rows whose keys start with `prefix` and follow
    /// `after`, in key order. The platform may return fewer than `limit`; only
    /// an empty answer means that no row is left.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached or misbehaves.
    pub async fn scan(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<Row>, Error> {
        let path = format!(
            "/table/scan?prefix={}&after={}&limit={limit}",
            escape(prefix),
            escape(after)
        );
        self.observe(Call::Scan, async {
            match self.get(&path).await? {
                (StatusCode::OK, body) => parse::<Rows>(&body).map(|answer| answer.rows),
                (other, _) => Err(unexpected(other)),
            }
        })
        .await
    }

    /// Runs a transaction. It is sent once only.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] when a condition did not hold, [`Error::Unknown`]
    /// when it may have taken effect; otherwise it did not.
    pub async fn transact(&self, transaction: &Transaction) -> Result<Commit, Error> {
        let body = serde_json::to_vec(transaction)
            .map_err(|error| Error::Protocol(Cause::Malformed(error)))?;
        self.observe(Call::Transact, async {
            let (status, body) = self
                .write(Method::POST, "/table/transact", body.into())
                .await?;
            match status {
                // The status says that it took effect, so a body that can't be
                // read must not look like a refusal.
                StatusCode::OK => serde_json::from_slice(&body)
                    .map_err(|error| Error::Unknown(Cause::Malformed(error))),
                StatusCode::CONFLICT => Err(Error::Conflict(parse::<Conflicts>(&body)?.conflicts)),
                other => Err(refused(other)),
            }
        })
        .await
    }

    /// Writes a whole object. It is sent once only.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] when it may have taken effect; otherwise it did not.
    pub async fn put_object(&self, name: &str, body: Bytes) -> Result<(), Error> {
        let path = format!("/objects/{}", escape(name));
        self.observe(Call::PutObject, async {
            match self.write(Method::PUT, &path, body).await?.0 {
                StatusCode::OK | StatusCode::CREATED | StatusCode::NO_CONTENT => Ok(()),
                other => Err(refused(other)),
            }
        })
        .await
    }

    /// Reads a whole object; `None` when it is absent.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached or misbehaves.
    pub async fn get_object(&self, name: &str) -> Result<Option<Bytes>, Error> {
        let path = format!("/objects/{}", escape(name));
        self.observe(Call::GetObject, async {
            match self.get(&path).await? {
                (StatusCode::OK, body) => Ok(Some(body)),
                (StatusCode::NOT_FOUND, _) => Ok(None),
                (other, _) => Err(unexpected(other)),
            }
        })
        .await
    }

    /// Reads the instance list, which may lag.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached or misbehaves.
    pub async fn instances(&self) -> Result<Vec<Listed>, Error> {
        self.observe(Call::Instances, async {
            match self.get("/instances").await? {
                (StatusCode::OK, body) => parse::<Instances>(&body).map(|answer| answer.instances),
                (other, _) => Err(unexpected(other)),
            }
        })
        .await
    }

    async fn get(&self, path: &str) -> Result<(StatusCode, Bytes), Error> {
        let answer = self.transport.repeat(Method::GET, path).await;
        answer.map_err(Error::Unavailable)
    }

    async fn write(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), Error> {
        let answer = self.transport.send(method, path, body).await;
        answer.map_err(unknown_once_sent)
    }

    async fn observe<T>(
        &self,
        call: Call,
        running: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        let start = Instant::now();
        let result = running.await;
        if let Some(metrics) = &self.metrics {
            metrics.observe(call, result.as_ref().err(), start.elapsed());
        }
        if let Err(error) = &result {
            log::debug!(target: "platform", "call {call} failed: {error}");
        }
        result
    }
}

fn escape(text: &str) -> String {
    utf8_percent_encode(text, ESCAPED).to_string()
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|error| Error::Protocol(Cause::Malformed(error)))
}

/// Failure of a read that was answered with this status.
fn unexpected(status: StatusCode) -> Error {
    let cause = Cause::Status(status.as_u16());
    if status.is_server_error() {
        Error::Unavailable(cause)
    } else {
        Error::Protocol(cause)
    }
}

/// Failure of a write that was answered with this status. Only 503 and the
/// client errors say that nothing was written.
fn refused(status: StatusCode) -> Error {
    let cause = Cause::Status(status.as_u16());
    if status == StatusCode::SERVICE_UNAVAILABLE {
        Error::Unavailable(cause)
    } else if status.is_client_error() {
        Error::Protocol(cause)
    } else {
        Error::Unknown(cause)
    }
}

fn unknown_once_sent(cause: Cause) -> Error {
    match &cause {
        Cause::Connection(error) if error.is_connect() => Error::Unavailable(cause),
        Cause::Request(_) => Error::Protocol(cause),
        _ => Error::Unknown(cause),
    }
}
