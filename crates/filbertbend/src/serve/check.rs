//! One quick check, from the caller to an endpoint and back.

use {
    super::{
        answer::{Answer, OUTCOME},
        desk::{Permit, Try},
        front::{Front, Terms},
        observe::Observation,
        upload::Upload,
        watched::Watched,
    },
    axum::{
        body::{Body, Bytes},
        extract::Request,
        http::{header, request::Parts, HeaderValue, StatusCode},
        response::{IntoResponse, Response},
    },
    filbertbend_protocol::message::{self, Stream},
    filbertbend_state::{
        id,
        outcome::{Outcome, Ran, Reason},
        service::{Declaration, Kind},
        unit::Millis,
    },
    filbertbend_transport::{
        http::{fields, headers, receive_body},
        link::Receiver,
    },
    http_body::Body as HttpBody,
    http_body_util::{BodyExt, Full, Limited},
    spdlog::prelude::*,
    std::sync::Arc,
    tokio::time::{timeout_at, Instant},
};

/// Bodies up to this size are kept until the endpoint has answered, so that
/// the request can be tried again; larger ones are streamed and tried once.
const REPLAY_LIMIT_BYTES: u64 = 256 << 10;

/// Serves one request for a quick check.
pub(crate) async fn handle(front: Arc<Front>, service: &str, request: Request) -> Response {
    let id = front.request();
    match serve(&front, service, request, id).await {
        Ok(response) => response,
        Err(answer) => answer.into_response(),
    }
}

async fn serve(
    front: &Arc<Front>,
    service: &str,
    request: Request,
    id: id::Request,
) -> Result<Response, Answer> {
    let declaration = front.declaration(service, id)?;
    if declaration.kind != Kind::Check {
        let message = format!(
            "service `{service}` takes {}s, not checks",
            declaration.kind
        );
        return Err(Answer::invalid(StatusCode::NOT_FOUND, id, message));
    }
    let (parts, body) = request.into_parts();
    let terms = Terms::read(&parts.headers, &declaration, &front.snapshot(), id)?;
    check_length(&parts, front.body_limit_bytes, id)?;
    let observation = Observation::start(&declaration, &terms);
    let outcome = admitted(front, &declaration, &terms, &parts, body).await;
    match outcome {
        Ok(reply) => Ok(reply.into_response(observation)),
        Err(outcome) => {
            observation.end(&outcome);
            if outcome == Outcome::Invalid {
                let limit = front.body_limit_bytes;
                let message = format!("the body is over {limit} bytes or broke off");
                return Err(Answer::invalid(StatusCode::PAYLOAD_TOO_LARGE, id, message));
            }
            Err(Answer::new(outcome, id))
        }
    }
}

fn check_length(parts: &Parts, limit: usize, id: id::Request) -> Result<(), Answer> {
    match content_length(parts) {
        Some(length) if length > limit as u64 => Err(Answer::invalid(
            StatusCode::PAYLOAD_TOO_LARGE,
            id,
            format!("body of {length} bytes is over {limit}"),
        )),
        _ => Ok(()),
    }
}

fn content_length(parts: &Parts) -> Option<u64> {
    let value = parts.headers.get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

async fn admitted(
    front: &Arc<Front>,
    declaration: &Declaration,
    terms: &Terms,
    parts: &Parts,
    body: Body,
) -> Result<Reply, Outcome> {
    let permit = front.desk.admit(declaration, terms).await?;
    let limited = Limited::new(body, front.body_limit_bytes);
    let replayable = !parts.headers.contains_key(header::TRANSFER_ENCODING)
        && (body_is_small(parts) || limited.is_end_stream());
    let mut exchange = Exchange {
        front,
        declaration,
        terms,
        parts,
        permit,
    };
    if !replayable {
        return exchange.once(limited).await;
    }
    let body = timeout_at(terms.deadline, limited.collect())
        .await
        .map_err(|_| Outcome::Expired { ran: Ran::No })?
        .map_err(|error| {
            debug!("body not read", kv: { request = terms.request.0, error: });
            Outcome::Invalid
        })?;
    exchange.with_retries(body.to_bytes()).await
}

fn body_is_small(parts: &Parts) -> bool {
    content_length(parts).is_some_and(|length| length <= REPLAY_LIMIT_BYTES)
}

/// An endpoint's answer whose body is still to come.
struct Reply {
    status: u16,
    headers: Vec<(Arc<str>, Vec<u8>)>,
    receiver: Receiver,
    deadline: Instant,
    attempt: Try,
    permit: Permit,
}

impl Reply {
    fn into_response(self, observation: Observation) -> Response {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let (permit, mut attempt) = (self.permit, self.attempt);
        let body = Body::new(receive_body(self.receiver, self.deadline));
        let body = Body::new(Watched::new(body, move |complete| {
            attempt.end(complete);
            let _ = &permit;
            observation.complete(complete);
        }));
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers(&self.headers);
        response
            .headers_mut()
            .insert(OUTCOME, HeaderValue::from_static("done"));
        response
    }
}

/// A request on its way to one endpoint after another.
struct Exchange<'a> {
    front: &'a Arc<Front>,
    declaration: &'a Declaration,
    terms: &'a Terms,
    parts: &'a Parts,
    permit: Permit,
}

/// How one try ended without an answer.
enum Failure {
    /// The endpoint certainly was not asked.
    NotRun(Reason, Millis),
    /// The endpoint may have run the request.
    MayHaveRun,
    /// The deadline passed.
    Expired(Ran),
    /// The caller's body broke.
    Body,
}

impl Failure {
    fn outcome(self) -> Outcome {
        match self {
            Self::NotRun(reason, retry_after_ms) => Outcome::Refused {
                reason,
                retry_after_ms,
            },
            Self::MayHaveRun => Outcome::Unknown,
            Self::Expired(ran) => Outcome::Expired { ran },
            Self::Body => Outcome::Invalid,
        }
    }
}

impl Exchange<'_> {
    /// Tries once, streaming the body, which cannot be sent a second time.
    async fn once<B>(self, body: B) -> Result<Reply, Outcome>
    where
        B: HttpBody<Data = Bytes, Error: Send> + Send + Unpin + 'static,
    {
        let attempt = self.pick(&[])?;
        match self.attempt(attempt, body).await {
            Ok(answer) => Ok(answer.reply(self.terms.deadline, self.permit)),
            Err(failure) => Err(failure.outcome()),
        }
    }

    /// Tries endpoints until one answers or no other try is allowed.
    async fn with_retries(&mut self, body: Bytes) -> Result<Reply, Outcome> {
        let mut tried = Vec::new();
        loop {
            let attempt = self.pick(&tried)?;
            tried.push(attempt.endpoint().clone());
            let failure = match self.attempt(attempt, Full::new(body.clone())).await {
                Ok(answer) => {
                    let permit = std::mem::take(&mut self.permit);
                    return Ok(answer.reply(self.terms.deadline, permit));
                }
                Err(failure) => failure,
            };
            if !self.may_retry(&failure, tried.len()) {
                return Err(failure.outcome());
            }
        }
    }

    fn pick(&self, tried: &[id::Endpoint]) -> Result<Try, Outcome> {
        self.front
            .desk
            .pick(&self.declaration.name, tried)
            .map_err(|reason| Outcome::Refused {
                reason,
                retry_after_ms: Millis(250),
            })
    }

    /// Asks one endpoint and waits for the head of its answer.
    async fn attempt<B>(&self, mut attempt: Try, body: B) -> Result<Answered, Failure>
    where
        B: HttpBody<Data = Bytes, Error: Send> + Send + Unpin + 'static,
    {
        let asked = timeout_at(self.terms.deadline, self.ask(&attempt, body)).await;
        let failure = match asked {
            Ok(Ok((message::Response::Head { status, headers }, receiver))) => {
                return Ok(Answered {
                    status,
                    headers,
                    receiver,
                    attempt,
                });
            }
            Ok(Ok((
                message::Response::Refused {
                    reason,
                    retry_after,
                },
                _,
            ))) => Failure::NotRun(reason, retry_after),
            Ok(Ok((message::Response::Expired { started }, _))) => {
                Failure::Expired(if started { Ran::Unknown } else { Ran::No })
            }
            Ok(Ok((message::Response::Broken, _))) => Failure::MayHaveRun,
            Ok(Err(failure)) => failure,
            Err(_) => Failure::Expired(Ran::Unknown),
        };
        attempt.end(false);
        Err(failure)
    }

    async fn ask<B>(&self, attempt: &Try, body: B) -> Result<(message::Response, Receiver), Failure>
    where
        B: HttpBody<Data = Bytes, Error: Send> + Send + Unpin + 'static,
    {
        let broken = |error: filbertbend_transport::link::Error| {
            debug!("try broken", kv: { request = self.terms.request.0, error: });
            Failure::MayHaveRun
        };
        // Nothing was sent if the stream cannot be opened.
        let (mut sender, mut receiver) = attempt
            .link()
            .open()
            .await
            .map_err(|_| Failure::NotRun(Reason::NoEndpoint, Millis(250)))?;
        let head = Stream::Check(self.head());
        sender.send(&head).await.map_err(broken)?;
        let upload = Upload::start(sender, body);
        let response = receiver.receive::<message::Response>().await;
        match response {
            Ok(Some(response)) => {
                upload.release(&response);
                Ok((response, receiver))
            }
            Ok(None) => Err(Failure::MayHaveRun),
            Err(_) if upload.body_broke() => Err(Failure::Body),
            Err(error) => Err(broken(error)),
        }
    }

    fn head(&self) -> message::Request {
        let uri = &self.parts.uri;
        let prefix = format!("/v1/check/{}", self.declaration.name);
        let path = uri.path().strip_prefix(&prefix).unwrap_or_default();
        let path = if path.is_empty() { "/" } else { path };
        let path = match uri.query() {
            Some(query) => format!("{path}?{query}"),
            None => path.to_owned(),
        };
        message::Request {
            id: self.terms.request,
            entry: self.front.entry.clone(),
            service: self.declaration.name.clone(),
            class: self.declaration.class,
            team: self.terms.team.clone(),
            remaining: self.terms.left(),
            method: self.parts.method.as_str().into(),
            path: path.into(),
            headers: fields(&self.parts.headers),
        }
    }

    fn may_retry(&self, failure: &Failure, tries: usize) -> bool {
        let harmless = match failure {
            Failure::NotRun(..) => true,
            Failure::MayHaveRun => self.declaration.idempotent,
            Failure::Expired(_) | Failure::Body => false,
        };
        harmless && tries < usize::from(self.declaration.retry.tries)
    }
}

/// The head of an endpoint's answer, with the try that it came from.
struct Answered {
    status: u16,
    headers: Vec<(Arc<str>, Vec<u8>)>,
    receiver: Receiver,
    attempt: Try,
}

impl Answered {
    fn reply(self, deadline: Instant, permit: Permit) -> Reply {
        Reply {
            status: self.status,
            headers: self.headers,
            receiver: self.receiver,
            deadline,
            attempt: self.attempt,
            permit,
        }
    }
}
