//! Runs the agent: its threads, its links, and the clients of its endpoint and
//! worker.

mod check;
mod control;
mod endpoint;
mod links;
mod monitor;
mod orders;
mod peaks;
mod window;
mod worker;

use {
    crate::settings::Settings,
    control::{Handle, Input, Parts, Thread, INBOX_LIMIT},
    filbertbend_coordination::{
        executor::{self, Executor},
        membership::{self, Announcement, Heartbeater},
    },
    filbertbend_process::{http, keys, operators, signal},
    filbertbend_state::{config::Snapshot, hash, id},
    filbertbend_transport::{clock, tls},
    links::{Dialler, Requests},
    metrics_exporter_prometheus::PrometheusHandle,
    monitor::Monitor,
    orders::Orders,
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    spdlog::prelude::*,
    std::{io, sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        runtime,
        sync::{mpsc, oneshot, watch},
    },
};

/// How long a leaving agent still answers after it has announced that it leaves,
/// so that every entry learns of it: a round trip between data centres plus slack.
const LEAVE_NOTICE: Duration = Duration::from_millis(300);
/// How long an agent that is otherwise ready to exit waits for its answers to be
/// delivered.
const DELIVERY_LIMIT: Duration = Duration::from_secs(5);
/// Number of traffic threads, which run links and HTTP.
const TRAFFIC_THREADS: usize = 2;
/// Limits of the operators' interface, which only scrapers use.
const OPERATOR_LIMITS: http::Limits = http::Limits {
    header_bytes: 16 << 10,
    connections: 64,
    overflow: http::Overflow::Evict,
};

/// Why the agent could not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A thread, socket or signal handler cannot be created.
    #[error("cannot start: {0}")]
    Io(#[from] io::Error),
    /// The keys cannot be used.
    #[error(transparent)]
    Keys(#[from] tls::Error),
    /// The metrics recorder cannot be installed.
    #[error("cannot record metrics: {0}")]
    Metrics(String),
    /// The operators' address cannot be bound.
    #[error("cannot listen for operators at {address}: {source}")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// The cause.
        source: io::Error,
    },
}

/// Runs the agent as a separate process until a signal terminates it and its
/// requests, orders and tasks have ended.
///
/// # Errors
///
/// Returns an [`Error`] if it cannot start.
pub fn run(settings: Settings) -> Result<(), Error> {
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(TRAFFIC_THREADS)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let metrics =
            operators::install_recorder().map_err(|error| Error::Metrics(error.to_string()))?;
        serve(settings, metrics, signal::listen()?).await
    })
}

/// Runs the agent until `stop` becomes true and its requests, orders and tasks
/// have ended. Several agents may run in one process, as in the `local` example.
///
/// # Errors
///
/// Returns an [`Error`] if it cannot start.
pub async fn serve(
    settings: Settings,
    metrics: PrometheusHandle,
    mut stop: watch::Receiver<bool>,
) -> Result<(), Error> {
    let identity = keys::load_and_watch(&settings.tls)?;
    let incarnation = id::Incarnation(clock::wall().0);
    let (inbox, inputs) = mpsc::channel(INBOX_LIMIT);
    let control = Handle::new(inbox);
    let endpoint = endpoint::Client::new(settings.addresses.endpoint);
    let worker = worker::Client::new(settings.addresses.worker).start(control.clone());
    let requests = Requests::default();
    let dialler = Dialler {
        runtime: runtime::Handle::current(),
        identity,
        announcement: announcement(&settings, incarnation),
        slices: settings.slices,
        control: control.clone(),
        endpoint: endpoint.clone(),
        requests: requests.clone(),
    };
    let orders = Orders {
        runtime: runtime::Handle::current(),
        control: control.clone(),
        endpoint,
    };
    let (snapshot, _) = watch::channel(Arc::new(Snapshot::default()));
    let (exit, exited) = oneshot::channel();
    let thread = Thread::new(Parts {
        executor: executor(&settings, incarnation),
        heartbeater: heartbeater(&settings, incarnation),
        monitor: monitor(&settings, incarnation),
        dialler,
        worker,
        orders,
        config: snapshot,
        exit,
    });
    control::start(thread, inputs)?;
    let ready = serve_operators(&settings, metrics).await?;
    info!("agent started", kv: { endpoint: = settings.endpoint, worker: = settings.worker });
    let _ = stop.wait_for(|stop| *stop).await;
    ready.send_replace(false);
    control.send(Input::Leave).await;
    let notice_end = tokio::time::Instant::now() + LEAVE_NOTICE;
    // This fails only if the control thread has ended; then nothing is running.
    let _ = exited.await;
    tokio::time::sleep_until(notice_end).await;
    let left = requests.finish(DELIVERY_LIMIT).await;
    if left > 0 {
        warn!("agent left with undelivered answers", kv: { requests: = left });
    }
    info!("agent left", kv: { endpoint: = settings.endpoint });
    Ok(())
}

/// Starts the operators' interface and returns the sender of its readiness.
async fn serve_operators(
    settings: &Settings,
    metrics: PrometheusHandle,
) -> Result<watch::Sender<bool>, Error> {
    let address = settings.addresses.operators;
    let listener = TcpListener::bind(address)
        .await
        .map_err(|source| Error::Listen { address, source })?;
    let (ready, readiness) = watch::channel(true);
    let router = operators::router(metrics, readiness);
    let (_, never) = watch::channel(false);
    tokio::spawn(http::serve(listener, router, OPERATOR_LIMITS, never));
    Ok(ready)
}

fn announcement(settings: &Settings, incarnation: id::Incarnation) -> Announcement {
    Announcement {
        endpoint: settings.endpoint.clone(),
        worker: settings.worker.clone(),
        incarnation,
        data_centre: settings.data_centre.clone(),
        rack: settings.rack.clone(),
        services: settings.services.clone(),
        slots: settings.slots,
        connections: settings.connections,
        room: settings.room,
    }
}

fn executor(settings: &Settings, incarnation: id::Incarnation) -> Executor {
    let limits = executor::Settings::new(
        settings.room,
        settings.slots,
        settings.connections,
        settings.slices,
    );
    Executor::new(
        limits,
        ChaCha8Rng::seed_from_u64(seed(settings, incarnation)),
    )
}

fn monitor(settings: &Settings, incarnation: id::Incarnation) -> Monitor {
    let seed = seed(settings, incarnation).wrapping_add(1);
    let rng = ChaCha8Rng::seed_from_u64(seed);
    Monitor::new(settings.room.cores, settings.slots, rng)
}

fn heartbeater(settings: &Settings, incarnation: id::Incarnation) -> Heartbeater {
    Heartbeater::new(membership::Settings {
        seeds: settings.seeds.clone(),
        own: None,
        seed: seed(settings, incarnation),
    })
}

/// Returns a random seed that differs between agents and between restarts.
fn seed(settings: &Settings, incarnation: id::Incarnation) -> u64 {
    hash::of(format!("{}/{incarnation}", settings.endpoint))
}
