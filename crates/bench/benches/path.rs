//! Compares the path through entry and agent with a plain one-hop forwarder.
//!
//! Both forward to the same endpoint on the same machine in one run, so their
//! ratio is meaningful even though the absolute figures depend on the machine.

use {
    filbertbend_bench::{
        figure::Figure,
        load::{self, Measurement},
        role, usage,
    },
    filbertbend_standin::{
        client::Client,
        declare, endpoint,
        fleet::{wait_for, Fleet, Launcher, Plan},
    },
    filbertbend_state::service::{Class, Kind},
    hyper::{body::Incoming, service::service_fn, Request, Response},
    hyper_util::{
        client::legacy::{connect::HttpConnector, Client as Pool},
        rt::{TokioExecutor, TokioIo},
        server::conn::auto::Builder,
    },
    std::{net::SocketAddr, time::Duration},
    tokio::{net::TcpListener, process::Child},
};

const CONNECTIONS: u32 = 48;
const ROUND_TIME: Duration = Duration::from_secs(5);
const PATH: &str = "/v1/check/echo/figure";
const MEBIBYTE: f64 = 1_048_576.0;
const REQUESTS_IN_PROGRESS: usize = 1000;

fn plan(service_time: Duration) -> Plan {
    Plan {
        data_centres: vec!["xela"],
        entries: 1,
        workers: 1,
        services: vec!["echo"],
        cores: 64,
        memory_gib: 250,
        slots: 2000,
        connections: 2000,
        service_time,
        slices: 4,
        log_level: "warn",
        launcher: Launcher::OwnExecutable,
        relays: false,
    }
}

/// The running processes: one entry and one agent.
struct System {
    fleet: Fleet,
    _entry: Child,
    agent: Child,
}

impl System {
    async fn start(service_time: Duration) -> Self {
        let fleet = Fleet::start(&plan(service_time))
            .await
            .expect("the fleet starts");
        fleet.configure([declare::service("echo", Kind::Check, Class::Interactive)]);
        let entry = fleet.spawn_entry(0).expect("the entry starts");
        let agent = fleet.spawn_agent(0).expect("the agent starts");
        let client = Client::new(fleet.entries[0].callers);
        let ready = wait_for(Duration::from_secs(30), || async {
            client
                .get(PATH)
                .await
                .is_ok_and(|answer| answer.status == 200)
        })
        .await;
        assert!(ready, "{}", fleet.log("entry-0"));
        Self {
            fleet,
            _entry: entry,
            agent,
        }
    }

    fn address(&self) -> SocketAddr {
        self.fleet.entries[0].callers
    }

    fn agent_mib(&self) -> f64 {
        let bytes = self.agent.id().and_then(usage::resident_bytes);
        bytes.map_or(f64::NAN, |bytes| bytes as f64 / MEBIBYTE)
    }
}

/// Starts a minimal HTTP proxy that forwards every request to `endpoint`.
async fn forwarder(endpoint: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0))
        .await
        .expect("a free port is available");
    let address = listener.local_addr().expect("the port is bound");
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let pool: Pool<_, Incoming> = Pool::builder(TokioExecutor::new()).build(connector);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let pool = pool.clone();
            let service = service_fn(move |request| forward(pool.clone(), endpoint, request));
            tokio::spawn(async move {
                let builder = Builder::new(TokioExecutor::new());
                let _ = builder
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    address
}

async fn forward(
    pool: Pool<HttpConnector, Incoming>,
    endpoint: SocketAddr,
    mut request: Request<Incoming>,
) -> Result<Response<Incoming>, hyper_util::client::legacy::Error> {
    let uri = format!("http://{endpoint}{}", request.uri().path());
    *request.uri_mut() = uri.parse().expect("the path is already valid");
    pool.request(request).await
}

/// Runs the forwarder in its own process, as the entry does.
fn run_forwarder(endpoint: SocketAddr) -> ! {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(async {
        let address = forwarder(endpoint).await;
        println!("{address}");
        std::future::pending::<()>().await;
    });
    std::process::exit(0)
}

async fn spawn_forwarder(endpoint: SocketAddr) -> (Child, SocketAddr) {
    use tokio::io::{AsyncBufReadExt, BufReader};
    let own = std::env::current_exe().expect("the bench has a path");
    let mut child = tokio::process::Command::new(own)
        .arg("role-forwarder")
        .arg(endpoint.to_string())
        .stdout(std::process::Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("the forwarder starts");
    let output = child.stdout.take().expect("the output is piped");
    let line = BufReader::new(output).lines().next_line().await;
    let line = line.expect("the output is readable").unwrap_or_default();
    (
        child,
        line.parse().expect("the forwarder prints its address"),
    )
}

fn print_row(name: &str, measurement: &Measurement) {
    println!(
        "{name:24} {:>9.0}/s  p50 {:>7.3} ms  p99 {:>7.3} ms  failed {}",
        measurement.throughput(),
        measurement.quantile_ms(0.5),
        measurement.quantile_ms(0.99),
        measurement.failed
    );
}

async fn measure() -> Vec<Figure> {
    let system = System::start(Duration::ZERO).await;
    let idle_mib = system.agent_mib();
    let (_forwarder, forwarder_address) =
        spawn_forwarder(system.fleet.instances[0].endpoint.address()).await;
    load::run(
        forwarder_address,
        PATH,
        CONNECTIONS,
        None,
        Duration::from_secs(1),
    )
    .await;
    load::run(
        system.address(),
        PATH,
        CONNECTIONS,
        None,
        Duration::from_secs(1),
    )
    .await;
    let plain_full = load::run(forwarder_address, PATH, CONNECTIONS, None, ROUND_TIME).await;
    let path_full = load::run(system.address(), PATH, CONNECTIONS, None, ROUND_TIME).await;
    print_row("forwarder, full load", &plain_full);
    print_row("path, full load", &path_full);
    let half_rate = path_full.throughput() / 2.0;
    let plain_half = load::run(
        forwarder_address,
        PATH,
        CONNECTIONS,
        Some(half_rate),
        ROUND_TIME,
    )
    .await;
    let path_half = load::run(
        system.address(),
        PATH,
        CONNECTIONS,
        Some(half_rate),
        ROUND_TIME,
    )
    .await;
    print_row("forwarder, half load", &plain_half);
    print_row("path, half load", &path_half);
    let added = |quantile| path_half.quantile_ms(quantile) - plain_half.quantile_ms(quantile);
    let throughput = path_full.throughput() / plain_full.throughput();
    let added_median = added(0.5) / plain_half.quantile_ms(0.5);
    let added_tail = added(0.99) / plain_half.quantile_ms(0.99);
    vec![
        Figure::at_least("path.throughput", throughput, "ratio", 0.8),
        Figure::at_most("path.added_p50", added_median, "ratio", 1.2),
        Figure::at_most("path.added_p99", added_tail, "ratio", 2.0),
        Figure::at_most("agent.idle", idle_mib, "MiB", 16.0),
        Figure::at_most("agent.busy", busy_mib().await, "MiB", 128.0),
    ]
}

/// Returns the agent's resident memory in MiB with 1,000 requests in progress.
async fn busy_mib() -> f64 {
    let system = System::start(Duration::from_secs(4)).await;
    let client = Client::new(system.address());
    let requests: Vec<_> = (0..REQUESTS_IN_PROGRESS)
        .map(|_| {
            let client = client.clone();
            tokio::spawn(async move { client.get(PATH).await })
        })
        .collect();
    let endpoint: &endpoint::Server = &system.fleet.instances[0].endpoint;
    let running = wait_for(Duration::from_secs(4), || async {
        endpoint.running() as usize >= REQUESTS_IN_PROGRESS
    })
    .await;
    println!("in progress: {} (all: {running})", endpoint.running());
    let busy_mib = system.agent_mib();
    for request in requests {
        let _ = request.await;
    }
    busy_mib
}

fn main() {
    role::run_if_requested();
    let mut args = std::env::args().skip(1);
    if args.next().as_deref() == Some("role-forwarder") {
        let endpoint = args.next().and_then(|address| address.parse().ok());
        run_forwarder(endpoint.expect("the address is given and valid"));
    }
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    for figure in runtime.block_on(measure()) {
        println!("{figure}");
    }
}
