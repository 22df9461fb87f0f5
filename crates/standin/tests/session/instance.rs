//! An instance: a worker, its agent and its endpoint.

use {
    filbertbend_coordination::{
        attempt::Work,
        executor::{Action, Event, Executor, Settings},
        placement::Agent,
    },
    filbertbend_standin::worker::{self, Model},
    filbertbend_state::{hash, id, time::Instant, unit::Connections},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
};

/// An order that an endpoint ran.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) worker: id::Worker,
    pub(crate) customer: id::Customer,
    pub(crate) key: id::Key,
    pub(crate) body: Vec<u8>,
    pub(crate) at: Instant,
}

pub(crate) struct Instance {
    pub(crate) agent: Agent,
    pub(crate) model: Model,
    pub(crate) executor: Option<Executor>,
    pub(crate) dead_since: Option<Instant>,
    pub(crate) runs: Vec<Run>,
    slices: u16,
    seq: u64,
}

impl Instance {
    pub(crate) fn new(now: Instant, agent: Agent, slices: u16) -> Self {
        let settings = worker::Settings::new(agent.worker.clone());
        Self {
            model: Model::new(settings, now),
            agent,
            executor: None,
            dead_since: None,
            runs: Vec::new(),
            slices,
            seq: 0,
        }
    }

    /// Starts the agent with the next incarnation number.
    pub(crate) fn start(&mut self, now: Instant) -> Vec<Action> {
        self.agent.incarnation.0 += 1;
        self.dead_since = None;
        let seed = hash::of(format!(
            "{}/{}",
            self.agent.endpoint, self.agent.incarnation
        ));
        let settings = Settings::new(
            self.agent.room,
            self.agent.slots,
            Connections(64),
            self.slices,
        );
        self.executor = Some(Executor::new(settings, ChaCha8Rng::seed_from_u64(seed)));
        self.seq = self.model.events(now, 0).next;
        let tasks = self.model.running(now);
        self.step(now, Event::Tasks(tasks))
    }

    pub(crate) fn kill(&mut self, now: Instant) {
        self.executor = None;
        self.dead_since = Some(now);
    }

    /// Steps the executor, applies its commands to the worker at once and returns
    /// its other actions.
    pub(crate) fn step(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut events = vec![event];
        let mut external = Vec::new();
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            let Some(executor) = &mut self.executor else {
                return external;
            };
            executor.step(now, event, &mut actions);
            for action in actions {
                match action {
                    Action::Worker(command) => self.model.command(now, command),
                    Action::ReadTasks => events.push(Event::Tasks(self.model.running(now))),
                    other => external.push(other),
                }
            }
        }
        external
    }

    /// Passes the worker's new events to the executor.
    pub(crate) fn poll(&mut self, now: Instant) -> Vec<Action> {
        self.model.advance(now);
        let mut external = Vec::new();
        while self.executor.is_some() {
            let page = self.model.events(now, self.seq);
            self.seq = page.next;
            if page.events.is_empty() {
                break;
            }
            for event in page.events {
                external.extend(self.step(now, Event::Worker(event)));
            }
        }
        external
    }

    /// Runs an order at the endpoint, unless `send_by` has passed. Returns whether
    /// it ran.
    pub(crate) fn run_order(&mut self, now: Instant, work: Work, send_by: Instant) -> bool {
        let Work::Order {
            customer,
            key,
            body,
            ..
        } = work
        else {
            return false;
        };
        if now > send_by {
            return false;
        }
        let worker = self.agent.worker.clone();
        self.runs.push(Run {
            worker,
            customer,
            key,
            body,
            at: now,
        });
        true
    }
}
