//! Middleware of the callers' interface: limits the size of headers and adds an
//! outcome to every answer.

use {
    super::{
        answer::{Answer, OUTCOME},
        api::Api,
    },
    axum::{
        body::to_bytes,
        extract::{Request, State},
        http::{header, HeaderMap, HeaderValue, StatusCode, Version},
        middleware::Next,
        response::{IntoResponse, Response},
    },
    http_body::Body,
    std::sync::Arc,
};

/// Largest unread body, in bytes, that the server discards without closing the
/// connection: the size of its first read buffer.
const UNREAD_LIMIT_BYTES: u64 = 8192;
/// Longest text of a rejection that is passed on to the caller, in bytes.
const TEXT_LIMIT_BYTES: usize = 1024;
/// Overhead of a header field beyond its name and value, as HTTP/2 counts it
/// (RFC 9113, section 6.5.2).
const FIELD_BYTES: usize = 32;

/// Rejects requests whose header is too large, and adds the outcome to
/// rejections by the router.
pub(crate) async fn apply(State(api): State<Arc<Api>>, request: Request, next: Next) -> Response {
    let limit = api.header_limit_bytes;
    if header_bytes(request.headers()) > limit {
        let message = format!("the header is over {limit} bytes");
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Answer::invalid(status, api.request(), message).into_response();
    }
    let must_close = request.version() < Version::HTTP_2 && is_large(&request);
    let mut response = next.run(request).await;
    let has_outcome = response.headers().contains_key(OUTCOME);
    if response.status().is_client_error() && !has_outcome {
        response = with_outcome(&api, response).await;
    }
    if must_close
        && response
            .headers()
            .get(OUTCOME)
            .is_none_or(|outcome| outcome != "done")
    {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Tells whether the server would close the connection if the body were left
/// unread. The caller must know this before it sends another request.
fn is_large(request: &Request) -> bool {
    let size = request.body().size_hint();
    size.upper().is_none_or(|bytes| bytes > UNREAD_LIMIT_BYTES)
}

fn header_bytes(headers: &HeaderMap) -> usize {
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + FIELD_BYTES)
        .sum()
}

/// Converts a rejection by the router to the format of all other answers.
async fn with_outcome(api: &Api, response: Response) -> Response {
    let (parts, body) = response.into_parts();
    let text = to_bytes(body, TEXT_LIMIT_BYTES).await;
    let text = text.unwrap_or_default();
    let text = String::from_utf8_lossy(&text);
    let message = match (text.trim(), parts.status) {
        ("", status) => status.canonical_reason().unwrap_or_default(),
        (text, _) => text,
    };
    let mut answer = Answer::invalid(parts.status, api.request(), message).into_response();
    if let Some(allow) = parts.headers.get(header::ALLOW) {
        answer.headers_mut().insert(header::ALLOW, allow.clone());
    }
    answer
}
