//! Processor time, memory and encoded size of the membership and configuration
//! state machines, by the number of members and services.

use {
    crate::{regression::Series, usage},
    filbertbend_coordination::{
        config::codec,
        membership::{
            Ack, Announcement, Connection, Directory, DirectoryAction, DirectoryEvent, Heartbeat,
            Heartbeater, HeartbeaterAction, HeartbeaterEvent, Hello, Member, Settings,
        },
    },
    filbertbend_protocol::{message::Control, wire},
    filbertbend_standin::declare,
    filbertbend_state::{
        config::{Manifest, Segment, Snapshot},
        id,
        room::Room,
        service::{Class, Kind},
        time::Instant,
        unit::{Bytes, Connections, Cores, Millis, Slots},
    },
    std::{hint::black_box, sync::Arc, time::Instant as Clock},
};

/// Timed rounds of heartbeats, each of which stands for one second.
const TIMED_ROUNDS: u64 = 50;

fn member(index: usize) -> Member {
    Member {
        entry: format!("entry-{index}").parse().expect("the name is valid"),
        address: ([127, 0, 0, 1], 7000 + index as u16).into(),
        data_centre: "dc-1".parse().expect("the name is valid"),
        incarnation: id::Incarnation(1),
    }
}

fn announcement(index: usize) -> Announcement {
    let name = |kind: &str| format!("{kind}-{index}");
    Announcement {
        endpoint: name("runner").parse().expect("the name is valid"),
        worker: name("worker").parse().expect("the name is valid"),
        incarnation: id::Incarnation(1),
        data_centre: format!("dc-{}", index % 3)
            .parse()
            .expect("the name is valid"),
        rack: format!("rack-{}", index / 20)
            .parse()
            .expect("the name is valid"),
        services: (0..3)
            .map(|service| format!("service-{}", (index + service) % 400))
            .map(|service| service.parse().expect("the name is valid"))
            .collect(),
        slots: Slots(8),
        connections: Connections(64),
        room: Room {
            cores: Cores(64_000),
            memory: Bytes(250 << 30),
            ..Room::NONE
        },
    }
}

fn populated_directory(agents: usize) -> Directory {
    let mut directory = Directory::new(member(0));
    let mut actions = Vec::new();
    for index in 0..agents {
        let event = DirectoryEvent::Hello {
            connection: Connection(index as u64),
            accepted: Instant(0),
            hello: Hello::Agent(announcement(index)),
        };
        directory.step(Instant(0), event, &mut actions);
        actions.clear();
    }
    directory
}

fn simulate_heartbeats(directory: &mut Directory, agents: usize, round: u64) -> usize {
    let now = Instant(round * 1000);
    let mut actions = Vec::new();
    for index in 0..agents {
        let heartbeat = Heartbeat {
            sequence: round,
            last_ack: round - 1,
            ..Heartbeat::default()
        };
        let event = DirectoryEvent::Heartbeat {
            connection: Connection(index as u64),
            heartbeat,
        };
        directory.step(now, event, &mut actions);
    }
    for _ in 0..10 {
        directory.step(now, DirectoryEvent::Tick, &mut actions);
    }
    actions.len()
}

/// Measures the processor time that an entry's directory spends on one second of
/// heartbeats and ticks, by number of agents.
pub fn directory_time(sizes: &[usize]) -> Series {
    let points = sizes.iter().map(|&agents| {
        let mut directory = populated_directory(agents);
        let start = Clock::now();
        for round in 1..=TIMED_ROUNDS {
            black_box(simulate_heartbeats(&mut directory, agents, round));
        }
        let micros = start.elapsed().as_secs_f64() * 1e6 / TIMED_ROUNDS as f64;
        (agents as f64, micros)
    });
    Series {
        name: "entry.directory.time",
        per: "agent",
        unit: "us/s",
        points: points.collect(),
    }
}

/// Measures the resident memory of an entry's directory, by number of agents.
pub fn directory_memory(sizes: &[usize]) -> Series {
    let points = sizes.iter().map(|&agents| {
        let before = usage::resident_bytes(std::process::id()).unwrap_or_default();
        let directory = black_box(populated_directory(agents));
        let after = usage::resident_bytes(std::process::id()).unwrap_or_default();
        drop(directory);
        (agents as f64, after.saturating_sub(before) as f64)
    });
    Series {
        name: "entry.directory.memory",
        per: "agent",
        unit: "B",
        points: points.collect(),
    }
}

/// Measures the processor time that an agent's heartbeater spends in one second,
/// and the bytes of its heartbeats and their acknowledgements before encryption,
/// by number of entries.
pub fn heartbeater(sizes: &[usize]) -> [Series; 2] {
    let mut times = Vec::new();
    let mut bytes = Vec::new();
    for &entries in sizes {
        let (micros, sent) = simulate_heartbeater(entries);
        times.push((entries as f64, micros));
        bytes.push((entries as f64, sent));
    }
    [
        Series {
            name: "agent.beacon.time",
            per: "entry",
            unit: "us/s",
            points: times,
        },
        Series {
            name: "agent.beacon.frames",
            per: "entry",
            unit: "B/s",
            points: bytes,
        },
    ]
}

fn simulate_heartbeater(entries: usize) -> (f64, f64) {
    let mut heartbeater = Heartbeater::new(Settings {
        seeds: (0..entries).map(|index| member(index).address).collect(),
        own: None,
        seed: 1,
    });
    let mut actions = Vec::new();
    let mut frame_bytes = 0;
    let mut elapsed = 0.0;
    for tick in 1..=TIMED_ROUNDS * 20 {
        let now = Instant(tick * 50);
        let start = Clock::now();
        heartbeater.step(now, HeartbeaterEvent::Tick, &mut actions);
        elapsed += start.elapsed().as_secs_f64();
        for action in std::mem::take(&mut actions) {
            let event = match action {
                HeartbeaterAction::Dial { connection, .. } => {
                    HeartbeaterEvent::Opened { connection }
                }
                HeartbeaterAction::Send {
                    connection,
                    heartbeat,
                } => {
                    let ack = Ack {
                        sequence: heartbeat.sequence,
                        ..Ack::default()
                    };
                    frame_bytes += encoded_bytes(&Control::Heartbeat(heartbeat));
                    frame_bytes += encoded_bytes(&Control::Ack(ack.clone()));
                    HeartbeaterEvent::Ack { connection, ack }
                }
                _ => continue,
            };
            let start = Clock::now();
            heartbeater.step(now, event, &mut actions);
            elapsed += start.elapsed().as_secs_f64();
        }
    }
    let seconds = TIMED_ROUNDS as f64;
    (elapsed * 1e6 / seconds, frame_bytes as f64 / seconds)
}

fn encoded_bytes(message: &Control) -> usize {
    wire::encode(message).map_or(0, |frame| frame.len())
}

fn snapshot(services: usize) -> Snapshot {
    let declare = |index: usize| {
        let name = format!("service-{index}");
        declare::service(&name, Kind::Check, Class::Interactive)
    };
    Snapshot {
        revision: id::Revision(1),
        services: (0..services).map(declare).collect(),
        drains: Vec::new(),
    }
}

/// Measures the encoded size of the manifest and of the whole configuration, by
/// number of services.
pub fn configuration(sizes: &[usize]) -> [Series; 2] {
    let manifest_size = |services: usize| {
        let segments = (0..services).map(|index| Segment {
            service: format!("service-{index}")
                .parse()
                .expect("the name is valid"),
            key: format!("config/segment/{index:020}-{index:016x}").into(),
        });
        let manifest = Manifest {
            segments: segments.collect(),
            ..Manifest::default()
        };
        codec::encode(&manifest).map_or(f64::NAN, |bytes| bytes.len() as f64)
    };
    let configuration_size = |services: usize| {
        let ack = Ack {
            config: Some(Arc::new(snapshot(services))),
            ..Ack::default()
        };
        encoded_bytes(&Control::Ack(ack)) as f64
    };
    let points = |value: &dyn Fn(usize) -> f64| {
        let sized = sizes.iter().map(|&size| (size as f64, value(size)));
        sized.collect()
    };
    [
        Series {
            name: "store.manifest.size",
            per: "service",
            unit: "B",
            points: points(&manifest_size),
        },
        Series {
            name: "entry.configuration.size",
            per: "service",
            unit: "B",
            points: points(&configuration_size),
        },
    ]
}

/// Returns the bytes of configuration that one agent receives with each change.
pub fn agent_configuration_bytes(services: usize) -> f64 {
    let mut directory = populated_directory(1);
    let mut actions = Vec::new();
    let now = Instant(0) + Millis(500);
    let configured = DirectoryEvent::Configured(Arc::new(snapshot(services)));
    directory.step(now, configured, &mut actions);
    actions.clear();
    let heartbeat = DirectoryEvent::Heartbeat {
        connection: Connection(0),
        heartbeat: Heartbeat {
            sequence: 1,
            ..Heartbeat::default()
        },
    };
    directory.step(now, heartbeat, &mut actions);
    let ack_sizes = actions.into_iter().filter_map(|action| match action {
        DirectoryAction::Ack { ack, .. } => Some(encoded_bytes(&Control::Ack(ack)) as f64),
        _ => None,
    });
    ack_sizes.sum()
}
