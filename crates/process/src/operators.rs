//! The operators' HTTP interface that both processes have: metrics, health and
//! readiness.

use {
    axum::{
        extract::State,
        http::{header, StatusCode},
        response::IntoResponse,
        routing::get,
        Router,
    },
    metrics_exporter_prometheus::{BuildError, PrometheusBuilder, PrometheusHandle},
    tokio::sync::watch,
};

/// Bounds of the duration histograms, in seconds. Quick checks take
/// milliseconds and orders up to a minute.
const BUCKETS_S: [f64; 16] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 60.0, 300.0,
];

/// Makes the process's metrics recorder.
///
/// # Errors
///
/// Returns an error if a recorder is installed already.
pub fn install_recorder() -> Result<PrometheusHandle, BuildError> {
    PrometheusBuilder::new()
        .set_buckets(&BUCKETS_S)?
        .install_recorder()
}

#[derive(Clone)]
struct Shared {
    metrics: PrometheusHandle,
    ready: watch::Receiver<bool>,
}

/// Makes the route of the metrics alone, for a process whose readiness others
/// ask for elsewhere.
pub fn metrics_router(metrics: PrometheusHandle) -> Router {
    Router::new().route("/metrics", get(move || async move { text(&metrics) }))
}

/// Makes the routes; `ready` tells whether the balancer may send requests.
pub fn router(metrics: PrometheusHandle, ready: watch::Receiver<bool>) -> Router {
    Router::new()
        .route("/metrics", get(render))
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(readiness))
        .with_state(Shared { metrics, ready })
}

async fn render(State(shared): State<Shared>) -> impl IntoResponse {
    text(&shared.metrics)
}

fn text(metrics: &PrometheusHandle) -> impl IntoResponse {
    metrics.run_upkeep();
    let media_type = "text/plain; version=0.0.4";
    ([(header::CONTENT_TYPE, media_type)], metrics.render())
}

async fn readiness(State(shared): State<Shared>) -> impl IntoResponse {
    if *shared.ready.borrow() {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}
