//! One instance: a worker, the agent beside it and its endpoint.

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

pub(crate) struct Node {
    pub(crate) agent: Agent,
    pub(crate) model: Model,
    pub(crate) executor: Option<Executor>,
    pub(crate) dead_since: Option<Instant>,
    pub(crate) runs: Vec<Run>,
    slices: u16,
    seq: u64,
}

impl Node {
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

    /// Starts another life of the agent.
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

    /// Steps the executor and passes its commands to the worker at once.
    pub(crate) fn step(&mut self, now: Instant, event: Event) -> Vec<Action> {
        let mut events = vec![event];
        let mut outward = Vec::new();
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            let Some(executor) = &mut self.executor else {
                return outward;
            };
            executor.step(now, event, &mut actions);
            for action in actions {
                match action {
                    Action::Worker(command) => self.model.command(now, command),
                    Action::ReadTasks => events.push(Event::Tasks(self.model.running(now))),
                    other => outward.push(other),
                }
            }
        }
        outward
    }

    /// Reads the worker's new events.
    pub(crate) fn poll(&mut self, now: Instant) -> Vec<Action> {
        self.model.advance(now);
        let mut outward = Vec::new();
        while self.executor.is_some() {
            let page = self.model.events(now, self.seq);
            self.seq = page.next;
            if page.events.is_empty() {
                break;
            }
            for event in page.events {
                outward.extend(self.step(now, Event::Worker(event)));
            }
        }
        outward
    }

    /// Lets the endpoint run an order, unless it comes too late.
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
