//! The operators' status pages of an entry and of a job.

use {
    super::{
        answer::Answer,
        api::{segment, Api},
        control::{Handle, Input},
    },
    axum::{
        extract::{Path, State},
        http::StatusCode,
        response::{IntoResponse, Response},
        routing::get,
        Json, Router,
    },
    filbertbend_coordination::job::{self, Call},
    filbertbend_state::{hash, id, unit::Millis},
    serde::Serialize,
    std::sync::Arc,
    tokio::sync::oneshot,
};

/// How long a call to a slice's owner may take.
const WAIT: Millis = Millis::from_secs(3);

/// The status of an entry.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Status {
    /// The name of this entry.
    pub(crate) entry: id::Entry,
    /// The revision of the configuration in force.
    pub(crate) revision: id::Revision,
    /// The slices that this entry owns.
    pub(crate) slices: Vec<id::Slice>,
    /// The number of tasks that wait for a worker.
    pub(crate) tasks_waiting: usize,
    /// How long the store has not answered, if it does not.
    pub(crate) store_silent_ms: Option<Millis>,
    /// The live entries.
    pub(crate) entries: Vec<id::Entry>,
    /// The agents that this entry knows.
    pub(crate) agents: Vec<Agent>,
}

/// An agent as an entry sees it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Agent {
    /// The endpoint that it serves.
    pub(crate) endpoint: id::Endpoint,
    /// The worker that it runs on.
    pub(crate) worker: id::Worker,
    /// The data centre of the worker.
    pub(crate) data_centre: id::DataCentre,
    /// Alive, suspect or down.
    pub(crate) state: String,
    /// Whether it takes no new work because it is leaving or drained.
    pub(crate) leaving: bool,
    /// Request slots in use and in total.
    pub(crate) slots: [u32; 2],
    /// Room of the worker that no task uses.
    pub(crate) free: String,
}

/// Builds the routes of the status pages.
pub(crate) fn router(api: Arc<Api>) -> Router {
    Router::new()
        .route("/v1/status", get(status))
        .route("/v1/explain/{job}", get(explain))
        .with_state(api)
}

async fn status(State(api): State<Arc<Api>>) -> Result<Json<Status>, StatusCode> {
    request_status(&api.control)
        .await
        .map(Json)
        .ok_or(StatusCode::SERVICE_UNAVAILABLE)
}

async fn request_status(control: &Handle) -> Option<Status> {
    let (reply, answer) = oneshot::channel();
    control.post(Input::Inspect { reply });
    answer.await.ok()
}

async fn explain(State(api): State<Arc<Api>>, Path(job): Path<String>) -> Result<Response, Answer> {
    let request = api.request();
    let job: id::Job = segment(&job, request)?;
    let slice = hash::job_slice(job, api.slices);
    match api.control.call(slice, Call::Status(job), WAIT).await {
        job::Answer::Status(status) => Ok(Json(status).into_response()),
        job::Answer::Outcome(outcome) => Err(Answer::new(outcome, request)),
        _ => Err(Answer::invalid(
            StatusCode::NOT_FOUND,
            request,
            format!("no job {job} here, or it is no longer kept"),
        )),
    }
}
