//! The client and its calls.

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

/// Attempts of a call that is safe to repeat, the first included.
const ATTEMPTS: u32 = 3;

/// Longest pause before the first repeat; doubles with each further one.
const BACKOFF: Duration = Duration::from_millis(20);

/// Status of a platform that is unavailable; nothing was done.
const UNAVAILABLE: u16 = 503;

/// Client of the platform; cheap to clone.
#[derive(Debug, Clone)]
pub struct Client {
    backend: Arc<dyn Backend>,
    /// Time within which a call must be answered, its repeats included.
    timeout: Duration,
    metrics: Option<Metrics>,
}

impl Client {
    /// Opens a client whose calls are answered within `timeout`, their repeats
    /// included, or fail.
    #[must_use]
    pub fn open(backend: Arc<dyn Backend>, timeout: Duration) -> Self {
        Self {
            backend,
            timeout,
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
        let range = Range::of_key(key);
        let rows = self.repeat(Call::Read, || self.backend.rows(range.clone()));
        Ok(rows.await?.into_iter().next())
    }

    /// Reads at most `limit` rows whose keys start with `prefix` and follow
    /// `after`, in key order. The platform may return fewer than `limit`; only
    /// an empty answer means that no row is left.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached or misbehaves.
    pub async fn scan(&self, prefix: &str, after: &str, limit: u32) -> Result<Vec<Row>, Error> {
        let range = Range::of_prefix(prefix, after, limit);
        let rows = self.repeat(Call::Scan, || self.backend.rows(range.clone()));
        rows.await
    }

    /// Runs a transaction. It is sent once only.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] when a condition did not hold, [`Error::Unknown`]
    /// when it may have taken effect; otherwise it did not.
    pub async fn transact(&self, transaction: &Transaction) -> Result<Commit, Error> {
        let call = self.backend.transact(transaction.clone());
        self.observe(Call::Transact, async {
            self.once(call).await?.map_err(Error::Conflict)
        })
        .await
    }

    /// Writes a whole object. It is sent once only.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] when it may have taken effect; otherwise it did not.
    pub async fn put_object(&self, name: &str, body: Bytes) -> Result<(), Error> {
        let call = self.backend.put_object(name.to_owned(), body);
        self.observe(Call::PutObject, self.once(call)).await
    }

    /// Reads a whole object; `None` when it is absent.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached or misbehaves.
    pub async fn get_object(&self, name: &str) -> Result<Option<Bytes>, Error> {
        self.repeat(Call::GetObject, || self.backend.get_object(name.to_owned()))
            .await
    }

    /// Reads the instance list, which may lag.
    ///
    /// # Errors
    ///
    /// Fails when the platform can't be reached or misbehaves.
    pub async fn instances(&self) -> Result<Vec<Member>, Error> {
        self.repeat(Call::Instances, || self.backend.instances())
            .await
    }

    /// Makes a call that is safe to repeat, at most [`ATTEMPTS`] times within
    /// the timeout. An attempt is repeated when its connection failed or the
    /// platform answered with a server error.
    async fn repeat<T>(&self, call: Call, attempt: impl Fn() -> CallFuture<T>) -> Result<T, Error> {
        let deadline = Instant::now() + self.timeout;
        self.observe(call, async {
            let mut backoff = BACKOFF;
            for _ in 1..ATTEMPTS {
                match self.within(deadline, attempt()).await {
                    Err(Cause::Unreachable(_) | Cause::Lost(_) | Cause::Status(500..)) => {}
                    answer => return answer.map_err(read_failure),
                }
                let pause = rand::rng().random_range(Duration::ZERO..backoff);
                tokio::time::sleep(pause).await;
                backoff *= 2;
            }
            let last = self.within(deadline, attempt()).await;
            last.map_err(read_failure)
        })
        .await
    }

    /// Makes a call that must not be repeated.
    async fn once<T>(&self, call: CallFuture<T>) -> Result<T, Error> {
        let deadline = Instant::now() + self.timeout;
        self.within(deadline, call).await.map_err(write_failure)
    }

    async fn within<T>(&self, deadline: Instant, call: CallFuture<T>) -> Result<T, Cause> {
        tokio::time::timeout_at(deadline, call)
            .await
            .unwrap_or_else(|_| Err(Cause::TimedOut(self.timeout.as_millis())))
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

fn read_failure(cause: Cause) -> Error {
    match cause {
        Cause::Unreachable(_)
        | Cause::Lost(_)
        | Cause::TimedOut(_)
        | Cause::RateLimited
        | Cause::Status(500..) => Error::Unavailable(cause),
        _ => Error::Protocol(cause),
    }
}

/// Failure of a write. Only 503, 429 and the client errors say that nothing was
/// written.
fn write_failure(cause: Cause) -> Error {
    match cause {
        Cause::Unreachable(_) | Cause::RateLimited | Cause::Status(UNAVAILABLE) => {
            Error::Unavailable(cause)
        }
        Cause::Invalid(_) | Cause::Status(400..=499) => Error::Protocol(cause),
        _ => Error::Unknown(cause),
    }
}
