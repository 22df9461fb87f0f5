//! A platform on loopback: the store, workers and endpoints, with the settings
//! files of the entries and agents that run on it.
//!
//! Each process gets its own address in 127.0.0.0/8 and fixed ports, so that
//! tests that run concurrently do not conflict.

use {
    crate::{endpoint, keys, relay::Relay, store, worker},
    filbertbend_coordination::{
        config::{codec, key},
        store::{Call, Expect},
    },
    filbertbend_state::{
        config::{Manifest, Segment},
        id,
        service::Declaration,
    },
    std::{
        fs,
        future::Future,
        io,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::PathBuf,
        process::Stdio,
        sync::atomic::{AtomicU8, Ordering},
        time::Duration,
    },
    tempfile::TempDir,
    tokio::{
        net::TcpListener,
        process::{Child, Command},
    },
};

const CALLERS_PORT: u16 = 8080;
const OPERATORS_PORT: u16 = 8081;
const PROCESSES_PORT: u16 = 7400;

/// The last byte of the next address of this test process.
static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

/// Returns a loopback address that no other process uses. Its middle bytes come
/// from the id of the test process.
fn next_host() -> IpAddr {
    let process = std::process::id();
    let (high, low) = ((process >> 8) as u8, process as u8);
    let host = NEXT_HOST.fetch_add(1, Ordering::SeqCst);
    // 127.0.0.x is reserved for servers that bind any free port.
    IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, host))
}

/// The size and shape of a fleet.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The data centres, to which entries and workers are assigned round-robin.
    pub data_centres: Vec<&'static str>,
    /// The number of entries.
    pub entries: usize,
    /// The number of workers, each with an endpoint and an agent.
    pub workers: usize,
    /// The services that every endpoint serves.
    pub services: Vec<&'static str>,
    /// The number of cores of a worker.
    pub cores: u32,
    /// The memory of a worker in GiB.
    pub memory_gib: u32,
    /// The request slots of an endpoint.
    pub slots: u32,
    /// The connection limit of an endpoint.
    pub connections: u32,
    /// The service time of an endpoint.
    pub service_time: Duration,
    /// The number of slices.
    pub slices: u16,
    /// The log level of the processes.
    pub log_level: &'static str,
    /// Which executables the processes run.
    pub launcher: Launcher,
    /// Whether connections to the entries go through a [`Relay`].
    pub relays: bool,
}

impl Plan {
    /// Returns a plan of two entries and three workers, run from the workspace's
    /// binaries.
    pub fn small() -> Self {
        Self {
            data_centres: vec!["xela", "toto", "sanmarcos"],
            entries: 2,
            workers: 3,
            services: vec!["spacing-check", "material-order"],
            cores: 64,
            memory_gib: 250,
            slots: 8,
            connections: 64,
            service_time: Duration::from_millis(5),
            slices: 4,
            log_level: "debug",
            launcher: Launcher::Binaries,
            relays: false,
        }
    }
}

/// Which executables the processes run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Launcher {
    /// The binaries of the workspace.
    Binaries,
    /// The running executable, with a role and a settings file as arguments.
    OwnExecutable,
}

impl Launcher {
    fn command(self, binary_name: &str, role: &str) -> io::Result<Command> {
        match self {
            Self::Binaries => Ok(Command::new(binary(binary_name)?)),
            Self::OwnExecutable => {
                let mut command = Command::new(std::env::current_exe()?);
                command.arg(role);
                Ok(command)
            }
        }
    }
}

/// A worker instance: a worker, an endpoint and the settings of an agent.
pub struct Instance {
    /// The endpoint.
    pub endpoint: endpoint::Server,
    /// The worker.
    pub worker: worker::Shared,
    /// The settings file of the agent.
    pub settings: PathBuf,
    /// The agent's address for operators.
    pub operators: SocketAddr,
}

/// An entry instance.
pub struct Entry {
    /// The settings file of the entry.
    pub settings: PathBuf,
    /// Its address for callers.
    pub callers: SocketAddr,
    /// Its address for operators.
    pub operators: SocketAddr,
    /// Its address for connections of other processes.
    pub processes: SocketAddr,
}

/// A platform on loopback.
pub struct Fleet {
    /// The folder with keys, settings and logs, deleted on drop.
    pub folder: TempDir,
    /// The store.
    pub store: store::Server,
    /// The entry instances.
    pub entries: Vec<Entry>,
    /// The worker instances.
    pub instances: Vec<Instance>,
    /// The relay in front of each entry, if the plan has relays.
    pub relays: Vec<Relay>,
    launcher: Launcher,
}

impl Fleet {
    /// Starts the store, workers and endpoints and writes keys and settings. Entries
    /// and agents are started separately.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be written or a port not bound.
    pub async fn start(plan: &Plan) -> io::Result<Self> {
        let folder = tempfile::tempdir()?;
        keys::Authority::create(folder.path())?.issue()?;
        let store = store::Server::start().await?;
        let hosts: Vec<IpAddr> = (0..plan.entries).map(|_| next_host()).collect();
        let mut fleet = Self {
            folder,
            store,
            entries: Vec::new(),
            instances: Vec::new(),
            relays: Vec::new(),
            launcher: plan.launcher,
        };
        let mut entry_addresses = Vec::new();
        for host in &hosts {
            let processes = SocketAddr::new(*host, PROCESSES_PORT);
            entry_addresses.push(fleet.advertise(plan, processes).await?);
        }
        for (index, host) in hosts.iter().enumerate() {
            let entry = fleet.write_entry(plan, *host, &entry_addresses, index)?;
            fleet.entries.push(entry);
        }
        for index in 0..plan.workers {
            let instance = fleet.start_instance(plan, &entry_addresses, index).await?;
            fleet.instances.push(instance);
        }
        Ok(fleet)
    }

    /// Returns the address that an entry advertises for its address `processes`:
    /// that of its relay, if the plan has relays.
    async fn advertise(&mut self, plan: &Plan, processes: SocketAddr) -> io::Result<SocketAddr> {
        if !plan.relays {
            return Ok(processes);
        }
        let relay = Relay::start(processes).await?;
        let address = relay.address();
        self.relays.push(relay);
        Ok(address)
    }

    fn write_entry(
        &self,
        plan: &Plan,
        host: IpAddr,
        entry_addresses: &[SocketAddr],
        index: usize,
    ) -> io::Result<Entry> {
        let data_centre = plan.data_centres[index % plan.data_centres.len()];
        let seeds = seeds(entry_addresses);
        let advertised = entry_addresses[index];
        let store = self.store.address();
        let text = format!(
            "name: entry-{index}\n\
             data_centre: {data_centre}\n\
             region: local\n\
             slices: {slices}\n\
             addresses:\n\
             \x20 callers: {host}:{CALLERS_PORT}\n\
             \x20 operators: {host}:{OPERATORS_PORT}\n\
             \x20 processes: {host}:{PROCESSES_PORT}\n\
             \x20 advertised: {advertised}\n\
             store:\n\
             \x20 addresses: [{store}]\n\
             seeds: [{seeds}]\n\
             {common}",
            slices = plan.slices,
            common = common_settings(plan, &format!("entry-{index}")),
        );
        let settings = self.folder.path().join(format!("entry-{index}.yaml"));
        fs::write(&settings, text)?;
        Ok(Entry {
            settings,
            callers: SocketAddr::new(host, CALLERS_PORT),
            operators: SocketAddr::new(host, OPERATORS_PORT),
            processes: SocketAddr::new(host, PROCESSES_PORT),
        })
    }

    async fn start_instance(
        &self,
        plan: &Plan,
        entry_addresses: &[SocketAddr],
        index: usize,
    ) -> io::Result<Instance> {
        let name = format!("runner-{index}");
        let endpoint = endpoint::Server::start(&name, plan.service_time).await?;
        let worker_name = format!("worker-{index}");
        let worker_id: id::Worker = worker_name.parse().map_err(io::Error::other)?;
        let model = worker::Model::new(worker::Settings::new(worker_id), worker::server::now());
        let worker = worker::Shared::new(model);
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let worker_address = listener.local_addr()?;
        tokio::spawn(worker::serve(listener, worker.clone()));
        let operators = SocketAddr::new(next_host(), OPERATORS_PORT);
        let text = format!(
            "endpoint: {name}\n\
             worker: {worker_name}\n\
             data_centre: {data_centre}\n\
             rack: rack-{rack}\n\
             services: [{services}]\n\
             slices: {slices}\n\
             slots: {slots}\n\
             connections: {connections}\n\
             room: {{ cores: {cores}, memory: {memory}GiB }}\n\
             addresses:\n\
             \x20 endpoint: {endpoint_address}\n\
             \x20 worker: {worker_address}\n\
             \x20 operators: {operators}\n\
             seeds: [{seeds}]\n\
             {common}",
            data_centre = plan.data_centres[index % plan.data_centres.len()],
            rack = index / 3,
            services = plan.services.join(", "),
            slices = plan.slices,
            slots = plan.slots,
            connections = plan.connections,
            cores = plan.cores,
            memory = plan.memory_gib,
            endpoint_address = endpoint.address(),
            seeds = seeds(entry_addresses),
            common = common_settings(plan, &name),
        );
        let settings = self.folder.path().join(format!("{name}.yaml"));
        fs::write(&settings, text)?;
        Ok(Instance {
            endpoint,
            worker,
            settings,
            operators,
        })
    }

    /// Writes a first configuration with `services` to the store.
    pub fn configure(&self, services: impl IntoIterator<Item = Declaration>) {
        let mut manifest = Manifest {
            revision: id::Revision(1),
            ..Manifest::default()
        };
        for (nonce, declaration) in services.into_iter().enumerate() {
            let key = key::segment(manifest.revision, id::Nonce(nonce as u64));
            self.write(&key, &declaration);
            manifest.segments.push(Segment {
                service: declaration.name,
                key,
            });
        }
        self.write(key::MANIFEST, &manifest);
    }

    fn write(&self, key: &str, value: &impl serde::Serialize) {
        let value = codec::encode(value).unwrap_or_default();
        self.store.call(Call::Put {
            key: key.into(),
            value,
            expect: Expect::Absent,
            lease: None,
        });
    }

    /// Starts the process of the entry `index`.
    ///
    /// # Errors
    ///
    /// Returns an error if the binary is missing; `cargo build` creates it.
    pub fn spawn_entry(&self, index: usize) -> io::Result<Child> {
        let settings = &self.entries[index].settings;
        let mut command = self.launcher.command("filbertbend", "role-entry")?;
        if self.launcher == Launcher::Binaries {
            command.args(["serve", "--settings"]);
        }
        command.arg(settings);
        spawn(command)
    }

    /// Starts the process of the agent on the worker instance `index`.
    ///
    /// # Errors
    ///
    /// Returns an error if the binary is missing; `cargo build` creates it.
    pub fn spawn_agent(&self, index: usize) -> io::Result<Child> {
        let settings = &self.instances[index].settings;
        let mut command = self.launcher.command("filbertbend-agent", "role-agent")?;
        if self.launcher == Launcher::Binaries {
            command.arg("--settings");
        }
        command.arg(settings);
        spawn(command)
    }

    /// Returns the log of a process by its name, such as `entry-0`.
    pub fn log(&self, name: &str) -> String {
        let path = self.folder.path().join(format!("{name}.log"));
        fs::read_to_string(path).unwrap_or_default()
    }
}

fn seeds(entry_addresses: &[SocketAddr]) -> String {
    entry_addresses
        .iter()
        .map(SocketAddr::to_string)
        .collect::<Vec<_>>()
        .join(", ")
}

fn common_settings(plan: &Plan, name: &str) -> String {
    format!(
        "tls: {{ certificate: certificate.pem, key: key.pem, authority: authority.pem }}\n\
         log: {{ level: {}, file: {name}.log }}\n",
        plan.log_level
    )
}

fn spawn(mut command: Command) -> io::Result<Child> {
    command
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .kill_on_drop(true)
        .spawn()
}

/// Finds a binary of this workspace in a folder above the running executable.
fn binary(name: &str) -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    own.ancestors()
        .skip(1)
        .map(|folder| folder.join(name))
        .find(|path| path.is_file())
        .ok_or_else(|| io::Error::other(format!("{name} not built; run cargo build --workspace")))
}

/// Polls `condition` until it holds. Returns false if it does not hold within
/// `limit`.
pub async fn wait_for<F>(limit: Duration, mut condition: impl FnMut() -> F) -> bool
where
    F: Future<Output = bool>,
{
    let deadline = tokio::time::Instant::now() + limit;
    while tokio::time::Instant::now() < deadline {
        if condition().await {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    false
}
