//! Exchanges with the platform over HTTP/1.1.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::RngExt;
use tokio::time::Instant;

use crate::client::Settings;
use crate::error::Cause;

/// Attempts of a call that is safe to repeat, the first included.
const ATTEMPTS: u32 = 3;

/// Longest pause before the first repeat; doubles with each further one.
const BACKOFF: Duration = Duration::from_millis(20);

/// Time after which an idle connection is closed.
const IDLE: Duration = Duration::from_secs(10);

type Http = hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>;

/// Sends requests and keeps the connections.
#[derive(Debug, Clone)]
pub(crate) struct Transport {
    settings: Settings,
    pool: Arc<Mutex<Pool>>,
}

/// Connections that were opened since the last timeout.
#[derive(Debug)]
struct Pool {
    generation: u64,
    http: Http,
}

impl Transport {
    pub(crate) fn open(settings: Settings) -> Self {
        let pool = Pool {
            generation: 0,
            http: open_pool(settings.timeout),
        };
        Self {
            settings,
            pool: Arc::new(Mutex::new(pool)),
        }
    }

    /// Sends a request that is safe to repeat, at most [`ATTEMPTS`] times
    /// within the timeout. An attempt is repeated when its connection failed or
    /// the platform answered with a server error.
    pub(crate) async fn repeat(
        &self,
        method: Method,
        path: &str,
    ) -> Result<(StatusCode, Bytes), Cause> {
        let deadline = Instant::now() + self.settings.timeout;
        let mut backoff = BACKOFF;
        for _ in 1..ATTEMPTS {
            match self
                .attempt(deadline, method.clone(), path, Bytes::new())
                .await
            {
                Ok((status, _)) if status.is_server_error() => {}
                Err(Cause::Connection(_) | Cause::Body(_)) => {}
                answer => return answer,
            }
            let pause = rand::rng().random_range(Duration::ZERO..backoff);
            tokio::time::sleep(pause).await;
            backoff *= 2;
        }
        self.attempt(deadline, method, path, Bytes::new()).await
    }

    /// Sends a request once.
    pub(crate) async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), Cause> {
        let deadline = Instant::now() + self.settings.timeout;
        self.attempt(deadline, method, path, body).await
    }

    async fn attempt(
        &self,
        deadline: Instant,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), Cause> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.settings.address))
            .body(Full::new(body))?;
        let (generation, http) = {
            let pool = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
            (pool.generation, pool.http.clone())
        };
        let exchange = async {
            let response = http.request(request).await?;
            let status = response.status();
            let body = response.into_body().collect().await?.to_bytes();
            Ok((status, body))
        };
        let Ok(result) = tokio::time::timeout_at(deadline, exchange).await else {
            self.replace(generation);
            return Err(Cause::TimedOut(self.settings.timeout.as_millis()));
        };
        result
    }

    /// Gives up all connections of a generation. Connections that go silent do
    /// so together as a rule, and each one left in the pool costs another call
    /// its whole timeout.
    fn replace(&self, generation: u64) {
        let mut pool = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
        if pool.generation == generation {
            pool.generation += 1;
            pool.http = open_pool(self.settings.timeout);
        }
    }
}

fn open_pool(timeout: Duration) -> Http {
    let mut connector = HttpConnector::new();
    // Shorter than a call, so that a connection that does not open is told
    // apart from a request that is not answered.
    connector.set_connect_timeout(Some(timeout / 2));
    connector.set_nodelay(true);
    hyper_util::client::legacy::Client::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE)
        .build(connector)
}
