//! An agent with a scripted clock, and answers of its worker.

use {
    filbertbend_state::{room::Room, time::Instant, unit::Millis},
    filbertbend_workload::{
        agent::{Action, Agent, Answer, Call, Event, Snapshot},
        id::{Epoch, Fence, Incarnation, Job, Run, Sequence, Task},
        message::{Orders, Outcome, Report, Role, Start},
        worker::{End, Exit, Profile, Running},
    },
};

pub(crate) const FENCE: Fence = Fence(7);

pub(crate) fn profile(started_ms: u64) -> Profile {
    Profile {
        incarnation: Incarnation {
            worker: "w-1".into(),
            started_ms,
        },
        pool: "pool".into(),
        data_centre: "xela".into(),
        room: Room::NONE,
        labels: Vec::new(),
        draining: false,
        remaining_ms: None,
    }
}

pub(crate) fn task() -> Task {
    Task {
        job: Job(1),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

pub(crate) fn start() -> Start {
    Start {
        task: task(),
        run: Run(1),
        spec: "work".into(),
        checkpoint: None,
        role: Role::default(),
    }
}

pub(crate) fn snapshot(started_ms: u64, running: Vec<Running>) -> Answer {
    Answer::Snapshot(Snapshot {
        started_ms: Some(started_ms),
        clock: 50_000,
        running,
        ends: Vec::new(),
    })
}

/// Returns a snapshot that lists ends of other tasks with these numbers.
pub(crate) fn ends(numbers: std::ops::RangeInclusive<u64>) -> Answer {
    let end = |number| End {
        sequence: Sequence(number),
        task: Task {
            job: Job(2),
            occurrence: number as u32,
            ..task()
        },
        run: Run(1),
        exit: Exit::Done,
        checkpoint: None,
    };
    Answer::Snapshot(Snapshot {
        started_ms: Some(1),
        clock: 50_000,
        running: Vec::new(),
        ends: numbers.map(end).collect(),
    })
}

pub(crate) fn row() -> Running {
    Running {
        task: task(),
        run: Run(1),
        checkpoint: None,
        percent: 0,
        measurement: 0,
    }
}

/// An agent under test with the calls and messages it has emitted.
pub(crate) struct Harness {
    pub(crate) agent: Agent,
    pub(crate) now: Instant,
    /// The calls but for those that extend the lease.
    pub(crate) calls: Vec<Call>,
    pub(crate) extensions: Vec<Call>,
    pub(crate) reports: Vec<Report>,
    pub(crate) hellos: usize,
}

impl Harness {
    /// Creates an agent that knows nothing.
    pub(crate) fn idle() -> Self {
        Self {
            agent: Agent::default(),
            now: Instant(10_000),
            calls: Vec::new(),
            extensions: Vec::new(),
            reports: Vec::new(),
            hellos: 0,
        }
    }

    /// Creates an agent with an open session and a lease.
    pub(crate) fn new() -> Self {
        let mut harness = Self::idle();
        harness.step(Event::Heartbeat(profile(1)));
        harness.step(Event::Connected);
        harness.step(Event::Welcome(Epoch(1), FENCE, None));
        harness.poll(snapshot(1, Vec::new()));
        harness.step(Event::Tick);
        harness.grant();
        harness.extend(snapshot(1, Vec::new()));
        harness
    }

    pub(crate) fn step(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.agent.step(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Call(call @ Call::Extend { .. }) => self.extensions.push(call),
                Action::Call(call) => self.calls.push(call),
                Action::Send(report) => self.reports.push(*report),
                Action::Hello => self.hellos += 1,
                Action::Ping | Action::Crashed(_) | Action::Rejected(_) => {}
            }
        }
    }

    pub(crate) fn pass(&mut self, span: Millis) {
        self.now = self.now + span;
        self.step(Event::Tick);
    }

    /// Takes the pending poll.
    pub(crate) fn pending_poll(&mut self) -> Call {
        self.take(|call| matches!(call, Call::Poll { .. }))
            .expect("the agent polls")
    }

    /// Answers the pending poll.
    pub(crate) fn poll(&mut self, answer: Answer) {
        let sent = self.now;
        let call = self.pending_poll();
        self.now = self.now + Millis(1);
        self.step(Event::Answered { call, sent, answer });
    }

    /// Answers the pending extension of the lease.
    pub(crate) fn extend(&mut self, answer: Answer) {
        let call = self.extensions.pop().expect("the lease is passed on");
        self.answer(call, answer);
    }

    pub(crate) fn grant(&mut self) {
        let request = self
            .reports
            .iter()
            .filter_map(|report| report.renew)
            .next_back();
        let orders = Orders {
            lease: Some((request.expect("a lease is requested"), Millis(6000))),
            ..Orders::default()
        };
        self.step(Event::Orders(orders));
    }

    pub(crate) fn order(&mut self) -> Call {
        self.order_start(start()).expect("the start is sent")
    }

    /// Orders a start and returns the call to the worker, if there is one.
    pub(crate) fn order_start(&mut self, start: Start) -> Option<Call> {
        self.order_starts([start]).pop()
    }

    /// Orders starts and returns the calls to the worker.
    pub(crate) fn order_starts(&mut self, starts: impl IntoIterator<Item = Start>) -> Vec<Call> {
        let orders = Orders {
            starts: starts.into_iter().collect(),
            ..Orders::default()
        };
        self.step(Event::Orders(orders));
        let is_start = |call: &mut Call| matches!(call, Call::Start { .. });
        self.calls.extract_if(.., is_start).collect()
    }

    pub(crate) fn take(&mut self, matches: impl Fn(&Call) -> bool) -> Option<Call> {
        let position = self.calls.iter().position(matches)?;
        Some(self.calls.remove(position))
    }

    pub(crate) fn answer(&mut self, call: Call, answer: Answer) {
        let sent = self.now;
        self.now = self.now + Millis(1);
        self.step(Event::Answered { call, sent, answer });
    }

    pub(crate) fn outcomes(&mut self) -> Vec<Outcome> {
        std::mem::take(&mut self.reports)
            .into_iter()
            .flat_map(|report| report.outcomes)
            .collect()
    }
}
