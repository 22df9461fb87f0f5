//! The tries of one quick check, until an endpoint answers or none may follow.

use {
    super::{
        desk::{Silence, Try},
        front::{Front, Terms},
        upload::Upload,
    },
    axum::{body::Bytes, http::request::Parts},
    filbertbend_coordination::{
        retry::{self, Next, Plan},
        routing,
    },
    filbertbend_protocol::message::{Request, Response, Stream},
    filbertbend_state::{
        outcome::{Outcome, Reason},
        service::Declaration,
        unit::Millis,
    },
    filbertbend_transport::{
        http::{fields, Fields},
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

/// How often a try looks whether its link has gone silent.
const SILENCE_CHECK: Duration = Duration::from_millis(250);
/// A check that comes this late means that the process was frozen.
const FROZEN_AFTER: Duration = Duration::from_secs(1);
/// How long the view of agents is not trusted after a freeze; each of them is
/// heard from again within a heartbeat interval.
const VIEW_GRACE: Duration = Duration::from_millis(1500);
/// How long an answer may still come on a link after the agent has replaced it.
const REPLACED_GRACE: Duration = Duration::from_secs(1);
/// When a retry is worthwhile after a stream could not be opened.
const RETRY_AFTER: Millis = Millis(250);

/// An endpoint's answer whose body is still to come.
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) headers: Fields,
    pub(crate) receiver: Receiver,
    pub(crate) deadline: Instant,
    pub(crate) attempt: Try,
}

/// A request on its way to one endpoint after another.
pub(crate) struct Exchange<'a> {
    front: &'a Arc<Front>,
    declaration: &'a Declaration,
    terms: &'a Terms,
    parts: &'a Parts,
    plan: Plan,
}

/// The head of an endpoint's answer.
struct Answered {
    status: u16,
    headers: Fields,
    receiver: Receiver,
}

/// How one try ended.
struct Ended {
    attempt: Try,
    result: Result<Answered, Failure>,
}

/// How one try ended without an answer.
enum Failure {
    /// A try ended as the plan knows it.
    Try(retry::Completion),
    /// The caller's own body broke, so no other try can help.
    Body,
}

impl From<retry::Completion> for Failure {
    fn from(end: retry::Completion) -> Self {
        Self::Try(end)
    }
}

impl<'a> Exchange<'a> {
    /// Makes the exchange of an admitted request.
    pub(crate) fn new(
        front: &'a Arc<Front>,
        declaration: &'a Declaration,
        terms: &'a Terms,
        parts: &'a Parts,
    ) -> Self {
        Self {
            front,
            declaration,
            terms,
            parts,
            plan: front.desk.plan(declaration, terms.left()),
        }
    }

    /// Tries once, streaming the body, which cannot be sent a second time.
    pub(crate) async fn once<B>(mut self, body: B) -> Result<Reply, Outcome>
    where
        B: HttpBody<Data = Bytes, Error: Send> + Send + Unpin + 'static,
    {
        let attempt = self.pick().map_err(|next| self.finished(next))?;
        let trial = Trial::new(&self);
        let asked = timeout_at(self.terms.deadline, trial.run(attempt, body)).await;
        let Ok(ended) = asked else {
            return Err(self.plan.expired());
        };
        self.settle(ended).map_err(|next| match next {
            Next::Finish(outcome) => outcome,
            // Another try would be allowed, but the body has gone: the request
            // is refused if no try can have run it, and unknown otherwise.
            _ => self.finished(self.plan.unplaced(Reason::NoRoom, RETRY_AFTER)),
        })
    }

    /// Tries endpoints until one answers or no other try is allowed.
    pub(crate) async fn with_retries(mut self, body: &Bytes) -> Result<Reply, Outcome> {
        let mut tries = FuturesUnordered::new();
        let mut next = Next::Retry;
        loop {
            next = match next {
                Next::Retry => match self.pick() {
                    Ok(attempt) => {
                        let trial = Trial::new(&self);
                        tries.push(trial.run(attempt, Full::new(body.clone())));
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
        F: Future<Output = Ended>,
    {
        let hedge = self.hedge_delay(tries.len());
        tokio::select! {
            ended = tries.next() => match ended {
                Some(ended) => self.settle(ended),
                None => Err(Next::Finish(self.plan.expired())),
            },
            () = sleep(hedge.unwrap_or_default()), if hedge.is_some() => {
                if self.front.desk.hedges(self.declaration, &mut self.plan) {
                    counter!("filbertbend_hedges_total", "service" => self.declaration.name.to_string())
                        .increment(1);
                    return Err(Next::Retry);
                }
                Err(Next::Wait)
            }
            () = sleep_until(self.terms.deadline) => Err(Next::Finish(self.plan.expired())),
        }
    }

    fn hedge_delay(&self, in_progress: usize) -> Option<Duration> {
        if in_progress != 1 || self.plan.tries() > 1 {
            return None;
        }
        let delay = self.front.desk.hedge_delay(self.declaration)?;
        Some(delay.duration())
    }

    fn pick(&mut self) -> Result<Try, Next> {
        let retry = self.plan.tries() > 0;
        let picked = self.front.desk.pick(self.declaration, &mut self.plan);
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

    fn finished(&self, next: Next) -> Outcome {
        match next {
            Next::Finish(outcome) => outcome,
            _ => self.plan.expired(),
        }
    }

    /// Turns the end of a try into the reply, or into what follows.
    fn settle(&mut self, mut ended: Ended) -> Result<Reply, Next> {
        let endpoint = ended.attempt.endpoint().clone();
        let desk = &self.front.desk;
        match ended.result {
            Ok(answered) => {
                desk.ended(&mut self.plan, &endpoint, retry::Completion::Answered);
                desk.answered(&self.declaration.name, ended.attempt.elapsed());
                Ok(Reply {
                    status: answered.status,
                    headers: answered.headers,
                    receiver: answered.receiver,
                    deadline: self.terms.deadline,
                    attempt: ended.attempt,
                })
            }
            Err(Failure::Body) => Err(Next::Finish(Outcome::Invalid)),
            Err(Failure::Try(end)) => {
                ended.attempt.end(routing_end(end));
                Err(desk.ended(&mut self.plan, &endpoint, end))
            }
        }
    }
}

/// Tells the router whether the agent had no room.
fn routing_end(end: retry::Completion) -> routing::Feedback {
    match end {
        retry::Completion::Refused {
            reason: Reason::NoRoom | Reason::QueueFull,
            ..
        } => routing::Feedback::Full,
        _ => routing::Feedback::Accepted,
    }
}

/// What one try sends.
struct Trial {
    head: Request,
    idempotent: bool,
}

impl Trial {
    fn new(exchange: &Exchange<'_>) -> Self {
        Self {
            head: head(exchange),
            idempotent: exchange.declaration.idempotent,
        }
    }

    async fn run<B>(self, attempt: Try, body: B) -> Ended
    where
        B: HttpBody<Data = Bytes, Error: Send> + Send + Unpin + 'static,
    {
        // A request that must not run twice gains nothing from giving up
        // before its deadline.
        let result = tokio::select! {
            result = ask(self.head, &attempt, body) => result,
            () = silent(&attempt), if self.idempotent => Err(retry::Completion::Timeout.into()),
        };
        Ended { attempt, result }
    }
}

/// Returns once no answer is to be expected on the link of a try.
async fn silent(attempt: &Try) {
    let mut checked = Instant::now();
    let mut trusted_from = checked;
    let mut replaced_since = None;
    loop {
        sleep(SILENCE_CHECK).await;
        let now = Instant::now();
        if now - checked > FROZEN_AFTER {
            trusted_from = now + VIEW_GRACE;
        }
        checked = now;
        match attempt.silence() {
            Some(Silence::Agent) if now >= trusted_from => return,
            Some(Silence::Link) => {
                if now - *replaced_since.get_or_insert(now) >= REPLACED_GRACE {
                    return;
                }
            }
            _ => replaced_since = None,
        }
    }
}

fn head(exchange: &Exchange<'_>) -> Request {
    let uri = &exchange.parts.uri;
    let prefix = format!("/v1/check/{}", exchange.declaration.name);
    let path = uri.path().strip_prefix(&prefix).unwrap_or_default();
    let path = if path.is_empty() { "/" } else { path };
    let path = match uri.query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    Request {
        id: exchange.terms.request,
        entry: exchange.front.entry.clone(),
        service: exchange.declaration.name.clone(),
        class: exchange.declaration.class,
        team: exchange.terms.team.clone(),
        remaining: exchange.terms.left(),
        method: exchange.parts.method.as_str().into(),
        path: path.into(),
        headers: fields(&exchange.parts.headers),
    }
}

/// Asks one endpoint and waits for the head of its answer.
async fn ask<B>(head: Request, attempt: &Try, body: B) -> Result<Answered, Failure>
where
    B: HttpBody<Data = Bytes, Error: Send> + Send + Unpin + 'static,
{
    let id = head.id;
    let broken = |error: Error| {
        debug!("try broken", kv: { request = id.0, error: });
        Failure::from(retry::Completion::Broken)
    };
    // Nothing was sent if the stream cannot be opened.
    let opened = attempt.link().open().await;
    let (mut sender, mut receiver) = opened.map_err(|_| retry::Completion::Refused {
        reason: Reason::NoEndpoint,
        retry_after: RETRY_AFTER,
    })?;
    sender.send(&Stream::Check(head)).await.map_err(broken)?;
    let upload = Upload::start(sender, body);
    let response = match receiver.receive::<Response>().await {
        Ok(Some(response)) => response,
        Ok(None) => return Err(retry::Completion::Broken.into()),
        Err(_) if upload.body_broke() => return Err(Failure::Body),
        Err(error) => return Err(broken(error)),
    };
    let body_broke = upload.body_broke();
    upload.release(&response);
    match response {
        Response::Head { status, headers } => Ok(Answered {
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
        Response::Broken if body_broke => Err(Failure::Body),
        Response::Broken => Err(retry::Completion::Broken.into()),
    }
}
