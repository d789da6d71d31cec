//! Probes of targets.

use std::time::Duration;

use carobdrift_http1::{Connection, encode_request};
use carobdrift_placement::Endpoint;
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Method};

use crate::gateway::Gateway;

/// Time for the answer to a probe. A probe that takes longer is of no use for
/// the request that waits for it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(40);

/// Result of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Probed {
    /// The target stated its load.
    Load,
    /// It answered without a load.
    Silent,
    /// It can't be reached, or another target has its address.
    Unreachable,
    /// It gave no answer in time.
    TimedOut,
}

impl Probed {
    fn as_str(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::Silent => "no-load",
            Self::Unreachable => "unreachable",
            Self::TimedOut => "timed-out",
        }
    }
}

impl Gateway {
    /// Asks a target for its load over a connection that the next request to it
    /// can use.
    pub(crate) async fn probe(&self, endpoint: &Endpoint, path: &str) -> Probed {
        let result = tokio::time::timeout(PROBE_TIMEOUT, self.ask(endpoint, path)).await;
        let probed = result.unwrap_or(Probed::TimedOut);
        self.metrics
            .probes
            .with_label_values(&[probed.as_str()])
            .inc();
        match probed {
            Probed::Load => {}
            Probed::Unreachable => {
                self.note_unreachable(endpoint, "probe", &"no answer of this target");
                self.upstreams.remove(&endpoint.id);
            }
            Probed::Silent | Probed::TimedOut => {
                log::debug!(
                    target: "target",
                    "event=unanswered target={} result={}",
                    endpoint.id, probed.as_str()
                );
                self.services.with_pool(&endpoint.service, |pool, _| {
                    pool.record_unanswered_probe(&endpoint.id);
                });
            }
        }
        probed
    }

    async fn ask(&self, endpoint: &Endpoint, path: &str) -> Probed {
        let mut headers = HeaderMap::new();
        if let Ok(host) = HeaderValue::try_from(endpoint.address.to_string()) {
            headers.insert(HOST, host);
        }
        let bytes = encode_request(&Method::GET, path, &headers, &[]);
        let kept = self.upstreams.take(endpoint, Duration::MAX);
        let reused = kept.is_some();
        let mut connection = match kept {
            Some(connection) => connection,
            None => match self.upstreams.open(endpoint).await {
                Ok(connection) => connection,
                Err(_) => return Probed::Unreachable,
            },
        };
        match self.read_load(endpoint, &mut connection, &bytes).await {
            Some(probed) => {
                self.upstreams.put(endpoint, connection);
                probed
            }
            // A kept connection may have been closed by the target; that says
            // nothing of the target itself.
            None if reused => Probed::Silent,
            None => Probed::Unreachable,
        }
    }

    async fn read_load(
        &self,
        endpoint: &Endpoint,
        connection: &mut Connection,
        bytes: &[u8],
    ) -> Option<Probed> {
        let mut sent = 0;
        let response = connection
            .exchange(&Method::GET, bytes, &mut sent)
            .await
            .ok()?;
        let named = self.dialect.target_id(&response.headers);
        if named.is_some_and(|id| id != endpoint.id.as_str()) {
            return Some(Probed::Unreachable);
        }
        Some(match self.dialect.load(&response.headers) {
            Some(load) => {
                self.services.report(endpoint, load);
                Probed::Load
            }
            None => Probed::Silent,
        })
    }
}
