//! Measures the bytes and the processor time of heartbeats by number of members.
//!
//! Every agent keeps a connection to each of 10 entries. Simulated time decides
//! when messages are sent; they are encoded and decoded as on the wire, and the
//! processor time of the codec and of the state machines is measured. QUIC, UDP and
//! IP are not run: their bytes are added as a fixed overhead per datagram, and
//! their processor time is not included.

use {
    filbertbend_bench::figure::Figure,
    filbertbend_coordination::membership::{
        Announcement, Connection, Directory, DirectoryAction, DirectoryEvent, Heartbeater,
        HeartbeaterAction, HeartbeaterEvent, Hello, Load, Member, Settings,
    },
    filbertbend_protocol::{
        message::Control,
        wire::{self, HEADER_BYTES},
    },
    filbertbend_state::{
        config::Snapshot,
        id,
        room::Room,
        time::Instant,
        unit::{Bytes, Connections, Cores, Millis, Slots},
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant as Clock},
    },
};

const ENTRIES: u16 = 10;
const MEMBERS: [usize; 5] = [10, 50, 100, 200, 300];
const WARMUP_MS: u64 = 5_000;
const DURATION_MS: u64 = 65_000;
const STEP_MS: u64 = 10;
const DIRECTORY_TICK_MS: u64 = 100;
/// IPv4, UDP and QUIC headers with the authentication tag, for each datagram.
const DATAGRAM_BYTES: u64 = 20 + 8 + 30;
/// The heartbeat, its `Ack`, and the QUIC acknowledgement of the datagram with the
/// `Ack`.
const DATAGRAMS_PER_EXCHANGE: u64 = 3;
/// Agents in one of 8 regions that have 18,000 workers in total.
const REGION_AGENTS: f64 = 2250.0;
const NODE_BYTES_PER_SECOND: f64 = 3.0 * 1024.0;
/// 1.2% of a core.
const NODE_MICROS_PER_SECOND: f64 = 12_000.0;

/// The usage of all nodes of one role together.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    frame_bytes: u64,
    exchanges: u64,
    processor_time: Duration,
}

/// The usage of one node per second.
#[derive(Clone, Copy, Debug)]
struct Rate {
    members: f64,
    bytes: f64,
    micros: f64,
}

impl Usage {
    fn rate(&self, members: usize, nodes: usize) -> Rate {
        let node_seconds = nodes as f64 * (DURATION_MS - WARMUP_MS) as f64 / 1000.0;
        let datagrams = self.exchanges * DATAGRAMS_PER_EXCHANGE;
        let bytes = self.frame_bytes + datagrams * DATAGRAM_BYTES;
        Rate {
            members: members as f64,
            bytes: bytes as f64 / node_seconds,
            micros: self.processor_time.as_secs_f64() * 1e6 / node_seconds,
        }
    }
}

fn member(index: u16) -> Member {
    Member {
        entry: id::Entry::new(format!("entry-{index}")).expect("the name is valid"),
        address: SocketAddr::from(([10, 0, 0, 1], 7000 + index)),
        data_centre: id::DataCentre::new("xela").expect("the name is valid"),
        incarnation: id::Incarnation(1_796_000_000_000),
    }
}

fn announcement(index: usize) -> Announcement {
    Announcement {
        endpoint: id::Endpoint::new(format!("runner-{index}")).expect("the name is valid"),
        worker: id::Worker::new(format!("worker-{index}")).expect("the name is valid"),
        incarnation: id::Incarnation(1_796_000_000_000),
        data_centre: id::DataCentre::new("xela").expect("the name is valid"),
        rack: id::Rack::new("rack-1").expect("the name is valid"),
        services: vec![id::Service::new("spacing-check").expect("the name is valid")],
        slots: Slots(8),
        connections: Connections(64),
        room: room(),
    }
}

fn room() -> Room {
    Room {
        cores: Cores(64_000),
        memory: Bytes(250 << 30),
        ..Room::NONE
    }
}

fn load() -> Load {
    Load {
        free: room(),
        slots_used: Slots(5),
        connections_used: Connections(40),
        queue: Millis(3),
        service_time: Millis(180),
        leaving: false,
    }
}

struct Agent {
    announcement: Announcement,
    heartbeater: Heartbeater,
    /// The entry of each of the agent's connections.
    entries: BTreeMap<Connection, usize>,
}

struct Region {
    agents: Vec<Agent>,
    directories: Vec<Directory>,
    agent: Usage,
    entry: Usage,
}

/// Returns the number under which an entry knows an agent's connection.
fn accepted_connection(agent: usize, connection: Connection) -> Connection {
    Connection(agent as u64 * 1000 + connection.0)
}

impl Region {
    fn new(agents: usize) -> Self {
        let config = Arc::new(Snapshot {
            revision: id::Revision(100_000),
            ..Snapshot::default()
        });
        let members: Vec<Member> = (0..ENTRIES).map(member).collect();
        let directories = members
            .iter()
            .map(|own| {
                let mut directory = Directory::new(own.clone());
                for event in [
                    DirectoryEvent::Listed(members.clone()),
                    DirectoryEvent::Configured(config.clone()),
                ] {
                    directory.step(Instant(0), event, &mut Vec::new());
                }
                directory
            })
            .collect();
        let agents = (0..agents)
            .map(|index| Agent {
                announcement: announcement(index),
                heartbeater: Heartbeater::new(Settings {
                    seeds: members.iter().map(|member| member.address).collect(),
                    own: None,
                    seed: index as u64,
                }),
                entries: BTreeMap::new(),
            })
            .collect();
        Self {
            agents,
            directories,
            agent: Usage::default(),
            entry: Usage::default(),
        }
    }

    fn run(&mut self) {
        for now_ms in (0..DURATION_MS).step_by(STEP_MS as usize) {
            let now = Instant(now_ms);
            if now_ms == WARMUP_MS {
                self.agent = Usage::default();
                self.entry = Usage::default();
            }
            for agent in 0..self.agents.len() {
                // Agents start at different times within the first second.
                let started = now_ms >= agent as u64 * 37 % 1000 / STEP_MS * STEP_MS;
                let due = self.agents[agent]
                    .heartbeater
                    .wake()
                    .is_none_or(|at| at <= now);
                if started && due {
                    self.step_agent(now, agent, HeartbeaterEvent::Load(load()));
                }
            }
            if now_ms.is_multiple_of(DIRECTORY_TICK_MS) {
                let began = Clock::now();
                for directory in &mut self.directories {
                    directory.step(now, DirectoryEvent::Tick, &mut Vec::new());
                }
                self.entry.processor_time += began.elapsed();
            }
        }
    }

    fn step_agent(&mut self, now: Instant, index: usize, event: HeartbeaterEvent) {
        let mut actions = Vec::new();
        let began = Clock::now();
        self.agents[index]
            .heartbeater
            .step(now, event, &mut actions);
        self.agent.processor_time += began.elapsed();
        for action in actions {
            match action {
                HeartbeaterAction::Dial {
                    connection,
                    address,
                } => self.handle_dial(now, index, connection, address),
                HeartbeaterAction::Send {
                    connection,
                    heartbeat,
                } => {
                    let began = Clock::now();
                    let frame = wire::encode(&Control::Heartbeat(heartbeat)).expect("it encodes");
                    self.agent.processor_time += began.elapsed();
                    self.deliver_heartbeat(now, index, connection, &frame);
                }
                _ => {}
            }
        }
    }

    fn handle_dial(&mut self, now: Instant, index: usize, connection: Connection, to: SocketAddr) {
        let entry = usize::from(to.port() - 7000);
        self.agents[index].entries.insert(connection, entry);
        let hello = DirectoryEvent::Hello {
            connection: accepted_connection(index, connection),
            accepted: now,
            hello: Hello::Agent(self.agents[index].announcement.clone()),
        };
        self.directories[entry].step(now, hello, &mut Vec::new());
        self.step_agent(now, index, HeartbeaterEvent::Opened { connection });
    }

    /// Delivers a heartbeat to its entry, and the `Ack` back to the agent.
    fn deliver_heartbeat(
        &mut self,
        now: Instant,
        index: usize,
        connection: Connection,
        frame: &[u8],
    ) {
        let entry = self.agents[index].entries[&connection];
        let mut actions = Vec::new();
        let began = Clock::now();
        let Ok(Control::Heartbeat(heartbeat)) = wire::decode(&frame[HEADER_BYTES..]) else {
            panic!("the frame is not a heartbeat");
        };
        let event = DirectoryEvent::Heartbeat {
            connection: accepted_connection(index, connection),
            heartbeat,
        };
        self.directories[entry].step(now, event, &mut actions);
        let ack = actions.into_iter().find_map(|action| match action {
            DirectoryAction::Ack { ack, .. } => Some(ack),
            _ => None,
        });
        let answer = wire::encode(&Control::Ack(ack.expect("the heartbeat is acknowledged")));
        let answer = answer.expect("it encodes");
        self.entry.processor_time += began.elapsed();
        self.count_exchange(frame.len() + answer.len());
        let began = Clock::now();
        let Ok(Control::Ack(ack)) = wire::decode(&answer[HEADER_BYTES..]) else {
            panic!("the frame is not an acknowledgement");
        };
        self.agent.processor_time += began.elapsed();
        self.step_agent(now, index, HeartbeaterEvent::Ack { connection, ack });
    }

    fn count_exchange(&mut self, frame_bytes: usize) {
        for usage in [&mut self.agent, &mut self.entry] {
            usage.frame_bytes += frame_bytes as u64;
            usage.exchanges += 1;
        }
    }
}

/// A line fitted to points by least squares.
struct Line {
    slope: f64,
    intercept: f64,
}

impl Line {
    fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let covariance: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = covariance / variance;
        Self {
            slope,
            intercept: mean_y - slope * mean_x,
        }
    }

    fn value_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

fn report(role: &str, rates: &[Rate]) {
    for rate in rates {
        println!(
            "{role} with {} agents: {:.0} B/s, {:.1} us/s",
            rate.members, rate.bytes, rate.micros
        );
    }
    let line = |value: fn(&Rate) -> f64| {
        let points: Vec<_> = rates
            .iter()
            .map(|rate| (rate.members, value(rate)))
            .collect();
        Line::fit(&points)
    };
    let (bytes, micros) = (line(|rate| rate.bytes), line(|rate| rate.micros));
    println!(
        "{role} slope: {:.3} B/s and {:.3} us/s for each agent",
        bytes.slope, micros.slope
    );
    for (size, agents) in [("today", 10.0), ("300", 300.0), ("region", REGION_AGENTS)] {
        let prefix = format!("membership.{role}.{size}");
        let bytes = bytes.value_at(agents);
        let micros = micros.value_at(agents);
        let name = format!("{prefix}.bytes");
        println!(
            "{}",
            Figure::at_most(name, bytes, "B/s", NODE_BYTES_PER_SECOND)
        );
        let name = format!("{prefix}.processor");
        println!(
            "{}",
            Figure::at_most(name, micros, "us/s", NODE_MICROS_PER_SECOND)
        );
    }
}

fn main() {
    let mut agents = Vec::new();
    let mut entries = Vec::new();
    for members in MEMBERS {
        let mut region = Region::new(members);
        region.run();
        agents.push(region.agent.rate(members, members));
        entries.push(region.entry.rate(members, usize::from(ENTRIES)));
    }
    report("agent", &agents);
    report("entry", &entries);
}
