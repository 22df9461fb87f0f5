//! A seeded simulation of several entry processes and one store.

use {
    super::{
        ledger::Ledger,
        outcomes::{Outcome, Outcomes},
        process::{Component, Output, Process},
    },
    crate::store::network::{Faults, Network},
    filbertbend_coordination::{
        journal::{Action, Event, Limits, Ticket},
        ownership,
        store::{self, Answer, Call},
    },
    filbertbend_state::{id, time::Instant},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::collections::VecDeque,
};

const APPEND_INTERVAL_MS: u64 = 20;
const FAULT_INTERVAL_MS: u64 = 100;
/// Time without faults at the end of a session, in which all slices must get an
/// owner.
const SETTLE_MS: u64 = 30_000;

/// The parameters of a session. Fault probabilities are in thousandths.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// The number of entry processes.
    pub processes: u16,
    /// The number of slices.
    pub slices: u16,
    /// How long records are appended and faults injected.
    pub length_ms: u64,
    /// The size limits of the journals.
    pub limits: Limits,
    /// The latency and faults of the network.
    pub faults: Faults,
    /// Probability that a process freezes, in each 100 ms.
    pub freezes: u32,
    /// Probability that a process freezes after a step, before it sends the
    /// calls of that step.
    pub send_freezes: u32,
    /// The longest freeze.
    pub freeze_ms: u64,
    /// Probability that a process crashes, in each 100 ms.
    pub crashes: u32,
    /// Probability that a process leaves gracefully, in each 100 ms.
    pub departures: u32,
    /// Probability that a store outage begins, in each 100 ms.
    pub outages: u32,
    /// The longest outage.
    pub outage_ms: u64,
}

impl Plan {
    /// Returns a plan with all kinds of faults, and with journal limits so small
    /// that a session contains many compactions.
    pub fn all_faults() -> Self {
        Self {
            processes: 3,
            slices: 2,
            length_ms: 40_000,
            limits: Limits {
                compact_entries: 12,
                entry_bytes: 200,
                part_bytes: 300,
                ..Limits::default()
            },
            faults: Faults {
                latency_ms: 4,
                jitter_ms: 8,
                lost_calls: 10,
                lost_answers: 20,
                late_calls: 20,
            },
            freezes: 4,
            send_freezes: 1,
            freeze_ms: 9000,
            crashes: 3,
            departures: 3,
            outages: 2,
            outage_ms: 6000,
        }
    }
}

/// Counters and violations of one or more sessions.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Records that were appended.
    pub appended: usize,
    /// Records that were reported as durable.
    pub durable: usize,
    /// Records that were reported as not written.
    pub not_written: usize,
    /// Records that may have been written.
    pub unknown: usize,
    /// Recoveries that completed.
    pub recoveries: u64,
    /// Ownerships that ended because a newer owner was found.
    pub losses: u64,
    /// Writes of a journal manifest that were sent.
    pub manifests: u64,
    /// Descriptions of every violated invariant.
    pub violations: Vec<String>,
}

impl Tally {
    /// Adds the result of another session.
    pub fn add(&mut self, other: &Self) {
        self.appended += other.appended;
        self.durable += other.durable;
        self.not_written += other.not_written;
        self.unknown += other.unknown;
        self.recoveries += other.recoveries;
        self.losses += other.losses;
        self.manifests += other.manifests;
        self.violations.extend(other.violations.iter().cloned());
    }
}

/// The component of one incarnation of a process that waits for an answer.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    index: usize,
    incarnation: u64,
    component: Component,
}

/// An instance on which a process runs, crashes and is restarted.
struct Instance {
    incarnation: u64,
    process: Option<Process>,
    /// When a frozen process continues, or when an ended one is restarted.
    paused_until: Instant,
    inbox: VecDeque<(Component, store::Ticket, Answer)>,
    outbox: Vec<(Component, store::Ticket, Call)>,
}

/// Several entry processes on one store.
pub struct Simulation {
    /// The current time.
    pub now: Instant,
    /// The store and the network in front of it.
    pub network: Network<Caller>,
    plan: Plan,
    rng: ChaCha8Rng,
    instances: Vec<Instance>,
    outcomes: Outcomes,
    tally: Tally,
    incarnations: u64,
    faults_enabled: bool,
    store_up_at: Instant,
}

impl Simulation {
    /// Creates the simulation and starts its processes.
    pub fn new(plan: Plan, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let network_rng = ChaCha8Rng::seed_from_u64(rng.next_u64());
        let mut simulation = Self {
            now: Instant(1),
            network: Network::new(plan.faults, network_rng),
            plan,
            rng,
            instances: Vec::new(),
            outcomes: Outcomes::default(),
            tally: Tally::default(),
            incarnations: 0,
            faults_enabled: true,
            store_up_at: Instant(0),
        };
        for index in 0..usize::from(plan.processes) {
            simulation.instances.push(Instance {
                incarnation: 0,
                process: None,
                paused_until: Instant(0),
                inbox: VecDeque::new(),
                outbox: Vec::new(),
            });
            simulation.start(index);
        }
        simulation
    }

    /// Runs the whole session and compares the outcome of every record with the
    /// final state of the slices.
    pub fn run(mut self) -> Tally {
        let end = Instant(self.plan.length_ms);
        self.run_until(end);
        self.faults_enabled = false;
        self.network.down = false;
        self.network.faults = Faults {
            latency_ms: self.plan.faults.latency_ms,
            ..Faults::default()
        };
        self.run_until(Instant(end.0 + SETTLE_MS));
        self.finish()
    }

    fn finish(mut self) -> Tally {
        let mut states: Vec<&Ledger> = Vec::new();
        for slice in (0..self.plan.slices).map(id::Slice) {
            let processes = self
                .instances
                .iter()
                .filter_map(|instance| instance.process.as_ref());
            let owners: Vec<&Ledger> = processes
                .filter(|process| process.recovered().contains(&slice))
                .filter_map(|process| process.image(slice))
                .collect();
            if owners.len() != 1 {
                let text = format!("slice {slice} has {} owners in the end", owners.len());
                self.outcomes.violations.push(text);
            }
            states.extend(owners.first());
        }
        self.outcomes.check(states.into_iter());
        Tally {
            appended: self.outcomes.count(Outcome::Open)
                + self.outcomes.count(Outcome::Durable)
                + self.outcomes.count(Outcome::NotWritten)
                + self.outcomes.count(Outcome::Unknown),
            durable: self.outcomes.count(Outcome::Durable),
            not_written: self.outcomes.count(Outcome::NotWritten),
            unknown: self.outcomes.count(Outcome::Unknown),
            violations: self.outcomes.violations,
            ..self.tally
        }
    }

    fn random_below(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        self.random_below(1000) < u64::from(thousandths)
    }

    fn start(&mut self, index: usize) {
        let Ok(entry) = id::Entry::new(format!("entry-{index}")) else {
            return;
        };
        self.incarnations += 1;
        let rng = ChaCha8Rng::seed_from_u64(self.rng.next_u64());
        let process = Process::new(entry, self.plan.slices, self.plan.limits, rng);
        let instance = &mut self.instances[index];
        instance.incarnation = self.incarnations;
        instance.process = Some(process);
        instance.inbox.clear();
        instance.outbox.clear();
        self.step(index, |process, now| {
            process.step(now, ownership::Event::Start)
        });
    }

    fn run_until(&mut self, end: Instant) {
        let mut next_append = self.now;
        let mut next_faults = self.now;
        while self.now < end {
            self.receive();
            self.run_processes();
            if next_append <= self.now {
                next_append = Instant(self.now.0 + APPEND_INTERVAL_MS);
                self.append();
            }
            if next_faults <= self.now {
                next_faults = Instant(self.now.0 + FAULT_INTERVAL_MS);
                self.inject_faults();
            }
            self.check_grants();
            let instances = self
                .instances
                .iter()
                .filter(|instance| instance.process.is_some());
            let wakes = instances.map(|instance| {
                let wake = instance.process.as_ref().map_or(end, Process::wake);
                wake.max(instance.paused_until)
            });
            let next = wakes
                .chain(self.network.next_at())
                .chain([next_append, next_faults, end])
                .min()
                .unwrap_or(end);
            self.now = next.max(Instant(self.now.0 + 1));
        }
    }

    fn is_paused(&self, index: usize) -> bool {
        self.instances[index].paused_until > self.now
    }

    fn receive(&mut self) {
        while let Some((caller, ticket, answer)) = self.network.receive(self.now) {
            if self.instances[caller.index].incarnation != caller.incarnation {
                continue;
            }
            let inbox = &mut self.instances[caller.index].inbox;
            inbox.push_back((caller.component, ticket, answer));
        }
    }

    /// Lets every process that is not paused handle its answers and timers.
    fn run_processes(&mut self) {
        for index in 0..self.instances.len() {
            if self.is_paused(index) {
                continue;
            }
            if self.instances[index].process.is_none() {
                self.start(index);
            }
            for (component, ticket, call) in std::mem::take(&mut self.instances[index].outbox) {
                self.send(index, component, ticket, call);
            }
            while !self.is_paused(index) {
                let Some((component, ticket, answer)) = self.instances[index].inbox.pop_front()
                else {
                    break;
                };
                self.step(index, |process, now| {
                    process.answer(now, component, ticket, answer)
                });
            }
            if !self.is_paused(index) {
                self.step(index, |process, now| process.tick(now));
            }
        }
    }

    fn step(&mut self, index: usize, step: impl FnOnce(&mut Process, Instant) -> Vec<Output>) {
        let now = self.now;
        let Some(process) = &mut self.instances[index].process else {
            return;
        };
        let outputs = step(process, now);
        let send_freezes = self.plan.send_freezes;
        if self.faults_enabled && !outputs.is_empty() && self.chance(send_freezes) {
            self.freeze(index);
        }
        for output in outputs {
            match output {
                Output::Call(component, ticket, call) => self.send(index, component, ticket, call),
                Output::Report(_, number, action) => self.report(index, number, &action),
                Output::Left => self.stop(index),
            }
        }
    }

    fn send(&mut self, index: usize, component: Component, ticket: store::Ticket, call: Call) {
        let paused = self.is_paused(index);
        let instance = &mut self.instances[index];
        if paused {
            return instance.outbox.push((component, ticket, call));
        }
        let caller = Caller {
            index,
            incarnation: instance.incarnation,
            component,
        };
        if matches!(&call, Call::Put { key, .. } if key.ends_with("/manifest")) {
            self.tally.manifests += 1;
        }
        self.network.send(self.now, caller, ticket, call);
    }

    fn report(&mut self, index: usize, number: u64, action: &Action) {
        match action {
            Action::Recovered { .. } => self.tally.recoveries += 1,
            Action::Lost { newer: Some(_) } => self.tally.losses += 1,
            _ => {}
        }
        let incarnation = self.instances[index].incarnation;
        self.outcomes.record(incarnation, number, action);
    }

    fn stop(&mut self, index: usize) {
        let pause = self.random_below(5000);
        let instance = &mut self.instances[index];
        instance.process = None;
        instance.incarnation = 0;
        instance.paused_until = Instant(self.now.0 + pause);
    }

    fn freeze(&mut self, index: usize) {
        let span = self.random_below(self.plan.freeze_ms);
        self.instances[index].paused_until = Instant(self.now.0 + span);
    }

    /// Appends records to the recovered slices and withdraws some of them.
    fn append(&mut self) {
        for index in 0..self.instances.len() {
            let process = self.instances[index].process.as_ref();
            let slices = process.map(Process::recovered).unwrap_or_default();
            for slice in slices {
                if self.is_paused(index) || !self.faults_enabled || self.random_below(4) != 0 {
                    continue;
                }
                for _ in 0..=self.random_below(3) {
                    let id = self.outcomes.append();
                    let bytes = self.random_below(40) as usize;
                    self.step(index, |process, now| {
                        process.step_journal(now, slice, Process::append(id, bytes))
                    });
                    if self.random_below(20) == 0 {
                        let event = Event::Withdraw(Ticket(id));
                        self.step(index, |process, now| {
                            process.step_journal(now, slice, event)
                        });
                    }
                }
            }
        }
    }

    /// Injects faults with the probabilities of the plan.
    fn inject_faults(&mut self) {
        if !self.faults_enabled {
            return;
        }
        self.network.down = self.store_up_at > self.now;
        if !self.network.down && self.chance(self.plan.outages) {
            let span = self.random_below(self.plan.outage_ms);
            self.store_up_at = Instant(self.now.0 + span);
        }
        for index in 0..self.instances.len() {
            if self.is_paused(index) {
                continue;
            }
            if self.chance(self.plan.freezes) {
                self.freeze(index);
            } else if self.chance(self.plan.crashes) {
                self.stop(index);
            } else if self.chance(self.plan.departures) {
                self.step(index, |process, now| {
                    process.step(now, ownership::Event::Leave)
                });
            }
        }
    }

    /// Checks that at most one process may send the first grant of an attempt.
    fn check_grants(&mut self) {
        for slice in (0..self.plan.slices).map(id::Slice) {
            let processes = self
                .instances
                .iter()
                .filter_map(|instance| instance.process.as_ref());
            let allowed = processes
                .filter(|process| process.registry.may_grant_first(self.now, slice))
                .count();
            if allowed > 1 {
                let text = format!("{} processes may grant in slice {slice}", allowed);
                self.outcomes.violations.push(text);
            }
        }
    }
}
