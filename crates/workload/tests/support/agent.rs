//! An agent with a simulated worker and leader, and a scripted clock.

use {
    filbertbend_state::{room::Room, time::Instant, unit::Millis},
    filbertbend_workload::{
        agent::{Action, Agent, Answer, Call, Event, Refusal, Snapshot},
        id::{Epoch, Fence, Incarnation},
        message::{Orders, Report},
        worker::{Profile, Running},
    },
    std::collections::BTreeMap,
};

/// How long the worker takes to answer.
pub(crate) const CALL: Millis = Millis(1);
/// How long a message to the leader and its answer take.
pub(crate) const ROUND_TRIP: Millis = Millis(10);
const LEASE: Millis = Millis(5500);
const TICK: Millis = Millis(30);

pub(crate) fn incarnation(worker: &str, started_ms: u64) -> Incarnation {
    Incarnation {
        worker: worker.into(),
        started_ms,
    }
}

pub(crate) fn profile(incarnation: Incarnation) -> Profile {
    Profile {
        incarnation,
        pool: "pool".into(),
        data_centre: "xela".into(),
        room: Room::NONE,
        labels: Vec::new(),
        draining: false,
        remaining_ms: None,
    }
}

/// A message on its way to the agent.
enum Delivery {
    Event(Event),
    /// A call that the worker answers when its time has come.
    Call {
        call: Call,
        sent: Instant,
        to: Incarnation,
        /// The incarnation that got the call.
        by: Option<Incarnation>,
    },
}

/// The agent under test and everything around it.
pub(crate) struct Simulation {
    pub(crate) agent: Agent,
    pub(crate) now: Instant,
    /// The running incarnation of the worker, if any.
    pub(crate) worker: Option<Incarnation>,
    pub(crate) running: Vec<Running>,
    /// The worker's profile that the leader remembers.
    pub(crate) known: Option<Profile>,
    pub(crate) hellos: usize,
    /// When requests for a lease were sent.
    pub(crate) renewals: Vec<Instant>,
    /// When inventories were sent, and of which incarnation.
    pub(crate) inventories: Vec<(Instant, Incarnation)>,
    /// The highest fence that the worker has seen.
    seen: Fence,
    granted: Fence,
    deliveries: BTreeMap<(Instant, u64), Delivery>,
    number: u64,
    next_tick: Instant,
}

impl Simulation {
    /// Creates an agent that has just started, without a link to the leader.
    pub(crate) fn new(worker: Incarnation) -> Self {
        let now = Instant(10_000);
        Self {
            agent: Agent::default(),
            now,
            worker: Some(worker),
            running: Vec::new(),
            known: None,
            hellos: 0,
            renewals: Vec::new(),
            inventories: Vec::new(),
            seen: Fence(0),
            granted: Fence(0),
            deliveries: BTreeMap::new(),
            number: 0,
            next_tick: now,
        }
    }

    /// Creates an agent with a session, a lease and the given tasks.
    pub(crate) fn in_session(worker: Incarnation, running: Vec<Running>) -> Self {
        let mut simulation = Self::new(worker.clone());
        simulation.running = running;
        simulation.heartbeat(&worker);
        simulation.step(Event::Connected);
        simulation.pass(Millis(2000));
        assert_eq!(simulation.inventories.len(), 1);
        simulation
    }

    pub(crate) fn heartbeat(&mut self, incarnation: &Incarnation) {
        self.step(Event::Heartbeat(profile(incarnation.clone())));
    }

    /// Replaces the worker by another incarnation, which runs nothing.
    pub(crate) fn restart(&mut self, incarnation: Incarnation) {
        self.worker = Some(incarnation);
        self.seen = Fence(0);
        self.running.clear();
    }

    /// Makes the worker refuse all fences that the leader gives.
    pub(crate) fn raise_fence(&mut self) {
        self.seen = Fence(u64::MAX);
    }

    /// Advances the clock and delivers what is due.
    pub(crate) fn pass(&mut self, span: Millis) {
        let end = self.now + span;
        loop {
            let due = self.deliveries.keys().next().copied();
            let next = due.map_or(self.next_tick, |(at, _)| at.min(self.next_tick));
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            match due.filter(|(at, _)| *at <= self.next_tick) {
                Some(key) => self.deliver(key),
                None => {
                    self.next_tick = self.next_tick + TICK;
                    self.step(Event::Tick);
                }
            }
        }
        self.now = end;
    }

    /// Returns how long the inventory of an incarnation took since `since`.
    pub(crate) fn inventoried(&self, since: Instant, incarnation: &Incarnation) -> Option<Millis> {
        self.inventories
            .iter()
            .find(|(at, found)| *at >= since && found == incarnation)
            .map(|(at, _)| at.since(since))
    }

    pub(crate) fn step(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.agent.step(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Hello => self.welcome(),
                Action::Send(report) => self.report(&report),
                Action::Call(call) => self.call(call),
                Action::Ping | Action::Crashed(_) | Action::Rejected(_) => {}
            }
        }
    }

    fn schedule(&mut self, after: Millis, delivery: Delivery) {
        self.number += 1;
        self.deliveries
            .insert((self.now + after, self.number), delivery);
    }

    fn welcome(&mut self) {
        self.hellos += 1;
        self.granted = Fence(self.granted.0 + 1);
        let welcome = Event::Welcome(Epoch(1), self.granted, self.known.clone());
        self.schedule(ROUND_TRIP, Delivery::Event(welcome));
    }

    fn report(&mut self, report: &Report) {
        if let Some(profile) = &report.profile {
            self.known = Some(profile.clone());
        }
        if let Some(inventory) = &report.inventory {
            let found = (self.now, inventory.incarnation.clone());
            self.inventories.push(found);
        }
        if let Some(request) = report.renew {
            self.renewals.push(self.now);
            let orders = Orders {
                lease: Some((request, LEASE)),
                ..Orders::default()
            };
            self.schedule(ROUND_TRIP, Delivery::Event(Event::Orders(orders)));
        }
    }

    fn call(&mut self, call: Call) {
        let known = self.agent.profile();
        let (to, wait) = match &call {
            Call::Identify { incarnation, .. } => (Some(incarnation.clone()), Millis::ZERO),
            Call::Poll { wait, .. } => (known.map(|known| known.incarnation.clone()), *wait),
            _ => (known.map(|known| known.incarnation.clone()), Millis::ZERO),
        };
        let delivery = Delivery::Call {
            call,
            sent: self.now,
            to: to.expect("a call has an addressee"),
            by: self.worker.clone(),
        };
        self.schedule(CALL + wait, delivery);
    }

    fn deliver(&mut self, key: (Instant, u64)) {
        let event = match self.deliveries.remove(&key) {
            Some(Delivery::Event(event)) => event,
            Some(Delivery::Call { call, sent, to, by }) => {
                let answer = if by == self.worker {
                    self.answer(&call, &to)
                } else {
                    Answer::Lost
                };
                Event::Answered { call, sent, answer }
            }
            None => return,
        };
        self.step(event);
    }

    fn answer(&mut self, call: &Call, to: &Incarnation) -> Answer {
        let Some(worker) = &self.worker else {
            return Answer::Lost;
        };
        if to.worker != worker.worker {
            return Answer::Refused(Refusal::Restarted);
        }
        let (Call::Identify { fence, .. }
        | Call::Poll { fence, .. }
        | Call::Extend { fence, .. }
        | Call::Start { fence, .. }
        | Call::Stop { fence, .. }
        | Call::Throttle { fence, .. }) = call;
        if *fence < self.seen {
            return Answer::Refused(Refusal::Fence);
        }
        self.seen = *fence;
        match call {
            Call::Identify { .. } | Call::Poll { .. } | Call::Extend { .. } => {
                Answer::Snapshot(Snapshot {
                    started_ms: Some(worker.started_ms),
                    clock: self.now.0,
                    running: self.running.clone(),
                    ends: Vec::new(),
                })
            }
            _ => Answer::Done,
        }
    }
}
