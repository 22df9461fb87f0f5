//! The store's HTTP interface, with faults that a test can inject.

use {
    super::memory::{Count, Memory},
    axum::{
        body::Body,
        extract::State,
        http::StatusCode,
        response::{IntoResponse, Response},
        routing::post,
        Json, Router,
    },
    filbertbend_coordination::store::{Answer, Call, Pair},
    filbertbend_state::time::Instant,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{net::TcpListener, sync::Notify},
};

/// Faults of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// Every call is refused.
    pub down: bool,
    /// Delay of every answer.
    pub delay: Duration,
    /// The number of next writes that take effect and whose answers are lost.
    pub lost_answers: u32,
}

struct Shared {
    memory: Mutex<Memory>,
    faults: Mutex<Faults>,
    changed: Notify,
    started: std::time::Instant,
}

impl Shared {
    fn now(&self) -> Instant {
        Instant(self.started.elapsed().as_millis() as u64)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A store that serves HTTP calls on loopback.
#[derive(Clone)]
pub struct Server {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Server {
    /// Starts a store on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            memory: Mutex::new(Memory::new()),
            faults: Mutex::new(Faults::default()),
            changed: Notify::new(),
            started: std::time::Instant::now(),
        });
        let router = Router::new()
            .route("/v1/call", post(answer))
            .layer(axum::extract::DefaultBodyLimit::max(16 << 20))
            .with_state(shared.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(Self { shared, address })
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Executes one call directly, without the network and its faults.
    pub fn call(&self, call: Call) -> Answer {
        execute(&self.shared, call)
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.shared.faults) = faults;
    }

    /// Returns the number of calls answered so far.
    pub fn count(&self) -> Count {
        lock(&self.shared.memory).count()
    }

    /// Returns all pairs whose keys have the prefix.
    pub fn pairs(&self, prefix: impl AsRef<str>) -> Vec<Pair> {
        lock(&self.shared.memory).pairs(prefix)
    }
}

async fn answer(State(shared): State<Arc<Shared>>, Json(call): Json<Call>) -> Response {
    let faults = *lock(&shared.faults);
    if faults.down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    tokio::time::sleep(faults.delay).await;
    let answer = match &call {
        Call::Watch { wait_ms, .. } => watch(&shared, call.clone(), *wait_ms).await,
        _ => execute(&shared, call),
    };
    if matches!(answer, Answer::Written(_)) && take_lost_answer(&shared) {
        return abort_connection();
    }
    Json(answer).into_response()
}

fn execute(shared: &Shared, call: Call) -> Answer {
    let answer = lock(&shared.memory).call(shared.now(), call);
    if matches!(answer, Answer::Written(_)) {
        shared.changed.notify_waiters();
    }
    answer
}

/// Waits for a change. A watch counts as one call, however long it waits.
async fn watch(shared: &Shared, call: Call, wait_ms: u64) -> Answer {
    let deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
    let mut counted = false;
    loop {
        let changed = shared.changed.notified();
        let answer = if counted {
            lock(&shared.memory).poll_watch(shared.now(), &call)
        } else {
            execute(shared, call.clone())
        };
        counted = true;
        let now = tokio::time::Instant::now();
        if answer != Answer::Unchanged || now >= deadline {
            return answer;
        }
        // Leases expire without a write, so expiry has to be polled.
        let poll = (deadline - now).min(Duration::from_millis(100));
        let _ = tokio::time::timeout(poll, changed).await;
    }
}

fn take_lost_answer(shared: &Shared) -> bool {
    let mut faults = lock(&shared.faults);
    let lost = faults.lost_answers > 0;
    faults.lost_answers = faults.lost_answers.saturating_sub(1);
    lost
}

/// Aborts the connection instead of answering.
fn abort_connection() -> Response {
    let aborted = futures_util::stream::once(async {
        Err::<bytes::Bytes, _>(io::Error::other("answer lost"))
    });
    Response::new(Body::from_stream(aborted))
}
