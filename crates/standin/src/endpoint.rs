//! A stand-in endpoint that answers checks after a service time and records the
//! orders that it ran.

use {
    axum::{
        body::{Body, Bytes},
        extract::{Path, Request, State},
        http::{header, HeaderMap, StatusCode},
        response::{IntoResponse, Response},
        routing::{any, get, post},
        Json, Router,
    },
    futures_util::stream::unfold,
    http_body_util::BodyExt,
    serde_json::json,
    std::{
        io,
        net::SocketAddr,
        sync::{
            atomic::{AtomicU32, AtomicU64, Ordering},
            Arc, Mutex, PoisonError,
        },
        time::{Duration, Instant},
    },
    tokio::net::TcpListener,
};

/// Size of a chunk of a streamed response.
const CHUNK_BYTES: usize = 16 << 10;

/// An order that the endpoint ran.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The value of the `x-customer` header.
    pub customer: Arc<str>,
    /// The value of the `idempotency-key` header.
    pub key: Arc<str>,
    /// When the endpoint received it.
    pub at: Instant,
}

#[derive(Default)]
struct Shared {
    name: String,
    service_time_ms: AtomicU64,
    running: AtomicU32,
    peak_running: AtomicU32,
    served: AtomicU64,
    orders: Mutex<Vec<Order>>,
}

/// Counts a request as running until it is dropped.
struct Slot(Arc<Shared>);

impl Slot {
    fn acquire(shared: &Arc<Shared>) -> Self {
        let running = shared.running.fetch_add(1, Ordering::SeqCst) + 1;
        shared.peak_running.fetch_max(running, Ordering::SeqCst);
        Self(shared.clone())
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
        self.0.served.fetch_add(1, Ordering::SeqCst);
    }
}

/// An endpoint that serves on loopback.
#[derive(Clone)]
pub struct Server {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Server {
    /// Starts an endpoint on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(name: impl Into<String>, service_time: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            name: name.into(),
            ..Shared::default()
        });
        let server = Self { shared, address };
        server.set_service_time(service_time);
        let router = Router::new()
            .route("/health", get(|| async { StatusCode::OK }))
            .route("/orders/{service}", post(order))
            .route("/echo", any(echo))
            .route("/stream/{bytes}", get(stream))
            .route("/broken/{bytes}", get(broken))
            .route("/short/{bytes}", get(short))
            .fallback(check)
            .with_state(server.shared.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(server)
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the service time of requests that start from now on.
    pub fn set_service_time(&self, time: Duration) {
        let time_ms = time.as_millis() as u64;
        self.shared.service_time_ms.store(time_ms, Ordering::SeqCst);
    }

    /// Returns the number of requests in progress.
    pub fn running(&self) -> u32 {
        self.shared.running.load(Ordering::SeqCst)
    }

    /// Returns the maximum number of requests in progress at once.
    pub fn peak_running(&self) -> u32 {
        self.shared.peak_running.load(Ordering::SeqCst)
    }

    /// Returns the number of requests that have ended so far.
    pub fn served(&self) -> u64 {
        self.shared.served.load(Ordering::SeqCst)
    }

    /// Returns the orders in the order in which they ran.
    pub fn orders(&self) -> Vec<Order> {
        self.shared
            .orders
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

async fn wait_service_time(shared: &Shared) {
    let time = Duration::from_millis(shared.service_time_ms.load(Ordering::SeqCst));
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}

/// Answers with the path and the body length, so that a caller can verify that
/// the answer is for its own request.
async fn check(State(shared): State<Arc<Shared>>, request: Request) -> Response {
    let _slot = Slot::acquire(&shared);
    let path = request.uri().to_string();
    let Ok(body) = request.into_body().collect().await else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    wait_service_time(&shared).await;
    let answer = json!({
        "endpoint": shared.name,
        "path": path,
        "bytes": body.to_bytes().len(),
    });
    Json(answer).into_response()
}

/// Streams the request body back as it arrives, with its trailers.
async fn echo(State(shared): State<Arc<Shared>>, request: Request) -> Response {
    let _slot = Slot::acquire(&shared);
    wait_service_time(&shared).await;
    let (parts, body) = request.into_parts();
    let mut response = Response::new(body);
    if let Some(names) = parts.headers.get(header::TRAILER) {
        response
            .headers_mut()
            .insert(header::TRAILER, names.clone());
    }
    response
}

/// Streams a response of `bytes` bytes.
async fn stream(State(shared): State<Arc<Shared>>, Path(bytes): Path<usize>) -> Response {
    Response::new(chunked_body(&shared, bytes, false))
}

/// Aborts a response without `content-length` after `bytes` bytes.
async fn broken(State(shared): State<Arc<Shared>>, Path(bytes): Path<usize>) -> Response {
    Response::new(chunked_body(&shared, bytes, true))
}

/// Sends a `content-length` of `bytes` and aborts half way.
async fn short(State(shared): State<Arc<Shared>>, Path(bytes): Path<usize>) -> Response {
    let mut response = Response::new(chunked_body(&shared, bytes / 2, true));
    response
        .headers_mut()
        .insert(header::CONTENT_LENGTH, bytes.into());
    response
}

/// Returns a body of `bytes` bytes whose request counts as running until the
/// last chunk is read. With `aborts`, the body ends with an error.
fn chunked_body(shared: &Arc<Shared>, bytes: usize, aborts: bool) -> Body {
    let start = (Slot::acquire(shared), bytes, aborts);
    let chunks = unfold(start, |(slot, remaining, aborts)| async move {
        if remaining == 0 {
            let error = aborts.then(|| Err(io::Error::other("response aborted")));
            return error.map(|error| (error, (slot, 0, false)));
        }
        let size = remaining.min(CHUNK_BYTES);
        Some((
            Ok(Bytes::from(vec![7; size])),
            (slot, remaining - size, aborts),
        ))
    });
    Body::from_stream(chunks)
}

async fn order(
    State(shared): State<Arc<Shared>>,
    Path(service): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let _slot = Slot::acquire(&shared);
    let field = |name: &str| -> Arc<str> {
        headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .into()
    };
    let order = Order {
        customer: field("x-customer"),
        key: field("idempotency-key"),
        at: Instant::now(),
    };
    wait_service_time(&shared).await;
    let mut orders = shared.orders.lock().unwrap_or_else(PoisonError::into_inner);
    orders.push(order.clone());
    let answer = json!({
        "endpoint": shared.name,
        "service": service,
        "key": order.key,
        "bytes": body.len(),
    });
    Json(answer).into_response()
}
