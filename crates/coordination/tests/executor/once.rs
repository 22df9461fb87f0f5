//! Guards against a task that runs in two places at once and against a worker
//! whose room is exceeded. Both could happen when messages are lost, delayed or
//! duplicated, when agents freeze or restart, or when the owner changes. Once
//! no more faults are injected, all tasks must complete.

use {
    crate::agent::{attempt, batch, entry, settings, slice, start, Agent},
    filbertbend_coordination::{
        attempt::{Attempt, Command, End, Report},
        executor::{Action, Event},
        worker,
    },
    filbertbend_standin::worker::{overlaps, Span},
    filbertbend_state::{id, time::Instant, unit::Millis},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

const AGENTS: usize = 2;
const TASKS: u8 = 4;
const STEPS: u64 = 3000;
const STEP: Millis = Millis(100);
const LEASE: Millis = Millis::from_secs(15);
const FAULT_FREE_STEPS: u64 = 2500;
const WORK_MS: u64 = 60_000;

/// A message in transit.
#[derive(Clone)]
enum Message {
    Agent(usize, Event),
    Owner(usize, Attempt, Report),
    Worker(usize, worker::Command),
}

/// The current attempt at a task, as the owner sees it.
struct Placement {
    attempt: Attempt,
    agent: usize,
    /// Until when the attempt may run, or `None` if it was never granted.
    granted_until: Option<Instant>,
    next_start: Instant,
    done: bool,
}

/// A minimal owner that follows section 7 of the design, two agents, and a
/// network that loses, delays and duplicates messages.
struct Simulation {
    rng: ChaCha8Rng,
    now: Instant,
    agents: Vec<Agent>,
    frozen_until: [Instant; AGENTS],
    /// Until when the link of each agent is down: from the agent to the owner,
    /// then from the owner to the agent.
    partitioned_until: [[Instant; 2]; AGENTS],
    network: Vec<(Instant, Message)>,
    epoch: u64,
    placements: Vec<Placement>,
    /// Whether no more faults are injected.
    fault_free: bool,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let agents: Vec<Agent> = (0..AGENTS).map(|_| Agent::new()).collect();
        let now = agents[0].now;
        let placements = (1..=TASKS).map(|job| Placement {
            attempt: attempt(job, 1),
            agent: usize::from(job) % AGENTS,
            granted_until: None,
            next_start: now,
            done: false,
        });
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            agents,
            frozen_until: [now; AGENTS],
            partitioned_until: [[now; 2]; AGENTS],
            network: Vec::new(),
            epoch: 1,
            placements: placements.collect(),
            fault_free: false,
        }
    }

    fn run(&mut self) {
        for step in 0..STEPS + FAULT_FREE_STEPS {
            self.fault_free = step >= STEPS;
            self.now = self.now + STEP;
            if !self.fault_free {
                self.inject_faults();
            }
            self.place();
            self.deliver();
            for index in 0..AGENTS {
                self.run_agent(index);
            }
        }
    }

    /// Sends a message over the network, which loses a fifth of the messages
    /// and duplicates a tenth.
    fn send(&mut self, message: Message) {
        let partitioned_until = match &message {
            Message::Owner(agent, ..) => self.partitioned_until[*agent][0],
            Message::Agent(agent, _) => self.partitioned_until[*agent][1],
            Message::Worker(..) => Instant(0),
        };
        if self.fault_free {
            self.network.push((self.now, message));
            return;
        }
        if self.now < partitioned_until || self.rng.random_bool(0.2) {
            return;
        }
        let copies = if self.rng.random_bool(0.1) { 2 } else { 1 };
        for _ in 0..copies {
            let delay = match self.rng.random_bool(0.15) {
                true => self.rng.random_range(0..20_000),
                false => self.rng.random_range(0..400),
            };
            self.network
                .push((self.now + Millis(delay), message.clone()));
        }
    }

    fn command(&mut self, agent: usize, attempt: Attempt, command: Command) {
        let event = Event::Command {
            from: entry("e1"),
            slice: slice(attempt),
            epoch: id::Epoch(self.epoch),
            attempt,
            command,
        };
        self.send(Message::Agent(agent, event));
    }

    /// Freezes and restarts agents, changes the owner, and evicts and withdraws
    /// attempts.
    fn inject_faults(&mut self) {
        let index = self.rng.random_range(0..AGENTS);
        if self.rng.random_bool(0.01) {
            let span = Millis(self.rng.random_range(0..25_000));
            self.frozen_until[index] = self.now + span;
        }
        if self.rng.random_bool(0.01) {
            let span = Millis(self.rng.random_range(0..40_000));
            let direction = self.rng.random_range(0..2);
            self.partitioned_until[index][direction] = self.now + span;
        }
        if self.rng.random_bool(0.005) {
            self.restart(index);
        }
        if self.rng.random_bool(0.003) {
            self.change_owner();
        }
        if self.rng.random_bool(0.02) {
            let task = self.rng.random_range(0..self.placements.len());
            let (agent, attempt) = (self.placements[task].agent, self.placements[task].attempt);
            let command = match self.rng.random_bool(0.5) {
                true => Command::Evict,
                false => Command::Withdraw,
            };
            self.command(agent, attempt, command);
        }
    }

    /// Restarts an agent's process. Its commands to the worker remain in
    /// transit, and the owner may immediately try to withdraw its attempts.
    fn restart(&mut self, index: usize) {
        self.agents[index].now = self.now;
        self.agents[index].restart();
        let list = self.agents[index].model.running(self.now);
        self.step_agent(index, Event::Tasks(list));
        for task in 0..self.placements.len() {
            let placement = &self.placements[task];
            if placement.agent == index && self.rng.random_bool(0.5) {
                let attempt = placement.attempt;
                self.command(index, attempt, Command::Withdraw);
            }
        }
    }

    /// Replaces the owner by one that knows the placements but not which leases
    /// were granted.
    fn change_owner(&mut self) {
        self.epoch += 1;
        let until = self.now + lease_allowance();
        for placement in &mut self.placements {
            placement.granted_until = Some(until);
        }
        for agent in 0..AGENTS {
            for number in 0..crate::agent::SLICES {
                let event = Event::Adopt {
                    from: entry("e1"),
                    slice: id::Slice(number),
                    epoch: id::Epoch(self.epoch),
                };
                self.send(Message::Agent(agent, event));
            }
        }
    }

    /// Repeats unanswered starts and reschedules tasks whose grant has expired.
    fn place(&mut self) {
        for index in 0..self.placements.len() {
            let expired = self.placements[index]
                .granted_until
                .is_some_and(|until| self.now > until);
            if expired {
                self.reschedule(index);
            }
            let placement = &mut self.placements[index];
            if placement.granted_until.is_none() && self.now >= placement.next_start {
                placement.next_start = self.now + Millis(1000);
                let (agent, attempt) = (placement.agent, placement.attempt);
                self.command(agent, attempt, start(batch(WORK_MS)));
            }
        }
    }

    fn reschedule(&mut self, index: usize) {
        let agent = self.rng.random_range(0..AGENTS);
        let placement = &mut self.placements[index];
        if placement.done {
            placement.granted_until = None;
            placement.next_start = Instant(u64::MAX);
            return;
        }
        placement.attempt.number = placement.attempt.number.next();
        placement.agent = agent;
        placement.granted_until = None;
        placement.next_start = self.now;
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.network)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.network = later;
        for (at, message) in due {
            match message {
                Message::Agent(index, _) if now < self.frozen_until[index] => {
                    self.network.push((at, message));
                }
                Message::Agent(index, event) => self.step_agent(index, event),
                Message::Owner(index, attempt, report) => self.report(index, attempt, report),
                Message::Worker(index, command) => {
                    self.agents[index].model.command(now, command);
                }
            }
        }
    }

    /// Passes the worker's events and a tick to an agent that is not frozen.
    fn run_agent(&mut self, index: usize) {
        if self.now < self.frozen_until[index] {
            return;
        }
        for event in self.agents[index].new_events(self.now) {
            self.step_agent(index, Event::Worker(event));
        }
        self.step_agent(index, Event::Tick);
    }

    fn step_agent(&mut self, index: usize, event: Event) {
        self.agents[index].now = self.now;
        for action in self.agents[index].step(event) {
            match action {
                Action::Report {
                    attempt, report, ..
                } => self.send(Message::Owner(index, attempt, report)),
                // Commands to the worker are delayed as well and may be
                // reordered.
                Action::Worker(command) => {
                    let slow = !self.fault_free && self.rng.random_bool(0.2);
                    let delay = self.rng.random_range(0..if slow { 4000 } else { 200 });
                    let delay = Millis(delay);
                    let message = Message::Worker(index, command);
                    self.network.push((self.now + delay, message));
                }
                Action::ReadTasks => {
                    let list = self.agents[index].model.running(self.now);
                    self.step_agent(index, Event::Tasks(list));
                }
                _ => {}
            }
        }
    }

    fn report(&mut self, agent: usize, attempt: Attempt, report: Report) {
        let found = self
            .placements
            .iter()
            .position(|placement| placement.attempt == attempt && placement.agent == agent);
        let current = found.filter(|index| !self.placements[*index].done);
        match (report, current) {
            (Report::Claim { nonce } | Report::Renew { nonce }, Some(index)) => {
                self.placements[index].granted_until = Some(self.now + lease_allowance());
                let lease = LEASE;
                self.command(agent, attempt, Command::Grant { nonce, lease });
            }
            (Report::Claim { nonce } | Report::Renew { nonce }, None) => {
                self.command(agent, attempt, Command::Deny { nonce });
            }
            (Report::Checkpointed { .. } | Report::Started, _) => {}
            (report, current) => {
                self.command(agent, attempt, Command::Ack);
                let Some(index) = current else { return };
                if matches!(report, Report::Ended(End::Completed(_))) {
                    self.placements[index].done = true;
                }
                self.reschedule(index);
            }
        }
    }

    fn spans(&mut self) -> Vec<Span> {
        let now = self.now;
        self.agents
            .iter_mut()
            .flat_map(|agent| {
                agent.model.advance(now);
                agent.model.trace().spans.clone()
            })
            .collect()
    }
}

/// Returns how long the owner assumes that a granted attempt may run.
fn lease_allowance() -> Millis {
    Millis(LEASE.0 * 102 / 100 + 200)
}

#[test]
fn task_never_runs_in_two_places() {
    let mut runs = 0;
    for seed in 0..200 {
        let mut simulation = Simulation::new(seed);
        simulation.run();

        let spans = simulation.spans();
        let overlapping = overlaps(&spans);
        assert!(overlapping.is_empty(), "seed {seed}: {overlapping:?}");
        for agent in &simulation.agents {
            let peak = agent.model.trace().peak;
            assert!(settings().room.fits(&peak), "seed {seed}: {peak}");
        }
        let done = simulation.placements.iter().all(|placement| placement.done);
        assert!(
            done,
            "seed {seed}: a task has not completed in the fault-free phase"
        );
        runs += spans.len();
    }
    assert!(runs > 1000, "only {runs} runs");
}
