//! Answers that the entry itself gives to callers, for requests that no endpoint
//! answered.

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
    std::collections::{BTreeMap, BTreeSet},
    strum::IntoEnumIterator,
};

/// The header that carries the outcome on every answer.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("x-filbertbend-outcome");

/// The value of [`OUTCOME`] while a job or order has not ended.
pub(crate) const PENDING: &str = "pending";

/// The statuses of invalid requests.
const INVALID: [StatusCode; 6] = [
    StatusCode::BAD_REQUEST,
    StatusCode::NOT_FOUND,
    StatusCode::METHOD_NOT_ALLOWED,
    StatusCode::PAYLOAD_TOO_LARGE,
    StatusCode::UNPROCESSABLE_ENTITY,
    StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
];

/// The JSON body of an answer by the entry.
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

/// An answer that states an outcome in its status, headers and body.
#[derive(Debug)]
pub(crate) struct Answer {
    outcome: Outcome,
    status: StatusCode,
    request: String,
    message: String,
}

impl Answer {
    /// Creates the answer to `request` that states `outcome`.
    pub(crate) fn new(outcome: Outcome, request: impl ToString) -> Self {
        let (status, message) = explain(&outcome);
        Self {
            outcome,
            status,
            request: request.to_string(),
            message: message.to_owned(),
        }
    }

    /// Creates the answer to an invalid request. A status that the guide does
    /// not list becomes 400.
    pub(crate) fn invalid(
        status: StatusCode,
        request: impl ToString,
        message: impl Into<String>,
    ) -> Self {
        let is_listed = INVALID.contains(&status);
        Self {
            outcome: Outcome::Invalid,
            status: if is_listed {
                status
            } else {
                StatusCode::BAD_REQUEST
            },
            request: request.to_string(),
            message: message.into(),
        }
    }

    /// Replaces the message of the JSON body.
    pub(crate) fn with_message(self, message: String) -> Self {
        Self { message, ..self }
    }
}

/// Returns every refusal reason with the outcome and HTTP status of its answer,
/// as the guide lists them.
pub fn reasons() -> impl Iterator<Item = (Reason, &'static str, u16)> {
    Reason::iter().map(|reason| {
        let outcome = Outcome::Refused {
            reason,
            retry_after_ms: Millis::ZERO,
        };
        let (status, _) = explain(&outcome);
        (reason, name(&outcome), status.as_u16())
    })
}

/// Returns the HTTP statuses of each outcome that the entry itself answers with,
/// as the guide lists them.
pub fn statuses() -> BTreeMap<&'static str, BTreeSet<u16>> {
    let mut statuses: BTreeMap<_, BTreeSet<_>> = BTreeMap::new();
    for (_, outcome, status) in reasons() {
        statuses.entry(outcome).or_default().insert(status);
    }
    let others = [
        Outcome::Unknown,
        Outcome::Expired { ran: Ran::No },
        Outcome::Expired { ran: Ran::Unknown },
        Outcome::Cancelled,
        Outcome::Invalid,
    ];
    for outcome in others {
        let (status, _) = explain(&outcome);
        let known = statuses.entry(name(&outcome)).or_default();
        known.insert(status.as_u16());
    }
    let invalid = statuses.entry(name(&Outcome::Invalid)).or_default();
    invalid.extend(INVALID.map(|status| status.as_u16()));
    statuses
}

/// Returns the name of an outcome in headers, bodies and metrics.
pub(crate) fn name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Done => "done",
        Outcome::Refused { reason, .. } if is_invalid(*reason) => "invalid",
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
        Outcome::Refused { reason, .. } => (refusal_status(*reason), refusal_message(*reason)),
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
        Outcome::Invalid => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "the key or sequence number was used before for another request",
        ),
    }
}

/// Tells whether the request itself is invalid, so that a retry cannot succeed.
fn is_invalid(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::KeyReused | Reason::TooLarge | Reason::UnknownService
    )
}

fn refusal_message(reason: Reason) -> &'static str {
    match reason {
        Reason::KeyReused => "the idempotency key was used before with another body",
        Reason::TooLarge => "a task of the service is larger than every worker",
        Reason::UnknownService => "the service is not in the configuration in force",
        _ => "the request was refused and did not run",
    }
}

/// Returns the status of a refusal: 429 for queues, quotas and budgets that are
/// exhausted, another 4xx for invalid requests, and 503 for lack of capacity.
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
            Outcome::Refused { reason, .. } if is_invalid(reason) => (Some(reason), None),
            Outcome::Refused {
                reason,
                retry_after_ms,
            } => (Some(reason), Some(retry_after_ms)),
            _ => (None, None),
        };
        let ran = match self.outcome {
            // A cancelled job may have run for a while.
            Outcome::Unknown | Outcome::Cancelled | Outcome::Expired { ran: Ran::Unknown } => {
                Ran::Unknown
            }
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
