//! What operators ask an entry about itself and about a job.

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

/// How long a question to an owner may take.
const WAIT: Millis = Millis::from_secs(3);

/// An entry's account of itself.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Status {
    /// The entry.
    pub(crate) entry: id::Entry,
    /// The configuration in force.
    pub(crate) revision: id::Revision,
    /// The slices that it owns.
    pub(crate) slices: Vec<id::Slice>,
    /// Tasks that wait for a worker.
    pub(crate) tasks_waiting: usize,
    /// Since when the store has not answered, in milliseconds before now.
    pub(crate) store_silent_ms: Option<Millis>,
    /// The live entries.
    pub(crate) entries: Vec<id::Entry>,
    /// The agents that it knows.
    pub(crate) agents: Vec<Agent>,
}

/// An agent as an entry sees it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Agent {
    /// Its endpoint.
    pub(crate) endpoint: id::Endpoint,
    /// Its worker.
    pub(crate) worker: id::Worker,
    /// The data centre.
    pub(crate) data_centre: id::DataCentre,
    /// Alive, suspect or down.
    pub(crate) state: String,
    /// Whether it takes no new work because it leaves or is drained.
    pub(crate) leaving: bool,
    /// Request slots in use and in all.
    pub(crate) slots: [u32; 2],
    /// Room that no task takes.
    pub(crate) free: String,
}

/// Builds the routes.
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
