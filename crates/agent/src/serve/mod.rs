//! The agent's process: its threads, links, endpoint and worker.

mod check;
mod control;
mod endpoint;
mod guard;
mod links;
mod orders;
mod peaks;
mod recent;
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
    guard::Guard,
    links::{Dialler, Requests},
    metrics_exporter_prometheus::PrometheusHandle,
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

/// How long an agent that leaves still answers after it has said so, in which
/// every entry hears of it: a round trip between data centres and some slack.
const NOTICE_TIME: Duration = Duration::from_millis(300);
/// How long answers on their way may keep an agent that has nothing else to do.
const DELIVERY_LIMIT: Duration = Duration::from_secs(5);
/// Threads that move traffic.
const TRAFFIC_THREADS: usize = 2;
/// Limits of the operators' interface, which only scrapers use.
const OPERATOR_LIMITS: http::Limits = http::Limits {
    header_bytes: 16 << 10,
    connections: 64,
};

/// Why the agent could not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A thread, socket or signal handler could not be had.
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
        /// Why.
        source: io::Error,
    },
}

/// Runs the agent as a process of its own, until a signal tells it to leave and
/// everything has ended.
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
        let metrics = operators::install().map_err(|error| Error::Metrics(error.to_string()))?;
        serve(settings, metrics, signal::listen()?).await
    })
}

/// Runs the agent until `stop` turns true and everything has ended. Several
/// may run in one process, as the local example does.
///
/// # Errors
///
/// Returns an [`Error`] if it cannot start.
pub async fn serve(
    settings: Settings,
    metrics: PrometheusHandle,
    mut stop: watch::Receiver<bool>,
) -> Result<(), Error> {
    let identity = keys::follow(&settings.tls)?;
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
        beacon: beacon(&settings, incarnation),
        guard: guard(&settings, incarnation),
        dialler,
        worker,
        orders,
        revision: snapshot,
        exit,
    });
    control::start(thread, inputs)?;
    let ready = operate(&settings, metrics).await?;
    info!("agent started", kv: { endpoint: = settings.endpoint, worker: = settings.worker });
    let _ = stop.wait_for(|stop| *stop).await;
    ready.send_replace(false);
    control.send(Input::Leave).await;
    let notified = tokio::time::Instant::now() + NOTICE_TIME;
    // Fails only if the control thread has ended, and then nothing runs.
    let _ = exited.await;
    tokio::time::sleep_until(notified).await;
    let left = requests.finish(DELIVERY_LIMIT).await;
    if left > 0 {
        warn!("left with answers not delivered", kv: { requests: = left });
    }
    info!("agent left", kv: { endpoint: = settings.endpoint });
    Ok(())
}

/// Starts the operators' interface and returns its readiness.
async fn operate(
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

fn guard(settings: &Settings, incarnation: id::Incarnation) -> Guard {
    let seed = seed(settings, incarnation).wrapping_add(1);
    let rng = ChaCha8Rng::seed_from_u64(seed);
    Guard::new(settings.room.cores, settings.slots, rng)
}

fn beacon(settings: &Settings, incarnation: id::Incarnation) -> Heartbeater {
    Heartbeater::new(membership::Settings {
        seeds: settings.seeds.clone(),
        own: None,
        seed: seed(settings, incarnation),
    })
}

/// Makes a seed that differs between agents and between their lives.
fn seed(settings: &Settings, incarnation: id::Incarnation) -> u64 {
    hash::of(format!("{}/{incarnation}", settings.endpoint))
}
