//! A task never runs in two places and a worker's room is never exceeded,
//! whatever is lost, late, repeated, frozen or restarted, and however often the
//! owner changes; and once nothing goes wrong any more, all tasks complete.

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
const CALM_STEPS: u64 = 2500;
const WORK_MS: u64 = 60_000;

/// What is on its way.
#[derive(Clone)]
enum Message {
    Agent(usize, Event),
    Owner(usize, Attempt, Report),
    Worker(usize, worker::Command),
}

/// A task as its owner sees it.
struct Placement {
    attempt: Attempt,
    agent: usize,
    /// Until when the attempt may run, if it was ever granted.
    granted_until: Option<Instant>,
    next_start: Instant,
    done: bool,
}

/// A small owner that follows section 7 of the design, two agents and a network
/// that loses, delays and repeats.
struct Site {
    rng: ChaCha8Rng,
    now: Instant,
    agents: Vec<Agent>,
    frozen_until: [Instant; AGENTS],
    /// Until when each agent's link to the owner, and the owner's to it, is cut.
    cut_until: [[Instant; 2]; AGENTS],
    network: Vec<(Instant, Message)>,
    epoch: u64,
    placements: Vec<Placement>,
    /// Whether nothing goes wrong any more.
    calm: bool,
}

impl Site {
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
            cut_until: [[now; 2]; AGENTS],
            network: Vec::new(),
            epoch: 1,
            placements: placements.collect(),
            calm: false,
        }
    }

    fn run(&mut self) {
        for step in 0..STEPS + CALM_STEPS {
            self.calm = step >= STEPS;
            self.now = self.now + STEP;
            if !self.calm {
                self.disturb();
            }
            self.place();
            self.deliver();
            for index in 0..AGENTS {
                self.turn(index);
            }
        }
    }

    /// Sends over the network, where a fifth is lost and a tenth repeated.
    fn send(&mut self, message: Message) {
        let cut_until = match &message {
            Message::Owner(agent, ..) => self.cut_until[*agent][0],
            Message::Agent(agent, _) => self.cut_until[*agent][1],
            Message::Worker(..) => Instant(0),
        };
        if self.calm {
            self.network.push((self.now, message));
            return;
        }
        if self.now < cut_until || self.rng.random_bool(0.2) {
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

    /// Freezes and restarts agents, changes the owner, evicts and withdraws.
    fn disturb(&mut self) {
        let index = self.rng.random_range(0..AGENTS);
        if self.rng.random_bool(0.01) {
            let span = Millis(self.rng.random_range(0..25_000));
            self.frozen_until[index] = self.now + span;
        }
        if self.rng.random_bool(0.01) {
            let span = Millis(self.rng.random_range(0..40_000));
            let direction = self.rng.random_range(0..2);
            self.cut_until[index][direction] = self.now + span;
        }
        if self.rng.random_bool(0.005) {
            self.restart(index);
        }
        if self.rng.random_bool(0.003) {
            self.take_over();
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

    /// Restarts an agent's process; its commands to the worker are still on
    /// their way, and the owner may ask at once what became of its attempts.
    fn restart(&mut self, index: usize) {
        self.agents[index].now = self.now;
        self.agents[index].restart();
        let list = self.agents[index].model.running(self.now);
        self.hear(index, Event::Tasks(list));
        for task in 0..self.placements.len() {
            let placement = &self.placements[task];
            if placement.agent == index && self.rng.random_bool(0.5) {
                let attempt = placement.attempt;
                self.command(index, attempt, Command::Withdraw);
            }
        }
    }

    /// A new owner knows the placements but not which leases were granted.
    fn take_over(&mut self) {
        self.epoch += 1;
        let until = self.now + allowed();
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

    /// Starts what has not been answered, and places again what is over.
    fn place(&mut self) {
        for index in 0..self.placements.len() {
            let lapsed = self.placements[index]
                .granted_until
                .is_some_and(|until| self.now > until);
            if lapsed {
                self.place_again(index);
            }
            let placement = &mut self.placements[index];
            if placement.granted_until.is_none() && self.now >= placement.next_start {
                placement.next_start = self.now + Millis(1000);
                let (agent, attempt) = (placement.agent, placement.attempt);
                self.command(agent, attempt, start(batch(WORK_MS)));
            }
        }
    }

    fn place_again(&mut self, index: usize) {
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
                Message::Agent(index, event) => self.hear(index, event),
                Message::Owner(index, attempt, report) => self.report(index, attempt, report),
                Message::Worker(index, command) => {
                    self.agents[index].model.command(now, command);
                }
            }
        }
    }

    /// Gives an agent that is not frozen its worker's events and a tick.
    fn turn(&mut self, index: usize) {
        if self.now < self.frozen_until[index] {
            return;
        }
        for event in self.agents[index].new_events(self.now) {
            self.hear(index, Event::Worker(event));
        }
        self.hear(index, Event::Tick);
    }

    fn hear(&mut self, index: usize, event: Event) {
        self.agents[index].now = self.now;
        for action in self.agents[index].step(event) {
            match action {
                Action::Report {
                    attempt, report, ..
                } => self.send(Message::Owner(index, attempt, report)),
                // Commands to the worker are late too, and may overtake.
                Action::Worker(command) => {
                    let slow = !self.calm && self.rng.random_bool(0.2);
                    let delay = self.rng.random_range(0..if slow { 4000 } else { 200 });
                    let delay = Millis(delay);
                    let message = Message::Worker(index, command);
                    self.network.push((self.now + delay, message));
                }
                Action::ReadTasks => {
                    let list = self.agents[index].model.running(self.now);
                    self.hear(index, Event::Tasks(list));
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
                self.placements[index].granted_until = Some(self.now + allowed());
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
                self.place_again(index);
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

/// How long a grant allows an attempt to run, as the owner counts it.
fn allowed() -> Millis {
    Millis(LEASE.0 * 102 / 100 + 200)
}

#[test]
fn task_never_runs_in_two_places() {
    let mut runs = 0;
    for seed in 0..200 {
        let mut site = Site::new(seed);
        site.run();

        let spans = site.spans();
        let twice = overlaps(&spans);
        assert!(twice.is_empty(), "seed {seed}: {twice:?}");
        for agent in &site.agents {
            let peak = agent.model.trace().peak;
            assert!(settings().room.fits(&peak), "seed {seed}: {peak}");
        }
        let done = site.placements.iter().all(|placement| placement.done);
        assert!(done, "seed {seed}: a task has not completed in the calm");
        runs += spans.len();
    }
    assert!(runs > 1000, "only {runs} runs");
}
