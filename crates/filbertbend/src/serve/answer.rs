//! The answers that callers get when there is no endpoint's answer to pass on.

use {
    axum::{
        body::Body,
        http::{header, HeaderName, HeaderValue, StatusCode},
        response::{IntoResponse, Response},
        Json,
    },
    filbertbend_state::{
        outcome::{Outcome, Ran, Reason},
        unit::Millis,
    },
    serde::Serialize,
};

/// The header that carries the outcome on every answer.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("x-filbertbend-outcome");

/// The JSON body of an answer without an endpoint's answer.
#[derive(Debug, Serialize)]
struct Document<'a> {
    outcome: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<Reason>,
    ran: Ran,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<Millis>,
    request: String,
    message: &'a str,
}

/// An answer made of an outcome.
#[derive(Debug)]
pub(crate) struct Answer {
    outcome: Outcome,
    status: StatusCode,
    request: String,
    message: String,
}

impl Answer {
    /// Makes the answer to `request` that states `outcome`.
    pub(crate) fn new(outcome: Outcome, request: impl ToString) -> Self {
        let (status, message) = explain(&outcome);
        Self {
            outcome,
            status,
            request: request.to_string(),
            message: message.to_owned(),
        }
    }

    /// Makes the answer to a request that is itself wrong.
    pub(crate) fn invalid(
        status: StatusCode,
        request: impl ToString,
        message: impl Into<String>,
    ) -> Self {
        Self {
            outcome: Outcome::Invalid,
            status,
            request: request.to_string(),
            message: message.into(),
        }
    }
}

/// Returns the name of an outcome as it stands in headers, bodies and metrics.
pub(crate) fn name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Done => "done",
        Outcome::Refused { .. } => "refused",
        Outcome::Unknown => "unknown",
        Outcome::Expired { .. } => "expired",
        Outcome::Cancelled => "cancelled",
        Outcome::Invalid => "invalid",
    }
}

fn explain(outcome: &Outcome) -> (StatusCode, &'static str) {
    match outcome {
        Outcome::Done => (StatusCode::OK, "the request is done"),
        Outcome::Refused { reason, .. } => (
            refusal_status(*reason),
            "the request was refused and did not run",
        ),
        Outcome::Unknown => (
            StatusCode::BAD_GATEWAY,
            "the request may have run; ask again with the same key",
        ),
        Outcome::Expired { ran: Ran::No } => (
            StatusCode::GATEWAY_TIMEOUT,
            "the deadline passed before the request ran",
        ),
        Outcome::Expired { ran: Ran::Unknown } => (
            StatusCode::GATEWAY_TIMEOUT,
            "the deadline passed; the request may have run",
        ),
        Outcome::Cancelled => (StatusCode::CONFLICT, "the request was cancelled"),
        Outcome::Invalid => (StatusCode::BAD_REQUEST, "the request is not valid"),
    }
}

/// Tells refusals by the caller's own doing from those by lack of capacity.
fn refusal_status(reason: Reason) -> StatusCode {
    match reason {
        Reason::QueueFull | Reason::QuotaExceeded | Reason::RetryBudget => {
            StatusCode::TOO_MANY_REQUESTS
        }
        Reason::KeyReused | Reason::TooLarge => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::UnknownService => StatusCode::NOT_FOUND,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}

impl IntoResponse for Answer {
    fn into_response(self) -> Response<Body> {
        let (reason, retry_after_ms) = match self.outcome {
            Outcome::Refused {
                reason,
                retry_after_ms,
            } => (Some(reason), Some(retry_after_ms)),
            _ => (None, None),
        };
        let ran = match self.outcome {
            Outcome::Unknown | Outcome::Expired { ran: Ran::Unknown } => Ran::Unknown,
            _ => Ran::No,
        };
        let outcome = name(&self.outcome);
        let document = Document {
            outcome,
            reason,
            ran,
            retry_after_ms,
            request: self.request,
            message: &self.message,
        };
        let mut response = (self.status, Json(&document)).into_response();
        let headers = response.headers_mut();
        headers.insert(OUTCOME, HeaderValue::from_static(outcome));
        if let Some(wait) = retry_after_ms {
            let secs = wait.0.div_ceil(1000).max(1);
            headers.insert(header::RETRY_AFTER, HeaderValue::from(secs));
        }
        response
    }
}
