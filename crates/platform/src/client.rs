//! Client of the platform.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use tokio::time::Instant;

use crate::backend::{Backend, CallFuture, Range};
use crate::error::{Cause, Error};
use crate::instance::Member;
use crate::metrics::{Call, Metrics};
use crate::table::{Commit, Row, Transaction};

/// Maximum number of attempts of a call that is safe to retry, the first
/// included.
const MAX_ATTEMPTS: u32 = 3;

/// Maximum delay before the first retry; doubles with each further retry.
const MAX_FIRST_BACKOFF: Duration = Duration::from_millis(20);

/// HTTP status of an unavailable platform, which did not process the call.
const STATUS_UNAVAILABLE: u16 = 503;

/// Client of the platform; cheap to clone.
#[derive(Debug, Clone)]
pub struct Client {
    backend: Arc<dyn Backend>,
    /// Time limit of a call, its retries included.
    timeout: Duration,
    metrics: Option<Metrics>,
}

impl Client {
    /// Creates a client whose calls fail unless they are answered within
    /// `timeout`, their retries included.
    #[must_use]
    pub fn open(backend: Arc<dyn Backend>, timeout: Duration) -> Self {
        Self {
            backend,
            timeout,
            metrics: None,
        }
    }

    /// Returns the client with metrics of its calls.
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
    /// Fails when the platform can't be reached or violates its protocol.
    pub async fn read(&self, key: &str) -> Result<Option<Row>, Error> {
        let range = Range::of_key(key);
        let rows = self.call_with_retries(Call::Read, || self.backend.rows(range.clone()));
        Ok(rows.await?.into_iter().next())
    }

    /// Reads at most `limit` rows whose keys start with `prefix` and follow
    /// `after`, in key order. The platform may return fewer than `limit`; only
    /// an empty answer means that no row is left.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached or violates its protocol.
    pub async fn scan(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<Row>, Error> {
        let range = Range::of_prefix(prefix, after, limit);
        let rows = self.call_with_retries(Call::Scan, || self.backend.rows(range.clone()));
        rows.await
    }

    /// Runs a transaction, which is sent only once.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] when a condition was not met, [`Error::Unknown`] when
    /// the transaction may have taken effect. With any other error it had no
    /// effect.
    pub async fn transact(&self, transaction: &Transaction) -> Result<Commit, Error> {
        let call = self.backend.transact(transaction.clone());
        self.observe(Call::Transact, async {
            self.call_once(call).await?.map_err(Error::Conflict)
        })
        .await
    }

    /// Writes a whole object, which is sent only once.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] when the write may have taken effect. With any other
    /// error it had no effect.
    pub async fn put_object(&self, name: &str, body: Bytes) -> Result<(), Error> {
        let call = self.backend.put_object(name.to_owned(), body);
        self.observe(Call::PutObject, self.call_once(call)).await
    }

    /// Reads a whole object; `None` when it is absent.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached or violates its protocol.
    pub async fn get_object(&self, name: &str) -> Result<Option<Bytes>, Error> {
        self.call_with_retries(Call::GetObject, || self.backend.get_object(name.to_owned()))
            .await
    }

    /// Reads the instance list, which may be out of date.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached or violates its protocol.
    pub async fn instances(&self) -> Result<Vec<Member>, Error> {
        self.call_with_retries(Call::Instances, || self.backend.instances())
            .await
    }

    /// Makes a call that is safe to retry, with at most [`MAX_ATTEMPTS`] attempts
    /// within the timeout. An attempt is retried when its connection failed or
    /// the platform answered with a server error.
    async fn call_with_retries<T>(
        &self,
        call: Call,
        attempt: impl Fn() -> CallFuture<T>,
    ) -> Result<T, Error> {
        let deadline = Instant::now() + self.timeout;
        self.observe(call, async {
            let mut backoff = MAX_FIRST_BACKOFF;
            for _ in 1..MAX_ATTEMPTS {
                match self.call_within(deadline, attempt()).await {
                    Err(Cause::Unreachable(_) | Cause::Lost(_) | Cause::Status(500..)) => {}
                    result => return result.map_err(read_error),
                }
                let delay = rand::rng().random_range(Duration::ZERO..backoff);
                tokio::time::sleep(delay).await;
                backoff *= 2;
            }
            let last = self.call_within(deadline, attempt()).await;
            last.map_err(read_error)
        })
        .await
    }

    /// Makes a call that must not be retried.
    async fn call_once<T>(&self, call: CallFuture<T>) -> Result<T, Error> {
        let deadline = Instant::now() + self.timeout;
        self.call_within(deadline, call).await.map_err(write_error)
    }

    async fn call_within<T>(&self, deadline: Instant, call: CallFuture<T>) -> Result<T, Cause> {
        tokio::time::timeout_at(deadline, call)
            .await
            .unwrap_or_else(|_| Err(Cause::TimedOut(self.timeout.as_millis())))
    }

    async fn observe<T>(
        &self,
        call: Call,
        future: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        let start = Instant::now();
        let result = future.await;
        if let Some(metrics) = &self.metrics {
            metrics.observe(call, result.as_ref().err(), start.elapsed());
        }
        if let Err(error) = &result {
            log::debug!(target: "platform", "call {call} failed: {error}");
        }
        result
    }
}

fn read_error(cause: Cause) -> Error {
    match cause {
        Cause::Unreachable(_)
        | Cause::Lost(_)
        | Cause::TimedOut(_)
        | Cause::RateLimited
        | Cause::Status(500..) => Error::Unavailable(cause),
        _ => Error::Protocol(cause),
    }
}

/// Returns the error of a write. Nothing was written if the connection could not
/// be opened, the call was invalid, or the status is 503, 429 or another client
/// error; in all other cases the outcome is unknown.
fn write_error(cause: Cause) -> Error {
    match cause {
        Cause::Unreachable(_) | Cause::RateLimited | Cause::Status(STATUS_UNAVAILABLE) => {
            Error::Unavailable(cause)
        }
        Cause::Invalid(_) | Cause::Status(400..=499) => Error::Protocol(cause),
        _ => Error::Unknown(cause),
    }
}
