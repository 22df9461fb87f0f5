//! The worker's HTTP API.

use {
    super::model::{Model, Page},
    axum::{
        extract::{Query, State},
        http::StatusCode,
        routing::{get, post},
        Json, Router,
    },
    filbertbend_coordination::worker::{Command, Running},
    filbertbend_state::time::Instant,
    rustix::time::{clock_gettime, ClockId},
    serde::Deserialize,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{net::TcpListener, sync::Notify},
};

/// The longest time that a request for events may wait.
const LONGEST_WAIT_MS: u64 = 30_000;

/// Returns the instance's monotonic time, which agent and worker share.
pub fn now() -> Instant {
    let time = clock_gettime(ClockId::Monotonic);
    Instant(time.tv_sec as u64 * 1000 + time.tv_nsec as u64 / 1_000_000)
}

/// A worker model shared by a server and a test.
#[derive(Clone)]
pub struct Shared {
    model: Arc<Mutex<Model>>,
    changed: Arc<Notify>,
}

impl Shared {
    /// Creates a handle that shares `model`.
    pub fn new(model: Model) -> Self {
        Self {
            model: Arc::new(Mutex::new(model)),
            changed: Arc::new(Notify::new()),
        }
    }

    /// Locks the model, so that tests can inspect it or inject faults.
    pub fn lock(&self) -> MutexGuard<'_, Model> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn reachable(&self) -> Result<MutexGuard<'_, Model>, StatusCode> {
        let model = self.lock();
        if model.faults().unreachable {
            Err(StatusCode::SERVICE_UNAVAILABLE)
        } else {
            Ok(model)
        }
    }
}

#[derive(Deserialize)]
struct Position {
    after: u64,
    wait_ms: u64,
}

/// Returns the routes of the worker API.
pub fn router(shared: Shared) -> Router {
    Router::new()
        .route("/v1/command", post(command))
        .route("/v1/tasks", get(tasks))
        .route("/v1/events", get(events))
        .with_state(shared)
}

/// Serves the worker API until the listener fails.
///
/// # Errors
///
/// Returns the listener's error.
pub async fn serve(listener: TcpListener, shared: Shared) -> std::io::Result<()> {
    axum::serve(listener, router(shared)).await
}

async fn command(
    State(shared): State<Shared>,
    Json(command): Json<Command>,
) -> Result<StatusCode, StatusCode> {
    shared.reachable()?.command(now(), command);
    shared.changed.notify_waiters();
    Ok(StatusCode::NO_CONTENT)
}

async fn tasks(State(shared): State<Shared>) -> Result<Json<Vec<Running>>, StatusCode> {
    Ok(Json(shared.reachable()?.running(now())))
}

async fn events(
    State(shared): State<Shared>,
    Query(query): Query<Position>,
) -> Result<Json<Page>, StatusCode> {
    let deadline = now().0 + query.wait_ms.min(LONGEST_WAIT_MS);
    loop {
        let changed = shared.changed.notified();
        let pause = {
            let mut model = shared.reachable()?;
            let page = model.events(now(), query.after);
            let at = now().0;
            if !page.events.is_empty() || at >= deadline {
                return Ok(Json(page));
            }
            let due = model.next_due().map_or(deadline, |due| due.0.min(deadline));
            Duration::from_millis(due.saturating_sub(at).max(1))
        };
        let _ = tokio::time::timeout(pause, changed).await;
    }
}
