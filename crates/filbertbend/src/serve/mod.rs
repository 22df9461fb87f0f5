//! Runs the entry: its threads, HTTP servers and links.

mod answer;
mod api;
mod check;
mod control;
mod dial;
mod dispatcher;
mod exchange;
mod inspect;
mod jobs;
mod links;
mod middleware;
mod observe;
mod slices;
mod store;
mod upload;
mod watched;

pub use answer::{reasons, statuses};

use {
    crate::settings::Settings,
    api::Api,
    control::{Handle, Input, Thread},
    dial::Dialler,
    dispatcher::Dispatcher,
    filbertbend_coordination::{
        config::Follower,
        membership::{self, Heartbeater, Member},
        ownership::Registry,
        placement::{self, Planner},
        slices as machines,
    },
    filbertbend_process::{http, keys, operators, signal},
    filbertbend_state::{config::Snapshot, hash, id, time::Instant, unit::Millis},
    filbertbend_transport::{
        clock,
        link::{self, Socket},
        store::Http,
        tls,
    },
    links::Acceptor,
    metrics_exporter_prometheus::PrometheusHandle,
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    slices::Slices,
    spdlog::prelude::*,
    std::{
        collections::HashMap,
        io,
        net::SocketAddr,
        sync::{atomic::AtomicU64, Arc},
        time::Duration,
    },
    store::Calls,
    tokio::{
        net::TcpListener,
        runtime,
        sync::{oneshot, watch},
    },
};

/// How long a leaving entry waits until its slices are handed over. The store
/// may be down, and other entries take the slices over in any case.
const LEAVE_LIMIT: Duration = Duration::from_secs(15);
/// Delay that starting a task in another data centre must save.
const REMOTE_COST: Millis = Millis(500);
/// Limits of the operators' interface, which only scrapers and operators use.
const OPERATOR_LIMITS: http::Limits = http::Limits {
    header_bytes: 16 << 10,
    connections: 64,
    overflow: http::Overflow::Evict,
};
/// Accepted connections are numbered from here, so that their numbers differ from
/// those that the heartbeater assigns to dialled ones.
const FIRST_ACCEPTED_CONNECTION: u64 = 1 << 32;

/// Why the entry could not start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A thread or signal handler cannot be created.
    #[error("cannot start: {0}")]
    Io(#[from] io::Error),
    /// The keys cannot be used.
    #[error(transparent)]
    Keys(#[from] tls::Error),
    /// The address for other processes cannot be bound.
    #[error(transparent)]
    Link(#[from] link::Error),
    /// The metrics recorder cannot be installed.
    #[error("cannot record metrics: {0}")]
    Metrics(String),
    /// An HTTP address cannot be bound.
    #[error("cannot listen at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
}

/// Runs the entry as a separate process until a signal terminates it and every
/// request has ended.
///
/// # Errors
///
/// Returns an [`Error`] if it cannot start.
pub fn run(settings: Settings) -> Result<(), Error> {
    let runtime = runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let metrics =
            operators::install_recorder().map_err(|error| Error::Metrics(error.to_string()))?;
        serve(settings, metrics, signal::listen()?).await
    })
}

/// Runs the entry until `stop` becomes true and every request has ended. Several
/// entries may run in one process, as in the `local` example.
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
    let callers = listen(settings.addresses.callers).await?;
    let operators = listen(settings.addresses.operators).await?;
    let socket = Socket::listen(settings.addresses.processes, &identity.borrow())?;
    tokio::spawn(follow_keys(identity.clone(), socket.clone()));
    let (control, inbox) = Handle::channel();
    let (snapshot, snapshots) = watch::channel(Arc::new(Snapshot::default()));
    let configured = snapshots.clone();
    let own = own_member(&settings);
    let dispatcher = Arc::new(Dispatcher::new(own.clone(), seed(&own), control.clone()));
    let thread = control_thread(
        &settings,
        &control,
        &dispatcher,
        identity,
        own.clone(),
        snapshot,
    );
    control::start(thread, inbox)?;
    let acceptor = Acceptor {
        own,
        slices: settings.slices,
        dispatcher: dispatcher.clone(),
        control: control.clone(),
        connections: Arc::new(AtomicU64::new(FIRST_ACCEPTED_CONNECTION)),
    };
    tokio::spawn(acceptor.run(socket.clone()));
    let (ready, readiness) = watch::channel(false);
    let (_running, never) = watch::channel(false);
    let api = Arc::new(Api::new(
        settings.name.clone(),
        dispatcher.clone(),
        control.clone(),
        snapshots,
        settings.slices,
        &settings.limits,
    ));
    let router = operators::router(metrics, readiness).merge(inspect::router(api.clone()));
    tokio::spawn(http::serve(operators, router, OPERATOR_LIMITS, never));
    let limits = http::Limits {
        header_bytes: settings.limits.header.0 as usize,
        connections: settings.limits.connections.0 as usize,
        overflow: http::Overflow::Wait,
    };
    info!("entry started", kv: { entry: = settings.name });
    let server = http::serve(callers, api::router(api), limits, stop.clone());
    let leaving = async {
        tokio::select! {
            () = report_readiness(configured, &ready) => {}
            _ = stop.wait_for(|stop| *stop) => {}
        }
        let _ = stop.wait_for(|stop| *stop).await;
        ready.send_replace(false);
        dispatcher.leave();
    };
    tokio::join!(server, leaving);
    let (handed_over, handover) = oneshot::channel();
    control.post(Input::Leave { handed_over });
    if tokio::time::timeout(LEAVE_LIMIT, handover).await.is_err() {
        warn!("entry left without handing every slice over", kv: { entry: = settings.name });
    }
    socket.close().await;
    info!("entry left", kv: { entry: = settings.name });
    Ok(())
}

/// Uses new keys for links that are opened from now on; open links keep theirs.
async fn follow_keys(mut identity: watch::Receiver<Arc<tls::Identity>>, mut socket: Socket) {
    while identity.changed().await.is_ok() {
        let newest = identity.borrow_and_update().clone();
        socket.reload(&newest);
    }
}

/// Reports the entry as ready to the load balancer once a configuration is in
/// force. Before that no service is known and every request would be refused.
async fn report_readiness(
    mut configured: watch::Receiver<Arc<Snapshot>>,
    ready: &watch::Sender<bool>,
) {
    let in_force = configured.wait_for(|snapshot| snapshot.revision > id::Revision(0));
    if in_force.await.is_ok() {
        ready.send_replace(true);
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address)
        .await
        .map_err(|source| Error::Listen { address, source })
}

fn own_member(settings: &Settings) -> Member {
    Member {
        entry: settings.name.clone(),
        address: settings.addresses.advertised,
        data_centre: settings.data_centre.clone(),
        incarnation: id::Incarnation(clock::wall().0),
    }
}

/// Returns a random seed that differs between entries and between restarts.
fn seed(own: &Member) -> u64 {
    hash::of(format!("{}/{}", own.entry, own.incarnation))
}

fn control_thread(
    settings: &Settings,
    control: &Handle,
    dispatcher: &Arc<Dispatcher>,
    identity: watch::Receiver<Arc<tls::Identity>>,
    own: Member,
    snapshot: watch::Sender<Arc<Snapshot>>,
) -> Thread {
    let seed = seed(&own);
    let runtime = runtime::Handle::current();
    let calls = Calls {
        runtime: runtime.clone(),
        client: Http::new(settings.store.addresses.clone()),
        control: control.clone(),
    };
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let value = postcard::to_stdvec(&own).unwrap_or_default();
    let registry_rng = ChaCha8Rng::from_rng(&mut rng);
    let machine = machines::Slices::new(machines::Parts {
        entry: own.entry.clone(),
        registry: Registry::new(own.entry.clone(), value, settings.slices, registry_rng),
        planner: planner(settings),
        writes_per_s: settings.store.writes_per_second,
        rng,
    });
    let slices = Slices::new(machine, dispatcher.clone(), calls.clone());
    Thread {
        follower: Follower::new(seed),
        heartbeater: Heartbeater::new(membership::Settings {
            seeds: settings.seeds.clone(),
            own: Some(own.address),
            seed,
        }),
        dialler: Dialler {
            runtime,
            identity,
            own,
            control: control.clone(),
        },
        calls,
        dispatcher: dispatcher.clone(),
        snapshot,
        entries: HashMap::new(),
        slices,
        next_dispatcher_tick: Instant::default(),
    }
}

fn planner(settings: &Settings) -> Planner {
    Planner::new(placement::Settings {
        local: settings.data_centre.clone(),
        remote_cost: REMOTE_COST,
        slices_owned: 0,
        slices: settings.slices,
    })
}
