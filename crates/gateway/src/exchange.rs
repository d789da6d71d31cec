//! A request from its routing to its answer.

use std::sync::Arc;
use std::time::Duration;

use carobdrift_http1::{Request, Response};
use carobdrift_routing::host_name;
use carobdrift_units::Target;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use http::StatusCode;
use http::header::HOST;
use tokio::time::Instant;

use crate::attempt::Ended;
use crate::call::Call;
use crate::gateway::Gateway;
use crate::refusal::Refusal;

/// Attempts whose target could not be reached, after which a request is given
/// up; they do not count as sends.
const MAX_UNSENT: u32 = 4;

/// Time that must be left for another attempt to be of use.
const MIN_LEFT: Duration = Duration::from_millis(30);

/// Answer of a request, for its log line.
struct Answer {
    response: Response,
    outcome: &'static str,
}

/// Attempts of one request. Dropping them before the request is logged states
/// that its caller has left.
struct Attempts {
    call: Arc<Call>,
    logged: bool,
    running: FuturesUnordered<BoxFuture<'static, Ended>>,
    tried: Vec<Target>,
    /// The same with what they were chosen by, for the log.
    choices: Vec<String>,
    /// Attempts that counted as sends to a target.
    sends: u32,
    unsent: u32,
    /// A whole answer that is delivered unless another attempt does better.
    fallback: Option<Response>,
}

impl Gateway {
    /// Serves a request.
    pub(crate) async fn relay(self: Arc<Self>, request: Request) -> Response {
        self.count_request();
        let received = request.received;
        let id = self.dialect.attempt_id(&request.headers).map(str::to_owned);
        let call = match self.route(request, id.clone()) {
            Ok(call) => Arc::new(call),
            Err(refusal) => {
                self.metrics
                    .request("-", refusal.as_str(), received.elapsed());
                log::info!(
                    target: "request",
                    "id={} outcome={} version={}",
                    id.as_deref().unwrap_or("-"), refusal.as_str(), self.version()
                );
                return refusal.response();
            }
        };
        self.services.count_request(&call.service);
        let mut attempts = Attempts::new(Arc::clone(&call));
        let run = self.run(&call, &mut attempts);
        let answer = match tokio::time::timeout_at(call.give_up, run).await {
            Ok(Ok(response)) => Answer {
                response,
                outcome: "answered",
            },
            Ok(Err(refusal)) => refuse(&call, refusal),
            Err(_) if call.is_dispatched() => refuse(&call, Refusal::TimedOut),
            Err(_) => refuse(&call, Refusal::Busy),
        };
        self.metrics
            .request(call.service.as_str(), answer.outcome, received.elapsed());
        attempts.log(answer.outcome, Some(answer.response.status));
        let mut response = answer.response;
        response.keep_alive = true;
        self.dialect.strip_internal(&mut response.headers);
        response
    }

    fn route(&self, request: Request, id: Option<String>) -> Result<Call, Refusal> {
        let table = self.table().ok_or(Refusal::Unready)?;
        let host = request
            .headers
            .get(HOST)
            .and_then(|host| host.to_str().ok());
        let route = host
            .and_then(|host| table.find(host_name(host), request.path()))
            .ok_or(Refusal::NoRoute)?;
        let service = self
            .services
            .choose_backend(route)
            .ok_or(Refusal::NoTarget)?;
        let known = table.state().services.get(&service);
        let health_path = known.map_or("/", |service| service.health_path.as_str());
        let deadline = self.dialect.deadline(&request.headers);
        Ok(Call::new(
            request,
            id,
            Arc::clone(route),
            service,
            health_path.to_owned(),
            table.state().version,
            deadline.unwrap_or(route.timeout),
        ))
    }

    async fn run(
        self: &Arc<Self>,
        call: &Arc<Call>,
        attempts: &mut Attempts,
    ) -> Result<Response, Refusal> {
        let mut hedge_at = None;
        loop {
            if attempts.running.is_empty() {
                match self.place(call, &attempts.tried).await {
                    Ok(placed) => {
                        if call.is_idempotent() && attempts.sends == 0 {
                            hedge_at =
                                Some(Instant::now() + self.services.work(&call.route).upper());
                        }
                        attempts.start(self, call, placed);
                    }
                    Err(refusal) => return attempts.give_up(call, refusal),
                }
            }
            tokio::select! {
                Some(ended) = attempts.running.next() => {
                    if let Some(response) = attempts.learn(self, call, ended)? {
                        return Ok(response);
                    }
                }
                () = tokio::time::sleep_until(hedge_at.unwrap_or(call.give_up)),
                        if hedge_at.is_some() => {
                    hedge_at = None;
                    self.hedge(call, attempts).await;
                }
            }
        }
    }

    /// Sends a slow request to a second target, if the budget has a repeat and
    /// the answer could still come within the time aimed at.
    async fn hedge(self: &Arc<Self>, call: &Arc<Call>, attempts: &mut Attempts) {
        let work = self.services.work(&call.route).mean();
        let useful = Instant::now() + work <= call.aim();
        if !useful || !attempts.may_send(call) || !self.services.try_spend(&call.service) {
            return;
        }
        if let Ok(placed) = self.place(call, &attempts.tried).await {
            attempts.start(self, call, placed);
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
             sends={}",
            call.id.as_deref().unwrap_or("-"),
            status.as_ref().map_or("-", StatusCode::as_str),
            call.received.elapsed().as_millis(),
            call.route.name,
            call.service,
            call.version,
            self.choices.join(","),
            self.sends
        );
    }

    fn start(&mut self, gateway: &Arc<Gateway>, call: &Arc<Call>, placed: crate::place::Placement) {
        self.sends += 1;
        let target = &placed.endpoint.id;
        self.choices.push(match placed.basis {
            Some(basis) => format!("{target}/{basis}"),
            None => target.to_string(),
        });
        self.tried.push(target.clone());
        let gateway = Arc::clone(gateway);
        let call = Arc::clone(call);
        self.running.push(Box::pin(
            async move { gateway.attempt(&call, placed).await },
        ));
    }

    /// Whether the route and the caller's time allow one more target.
    fn may_send(&self, call: &Call) -> bool {
        self.sends < call.route.max_attempts && call.left() > MIN_LEFT
    }

    /// Takes in the end of an attempt; returns the answer when it is decided.
    fn learn(
        &mut self,
        gateway: &Gateway,
        call: &Call,
        ended: Ended,
    ) -> Result<Option<Response>, Refusal> {
        let refusal = match ended {
            Ended::Answered(response) if !response.status.is_server_error() => {
                return Ok(Some(response));
            }
            Ended::Answered(response) => {
                self.fallback = Some(response);
                Refusal::Broken
            }
            Ended::NotSent | Ended::Withdrawn => {
                self.sends -= 1;
                self.unsent += 1;
                if self.unsent < MAX_UNSENT && call.left() > MIN_LEFT {
                    return Ok(None);
                }
                Refusal::NoTarget
            }
            Ended::NotExecuted => Refusal::NotExecuted,
            Ended::Broken(_) => Refusal::Broken,
        };
        if !self.running.is_empty() {
            return Ok(None);
        }
        let repeatable = call.is_idempotent() || refusal == Refusal::NotExecuted;
        if repeatable && self.may_send(call) && gateway.services.try_spend(&call.service) {
            return Ok(None);
        }
        self.give_up(call, refusal).map(Some)
    }

    /// Ends the request without another attempt.
    fn give_up(&mut self, call: &Call, refusal: Refusal) -> Result<Response, Refusal> {
        match self.fallback.take() {
            Some(response) => Ok(response),
            // What was sent may have run, whatever the last attempt says.
            None if call.is_dispatched() => Err(Refusal::Broken),
            None => Err(refusal),
        }
    }
}

fn refuse(call: &Call, refusal: Refusal) -> Answer {
    debug_assert!(
        !call.is_dispatched() || matches!(refusal, Refusal::Broken | Refusal::TimedOut),
        "a request that was sent must not be refused as not run"
    );
    Answer {
        response: refusal.response(),
        outcome: refusal.as_str(),
    }
}
