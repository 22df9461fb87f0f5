//! Memory, processor time and traffic of whole processes, by number of peers.

use {
    crate::{regression::Series, usage},
    filbertbend_standin::{
        client::Client,
        declare,
        fleet::{wait_for, Fleet, Launcher, Plan},
    },
    filbertbend_state::service::{Class, Kind},
    std::{net::SocketAddr, time::Duration},
    tokio::process::Child,
};

/// Time between the start and the measurement. A new link first probes for the
/// largest packet that its path carries, which takes about 17 KB once per link.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// Length of the measurement, which begins once all members see each other.
const MEASURED_TIME: Duration = Duration::from_secs(10);
/// Longest time until every entry sees all members.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Costs of an idle fleet per process, and the load of its store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reading {
    /// Resident memory of an entry, in bytes.
    pub entry_memory: f64,
    /// Processor time of an entry, in milliseconds per second.
    pub entry_time: f64,
    /// Bytes that an entry sends and receives on its links per second.
    pub entry_bytes: f64,
    /// Resident memory of an agent, in bytes.
    pub agent_memory: f64,
    /// Processor time of an agent, in milliseconds per second.
    pub agent_time: f64,
    /// Bytes that an agent sends and receives on its links per second.
    pub agent_bytes: f64,
    /// Store reads per second; a pending watch counts as one.
    pub store_reads: f64,
    /// Store writes per second, including lease renewals.
    pub store_writes: f64,
}

fn plan(entries: usize, agents: usize) -> Plan {
    Plan {
        data_centres: vec!["dc-0", "dc-1", "dc-2"],
        entries,
        workers: agents,
        services: vec!["echo"],
        cores: 64,
        memory_gib: 250,
        slots: 8,
        connections: 64,
        service_time: Duration::ZERO,
        slices: 16,
        log_level: "warn",
        launcher: Launcher::OwnExecutable,
        relays: false,
    }
}

/// Runs a fleet without load and measures its costs.
pub async fn measure_idle(entries: usize, agents: usize) -> Reading {
    let fleet = Fleet::start(&plan(entries, agents)).await;
    let fleet = fleet.expect("the fleet starts");
    fleet.configure([declare::service("echo", Kind::Check, Class::Interactive)]);
    let spawn_entry = |index| fleet.spawn_entry(index).expect("the entry starts");
    let spawn_agent = |index| fleet.spawn_agent(index).expect("the agent starts");
    let entry_processes: Vec<Child> = (0..entries).map(spawn_entry).collect();
    let agent_processes: Vec<Child> = (0..agents).map(spawn_agent).collect();
    for entry in &fleet.entries {
        let complete = wait_for(START_TIMEOUT, || sees_all(entry.operators, entries, agents));
        assert!(complete.await, "{}", fleet.log("entry-0"));
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let mut counters = Counters::read(&fleet, &entry_processes, &agent_processes).await;
    tokio::time::sleep(MEASURED_TIME).await;
    counters
        .reading_since(&fleet, &entry_processes, &agent_processes)
        .await
}

async fn sees_all(operators: SocketAddr, entries: usize, agents: usize) -> bool {
    let Ok(answer) = Client::new(operators).get("/v1/status").await else {
        return false;
    };
    let status = answer.json();
    let count = |field: &str| status[field].as_array().map_or(0, Vec::len);
    let alive = |agent: &serde_json::Value| agent["state"] == "alive";
    let agents_alive = status["agents"].as_array().map_or(0, |agents| {
        agents.iter().filter(|agent| alive(agent)).count()
    });
    count("entries") == entries && agents_alive == agents
}

/// Cumulative counters of a fleet at one point in time.
struct Counters {
    entry_ms: u64,
    agent_ms: u64,
    entry_bytes: f64,
    agent_bytes: f64,
    reads: u64,
    writes: u64,
}

impl Counters {
    async fn read(fleet: &Fleet, entries: &[Child], agents: &[Child]) -> Self {
        let store_calls = fleet.store.count();
        Self {
            entry_ms: processor_ms(entries),
            agent_ms: processor_ms(agents),
            entry_bytes: entry_bytes(fleet).await,
            agent_bytes: agent_bytes(fleet).await,
            reads: store_calls.reads,
            writes: store_calls.writes,
        }
    }

    async fn reading_since(
        &mut self,
        fleet: &Fleet,
        entries: &[Child],
        agents: &[Child],
    ) -> Reading {
        let end = Self::read(fleet, entries, agents).await;
        let span = MEASURED_TIME.as_secs_f64();
        let entry_seconds = entries.len() as f64 * span;
        let agent_seconds = agents.len() as f64 * span;
        Reading {
            entry_memory: resident(entries),
            entry_time: (end.entry_ms - self.entry_ms) as f64 / entry_seconds,
            entry_bytes: (end.entry_bytes - self.entry_bytes) / entry_seconds,
            agent_memory: resident(agents),
            agent_time: (end.agent_ms - self.agent_ms) as f64 / agent_seconds,
            agent_bytes: (end.agent_bytes - self.agent_bytes) / agent_seconds,
            store_reads: (end.reads - self.reads) as f64 / span,
            store_writes: (end.writes - self.writes) as f64 / span,
        }
    }
}

fn processor_ms(processes: &[Child]) -> u64 {
    let ids = processes.iter().filter_map(Child::id);
    ids.filter_map(usage::processor_ms).sum()
}

fn resident(processes: &[Child]) -> f64 {
    let ids = processes.iter().filter_map(Child::id);
    let total: u64 = ids.filter_map(usage::resident_bytes).sum();
    total as f64 / processes.len().max(1) as f64
}

async fn entry_bytes(fleet: &Fleet) -> f64 {
    let mut total = 0.0;
    for entry in &fleet.entries {
        total += link_bytes(entry.operators).await;
    }
    total
}

async fn agent_bytes(fleet: &Fleet) -> f64 {
    let mut total = 0.0;
    for instance in &fleet.instances {
        total += link_bytes(instance.operators).await;
    }
    total
}

async fn link_bytes(operators: SocketAddr) -> f64 {
    let Ok(answer) = Client::new(operators).get("/metrics").await else {
        return 0.0;
    };
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let values = text
        .lines()
        .filter(|line| line.starts_with("filbertbend_link_bytes_total{"))
        .filter_map(|line| line.split_whitespace().last()?.parse::<f64>().ok());
    values.sum()
}

/// Builds a series from one field of every reading.
pub fn series(
    name: &'static str,
    per: &'static str,
    unit: &'static str,
    readings: &[(usize, Reading)],
    field: impl Fn(&Reading) -> f64,
) -> Series {
    Series {
        name,
        per,
        unit,
        points: readings
            .iter()
            .map(|(size, reading)| (*size as f64, field(reading)))
            .collect(),
    }
}
