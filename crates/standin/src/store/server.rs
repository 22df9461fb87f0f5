//! The store's HTTP interface, with faults that a test can turn on.

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

/// What is wrong with the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// No call is taken.
    pub down: bool,
    /// Every answer is this late.
    pub delay: Duration,
    /// The answers of this many writes are lost after they took effect.
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

/// A store that serves calls on loopback.
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

    /// Returns the address that it serves.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Carries out one call without the network and its faults.
    pub fn call(&self, call: Call) -> Answer {
        carry_out(&self.shared, call)
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.shared.faults) = faults;
    }

    /// Returns the calls answered so far.
    pub fn count(&self) -> Count {
        lock(&self.shared.memory).count()
    }

    /// Returns all pairs with a prefix.
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
        _ => carry_out(&shared, call),
    };
    if matches!(answer, Answer::Written(_)) && lose_answer(&shared) {
        return lost();
    }
    Json(answer).into_response()
}

fn carry_out(shared: &Shared, call: Call) -> Answer {
    let answer = lock(&shared.memory).call(shared.now(), call);
    if matches!(answer, Answer::Written(_)) {
        shared.changed.notify_waiters();
    }
    answer
}

/// Waits for a change; counts as one call however long it waits.
async fn watch(shared: &Shared, call: Call, wait_ms: u64) -> Answer {
    let deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
    let mut counted = false;
    loop {
        let changed = shared.changed.notified();
        let answer = if counted {
            lock(&shared.memory).peek(shared.now(), &call)
        } else {
            carry_out(shared, call.clone())
        };
        counted = true;
        let now = tokio::time::Instant::now();
        if answer != Answer::Unchanged || now >= deadline {
            return answer;
        }
        // Leases lapse without a write, so the wait is cut short to see it.
        let pause = (deadline - now).min(Duration::from_millis(100));
        let _ = tokio::time::timeout(pause, changed).await;
    }
}

fn lose_answer(shared: &Shared) -> bool {
    let mut faults = lock(&shared.faults);
    let lost = faults.lost_answers > 0;
    faults.lost_answers = faults.lost_answers.saturating_sub(1);
    lost
}

/// Breaks the connection instead of answering.
fn lost() -> Response {
    let broken =
        futures_util::stream::once(async { Err::<bytes::Bytes, _>(io::Error::other("lost")) });
    Response::new(Body::from_stream(broken))
}
