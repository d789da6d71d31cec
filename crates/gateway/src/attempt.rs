//! One attempt of a request on a target.

use std::sync::Arc;
use std::time::Duration;

use carobdrift_http1::{Connection, ExchangeError, Response, encode_request};
use carobdrift_placement::Outcome;
use tokio::time::Instant;

use crate::call::Call;
use crate::gateway::Gateway;
use crate::place::Placement;

/// Idle time up to which a kept connection takes a request that must run only
/// once. After a reset of an older one its outcome would be unknown.
const PROVEN: Duration = Duration::from_millis(1500);

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum Ended {
    /// The target answered.
    Answered(Response),
    /// The target stated that it did not execute the request.
    NotExecuted,
    /// No byte was sent.
    NotSent,
    /// The target may have run the request; there is no whole answer.
    Broken(&'static str),
    /// The target takes no requests any more, so nothing was sent.
    Withdrawn,
}

impl Ended {
    pub(crate) fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(response) if response.status.is_server_error() => "server-error",
            Self::Answered(_) => "answered",
            Self::NotExecuted => "not-executed",
            Self::NotSent => "not-sent",
            Self::Broken(reason) => reason,
            Self::Withdrawn => "withdrawn",
        }
    }
}

impl Gateway {
    /// Sends a request to the target on which it was placed.
    pub(crate) async fn attempt(self: &Arc<Self>, call: &Arc<Call>, placed: Placement) -> Ended {
        let endpoint = placed.endpoint.clone();
        let begin = Instant::now();
        let ended = self.send(call, &placed).await;
        let outcome = match &ended {
            Ended::Answered(response) if response.status.is_server_error() => Outcome::Failure,
            Ended::Answered(_) => Outcome::Success,
            Ended::NotExecuted => Outcome::Refused,
            Ended::NotSent | Ended::Broken(_) => Outcome::Failure,
            Ended::Withdrawn => Outcome::Cancelled,
        };
        placed.end(outcome);
        self.metrics
            .attempts
            .with_label_values(&[call.service.as_str(), ended.as_str()])
            .inc();
        if !matches!(ended, Ended::Answered(_)) {
            log::info!(
                target: "attempt",
                "event=failed id={} target={} result={} ms={} version={}",
                call.id.as_deref().unwrap_or("-"),
                endpoint.id,
                ended.as_str(),
                begin.elapsed().as_millis(),
                call.version
            );
        }
        ended
    }

    async fn send(self: &Arc<Self>, call: &Arc<Call>, placed: &Placement) -> Ended {
        let endpoint = &placed.endpoint;
        let max_idle = if call.is_idempotent() {
            Duration::MAX
        } else {
            PROVEN
        };
        let mut kept = self.upstreams.take(endpoint, max_idle);
        loop {
            let reused = kept.is_some();
            let mut connection = match kept.take() {
                Some(connection) => connection,
                None => match self.upstreams.open(endpoint).await {
                    Ok(connection) => connection,
                    Err(error) => {
                        self.note_unreachable(endpoint, "request", &error);
                        return Ended::NotSent;
                    }
                },
            };
            // Opening a connection takes time, and so does a suspension.
            if !self.takes(endpoint) {
                self.upstreams.put(endpoint, connection);
                return Ended::Withdrawn;
            }
            match self.exchange(call, placed, &mut connection).await {
                Ok(ended) => {
                    self.upstreams.put(endpoint, connection);
                    return ended;
                }
                Err(error) => {
                    log::info!(
                        target: "attempt",
                        "event=no-answer id={} target={} connection={} sent={} error=\"{}\"",
                        call.id.as_deref().unwrap_or("-"),
                        endpoint.id,
                        if reused { "kept" } else { "new" },
                        error.sent,
                        error.cause
                    );
                    match error.sent {
                        // The target closed the kept connection before any
                        // byte of this request went out.
                        0 if reused => {}
                        0 => return Ended::NotSent,
                        _ => return Ended::Broken("broken"),
                    }
                }
            }
        }
    }

    /// Runs the exchange.
    async fn exchange(
        &self,
        call: &Call,
        placed: &Placement,
        connection: &mut Connection,
    ) -> Result<Ended, ExchangeError> {
        let endpoint = &placed.endpoint;
        let mut headers = call.headers.clone();
        self.dialect
            .set_target_headers(&mut headers, call.left(), &endpoint.id);
        let bytes = encode_request(&call.method, &call.target, &headers, &call.body);
        call.begin_dispatch();
        let mut sent = 0;
        let result = connection.exchange(&call.method, &bytes, &mut sent).await;
        if sent == 0 {
            call.undo_dispatch();
        }
        let response = result?;
        if let Some(load) = self.dialect.load(&response.headers) {
            self.services.report(endpoint, load);
        }
        let echoed = self.dialect.attempt_id(&response.headers);
        let foreign = echoed.is_some() && echoed != call.id.as_deref();
        if !foreign
            && self
                .dialect
                .is_not_executed(response.status, &response.headers)
        {
            call.undo_dispatch();
            return Ok(Ended::NotExecuted);
        }
        if echoed.is_none() || foreign {
            return Ok(Ended::Broken("foreign-answer"));
        }
        if !self.dialect.is_signed(&response.headers) && response.status.is_success() {
            return Ok(Ended::Broken("unsigned-answer"));
        }
        Ok(Ended::Answered(response))
    }
}
