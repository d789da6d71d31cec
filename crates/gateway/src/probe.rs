//! Probes of targets.

use std::time::Duration;

use bytes::Bytes;
use carobdrift_http1::{Response, encode_request};
use carobdrift_placement::Endpoint;
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Method};

use crate::gateway::Gateway;
use crate::upstream::Upstream;

/// Timeout of a probe. A later answer is of no use to the request that waits for
/// it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(40);

/// Size from which the body of a response to a probe is not read.
const MAX_BODY_BYTES: usize = 16 * 1024;

/// Outcome of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The target reported its load.
    Load,
    /// The target answered without reporting its load.
    NoLoad,
    /// The target refused the probe, as it refuses requests while it is full.
    Refused,
    /// The connection ended without a valid answer, or the answer is too large to be read.
    Broken,
    /// The target can't be reached, or another target has its address.
    Unreachable,
    /// The target did not answer in time.
    TimedOut,
}

impl Outcome {
    fn as_str(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::NoLoad => "no-load",
            Self::Refused => "refused",
            Self::Broken => "broken",
            Self::Unreachable => "unreachable",
            Self::TimedOut => "timed-out",
        }
    }
}

impl Gateway {
    /// Requests the load of a target over a connection that the next request to
    /// the target can reuse.
    pub(crate) async fn probe(&self, endpoint: &Endpoint, path: &str) -> Outcome {
        let result = tokio::time::timeout(PROBE_TIMEOUT, self.request_load(endpoint, path)).await;
        let outcome = result.unwrap_or(Outcome::TimedOut);
        self.metrics
            .probes
            .with_label_values(&[outcome.as_str()])
            .inc();
        match outcome {
            Outcome::Load | Outcome::NoLoad => {}
            Outcome::Unreachable => {
                self.mark_unreachable(endpoint, "probe", &"no answer of this target");
                self.upstreams.remove(&endpoint.id);
            }
            Outcome::Refused => {
                self.services.with_pool(&endpoint.service, |pool, now| {
                    pool.record_refused_probe(&endpoint.id, now);
                });
            }
            Outcome::Broken | Outcome::TimedOut => {
                log::debug!(
                    target: "target",
                    "event=unanswered target={} result={}",
                    endpoint.id, outcome.as_str()
                );
                self.services.with_pool(&endpoint.service, |pool, _| {
                    pool.record_unanswered_probe(&endpoint.id);
                });
            }
        }
        outcome
    }

    fn is_refusal(&self, response: &Response) -> bool {
        self.dialect
            .is_not_executed(response.status, &response.headers)
    }

    async fn request_load(&self, endpoint: &Endpoint, path: &str) -> Outcome {
        let mut headers = HeaderMap::new();
        if let Ok(host) = HeaderValue::try_from(endpoint.address.to_string()) {
            headers.insert(HOST, host);
        }
        let bytes = encode_request(&Method::GET, path, &headers, &[]).freeze();
        let kept = self.upstreams.take(endpoint, Duration::MAX);
        let reused = kept.is_some();
        let mut upstream = match kept {
            Some(upstream) => upstream,
            None => match self.upstreams.open(endpoint).await {
                Ok(upstream) => upstream,
                Err(_) => return Outcome::Unreachable,
            },
        };
        match self.read_load(endpoint, &mut upstream, bytes).await {
            Some(outcome) => {
                self.upstreams.put(endpoint, upstream);
                outcome
            }
            // The target may have closed the kept connection, which does not mean
            // that it is unreachable.
            None if reused => Outcome::Broken,
            None => Outcome::Unreachable,
        }
    }

    async fn read_load(
        &self,
        endpoint: &Endpoint,
        upstream: &mut Upstream,
        bytes: Bytes,
    ) -> Option<Outcome> {
        let mut sent = 0;
        let response = upstream
            .start(
                None,
                &Method::GET,
                bytes,
                MAX_BODY_BYTES,
                &mut sent,
                self.dialect.as_ref(),
            )
            .await
            .ok()?;
        if upstream.connection.is_within_response() {
            return Some(Outcome::Broken);
        }
        // A probe has no attempt id, so this is the response to another exchange.
        if self.dialect.attempt_id(&response.headers).is_some() {
            return None;
        }
        let responder = self.dialect.target_id(&response.headers);
        if responder.is_some_and(|id| id != endpoint.id.as_str()) {
            return Some(Outcome::Unreachable);
        }
        self.record_statements(endpoint, &response);
        self.services.with_pool(&endpoint.service, |pool, now| {
            pool.record_health(endpoint, now);
        });
        Some(match self.dialect.load(&response.headers) {
            Some(_) => Outcome::Load,
            None if self.is_refusal(&response) => Outcome::Refused,
            None => Outcome::NoLoad,
        })
    }
}
