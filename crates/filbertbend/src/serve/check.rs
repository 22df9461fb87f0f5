//! One quick check, from the caller to an endpoint and back.

use {
    super::{
        answer::{Answer, OUTCOME},
        desk::Permit,
        exchange::{Exchange, Reply},
        front::{Front, Terms},
        observe::Observation,
        watched::Watched,
    },
    axum::{
        body::Body,
        extract::Request,
        http::{header, request::Parts, HeaderMap, HeaderValue, Method, StatusCode},
        response::{IntoResponse, Response},
    },
    filbertbend_coordination::routing,
    filbertbend_state::{
        id,
        outcome::{Outcome, Ran, Reason},
        service::{Declaration, Kind},
    },
    filbertbend_transport::http::{headers, receive_body},
    http_body::Body as HttpBody,
    http_body_util::{BodyExt, Limited},
    spdlog::prelude::*,
    std::sync::Arc,
    tokio::time::timeout_at,
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
        Ok((reply, permit)) => Ok(reply.into_response(&parts.method, permit, observation)),
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
    match content_length(&parts.headers) {
        Some(length) if length > limit as u64 => Err(Answer::invalid(
            StatusCode::PAYLOAD_TOO_LARGE,
            id,
            format!("body of {length} bytes is over {limit}"),
        )),
        _ => Ok(()),
    }
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

async fn admitted(
    front: &Arc<Front>,
    declaration: &Declaration,
    terms: &Terms,
    parts: &Parts,
    body: Body,
) -> Result<(Reply, Permit), Outcome> {
    let mut permit = front.desk.admit(declaration, terms).await?;
    let limited = Limited::new(body, front.body_limit_bytes);
    let replayable = !parts.headers.contains_key(header::TRANSFER_ENCODING)
        && (body_is_small(parts) || limited.is_end_stream());
    if !replayable {
        let exchange = Exchange::new(front, declaration, terms, parts);
        return Ok((exchange.once(limited).await?, permit));
    }
    let body = timeout_at(terms.deadline, limited.collect())
        .await
        .map_err(|_| Outcome::Expired { ran: Ran::No })?
        .map_err(|error| {
            debug!("body not read", kv: { request = terms.request.0, error: });
            Outcome::Invalid
        })?
        .to_bytes();
    loop {
        let exchange = Exchange::new(front, declaration, terms, parts);
        match exchange.with_retries(&body).await {
            Ok(reply) => return Ok((reply, permit)),
            Err(outcome) if found_no_room(&outcome) => permit.wait_again().await?,
            Err(outcome) => return Err(outcome),
        }
    }
}

/// Tells whether the request did not run because every endpoint was full, so
/// that it may go back to its queue.
fn found_no_room(outcome: &Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Refused {
            reason: Reason::NoRoom | Reason::QueueFull,
            ..
        }
    )
}

fn body_is_small(parts: &Parts) -> bool {
    content_length(&parts.headers).is_some_and(|length| length <= REPLAY_LIMIT_BYTES)
}

impl Reply {
    fn into_response(self, method: &Method, permit: Permit, observation: Observation) -> Response {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let headers = headers(&self.headers);
        let length = match status {
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED => Some(0),
            _ if method == Method::HEAD => Some(0),
            _ => content_length(&headers),
        };
        let mut attempt = self.attempt;
        let body = Body::new(receive_body(self.receiver, self.deadline));
        let body = Body::new(Watched::new(body, length, move |complete| {
            attempt.end(routing::Feedback::Accepted);
            if complete {
                permit.complete();
            }
            observation.complete(complete);
        }));
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
            .headers_mut()
            .insert(OUTCOME, HeaderValue::from_static("done"));
        response
    }
}
