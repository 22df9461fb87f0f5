//! The worker's HTTP interface.

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

/// The longest time that a reader of events may wait.
const LONGEST_WAIT_MS: u64 = 30_000;

/// Reads the instance's monotonic clock, which agent and worker share.
pub fn now() -> Instant {
    let time = clock_gettime(ClockId::Monotonic);
    Instant(time.tv_sec as u64 * 1000 + time.tv_nsec as u64 / 1_000_000)
}

/// A model that a server and a test share.
#[derive(Clone)]
pub struct Shared {
    model: Arc<Mutex<Model>>,
    changed: Arc<Notify>,
}

impl Shared {
    /// Shares `model`.
    pub fn new(model: Model) -> Self {
        Self {
            model: Arc::new(Mutex::new(model)),
            changed: Arc::new(Notify::new()),
        }
    }

    /// Locks the model, for tests to inspect it or to set faults.
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
struct After {
    after: u64,
    wait_ms: u64,
}

/// Returns the routes of the worker interface.
pub fn router(shared: Shared) -> Router {
    Router::new()
        .route("/v1/command", post(command))
        .route("/v1/tasks", get(tasks))
        .route("/v1/events", get(events))
        .with_state(shared)
}

/// Serves the worker interface until the listener fails.
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
    Query(query): Query<After>,
) -> Result<Json<Page>, StatusCode> {
    let until = now().0 + query.wait_ms.min(LONGEST_WAIT_MS);
    loop {
        let changed = shared.changed.notified();
        let pause = {
            let mut model = shared.reachable()?;
            let page = model.events(now(), query.after);
            let at = now().0;
            if !page.events.is_empty() || at >= until {
                return Ok(Json(page));
            }
            let due = model.next_due().map_or(until, |due| due.0.min(until));
            Duration::from_millis(due.saturating_sub(at).max(1))
        };
        let _ = tokio::time::timeout(pause, changed).await;
    }
}
