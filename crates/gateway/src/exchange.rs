//! Processing of a request from routing to its response.

use std::sync::Arc;
use std::time::Duration;

use carobdrift_http1::{Request, Response};
use carobdrift_quota::Token;
use carobdrift_routing::host_name;
use carobdrift_units::Target;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use http::StatusCode;
use http::header::HOST;
use tokio::time::{Instant, timeout_at};

use crate::attempt::Completion;
use crate::call::{Call, Destination};
use crate::credential::Credential;
use crate::gateway::Gateway;
use crate::quota::{self, Permit, Spending};
use crate::refusal::Refusal;

/// Unsent attempts after which a request fails; they do not count towards the
/// attempt limit of the route.
const MAX_UNSENT: u32 = 4;

/// Shortest remaining time in which another attempt is of use.
const MIN_REMAINING: Duration = Duration::from_millis(30);

/// Response to a request with the outcome that is logged.
struct LoggedResponse {
    response: Response,
    outcome: &'static str,
}

/// Attempts of one request. Dropping the attempts before the request is logged
/// means that its caller has closed the connection, and logs that.
struct Attempts {
    call: Arc<Call>,
    logged: bool,
    running: FuturesUnordered<BoxFuture<'static, (Completion, Option<Token>)>>,
    /// Permission by the quota of the workspace, if it has one.
    permit: Option<Permit>,
    tried: Vec<Target>,
    /// Tried targets with the state by which they were chosen, for the log.
    choices: Vec<String>,
    /// Attempts that count towards the attempt limit of the route.
    sends: u32,
    unsent: u32,
    /// Server error that is delivered unless another attempt succeeds.
    fallback: Option<Response>,
}

impl Gateway {
    /// Serves a request and returns the response for the caller.
    pub(crate) async fn relay(self: Arc<Self>, request: Request) -> Response {
        self.count_request();
        let received = request.received;
        let id = self.dialect.attempt_id(&request.headers).map(str::to_owned);
        let routed = if self.stopped.is_cancelled() {
            Err(Refusal::Leaving)
        } else {
            self.route(request, id.clone())
        };
        let call = match routed {
            Ok(call) => Arc::new(call),
            Err(refusal) => {
                self.metrics
                    .record_request("-", refusal.as_str(), received.elapsed());
                log::info!(
                    target: "request",
                    "id={} outcome={} version={}",
                    id.as_deref().unwrap_or("-"), refusal.as_str(), self.version()
                );
                return refusal.response();
            }
        };
        let mut attempts = Attempts::new(Arc::clone(&call));
        let logged = match self.run_until_end(&call, &mut attempts).await {
            Ok(response) => LoggedResponse {
                response,
                outcome: "answered",
            },
            Err(refusal) => refuse(&call, refusal),
        };
        self.metrics
            .record_request(call.service.as_str(), logged.outcome, received.elapsed());
        attempts.log(logged.outcome, Some(logged.response.status));
        let mut response = logged.response;
        response.keep_alive = true;
        self.dialect.strip_internal(&mut response.headers);
        response
    }

    fn route(&self, mut request: Request, id: Option<String>) -> Result<Call, Refusal> {
        let table = self.table().ok_or(Refusal::Unready)?;
        let host = request
            .headers
            .get(HOST)
            .and_then(|host| host.to_str().ok());
        let route = host
            .and_then(|host| table.find(host_name(host), request.path()))
            .ok_or(Refusal::NoRoute)?;
        let credential = Credential::take(&mut request.headers, route, &table)?;
        let workspace = credential.as_ref().map(|c| c.workspace.name.as_str());
        self.dialect.set_workspace(&mut request.headers, workspace);
        let service = self
            .services
            .choose_service(route)
            .ok_or(Refusal::NoTarget)?;
        let settings = table.state().services.get(&service);
        let health_path = settings.map_or("/", |service| service.health_path.as_str());
        let deadline = self.dialect.deadline(&request.headers);
        let destination = Destination {
            route: Arc::clone(route),
            service,
            credential,
            health_path: health_path.to_owned(),
            version: table.state().version,
            timeout: deadline.unwrap_or(route.timeout),
        };
        Ok(Call::new(request, id, destination))
    }

    /// Waits until the quota of the workspace admits a request. Returns `None` if there
    /// is no quota.
    async fn admit(&self, call: &Call, admitted: &str) -> Result<Option<Permit>, Refusal> {
        let Some(key) = quota::key(call) else {
            return Ok(None);
        };
        let permit = self.quotas.admit(key, admitted).await;
        permit.map(Some).map_err(Refusal::OverQuota)
    }

    /// Runs the attempts of a request until the deadline of the request, or until the
    /// entry is about to end.
    async fn run_until_end(
        self: &Arc<Self>,
        call: &Arc<Call>,
        attempts: &mut Attempts,
    ) -> Result<Response, Refusal> {
        let result = tokio::select! {
            biased;
            result = timeout_at(call.deadline, self.run(call, attempts)) => result,
            () = self.ending.cancelled() => return attempts.interrupt(call),
        };
        result.unwrap_or_else(|_| {
            Err(if call.is_dispatched() {
                Refusal::TimedOut
            } else {
                // No time is left for another attempt of the caller.
                Refusal::Busy(Duration::ZERO)
            })
        })
    }

    async fn run(
        self: &Arc<Self>,
        call: &Arc<Call>,
        attempts: &mut Attempts,
    ) -> Result<Response, Refusal> {
        attempts.permit = self.admit(call, "admitted").await?;
        self.services.count_request(&call.service);
        let mut hedge_at = None;
        loop {
            if attempts.running.is_empty() {
                match self.place(call, &attempts.tried).await {
                    Ok(placement) => {
                        if !attempts.may_spend() {
                            // The token expired while the request waited for a target,
                            // or a repeat needs another one.
                            let admitted = if attempts.sends > 0 {
                                "repeated"
                            } else {
                                "renewed"
                            };
                            match self.admit(call, admitted).await {
                                Ok(permit) => attempts.permit = permit,
                                Err(refusal) => return attempts.finish(call, refusal),
                            }
                        }
                        if call.is_idempotent() && attempts.sends == 0 {
                            hedge_at =
                                Some(Instant::now() + self.services.estimate(&call.route).upper());
                        }
                        attempts.start(self, call, placement);
                    }
                    Err(refusal) => return attempts.finish(call, refusal),
                }
            }
            tokio::select! {
                Some((completion, token)) = attempts.running.next() => {
                    if let Some(response) = attempts.complete(self, call, completion, token)? {
                        return Ok(response);
                    }
                }
                () = tokio::time::sleep_until(hedge_at.unwrap_or(call.deadline)),
                        if hedge_at.is_some() => {
                    hedge_at = None;
                    self.hedge(call, attempts).await;
                }
            }
        }
    }

    /// Sends a slow request to another target if the retry budget allows it and
    /// the response could still meet the soft deadline.
    async fn hedge(self: &Arc<Self>, call: &Arc<Call>, attempts: &mut Attempts) {
        let service_time = self.services.estimate(&call.route).mean();
        let on_time = Instant::now() + service_time <= call.soft_deadline();
        // A slot that a waiting request needs is not spent on a second attempt.
        let is_contended = self.services.admission.has_waiting(&call.service);
        if !on_time
            || is_contended
            || !attempts.may_send(call)
            || !self.services.try_spend_retry(&call.service)
        {
            return;
        }
        attempts.request_token();
        if let Ok(placement) = self.place(call, &attempts.tried).await
            && attempts.may_spend()
        {
            attempts.start(self, call, placement);
        }
    }
}

impl Drop for Attempts {
    fn drop(&mut self) {
        if !self.logged {
            self.log("caller-left", None);
        }
    }
}

impl Attempts {
    fn new(call: Arc<Call>) -> Self {
        Self {
            call,
            logged: false,
            running: FuturesUnordered::new(),
            permit: None,
            tried: Vec::new(),
            choices: Vec::new(),
            sends: 0,
            unsent: 0,
            fallback: None,
        }
    }

    /// Writes the log line of the request.
    fn log(&mut self, outcome: &str, status: Option<StatusCode>) {
        self.logged = true;
        let call = &self.call;
        log::info!(
            target: "request",
            "id={} outcome={outcome} status={} ms={} route={} service={} version={} targets={} \
             sends={} workspace={}",
            call.id.as_deref().unwrap_or("-"),
            status.as_ref().map_or("-", StatusCode::as_str),
            call.received.elapsed().as_millis(),
            call.route.name,
            call.service,
            call.version,
            self.choices.join(","),
            self.sends,
            call.credential
                .as_ref()
                .map_or("-", |credential| credential.workspace.name.as_str())
        );
    }

    fn start(
        &mut self,
        gateway: &Arc<Gateway>,
        call: &Arc<Call>,
        placement: crate::place::Placement,
    ) {
        self.sends += 1;
        let target = &placement.endpoint.id;
        self.choices.push(match placement.snapshot {
            Some(snapshot) => format!("{target}/{snapshot}"),
            None => target.to_string(),
        });
        self.tried.push(target.clone());
        let gateway = Arc::clone(gateway);
        let call = Arc::clone(call);
        let spending = self.permit.as_mut().map(|permit| permit.spend(&call));
        self.running.push(Box::pin(async move {
            let completion = gateway.attempt(&call, placement).await;
            (completion, spending.and_then(Spending::end))
        }));
    }

    /// Requests a token for another send, which arrives while a target is selected.
    fn request_token(&mut self) {
        if let Some(permit) = &mut self.permit {
            permit.request();
        }
    }

    /// Whether the quota of the workspace permits another send without waiting.
    fn may_spend(&mut self) -> bool {
        self.permit.as_mut().is_none_or(Permit::prepare)
    }

    /// Whether the attempt limit of the route and the remaining time allow another
    /// attempt.
    fn may_send(&self, call: &Call) -> bool {
        self.sends < call.route.max_attempts && call.remaining() > MIN_REMAINING
    }

    /// Processes the completion of an attempt. Returns the response to the
    /// request, or `None` if the request goes on.
    fn complete(
        &mut self,
        gateway: &Gateway,
        call: &Call,
        completion: Completion,
        token: Option<Token>,
    ) -> Result<Option<Response>, Refusal> {
        if completion.is_unsent()
            && let (Some(permit), Some(token)) = (&mut self.permit, token)
        {
            permit.put_back(token);
        }
        let refusal = match completion {
            Completion::Answered(response) if !response.status.is_server_error() => {
                return Ok(Some(response));
            }
            Completion::Answered(response) => {
                self.fallback = Some(response);
                Refusal::Broken
            }
            Completion::NotSent | Completion::Withdrawn => {
                self.sends -= 1;
                self.unsent += 1;
                if self.unsent < MAX_UNSENT && call.remaining() > MIN_REMAINING {
                    return Ok(None);
                }
                Refusal::NoTarget
            }
            Completion::NotExecuted => Refusal::NotExecuted,
            Completion::Unauthorized => {
                self.sends -= 1;
                return self.finish(call, Refusal::Unauthorized).map(Some);
            }
            Completion::Broken(_) => Refusal::Broken,
        };
        if !self.running.is_empty() {
            return Ok(None);
        }
        let retryable = call.is_idempotent() || refusal == Refusal::NotExecuted;
        if retryable && self.may_send(call) && gateway.services.try_spend_retry(&call.service) {
            self.request_token();
            return Ok(None);
        }
        self.finish(call, refusal).map(Some)
    }

    /// Ends the request because the entry is about to end. Without a response the
    /// caller would not learn whether it can send the request again.
    fn interrupt(&mut self, call: &Call) -> Result<Response, Refusal> {
        match self.fallback.take() {
            Some(response) => Ok(response),
            None if call.is_dispatched() => Err(Refusal::Interrupted),
            None => Err(Refusal::Leaving),
        }
    }

    /// Ends the request without another attempt.
    fn finish(&mut self, call: &Call, refusal: Refusal) -> Result<Response, Refusal> {
        match self.fallback.take() {
            Some(response) => Ok(response),
            // A dispatched attempt may have been executed, whatever the result of
            // the last attempt.
            None if call.is_dispatched() => Err(Refusal::Broken),
            None => Err(refusal),
        }
    }
}

fn refuse(call: &Call, refusal: Refusal) -> LoggedResponse {
    debug_assert!(
        !call.is_dispatched()
            || matches!(
                refusal,
                Refusal::Broken | Refusal::TimedOut | Refusal::Interrupted
            ),
        "a dispatched request must not be refused as not executed"
    );
    LoggedResponse {
        response: refusal.response(),
        outcome: refusal.as_str(),
    }
}
