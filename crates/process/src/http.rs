//! An HTTP server with limits and a graceful end, for callers and operators.

use {
    crate::linger::Lingering,
    axum::Router,
    hyper_util::{
        rt::{TokioExecutor, TokioIo, TokioTimer},
        server::{conn::auto::Builder, graceful::GracefulShutdown},
        service::TowerToHyperService,
    },
    spdlog::prelude::*,
    std::{net::SocketAddr, pin::pin, sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        sync::{watch, Semaphore},
    },
};

/// How long a caller may take to send a whole header.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// A header up to this many times the limit is still read, so that the router
/// can refuse it with an explanation; a larger one gets a bare 431.
const HEADROOM: usize = 2;
/// How long to wait after a failed accept, which is mostly a lack of file
/// descriptors that only time mends.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long a server that stops still accepts connections. Without it, those
/// in the listener's queue are reset, and their requests get no answer.
const LINGER: Duration = Duration::from_secs(1);

/// Bounds on what one server takes from its callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest header, in bytes.
    pub header_bytes: usize,
    /// Most connections at once; others wait to be accepted.
    pub connections: usize,
}

/// Serves `router` on `listener` until `stop` turns true, and returns when the
/// last request in progress has ended.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    limits: Limits,
    mut stop: watch::Receiver<bool>,
) {
    let permits = Arc::new(Semaphore::new(limits.connections));
    let graceful = GracefulShutdown::new();
    let builder = builder(limits);
    let mut lingered = pin!(lingered(&mut stop));
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &permits) => accepted,
            () = &mut lingered => break,
        };
        let Some((stream, peer)) = accepted else {
            continue;
        };
        let service = TowerToHyperService::new(router.clone());
        let connection = builder
            .serve_connection_with_upgrades(TokioIo::new(stream), service)
            .into_owned();
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(error) = watched.await {
                debug!("caller's connection broken", kv: { peer:, error: });
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Waits for the stop, and for callers that connected before they learned of
/// it. A server whose stop cannot come any more runs on.
async fn lingered(stop: &mut watch::Receiver<bool>) {
    if stop.wait_for(|stop| *stop).await.is_err() {
        std::future::pending().await
    }
    tokio::time::sleep(LINGER).await;
}

fn builder(limits: Limits) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(limits.header_bytes.max(8192) * HEADROOM);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(limits.header_bytes as u32)
        .keep_alive_interval(Duration::from_secs(20));
    builder
}

async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(Lingering, SocketAddr)> {
    let permit = permits.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, peer)) => {
            // Without this, small answers wait for the peer's delayed
            // acknowledgement.
            let _ = stream.set_nodelay(true);
            Some((Lingering::new(stream, permit), peer))
        }
        Err(error) => {
            warn!("connection not accepted", kv: { error: });
            tokio::time::sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}
