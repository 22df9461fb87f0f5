//! Runs the entries' own state machines in front of simulated endpoints.

use {
    super::{Arrival, Scenario, Tally},
    filbertbend_coordination::{
        admission::{self, Controller, Request},
        membership::{
            Announcement, Connection, Directory, DirectoryEvent, Heartbeat, Hello, Load, Member,
        },
        retry::{Budget, Completion, Next, Plan},
        routing::{self, Router},
    },
    filbertbend_standin::declare,
    filbertbend_state::{
        id,
        outcome::Reason,
        room::Room,
        service::{Declaration, Kind},
        time::Instant,
        unit::{Connections, Millis, Share, Slots},
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
    },
};

/// Interval at which the admission controllers learn the slot usage.
const SLOT_USAGE_INTERVAL_MS: u64 = 100;
/// Interval between two ticks of the admission controllers.
const TICK_INTERVAL_MS: u64 = 10;
const HEARTBEAT_INTERVAL_MS: u64 = 1000;

/// A scheduled event. The order of the fields is the order in which events are
/// handled.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Timer {
    at_ms: u64,
    request: usize,
    endpoint: usize,
    trigger: Trigger,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Trigger {
    /// The endpoint completes a try.
    Done,
    /// A try times out at the entry.
    Timeout,
}

struct Entry {
    directory: Directory,
    controller: Controller,
    router: Router,
    budget: Budget,
    plans: BTreeMap<usize, Plan>,
}

struct Simulation<'s> {
    scenario: &'s Scenario,
    arrivals: Vec<Arrival>,
    declarations: Vec<Declaration>,
    entries: Vec<Entry>,
    busy: Vec<u32>,
    sequences: Vec<u64>,
    timers: BinaryHeap<Reverse<Timer>>,
    tallies: Vec<Tally>,
}

/// Runs `scenario` through the state machines of its entries.
pub fn run(scenario: &Scenario) -> Vec<Tally> {
    let mut simulation = Simulation::new(scenario);
    let mut next_arrival = 0;
    for now_ms in 0..scenario.duration_ms {
        simulation.send_reports(now_ms);
        while simulation
            .timers
            .peek()
            .is_some_and(|l| l.0.at_ms <= now_ms)
        {
            if let Some(Reverse(timer)) = simulation.timers.pop() {
                simulation.handle_timer(now_ms, timer);
            }
        }
        while simulation
            .arrivals
            .get(next_arrival)
            .is_some_and(|a| a.at_ms <= now_ms)
        {
            simulation.handle_arrival(now_ms, next_arrival);
            next_arrival += 1;
        }
        if now_ms.is_multiple_of(TICK_INTERVAL_MS) {
            for entry in 0..simulation.entries.len() {
                simulation.step_controller(now_ms, entry, admission::Event::Tick);
            }
        }
    }
    simulation.tallies
}

fn endpoint(index: usize) -> id::Endpoint {
    id::Endpoint::new(format!("e{index}")).expect("the name is valid")
}

fn endpoint_index(endpoint: &id::Endpoint) -> usize {
    endpoint.as_str()[1..]
        .parse()
        .expect("the name has a number")
}

fn data_centre() -> id::DataCentre {
    id::DataCentre::new("xela").expect("the name is valid")
}

fn member(index: usize) -> Member {
    Member {
        entry: id::Entry::new(format!("entry-{index}")).expect("the name is valid"),
        address: ([127, 0, 0, 1], 7000 + index as u16).into(),
        data_centre: data_centre(),
        incarnation: id::Incarnation(1),
    }
}

fn entry(index: usize, seed: u64) -> Entry {
    Entry {
        directory: Directory::new(member(index)),
        controller: Controller::new(),
        router: Router::new(routing::Settings {
            data_centre: data_centre(),
            default_round_trip: Millis(8),
            round_trips: BTreeMap::new(),
            remote_penalty: Millis(10),
            seed: seed + index as u64,
        }),
        budget: Budget::new(),
        plans: BTreeMap::new(),
    }
}

impl<'s> Simulation<'s> {
    fn new(scenario: &'s Scenario) -> Self {
        let declarations: Vec<Declaration> = scenario
            .sources
            .iter()
            .map(|source| {
                let name: &'static str = source.class.into();
                Declaration {
                    share: Share::new(source.share),
                    idempotent: true,
                    run_time: Millis(source.mean_ms as u64),
                    ..declare::service(name, Kind::Check, source.class)
                }
            })
            .collect();
        let mut simulation = Self {
            arrivals: scenario.arrivals(),
            declarations,
            entries: (0..scenario.entries)
                .map(|index| entry(index, scenario.seed))
                .collect(),
            busy: vec![0; scenario.endpoints],
            sequences: vec![0; scenario.endpoints],
            timers: BinaryHeap::new(),
            tallies: vec![Tally::default(); scenario.sources.len()],
            scenario,
        };
        for index in 0..scenario.endpoints {
            simulation.announce_endpoint(index);
        }
        let members: Vec<Member> = (0..scenario.entries).map(member).collect();
        for entry in &mut simulation.entries {
            let listed = DirectoryEvent::Listed(members.clone());
            entry.directory.step(Instant(0), listed, &mut Vec::new());
        }
        simulation
    }

    fn announce_endpoint(&mut self, index: usize) {
        let announcement = Announcement {
            endpoint: endpoint(index),
            worker: id::Worker::new(format!("w{index}")).expect("the name is valid"),
            incarnation: id::Incarnation(1),
            data_centre: data_centre(),
            rack: id::Rack::new("r1").expect("the name is valid"),
            services: self.declarations.iter().map(|d| d.name.clone()).collect(),
            slots: Slots(self.scenario.slots),
            connections: Connections(1024),
            room: Room::NONE,
        };
        for entry in &mut self.entries {
            let hello = DirectoryEvent::Hello {
                connection: Connection(index as u64),
                accepted: Instant(0),
                hello: Hello::Agent(announcement.clone()),
            };
            entry.directory.step(Instant(0), hello, &mut Vec::new());
        }
    }

    /// Sends the heartbeats that are due, which are spread over the second, and
    /// reports the slot usage to the admission controllers.
    fn send_reports(&mut self, now_ms: u64) {
        for index in 0..self.scenario.endpoints {
            let offset_ms = index as u64 * 97 % HEARTBEAT_INTERVAL_MS;
            let due = now_ms % HEARTBEAT_INTERVAL_MS == offset_ms;
            if due && !self.scenario.is_lost(index, now_ms) {
                self.heartbeat(now_ms, index);
            }
        }
        if now_ms.is_multiple_of(SLOT_USAGE_INTERVAL_MS) {
            for entry in 0..self.entries.len() {
                let slots_changed = self.slots_changed(now_ms, entry);
                self.step_controller(now_ms, entry, slots_changed);
            }
        }
    }

    fn heartbeat(&mut self, now_ms: u64, index: usize) {
        let last_ack = self.sequences[index];
        self.sequences[index] += 1;
        let heartbeat = Heartbeat {
            sequence: last_ack + 1,
            last_ack,
            load: Load {
                slots_used: Slots(self.busy[index]),
                connections_used: Connections(self.busy[index]),
                service_time: Millis(self.scenario.sources[0].mean_ms as u64),
                ..Load::default()
            },
            ..Heartbeat::default()
        };
        for entry in &mut self.entries {
            let event = DirectoryEvent::Heartbeat {
                connection: Connection(index as u64),
                heartbeat,
            };
            entry
                .directory
                .step(Instant(now_ms), event, &mut Vec::new());
        }
    }

    fn slots_changed(&self, now_ms: u64, entry: usize) -> admission::Event {
        let entry = &self.entries[entry];
        let now = Instant(now_ms);
        let usage = |service| entry.router.slot_usage(now, &entry.directory, service);
        admission::Event::SlotsChanged {
            entries: self.entries.len() as u32,
            total: usage(None),
            services: self
                .declarations
                .iter()
                .map(|declaration| (declaration.name.clone(), usage(Some(&declaration.name))))
                .collect(),
        }
    }

    fn handle_arrival(&mut self, now_ms: u64, request: usize) {
        let arrival = self.arrivals[request];
        let declaration = &self.declarations[arrival.source];
        let deadline = Instant(now_ms + self.scenario.sources[arrival.source].deadline_ms);
        let admission_request = Request::new(
            id::Request(request as u64),
            declaration,
            declaration.team.clone(),
            deadline,
        );
        let entry = &mut self.entries[arrival.entry];
        entry
            .budget
            .record_request(Instant(now_ms), &declaration.name);
        entry
            .plans
            .insert(request, Plan::new(declaration, deadline));
        self.tallies[arrival.source].sent += 1;
        self.step_controller(
            now_ms,
            arrival.entry,
            admission::Event::Arrived(admission_request),
        );
    }

    fn step_controller(&mut self, now_ms: u64, entry: usize, event: admission::Event) {
        let mut events = vec![event];
        let mut actions = Vec::new();
        while let Some(event) = events.pop() {
            let controller = &mut self.entries[entry].controller;
            controller.step(Instant(now_ms), event, &mut actions);
            for action in actions.drain(..) {
                match action {
                    admission::Action::Dispatch(request) => {
                        events.extend(self.dispatch(now_ms, entry, request.0 as usize));
                    }
                    admission::Action::Refuse { request, .. } => {
                        self.entries[entry].plans.remove(&(request.0 as usize));
                    }
                }
            }
        }
    }

    /// Sends a try, and further ones while agents refuse. Returns the event for
    /// the admission controller if no try is in progress afterwards.
    fn dispatch(&mut self, now_ms: u64, entry: usize, request: usize) -> Option<admission::Event> {
        let id = id::Request(request as u64);
        loop {
            let arrival = self.arrivals[request];
            let entry = &mut self.entries[entry];
            let plan = entry.plans.get_mut(&request)?;
            let criteria = routing::Criteria {
                declaration: &self.declarations[arrival.source],
                tried: plan.tried(),
                remaining: plan.remaining(Instant(now_ms)),
            };
            let now = Instant(now_ms);
            let choice = match entry.router.pick(now, &entry.directory, &criteria) {
                Ok(choice) => choice,
                Err(refusal) if refusal.reason == Reason::NoRoom && plan.tries() == 0 => {
                    return Some(admission::Event::Returned(id));
                }
                Err(_) => {
                    entry.plans.remove(&request);
                    return Some(admission::Event::Dropped(id));
                }
            };
            plan.sent(choice.endpoint.clone());
            let first = plan.tries() == 1;
            if self.send(now_ms, request, endpoint_index(&choice.endpoint), first) {
                return None;
            }
            let entry = &mut self.entries[arrival.entry];
            entry.router.ended(
                Instant(now_ms),
                &entry.directory,
                &choice.endpoint,
                routing::Feedback::Full,
            );
            let refused = Completion::Refused {
                reason: Reason::NoRoom,
                retry_after: Millis(50),
            };
            let plan = entry.plans.get_mut(&request)?;
            if plan.ended(now, &choice.endpoint, refused, &mut entry.budget) != Next::Retry {
                entry.plans.remove(&request);
                return Some(admission::Event::Dropped(id));
            }
        }
    }

    /// Sends one try. Returns `false` if the agent refuses it.
    fn send(&mut self, now_ms: u64, request: usize, endpoint: usize, first: bool) -> bool {
        let arrival = self.arrivals[request];
        let tally = &mut self.tallies[arrival.source];
        tally.tries += 1;
        let loss = self.scenario.loss;
        if loss.is_some_and(|loss| arrival.at_ms >= loss.at_ms) {
            tally.tries_after_loss += 1;
            tally.requests_tried_after_loss += u64::from(first);
        }
        let mut schedule = |at_ms, trigger| {
            self.timers.push(Reverse(Timer {
                at_ms,
                request,
                endpoint,
                trigger,
            }));
        };
        if let Some(timeout_ms) = self.scenario.try_timeout_ms {
            schedule(now_ms + timeout_ms, Trigger::Timeout);
        }
        if self.scenario.is_lost(endpoint, now_ms) {
            return true;
        }
        if self.busy[endpoint] >= self.scenario.slots {
            return false;
        }
        schedule(now_ms + arrival.service_ms, Trigger::Done);
        self.busy[endpoint] += 1;
        true
    }

    fn handle_timer(&mut self, now_ms: u64, timer: Timer) {
        let arrival = self.arrivals[timer.request];
        let is_lost = self.scenario.is_lost(timer.endpoint, now_ms);
        let completion = match timer.trigger {
            Trigger::Done => {
                self.busy[timer.endpoint] -= 1;
                Completion::Answered
            }
            Trigger::Timeout => Completion::Timeout,
        };
        let endpoint = endpoint(timer.endpoint);
        let entry = &mut self.entries[arrival.entry];
        let Some(plan) = entry.plans.get_mut(&timer.request) else {
            return;
        };
        let is_current = plan.tried().last() == Some(&endpoint);
        if !is_current || (is_lost && completion == Completion::Answered) {
            return;
        }
        entry.router.ended(
            Instant(now_ms),
            &entry.directory,
            &endpoint,
            routing::Feedback::Accepted,
        );
        let id = id::Request(timer.request as u64);
        let next = plan.ended(Instant(now_ms), &endpoint, completion, &mut entry.budget);
        let event = match next {
            Next::Retry => self.dispatch(now_ms, arrival.entry, timer.request),
            Next::Answer { .. } => {
                let deadline_ms = self.scenario.sources[arrival.source].deadline_ms;
                self.tallies[arrival.source].record_answer(now_ms, &arrival, deadline_ms);
                entry.plans.remove(&timer.request);
                Some(admission::Event::Completed(id))
            }
            Next::Wait => None,
            Next::Finish(_) => {
                entry.plans.remove(&timer.request);
                Some(admission::Event::Dropped(id))
            }
        };
        if let Some(event) = event {
            self.step_controller(now_ms, arrival.entry, event);
        }
    }
}
