//! The HTTP interface for operators: metrics, health and readiness.

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

/// Bucket bounds of the duration histograms, in seconds. Checks take
/// milliseconds, and orders up to a minute.
const BUCKETS_S: [f64; 16] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 60.0, 300.0,
];

/// Installs the metrics recorder of the process.
///
/// # Errors
///
/// Returns an error if a recorder is installed already.
pub fn install_recorder() -> Result<PrometheusHandle, BuildError> {
    PrometheusBuilder::new()
        .set_buckets(&BUCKETS_S)?
        .install_recorder()
}

/// State that the routes of [`router`] share.
#[derive(Clone)]
struct Shared {
    metrics: PrometheusHandle,
    ready: watch::Receiver<bool>,
}

/// Returns a router with only `/metrics`, for a process that serves its
/// readiness elsewhere.
pub fn metrics_router(metrics: PrometheusHandle) -> Router {
    Router::new().route(
        "/metrics",
        get(move || async move { render_metrics(&metrics) }),
    )
}

/// Returns a router with `/metrics`, `/healthz` and `/readyz`; `ready` states
/// whether load balancers may send requests to the process.
pub fn router(metrics: PrometheusHandle, ready: watch::Receiver<bool>) -> Router {
    Router::new()
        .route("/metrics", get(get_metrics))
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(get_readiness))
        .with_state(Shared { metrics, ready })
}

async fn get_metrics(State(shared): State<Shared>) -> impl IntoResponse {
    render_metrics(&shared.metrics)
}

fn render_metrics(metrics: &PrometheusHandle) -> impl IntoResponse {
    metrics.run_upkeep();
    let media_type = "text/plain; version=0.0.4";
    ([(header::CONTENT_TYPE, media_type)], metrics.render())
}

async fn get_readiness(State(shared): State<Shared>) -> impl IntoResponse {
    if *shared.ready.borrow() {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}
