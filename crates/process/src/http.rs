//! An HTTP server with limits and graceful shutdown, for callers and operators.

use {
    crate::{
        clients::{self, Client, Clients},
        linger::{evicted, Lingering, Place},
    },
    axum::{
        body::HttpBody,
        extract::{Request, State},
        middleware::{from_fn_with_state, Next},
        response::Response,
        Router,
    },
    hyper_util::{
        rt::{TokioExecutor, TokioIo, TokioTimer},
        server::{conn::auto::Builder, graceful::GracefulShutdown},
        service::TowerToHyperService,
    },
    spdlog::prelude::*,
    std::{net::SocketAddr, pin::pin, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{watch, OwnedSemaphorePermit, Semaphore},
    },
};

/// How long a caller may take to send a complete header.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Ratio of the read buffer to the header limit. A header up to this many times
/// the limit is still read, so that the router can refuse it with an
/// explanation; a larger one gets a 431 response without a body.
const HEADER_BUFFER_FACTOR: usize = 2;
/// How long to wait after a failed accept. The usual cause is a lack of file
/// descriptors, which only resolves with time.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long a stopping server keeps accepting connections. Without this delay,
/// connections in the listener's backlog are reset, and their requests get no
/// answer.
const SHUTDOWN_DELAY: Duration = Duration::from_secs(1);

/// Limits of one server on its callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a header, in bytes.
    pub header_bytes: usize,
    /// Maximum number of open connections.
    pub connections: usize,
    /// What happens to a connection over that number.
    pub overflow: Overflow,
}

/// What happens to a connection over the limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Overflow {
    /// It waits to be accepted until another is closed. For callers whose
    /// answers may take long.
    Wait,
    /// It takes the place of another, so that connections that stay open don't
    /// lock out others. For operators, whose answers are short.
    Evict,
}

/// Gives connections their places within the limit.
enum Places {
    Permits(Arc<Semaphore>),
    Clients(Clients),
}

/// Serves `router` on `listener` until `stop` becomes true, and returns when
/// the last request in progress has ended.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    limits: Limits,
    mut stop: watch::Receiver<bool>,
) {
    let places = Places::new(limits);
    let graceful = GracefulShutdown::new();
    let builder = builder(limits);
    let mut shutdown_delay = pin!(shutdown_delay(&mut stop));
    loop {
        let accepted = tokio::select! {
            accepted = places.accept(&listener) => accepted,
            () = &mut shutdown_delay => break,
        };
        let Some((stream, place, peer)) = accepted else {
            continue;
        };
        let mut eviction = place.eviction.clone();
        let service = TowerToHyperService::new(noted(&router, &place));
        let stream = Lingering::new(stream, place);
        let connection = builder
            .serve_connection_with_upgrades(TokioIo::new(stream), service)
            .into_owned();
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            tokio::select! {
                biased;
                () = evicted(&mut eviction) => {}
                served = watched => if let Err(error) = served {
                    debug!("connection with caller failed", kv: { peer:, error: });
                }
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Waits until `stop` is true and [`SHUTDOWN_DELAY`] has passed, which lets
/// callers connect until they learn of the stop. If the sender of `stop` is
/// dropped, the server runs on.
async fn shutdown_delay(stop: &mut watch::Receiver<bool>) {
    if stop.wait_for(|stop| *stop).await.is_err() {
        std::future::pending().await
    }
    tokio::time::sleep(SHUTDOWN_DELAY).await;
}

/// Returns the router of a connection. If its place may be given to another, its
/// requests are noted, so that it stays while they are answered.
fn noted(router: &Router, place: &Place) -> Router {
    let router = router.clone();
    match place.client.clone() {
        Some(client) => router.layer(from_fn_with_state(client, note)),
        None => router,
    }
}

/// Notes a request while it is answered. One with a body may never be whole, so
/// its connection may give way.
async fn note(State(client): State<Arc<Client>>, request: Request, next: Next) -> Response {
    let noted = client.begin();
    if request.body().is_end_stream() {
        noted.answer();
    }
    next.run(request).await
}

fn builder(limits: Limits) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(limits.header_bytes.max(8192) * HEADER_BUFFER_FACTOR);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(limits.header_bytes as u32)
        .keep_alive_interval(Duration::from_secs(20));
    builder
}

impl Places {
    fn new(limits: Limits) -> Self {
        match limits.overflow {
            Overflow::Wait => Self::Permits(Arc::new(Semaphore::new(limits.connections))),
            Overflow::Evict => {
                let limits = clients::Limits {
                    connections: limits.connections,
                    request_bytes: 0,
                    stall_time: clients::NEAR_STALL_TIME,
                };
                Self::Clients(Clients::new("operators", limits))
            }
        }
    }

    async fn accept(&self, listener: &TcpListener) -> Option<(TcpStream, Place, SocketAddr)> {
        let permit = match self {
            Self::Permits(permits) => Some(permits.clone().acquire_owned().await.ok()?),
            Self::Clients(_) => None,
        };
        match listener.accept().await {
            Ok((stream, peer)) => {
                // With Nagle's algorithm, small answers would wait for the
                // peer's delayed acknowledgement.
                let _ = stream.set_nodelay(true);
                Some((stream, self.place(permit, peer).await?, peer))
            }
            Err(error) => {
                warn!("connection not accepted", kv: { error: });
                if let Self::Clients(clients) = self {
                    clients.shed(&error);
                }
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                None
            }
        }
    }

    async fn place(&self, permit: Option<OwnedSemaphorePermit>, peer: SocketAddr) -> Option<Place> {
        match self {
            Self::Permits(_) => permit.map(Place::permit),
            Self::Clients(clients) => {
                let (client, eviction) = clients.open(peer.ip()).await;
                Some(Place::client(client, eviction))
            }
        }
    }
}
