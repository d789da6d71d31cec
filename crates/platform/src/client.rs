//! The client and its calls.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::RngExt;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::error::{Cause, Error};
use crate::instance::Listed;
use crate::table::{Commit, Conflict, Row, Transaction};

/// Attempts of a call that is safe to repeat, the first included.
const ATTEMPTS: u32 = 3;

/// Longest pause before the first repeat; doubles with each further one.
const BACKOFF: Duration = Duration::from_millis(20);

/// How to reach the platform.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address of the platform's HTTP service.
    pub address: SocketAddr,
    /// Time within which a call must be answered.
    pub timeout: Duration,
}

/// Client of the platform; cheap to clone.
#[derive(Debug, Clone)]
pub struct Client {
    settings: Settings,
    http: hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>,
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
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(settings.timeout));
        connector.set_nodelay(true);
        let http = hyper_util::client::legacy::Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(10))
            .build(connector);
        Self { settings, http }
    }

    /// Reads a row; `None` when it is absent.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached or misbehaves.
    pub async fn read(&self, key: &str) -> Result<Option<Row>, Error> {
        let (status, body) = self
            .repeat(Method::GET, &format!("/table/rows/{key}"))
            .await?;
        match status {
            StatusCode::OK => parse(&body).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            other => Err(unexpected(other)),
        }
    }

    /// Reads at most `limit` rows whose keys start with `prefix` and follow
    /// `after`, in key order.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached or misbehaves.
    pub async fn scan(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<Row>, Error> {
        let path = format!("/table/scan?prefix={prefix}&after={after}&limit={limit}");
        let (status, body) = self.repeat(Method::GET, &path).await?;
        match status {
            StatusCode::OK => parse::<Rows>(&body).map(|answer| answer.rows),
            other => Err(unexpected(other)),
        }
    }

    /// Runs a transaction. It is sent once only.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] when a condition did not hold, [`Error::Unknown`]
    /// when it may have taken effect.
    pub async fn transact(&self, transaction: &Transaction) -> Result<Commit, Error> {
        let body = serde_json::to_vec(transaction)
            .map_err(|error| Error::Protocol(Cause::Malformed(error)))?;
        let (status, body) = self
            .call(Method::POST, "/table/transact", Bytes::from(body))
            .await
            .map_err(unknown_once_sent)?;
        match status {
            StatusCode::OK => parse(&body),
            StatusCode::CONFLICT => Err(Error::Conflict(parse::<Conflicts>(&body)?.conflicts)),
            other => Err(unexpected(other)),
        }
    }

    /// Writes a whole object.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached or misbehaves.
    pub async fn put_object(&self, name: &str, body: Bytes) -> Result<(), Error> {
        let (status, _) = self
            .call(Method::PUT, &format!("/objects/{name}"), body)
            .await
            .map_err(unknown_once_sent)?;
        match status {
            StatusCode::OK | StatusCode::CREATED | StatusCode::NO_CONTENT => Ok(()),
            other => Err(unexpected(other)),
        }
    }

    /// Reads a whole object; `None` when it is absent.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached or misbehaves.
    pub async fn get_object(&self, name: &str) -> Result<Option<Bytes>, Error> {
        let (status, body) = self
            .repeat(Method::GET, &format!("/objects/{name}"))
            .await?;
        match status {
            StatusCode::OK => Ok(Some(body)),
            StatusCode::NOT_FOUND => Ok(None),
            other => Err(unexpected(other)),
        }
    }

    /// Reads the instance list, which may lag.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached or misbehaves.
    pub async fn instances(&self) -> Result<Vec<Listed>, Error> {
        let (status, body) = self.repeat(Method::GET, "/instances").await?;
        match status {
            StatusCode::OK => parse::<Instances>(&body).map(|answer| answer.instances),
            other => Err(unexpected(other)),
        }
    }

    async fn repeat(&self, method: Method, path: &str) -> Result<(StatusCode, Bytes), Error> {
        let mut backoff = BACKOFF;
        for _ in 1..ATTEMPTS {
            match self.call(method.clone(), path, Bytes::new()).await {
                Ok((status, _)) if status.is_server_error() => {}
                Err(Cause::Connection(_) | Cause::Body(_)) => {}
                // A timeout already cost the whole time that a caller waits.
                Ok(answer) => return Ok(answer),
                Err(cause) => return Err(Error::Unavailable(cause)),
            }
            let pause = rand::rng().random_range(Duration::ZERO..backoff);
            tokio::time::sleep(pause).await;
            backoff *= 2;
        }
        self.call(method, path, Bytes::new())
            .await
            .map_err(Error::Unavailable)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), Cause> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.settings.address))
            .body(Full::new(body))?;
        let exchange = async {
            let response = self.http.request(request).await?;
            let status = response.status();
            let body = response.into_body().collect().await?.to_bytes();
            Ok((status, body))
        };
        // Dropping the exchange closes its connection, so a connection that
        // went silent is not used again.
        tokio::time::timeout(self.settings.timeout, exchange)
            .await
            .unwrap_or(Err(Cause::TimedOut(self.settings.timeout.as_millis())))
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(body).map_err(|error| Error::Protocol(Cause::Malformed(error)))
}

fn unexpected(status: StatusCode) -> Error {
    let cause = Cause::Status(status.as_u16());
    if status == StatusCode::SERVICE_UNAVAILABLE {
        Error::Unavailable(cause)
    } else {
        Error::Protocol(cause)
    }
}

fn unknown_once_sent(cause: Cause) -> Error {
    match &cause {
        Cause::Connection(error) if error.is_connect() => Error::Unavailable(cause),
        Cause::Request(_) => Error::Protocol(cause),
        _ => Error::Unknown(cause),
    }
}
