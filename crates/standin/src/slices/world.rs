//! A seeded session of several processes.

use {
    super::{
        fates::{Fate, Fates},
        ledger::Ledger,
        process::{Output, Part, Process},
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

const WORK_INTERVAL_MS: u64 = 20;
const CHAOS_INTERVAL_MS: u64 = 100;
/// Time without faults at the end, in which everything has to settle.
const HEAL_MS: u64 = 30_000;

/// What a session consists of. Shares are in thousandths.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// The number of processes.
    pub processes: u16,
    /// The number of slices.
    pub slices: u16,
    /// How long faults are made.
    pub length_ms: u64,
    /// The sizes that the journals keep to.
    pub limits: Limits,
    /// How the network behaves.
    pub faults: Faults,
    /// Freezes of a process each 100 ms.
    pub freezes: u32,
    /// Freezes between a decision and the calls that it led to, by step.
    pub pauses: u32,
    /// Longest freeze.
    pub freeze_ms: u64,
    /// Deaths of a process each 100 ms.
    pub deaths: u32,
    /// Departures of a process each 100 ms.
    pub leaves: u32,
    /// Outages of the store each 100 ms.
    pub outages: u32,
    /// Longest outage.
    pub outage_ms: u64,
}

impl Plan {
    /// All faults together, and sizes so small that a session contains many
    /// compactions.
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
            pauses: 1,
            freeze_ms: 9000,
            deaths: 3,
            leaves: 3,
            outages: 2,
            outage_ms: 6000,
        }
    }
}

/// The result of a session.
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
    /// Ownerships that began.
    pub recoveries: u64,
    /// Ownerships that ended by fencing.
    pub losses: u64,
    /// Compactions that were confirmed or adopted.
    pub manifests: u64,
    /// What should not have happened, in words.
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

/// Ties an answer to one part of one life of a process.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    index: usize,
    life: u64,
    part: Part,
}

/// One place in which a process lives, dies and is replaced.
struct Seat {
    life: u64,
    process: Option<Process>,
    /// Frozen, or not started again, until then.
    away_until: Instant,
    inbox: VecDeque<(Part, store::Ticket, Answer)>,
    outbox: Vec<(Part, store::Ticket, Call)>,
}

/// Several processes over one store.
pub struct World {
    /// The current time.
    pub now: Instant,
    /// The store.
    pub network: Network<Caller>,
    plan: Plan,
    rng: ChaCha8Rng,
    seats: Vec<Seat>,
    fates: Fates,
    tally: Tally,
    lives: u64,
    chaos: bool,
    up_at: Instant,
}

impl World {
    /// Makes the processes of a session.
    pub fn new(plan: Plan, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let network_rng = ChaCha8Rng::seed_from_u64(rng.next_u64());
        let mut world = Self {
            now: Instant(1),
            network: Network::new(plan.faults, network_rng),
            plan,
            rng,
            seats: Vec::new(),
            fates: Fates::default(),
            tally: Tally::default(),
            lives: 0,
            chaos: true,
            up_at: Instant(0),
        };
        for index in 0..usize::from(plan.processes) {
            world.seats.push(Seat {
                life: 0,
                process: None,
                away_until: Instant(0),
                inbox: VecDeque::new(),
                outbox: Vec::new(),
            });
            world.start(index);
        }
        world
    }

    /// Runs the whole session and compares every fate with the store.
    pub fn run(mut self) -> Tally {
        let end = Instant(self.plan.length_ms);
        self.run_until(end);
        self.chaos = false;
        self.network.down = false;
        self.network.faults = Faults {
            latency_ms: self.plan.faults.latency_ms,
            ..Faults::default()
        };
        self.run_until(Instant(end.0 + HEAL_MS));
        self.conclude()
    }

    fn conclude(mut self) -> Tally {
        let mut states: Vec<&Ledger> = Vec::new();
        for slice in (0..self.plan.slices).map(id::Slice) {
            let processes = self.seats.iter().filter_map(|seat| seat.process.as_ref());
            let owners: Vec<&Ledger> = processes
                .filter(|process| process.recovered().contains(&slice))
                .filter_map(|process| process.image(slice))
                .collect();
            if owners.len() != 1 {
                let text = format!("slice {slice} has {} owners in the end", owners.len());
                self.fates.violations.push(text);
            }
            states.extend(owners.first());
        }
        self.fates.check(states.into_iter());
        Tally {
            appended: self.fates.count(Fate::Open)
                + self.fates.count(Fate::Durable)
                + self.fates.count(Fate::NotWritten)
                + self.fates.count(Fate::Unknown),
            durable: self.fates.count(Fate::Durable),
            not_written: self.fates.count(Fate::NotWritten),
            unknown: self.fates.count(Fate::Unknown),
            violations: self.fates.violations,
            ..self.tally
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        self.draw(1000) < u64::from(thousandths)
    }

    fn start(&mut self, index: usize) {
        let Ok(entry) = id::Entry::new(format!("entry-{index}")) else {
            return;
        };
        self.lives += 1;
        let rng = ChaCha8Rng::seed_from_u64(self.rng.next_u64());
        let process = Process::new(entry, self.plan.slices, self.plan.limits, rng);
        let seat = &mut self.seats[index];
        seat.life = self.lives;
        seat.process = Some(process);
        seat.inbox.clear();
        seat.outbox.clear();
        self.act(index, |process, now| {
            process.tell(now, ownership::Event::Start)
        });
    }

    fn run_until(&mut self, end: Instant) {
        let mut next_work = self.now;
        let mut next_chaos = self.now;
        while self.now < end {
            self.receive();
            self.wake();
            if next_work <= self.now {
                next_work = Instant(self.now.0 + WORK_INTERVAL_MS);
                self.append();
            }
            if next_chaos <= self.now {
                next_chaos = Instant(self.now.0 + CHAOS_INTERVAL_MS);
                self.disturb();
            }
            self.check_grants();
            let seats = self.seats.iter().filter(|seat| seat.process.is_some());
            let wakes = seats.map(|seat| {
                let wake = seat.process.as_ref().map_or(end, Process::wake);
                wake.max(seat.away_until)
            });
            let next = wakes
                .chain(self.network.next_at())
                .chain([next_work, next_chaos, end])
                .min()
                .unwrap_or(end);
            self.now = next.max(Instant(self.now.0 + 1));
        }
    }

    fn is_away(&self, index: usize) -> bool {
        self.seats[index].away_until > self.now
    }

    fn receive(&mut self) {
        while let Some((caller, ticket, answer)) = self.network.receive(self.now) {
            if self.seats[caller.index].life != caller.life {
                continue;
            }
            let inbox = &mut self.seats[caller.index].inbox;
            inbox.push_back((caller.part, ticket, answer));
        }
    }

    /// Lets every process that runs take its answers and timers.
    fn wake(&mut self) {
        for index in 0..self.seats.len() {
            if self.is_away(index) {
                continue;
            }
            if self.seats[index].process.is_none() {
                self.start(index);
            }
            for (part, ticket, call) in std::mem::take(&mut self.seats[index].outbox) {
                self.send(index, part, ticket, call);
            }
            while !self.is_away(index) {
                let Some((part, ticket, answer)) = self.seats[index].inbox.pop_front() else {
                    break;
                };
                self.act(index, |process, now| {
                    process.answer(now, part, ticket, answer)
                });
            }
            if !self.is_away(index) {
                self.act(index, |process, now| process.tick(now));
            }
        }
    }

    fn act(&mut self, index: usize, step: impl FnOnce(&mut Process, Instant) -> Vec<Output>) {
        let now = self.now;
        let Some(process) = &mut self.seats[index].process else {
            return;
        };
        let outputs = step(process, now);
        let pauses = self.plan.pauses;
        if self.chaos && !outputs.is_empty() && self.chance(pauses) {
            self.freeze(index);
        }
        for output in outputs {
            match output {
                Output::Call(part, ticket, call) => self.send(index, part, ticket, call),
                Output::Report(_, number, action) => self.report(index, number, &action),
                Output::Left => self.stop(index),
            }
        }
    }

    fn send(&mut self, index: usize, part: Part, ticket: store::Ticket, call: Call) {
        let away = self.is_away(index);
        let seat = &mut self.seats[index];
        if away {
            return seat.outbox.push((part, ticket, call));
        }
        let caller = Caller {
            index,
            life: seat.life,
            part,
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
        let life = self.seats[index].life;
        self.fates.take(life, number, action);
    }

    fn stop(&mut self, index: usize) {
        let pause = self.draw(5000);
        let seat = &mut self.seats[index];
        seat.process = None;
        seat.life = 0;
        seat.away_until = Instant(self.now.0 + pause);
    }

    fn freeze(&mut self, index: usize) {
        let span = self.draw(self.plan.freeze_ms);
        self.seats[index].away_until = Instant(self.now.0 + span);
    }

    /// Appends records to the slices that are owned and withdraws some.
    fn append(&mut self) {
        for index in 0..self.seats.len() {
            let process = self.seats[index].process.as_ref();
            let slices = process.map(Process::recovered).unwrap_or_default();
            for slice in slices {
                if self.is_away(index) || !self.chaos || self.draw(4) != 0 {
                    continue;
                }
                for _ in 0..=self.draw(3) {
                    let id = self.fates.begin();
                    let bytes = self.draw(40) as usize;
                    self.act(index, |process, now| {
                        process.tell_journal(now, slice, Process::append(id, bytes))
                    });
                    if self.draw(20) == 0 {
                        let event = Event::Withdraw(Ticket(id));
                        self.act(index, |process, now| {
                            process.tell_journal(now, slice, event)
                        });
                    }
                }
            }
        }
    }

    /// Makes the faults of the plan.
    fn disturb(&mut self) {
        if !self.chaos {
            return;
        }
        self.network.down = self.up_at > self.now;
        if !self.network.down && self.chance(self.plan.outages) {
            let span = self.draw(self.plan.outage_ms);
            self.up_at = Instant(self.now.0 + span);
        }
        for index in 0..self.seats.len() {
            if self.is_away(index) {
                continue;
            }
            if self.chance(self.plan.freezes) {
                self.freeze(index);
            } else if self.chance(self.plan.deaths) {
                self.stop(index);
            } else if self.chance(self.plan.leaves) {
                self.act(index, |process, now| {
                    process.tell(now, ownership::Event::Leave)
                });
            }
        }
    }

    /// Checks that at most one process may give the first grant of an attempt.
    fn check_grants(&mut self) {
        for slice in (0..self.plan.slices).map(id::Slice) {
            let processes = self.seats.iter().filter_map(|seat| seat.process.as_ref());
            let allowed = processes
                .filter(|process| process.registry.may_grant_first(self.now, slice))
                .count();
            if allowed > 1 {
                let text = format!("{} processes may grant in slice {slice}", allowed);
                self.fates.violations.push(text);
            }
        }
    }
}
