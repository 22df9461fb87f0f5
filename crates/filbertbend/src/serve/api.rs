//! The callers' HTTP interface: routes, headers and limits.
//!
//! `docs/guide.md` describes it for callers.

use {
    super::{answer::Answer, check, control, dispatcher::Dispatcher, jobs, middleware},
    crate::settings::Limits,
    axum::{
        extract::{DefaultBodyLimit, Request, State},
        http::{HeaderMap, StatusCode},
        middleware::from_fn_with_state,
        response::{IntoResponse, Response},
        routing::{any, get, post},
        Router,
    },
    filbertbend_state::{
        config::Snapshot,
        hash, id,
        outcome::{Outcome, Reason},
        service::Declaration,
        unit::Millis,
    },
    filbertbend_transport::clock,
    std::{
        str::FromStr,
        sync::{
            atomic::{AtomicU64, Ordering},
            Arc,
        },
    },
    tokio::{sync::watch, time::Instant},
};

/// Longest deadline that a caller may request, unless the service's own is
/// longer.
const DEADLINE_LIMIT: Millis = Millis::from_secs(3600);

/// State that the HTTP handlers share.
pub(crate) struct Api {
    /// The entry's name.
    pub(crate) entry: id::Entry,
    /// Admission, routing and the links to agents.
    pub(crate) dispatcher: Arc<Dispatcher>,
    /// The control thread.
    pub(crate) control: control::Handle,
    snapshot: watch::Receiver<Arc<Snapshot>>,
    /// The number of slices.
    pub(crate) slices: u16,
    /// Largest header of a request, in bytes.
    pub(crate) header_limit_bytes: usize,
    /// Largest body of a quick check, in bytes.
    pub(crate) body_limit_bytes: usize,
    /// Largest body of a job or order, in bytes.
    pub(crate) job_body_limit_bytes: usize,
    next_request: AtomicU64,
}

impl Api {
    /// Creates the shared state. The first request id differs between runs of
    /// the process, so that requests in its logs are not confused.
    pub(crate) fn new(
        entry: id::Entry,
        dispatcher: Arc<Dispatcher>,
        control: control::Handle,
        snapshot: watch::Receiver<Arc<Snapshot>>,
        slices: u16,
        limits: &Limits,
    ) -> Self {
        let first = hash::of(format!("{entry}/{}", clock::wall().0)) >> 24 << 16;
        Self {
            entry,
            dispatcher,
            control,
            snapshot,
            slices,
            header_limit_bytes: limits.header.0 as usize,
            body_limit_bytes: limits.body.0 as usize,
            job_body_limit_bytes: limits.job_body.0 as usize,
            next_request: AtomicU64::new(first),
        }
    }

    /// Returns a request id that this process has not used before.
    pub(crate) fn request(&self) -> id::Request {
        id::Request(self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns the configuration in force.
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.borrow().clone()
    }

    /// Finds the declaration of a service by the name in a path.
    pub(crate) fn declaration(
        &self,
        name: &str,
        request: id::Request,
    ) -> Result<Declaration, Answer> {
        let unknown = || {
            Answer::invalid(
                StatusCode::NOT_FOUND,
                request,
                format!("no service `{name}` in the configuration in force"),
            )
        };
        let service = id::Service::from_str(name).map_err(|_| unknown())?;
        let snapshot = self.snapshot.borrow();
        if snapshot.revision == id::Revision(0) {
            // No configuration has arrived yet, so the service may well exist.
            let outcome = Outcome::Refused {
                reason: Reason::NoEndpoint,
                retry_after_ms: Millis::from_secs(1),
            };
            return Err(Answer::new(outcome, request));
        }
        snapshot.service(&service).cloned().ok_or_else(unknown)
    }
}

/// Options of a request that the caller sets with headers, with defaults from
/// the service's declaration.
pub(crate) struct Options {
    /// The request's id.
    pub(crate) request: id::Request,
    /// The team whose quota the request counts against.
    pub(crate) team: id::Team,
    /// When the caller stops waiting.
    pub(crate) deadline: Instant,
}

impl Options {
    /// Reads the options from the headers, and refuses invalid ones.
    pub(crate) fn read(
        headers: &HeaderMap,
        declaration: &Declaration,
        snapshot: &Snapshot,
        request: id::Request,
    ) -> Result<Self, Answer> {
        let team = field(headers, "x-team", request)?.unwrap_or(declaration.team.clone());
        if team != declaration.team && !snapshot.has_team(&team) {
            let message = format!("x-team: no team `{team}` in the configuration in force");
            return Err(Answer::invalid(StatusCode::BAD_REQUEST, request, message));
        }
        let remaining = match field::<u64>(headers, "x-deadline-ms", request)? {
            Some(0) => {
                let message = "x-deadline-ms must be at least 1";
                return Err(Answer::invalid(StatusCode::BAD_REQUEST, request, message));
            }
            Some(millis) => Millis(millis).min(DEADLINE_LIMIT.max(declaration.deadline)),
            None => declaration.deadline,
        };
        Ok(Self {
            request,
            team,
            deadline: Instant::now() + remaining.duration(),
        })
    }

    /// Returns the time left until the deadline.
    pub(crate) fn remaining(&self) -> Millis {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        Millis(remaining.as_millis() as u64)
    }
}

/// Parses the header field `name`, if it is present.
pub(crate) fn field<T>(
    headers: &HeaderMap,
    name: &'static str,
    request: id::Request,
) -> Result<Option<T>, Answer>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    let invalid = |why: String| {
        let message = format!("header {name}: {why}");
        Answer::invalid(StatusCode::BAD_REQUEST, request, message)
    };
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|error| invalid(error.to_string()))?;
    text.parse()
        .map(Some)
        .map_err(|error: T::Err| invalid(error.to_string()))
}

/// Parses an identifier in a path segment.
pub(crate) fn segment<T>(text: &str, request: id::Request) -> Result<T, Answer>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    text.parse().map_err(|error: T::Err| {
        Answer::invalid(StatusCode::BAD_REQUEST, request, error.to_string())
    })
}

/// Builds the routes of the callers' interface.
pub(crate) fn router(api: Arc<Api>) -> Router {
    let limit_bytes = api.job_body_limit_bytes;
    Router::new()
        .route("/v1/check/{service}", any(check))
        .route("/v1/check/{service}/", any(check))
        .route("/v1/check/{service}/{*path}", any(check))
        .route(
            "/v1/jobs/{name}",
            post(jobs::submit).get(jobs::status).delete(jobs::cancel),
        )
        .route("/v1/jobs/{name}/result", get(jobs::result))
        .route("/v1/orders/{service}", post(jobs::order))
        .route(
            "/v1/orders/{service}/{customer}/{key}",
            get(jobs::order_outcome),
        )
        .fallback(not_found)
        .layer(DefaultBodyLimit::max(limit_bytes))
        .layer(from_fn_with_state(api.clone(), middleware::apply))
        .with_state(api)
}

/// Serves a quick check. The service is read from the raw path, because the rest
/// of the path is for the endpoint and need not be UTF-8 once decoded.
async fn check(State(api): State<Arc<Api>>, request: Request) -> Response {
    let path = request.uri().path();
    let rest = path.strip_prefix("/v1/check/").unwrap_or_default();
    let service = rest.split('/').next().unwrap_or_default().to_owned();
    check::handle(api, &service, request).await
}

async fn not_found(State(api): State<Arc<Api>>) -> Response {
    let message = "no such path; see the guide for the callers' interface";
    Answer::invalid(StatusCode::NOT_FOUND, api.request(), message).into_response()
}
