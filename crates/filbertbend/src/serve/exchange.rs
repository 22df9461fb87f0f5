//! Sends one quick check to endpoints, with retries and hedging.

use {
    super::{
        api::{Api, Options},
        dispatcher::{Suspicion, Try},
        upload::Upload,
    },
    axum::{body::Bytes, http::request::Parts},
    filbertbend_coordination::{
        retry::{self, Next, Plan},
        routing,
    },
    filbertbend_protocol::message::{Preamble, Request, Response},
    filbertbend_state::{
        outcome::{Outcome, Reason},
        service::Declaration,
        unit::Millis,
    },
    filbertbend_transport::{
        http::{end_to_end_fields, Fields},
        link::{Error, Receiver},
    },
    futures_util::stream::{FuturesUnordered, StreamExt},
    http_body::Body as HttpBody,
    http_body_util::Full,
    metrics::counter,
    spdlog::prelude::*,
    std::{future::Future, sync::Arc, time::Duration},
    tokio::time::{sleep, sleep_until, timeout_at, Instant},
};

/// How often a try checks whether its agent or link has become unresponsive.
const SUSPICION_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// If two checks are further apart than this, the process was frozen in between.
const FREEZE_THRESHOLD: Duration = Duration::from_secs(1);
/// How long the liveness of agents is not trusted after a freeze. Every live
/// agent sends a heartbeat within this time.
const FREEZE_GRACE: Duration = Duration::from_millis(1500);
/// How long an answer may still arrive on a link that the agent has replaced.
const REPLACED_GRACE: Duration = Duration::from_secs(1);
/// Suggested delay before a retry after a stream could not be opened.
const RETRY_AFTER: Millis = Millis(250);

/// An endpoint's answer whose body has not been received yet.
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) headers: Fields,
    pub(crate) receiver: Receiver,
    pub(crate) deadline: Instant,
    pub(crate) attempt: Try,
}

/// An admitted request and the plan of its tries.
pub(crate) struct Exchange<'a> {
    api: &'a Arc<Api>,
    declaration: &'a Declaration,
    options: &'a Options,
    parts: &'a Parts,
    plan: Plan,
}

/// The head of an endpoint's answer.
struct Head {
    status: u16,
    headers: Fields,
    receiver: Receiver,
}

/// The end of one try.
struct End {
    attempt: Try,
    result: Result<Head, Failure>,
}

/// Why a try ended without an answer.
enum Failure {
    /// The try failed; the plan decides whether another one follows.
    Try(retry::Completion),
    /// The caller's body broke off, so another try cannot succeed.
    Body,
}

impl From<retry::Completion> for Failure {
    fn from(end: retry::Completion) -> Self {
        Self::Try(end)
    }
}

impl<'a> Exchange<'a> {
    /// Creates the exchange of an admitted request and starts its plan.
    pub(crate) fn new(
        api: &'a Arc<Api>,
        declaration: &'a Declaration,
        options: &'a Options,
        parts: &'a Parts,
    ) -> Self {
        Self {
            api,
            declaration,
            options,
            parts,
            plan: api.dispatcher.start_plan(declaration, options.remaining()),
        }
    }

    /// Sends the request once and streams its body, which cannot be sent again.
    pub(crate) async fn run_once<B>(mut self, body: B) -> Result<Reply, Outcome>
    where
        B: HttpBody<Data = Bytes, Error: Send> + Send + Unpin + 'static,
    {
        let attempt = self.pick().map_err(|next| self.final_outcome(next))?;
        let transmission = Transmission::new(&self);
        let finished = timeout_at(self.options.deadline, transmission.run(attempt, body)).await;
        let Ok(ended) = finished else {
            return Err(self.plan.expired());
        };
        self.process_end(ended).map_err(|next| match next {
            Next::Finish(outcome) => outcome,
            // The plan allows another try, but the body has been consumed. The
            // request is refused if the try cannot have run it, and its outcome
            // is unknown otherwise.
            _ => self.final_outcome(self.plan.unplaced(Reason::NoRoom, RETRY_AFTER)),
        })
    }

    /// Sends the request until an endpoint answers or the plan allows no other
    /// try.
    pub(crate) async fn run_with_retries(mut self, body: &Bytes) -> Result<Reply, Outcome> {
        let mut tries = FuturesUnordered::new();
        let mut next = Next::Retry;
        loop {
            next = match next {
                Next::Retry => match self.pick() {
                    Ok(attempt) => {
                        let transmission = Transmission::new(&self);
                        tries.push(transmission.run(attempt, Full::new(body.clone())));
                        Next::Wait
                    }
                    Err(refused) => refused,
                },
                Next::Wait => match self.wait(&mut tries).await {
                    Ok(reply) => return Ok(reply),
                    Err(next) => next,
                },
                Next::Finish(outcome) => return Err(outcome),
                Next::Answer { .. } => return Err(Outcome::Unknown),
            };
        }
    }

    /// Waits for a try to end, for the time to hedge, or for the deadline.
    async fn wait<F>(&mut self, tries: &mut FuturesUnordered<F>) -> Result<Reply, Next>
    where
        F: Future<Output = End>,
    {
        let hedge = self.hedge_delay(tries.len());
        tokio::select! {
            ended = tries.next() => match ended {
                Some(ended) => self.process_end(ended),
                None => Err(Next::Finish(self.plan.expired())),
            },
            () = sleep(hedge.unwrap_or_default()), if hedge.is_some() => {
                if self.api.dispatcher.try_hedge(self.declaration, &mut self.plan) {
                    counter!("filbertbend_hedges_total", "service" => self.declaration.name.to_string())
                        .increment(1);
                    return Err(Next::Retry);
                }
                Err(Next::Wait)
            }
            () = sleep_until(self.options.deadline) => Err(Next::Finish(self.plan.expired())),
        }
    }

    fn hedge_delay(&self, in_progress: usize) -> Option<Duration> {
        if in_progress != 1 || self.plan.tries() > 1 {
            return None;
        }
        let delay = self.api.dispatcher.hedge_delay(self.declaration)?;
        Some(delay.duration())
    }

    fn pick(&mut self) -> Result<Try, Next> {
        let retry = self.plan.tries() > 0;
        let picked = self.api.dispatcher.pick(self.declaration, &mut self.plan);
        match picked {
            Ok(attempt) => {
                if retry {
                    counter!("filbertbend_retries_total", "service" => self.declaration.name.to_string())
                        .increment(1);
                }
                Ok(attempt)
            }
            Err(refusal) => Err(self.plan.unplaced(refusal.reason, refusal.retry_after)),
        }
    }

    fn final_outcome(&self, next: Next) -> Outcome {
        match next {
            Next::Finish(outcome) => outcome,
            _ => self.plan.expired(),
        }
    }

    /// Records the end of a try and returns the reply or what to do next.
    fn process_end(&mut self, mut ended: End) -> Result<Reply, Next> {
        let endpoint = ended.attempt.endpoint().clone();
        let dispatcher = &self.api.dispatcher;
        match ended.result {
            Ok(head) => {
                dispatcher.try_ended(&mut self.plan, &endpoint, retry::Completion::Answered);
                dispatcher.record_latency(&self.declaration.name, ended.attempt.elapsed());
                Ok(Reply {
                    status: head.status,
                    headers: head.headers,
                    receiver: head.receiver,
                    deadline: self.options.deadline,
                    attempt: ended.attempt,
                })
            }
            Err(Failure::Body) => Err(Next::Finish(Outcome::Invalid)),
            Err(Failure::Try(end)) => {
                ended.attempt.end(routing_feedback(end));
                Err(dispatcher.try_ended(&mut self.plan, &endpoint, end))
            }
        }
    }
}

/// Converts the end of a try to the router's feedback: whether the endpoint was
/// full.
fn routing_feedback(end: retry::Completion) -> routing::Feedback {
    match end {
        retry::Completion::Refused {
            reason: Reason::NoRoom | Reason::QueueFull,
            ..
        } => routing::Feedback::Full,
        _ => routing::Feedback::Accepted,
    }
}

/// What one try sends to the endpoint.
struct Transmission {
    request: Request,
    idempotent: bool,
}

impl Transmission {
    fn new(exchange: &Exchange<'_>) -> Self {
        Self {
            request: build_request(exchange),
            idempotent: exchange.declaration.idempotent,
        }
    }

    async fn run<B>(self, attempt: Try, body: B) -> End
    where
        B: HttpBody<Data = Bytes, Error: Send> + Send + Unpin + 'static,
    {
        // A request that is not idempotent cannot be retried, so giving up
        // before its deadline gains nothing.
        let result = tokio::select! {
            result = send_request(self.request, &attempt, body) => result,
            () = unresponsive(&attempt), if self.idempotent => Err(retry::Completion::Timeout.into()),
        };
        End { attempt, result }
    }
}

/// Returns once no answer can be expected on the link of a try.
async fn unresponsive(attempt: &Try) {
    let mut checked = Instant::now();
    let mut view_trusted_from = checked;
    let mut replaced_since = None;
    loop {
        sleep(SUSPICION_CHECK_INTERVAL).await;
        let now = Instant::now();
        if now - checked > FREEZE_THRESHOLD {
            view_trusted_from = now + FREEZE_GRACE;
        }
        checked = now;
        match attempt.suspicion() {
            Some(Suspicion::AgentNotAlive) if now >= view_trusted_from => return,
            Some(Suspicion::LinkReplaced) => {
                if now - *replaced_since.get_or_insert(now) >= REPLACED_GRACE {
                    return;
                }
            }
            _ => replaced_since = None,
        }
    }
}

fn build_request(exchange: &Exchange<'_>) -> Request {
    let uri = &exchange.parts.uri;
    let prefix = format!("/v1/check/{}", exchange.declaration.name);
    let path = uri.path().strip_prefix(&prefix).unwrap_or_default();
    let path = if path.is_empty() { "/" } else { path };
    let path = match uri.query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    Request {
        id: exchange.options.request,
        entry: exchange.api.entry.clone(),
        service: exchange.declaration.name.clone(),
        class: exchange.declaration.class,
        team: exchange.options.team.clone(),
        remaining: exchange.options.remaining(),
        method: exchange.parts.method.as_str().into(),
        path: path.into(),
        headers: end_to_end_fields(&exchange.parts.headers),
    }
}

/// Sends the request to one endpoint and waits for the head of its answer.
async fn send_request<B>(request: Request, attempt: &Try, body: B) -> Result<Head, Failure>
where
    B: HttpBody<Data = Bytes, Error: Send> + Send + Unpin + 'static,
{
    let id = request.id;
    let broken = |error: Error| {
        debug!("try failed", kv: { request = id.0, error: });
        Failure::from(retry::Completion::Broken)
    };
    // If the stream cannot be opened, the request did not run.
    let opened = attempt.link().open().await;
    let (mut sender, mut receiver) = opened.map_err(|_| retry::Completion::Refused {
        reason: Reason::NoEndpoint,
        retry_after: RETRY_AFTER,
    })?;
    sender
        .send(&Preamble::Check(request))
        .await
        .map_err(broken)?;
    let upload = Upload::start(sender, body);
    let response = match receiver.receive::<Response>().await {
        Ok(Some(response)) => response,
        Ok(None) => return Err(retry::Completion::Broken.into()),
        Err(_) if upload.body_failed() => return Err(Failure::Body),
        Err(error) => return Err(broken(error)),
    };
    let body_failed = upload.body_failed();
    upload.release(&response);
    match response {
        Response::Head { status, headers } => Ok(Head {
            status,
            headers,
            receiver,
        }),
        Response::Refused {
            reason,
            retry_after,
        } => Err(retry::Completion::Refused {
            reason,
            retry_after,
        }
        .into()),
        Response::Expired { started } => Err(retry::Completion::Expired { started }.into()),
        Response::Broken if body_failed => Err(Failure::Body),
        Response::Broken => Err(retry::Completion::Broken.into()),
    }
}
