//! Simulates a heartbeater and a directory over a network that delays, reorders
//! and loses messages.

use {
    crate::support::*,
    filbertbend_coordination::membership::{
        Ack, Connection, DirectoryAction, DirectoryEvent, Heartbeat, HeartbeaterAction,
        HeartbeaterEvent, Hello,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::collections::{BTreeMap, BTreeSet},
};

const STEP_MS: usize = 10;

#[derive(Clone, Debug)]
enum Message {
    /// Holds the time at which the handshake began at the entry, in ms.
    Hello(u64),
    Heartbeat(Heartbeat),
    Ack(Ack),
}

/// Faults that the simulation injects.
#[derive(Clone, Copy)]
struct Faults {
    delay_ms: u64,
    /// Probability in each step that a connection goes silent for good.
    silence: f64,
    /// Probability in each step that the agent freezes for up to 6 s.
    freeze: f64,
}

struct Network {
    agent: Agent,
    entry: Entry,
    faults: Faults,
    rng: ChaCha8Rng,
    in_flight: BTreeMap<(u64, u64), (Connection, Message)>,
    sent: u64,
    open: BTreeSet<Connection>,
    /// Connections that no longer deliver to the entry; below, to the agent.
    silent_up: BTreeSet<Connection>,
    silent_down: BTreeSet<Connection>,
    frozen_until: u64,
}

fn network(seed: u64, faults: Faults) -> Network {
    Network {
        agent: agent(),
        entry: entry(),
        faults,
        rng: ChaCha8Rng::seed_from_u64(seed),
        in_flight: BTreeMap::new(),
        sent: 0,
        open: BTreeSet::new(),
        silent_up: BTreeSet::new(),
        silent_down: BTreeSet::new(),
        frozen_until: 0,
    }
}

impl Network {
    fn send(&mut self, ms: u64, connection: Connection, message: Message) {
        self.sent += 1;
        let at = ms + self.rng.random_range(1..=self.faults.delay_ms);
        self.in_flight
            .insert((at, self.sent), (connection, message));
    }

    fn step(&mut self, ms: u64) {
        if self.rng.random_bool(self.faults.freeze) {
            self.frozen_until = ms + self.rng.random_range(100..6_000);
        }
        for connection in self.open.clone() {
            if self.rng.random_bool(self.faults.silence) {
                self.silent_up.insert(connection);
            }
            if self.rng.random_bool(self.faults.silence) {
                self.silent_down.insert(connection);
            }
        }
        while let Some(((at, number), (connection, message))) = self.in_flight.pop_first() {
            if at > ms {
                self.in_flight.insert((at, number), (connection, message));
                break;
            }
            self.deliver(ms, connection, message);
        }
        self.step_entry(ms, DirectoryEvent::Tick);
        if ms >= self.frozen_until {
            self.step_agent(ms, HeartbeaterEvent::Tick);
        }
    }

    fn deliver(&mut self, ms: u64, connection: Connection, message: Message) {
        match message {
            Message::Hello(accepted) if !self.silent_up.contains(&connection) => {
                let event = DirectoryEvent::Hello {
                    connection,
                    accepted: at(accepted),
                    hello: Hello::Agent(announcement(1)),
                };
                self.step_entry(ms, event);
            }
            Message::Heartbeat(heartbeat) if !self.silent_up.contains(&connection) => {
                let event = DirectoryEvent::Heartbeat {
                    connection,
                    heartbeat,
                };
                self.step_entry(ms, event);
            }
            Message::Ack(ack) if !self.silent_down.contains(&connection) => {
                if ms < self.frozen_until {
                    // It stays in the socket buffer of the frozen process.
                    self.sent += 1;
                    let key = (self.frozen_until, self.sent);
                    let message = Message::Ack(ack);
                    self.in_flight.insert(key, (connection, message));
                } else {
                    self.step_agent(ms, HeartbeaterEvent::Ack { connection, ack });
                }
            }
            _ => {}
        }
    }

    fn step_entry(&mut self, ms: u64, event: DirectoryEvent) {
        self.entry.step(ms, event);
        for action in self.entry.actions.clone() {
            if let DirectoryAction::Ack { connection, ack } = action {
                self.send(ms, connection, Message::Ack(ack));
            }
        }
    }

    fn step_agent(&mut self, ms: u64, event: HeartbeaterEvent) {
        self.agent.step(ms, event);
        for action in self.agent.actions.clone() {
            match action {
                HeartbeaterAction::Dial { connection, .. } => {
                    self.open.insert(connection);
                    self.send(ms, connection, Message::Hello(ms));
                    self.step_agent(ms, HeartbeaterEvent::Opened { connection });
                }
                HeartbeaterAction::Send {
                    connection,
                    heartbeat,
                } => self.send(ms, connection, Message::Heartbeat(heartbeat)),
                HeartbeaterAction::Retire { connection } => {
                    self.open.remove(&connection);
                }
                _ => {}
            }
        }
    }
}

/// Guards against an entry using an agent more than 3 s after it began to leave
/// and its leaving notice and all later messages were lost, after any sequence
/// of delays, silent links, one-way links and freezes.
#[test]
fn leaving_agent_whose_notice_is_lost_is_not_used_after_3_s_whatever_the_network_did() {
    let faults = Faults {
        delay_ms: 3_000,
        silence: 0.002,
        freeze: 0.001,
    };
    let mut used = 0;
    for seed in 0..300 {
        let mut network = network(seed, faults);
        let left = 10_000 + seed * 7 % 1_000;
        for ms in (0..left).step_by(STEP_MS) {
            network.step(ms);
            used += u32::from(network.entry.takes_work(ms));
        }
        // What the agent sent before it left is still delivered.
        network.frozen_until = u64::MAX;
        network.faults.freeze = 0.0;
        for ms in (left..left + 10_000).step_by(STEP_MS) {
            network.step(ms);
            let late = network.entry.takes_work(ms) && ms > left + 3_000;
            assert!(!late, "seed {seed}: used {} ms after", ms - left);
        }
    }
    assert!(used > 10_000, "the agents were hardly ever used: {used}");
}

/// Guards against an agent that stays unused although new connections work, when
/// every connection eventually goes silent in one or both directions.
#[test]
fn agent_whose_connections_go_silent_again_and_again_stays_in_use() {
    let faults = Faults {
        delay_ms: 20,
        silence: 0.000_5,
        freeze: 0.0,
    };
    let mut used = 0;
    let mut steps = 0;
    for seed in 0..20 {
        let mut network = network(seed, faults);
        let mut unused_since = 0;
        for ms in (0..60_000).step_by(STEP_MS) {
            network.step(ms);
            steps += 1;
            if network.entry.takes_work(ms) {
                used += 1;
                unused_since = ms;
            }
            let unused = ms - unused_since;
            assert!(unused <= 10_000, "seed {seed}: unused for {unused} ms");
        }
    }
    let part = f64::from(used) / f64::from(steps);
    assert!(part >= 0.95, "in use for {part:.3} of the time");
}
