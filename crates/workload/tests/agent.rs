//! The agent beside a worker: sessions, leases, and orders without an answer.

use {
    filbertbend_state::{room::Room, time::Instant, unit::Millis},
    filbertbend_workload::{
        agent::{Action, Agent, Answer, Call, Event, Refusal, Snapshot},
        id::{Epoch, Fence, Incarnation, Job, Run, Task},
        message::{Crash, Loss, Orders, Outcome, Report, Role, Start, StartStatus},
        worker::{Profile, Running},
    },
};

const FENCE: Fence = Fence(7);

fn profile(started_ms: u64) -> Profile {
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

fn task() -> Task {
    Task {
        job: Job(1),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

fn start() -> Start {
    Start {
        task: task(),
        run: Run(1),
        spec: "work".into(),
        checkpoint: None,
        role: Role::default(),
    }
}

fn snapshot(started_ms: u64, running: Vec<Running>) -> Answer {
    Answer::Snapshot(Snapshot {
        started_ms: Some(started_ms),
        clock: 50_000,
        running,
        ends: Vec::new(),
    })
}

fn row() -> Running {
    Running {
        task: task(),
        run: Run(1),
        checkpoint: None,
        percent: 0,
        measurement: 0,
    }
}

/// An agent under test with the calls and messages it has emitted.
struct Harness {
    agent: Agent,
    now: Instant,
    calls: Vec<Call>,
    reports: Vec<Report>,
    hellos: usize,
}

impl Harness {
    /// Creates an agent with an open session and a lease.
    fn new() -> Self {
        let mut harness = Self {
            agent: Agent::default(),
            now: Instant(10_000),
            calls: Vec::new(),
            reports: Vec::new(),
            hellos: 0,
        };
        harness.step(Event::Heartbeat(profile(1)));
        harness.step(Event::Connected);
        harness.step(Event::Welcome(Epoch(1), FENCE, None));
        harness.poll(snapshot(1, Vec::new()));
        harness.step(Event::Tick);
        harness.grant();
        harness
    }

    fn step(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.agent.step(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Call(call) => self.calls.push(call),
                Action::Send(report) => self.reports.push(*report),
                Action::Hello => self.hellos += 1,
                Action::Ping | Action::Crashed(_) => {}
            }
        }
    }

    fn pass(&mut self, span: Millis) {
        self.now = self.now + span;
        self.step(Event::Tick);
    }

    /// Answers the pending poll.
    fn poll(&mut self, answer: Answer) {
        let sent = self.now;
        let position = self
            .calls
            .iter()
            .position(|call| matches!(call, Call::Poll { .. }));
        let call = self.calls.remove(position.expect("the agent polls"));
        self.now = self.now + Millis(1);
        self.step(Event::Answered { call, sent, answer });
    }

    fn grant(&mut self) {
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

    fn order(&mut self) -> Call {
        let orders = Orders {
            starts: vec![start()],
            ..Orders::default()
        };
        self.step(Event::Orders(orders));
        self.take(|call| matches!(call, Call::Start { .. }))
            .expect("the start is sent")
    }

    fn take(&mut self, matches: impl Fn(&Call) -> bool) -> Option<Call> {
        let position = self.calls.iter().position(matches)?;
        Some(self.calls.remove(position))
    }

    fn answer(&mut self, call: Call, answer: Answer) {
        let sent = self.now;
        self.now = self.now + Millis(1);
        self.step(Event::Answered { call, sent, answer });
    }

    fn outcomes(&mut self) -> Vec<Outcome> {
        std::mem::take(&mut self.reports)
            .into_iter()
            .flat_map(|report| report.outcomes)
            .collect()
    }
}

/// Guards against a task that runs twice: it is started elsewhere although an
/// unanswered start still takes effect later.
#[test]
fn start_without_answer_is_ruled_out_before_it_counts_as_not_run() {
    let mut harness = Harness::new();
    let call = harness.order();

    harness.answer(call, Answer::Lost);
    harness.poll(snapshot(1, Vec::new()));
    assert!(
        harness.outcomes().is_empty(),
        "the start may still take effect"
    );
    let stop = harness.take(|call| matches!(call, Call::Stop { .. }));
    harness.answer(stop.expect("a stop rules it out"), Answer::Done);
    harness.poll(snapshot(1, Vec::new()));

    let outcomes = harness.outcomes();
    assert_eq!(outcomes.len(), 1, "{outcomes:?}");
    assert_eq!(outcomes[0].status, StartStatus::Withdrawn);
}

/// Guards against stopping a run whose start took effect although the answer
/// was lost.
#[test]
fn start_without_answer_that_is_listed_counts_as_started() {
    let mut harness = Harness::new();
    let call = harness.order();

    harness.answer(call, Answer::Lost);
    harness.poll(snapshot(1, vec![row()]));

    assert_eq!(harness.outcomes()[0].status, StartStatus::Started);
    assert!(harness
        .take(|call| matches!(call, Call::Stop { .. }))
        .is_none());
}

/// Guards against renewing the lease of a worker that is gone while its agent
/// lives, which would delay the restart of its tasks elsewhere.
#[test]
fn lease_is_not_renewed_while_the_worker_does_not_answer() {
    let mut harness = Harness::new();
    harness.reports.clear();

    for _ in 0..30 {
        harness.pass(Millis(100));
        while let Some(call) = harness.take(|call| matches!(call, Call::Poll { .. })) {
            harness.answer(call, Answer::Lost);
        }
    }

    let renewals = harness
        .reports
        .iter()
        .filter(|report| report.renew.is_some());
    assert_eq!(renewals.count(), 0);
}

/// Guards against orders that reach a later incarnation of the worker than they
/// were meant for.
#[test]
fn another_incarnation_gets_its_own_session() {
    let mut harness = Harness::new();
    let hellos = harness.hellos;
    let call = harness.order();

    harness.step(Event::Heartbeat(profile(2)));
    assert_eq!(harness.hellos, hellos + 1);
    harness.answer(call, Answer::Done);
    assert!(
        harness.outcomes().is_empty(),
        "the order was for the old incarnation"
    );
    harness.calls.clear();
    harness.step(Event::Welcome(Epoch(1), Fence(8), None));
    harness.poll(snapshot(2, vec![row()]));

    let inventory = harness
        .reports
        .iter()
        .find_map(|report| report.inventory.clone());
    assert_eq!(
        inventory
            .expect("the new incarnation is reported")
            .incarnation,
        profile(2).incarnation
    );
}

/// Guards against an agent that continues its session after a newer one has
/// begun.
#[test]
fn a_higher_fence_ends_the_session() {
    let mut harness = Harness::new();
    let hellos = harness.hellos;
    let call = harness.order();

    harness.answer(call, Answer::Refused(Refusal::Fence));

    assert_eq!(harness.hellos, hellos + 1);
    assert!(harness.outcomes().is_empty());
}

/// Guards against a leader that takes a worker for lost while reports of its
/// agent are on their way: the answer to a probe follows them.
#[test]
fn probe_is_answered_at_once() {
    let mut harness = Harness::new();
    harness.reports.clear();

    harness.step(Event::Orders(Orders {
        probe: Some(9),
        ..Orders::default()
    }));

    let answers = harness.reports.iter().filter_map(|report| report.probe);
    assert_eq!(answers.collect::<Vec<_>>(), [9]);
}

/// Returns a crash of the worker's first incarnation.
fn crash(losses: Vec<Loss>) -> Option<Crash> {
    Some(Crash {
        incarnation: profile(1).incarnation,
        losses,
    })
}

impl Harness {
    /// Begins the worker's next incarnation, opens a session, and returns the
    /// crash that the inventory tells of.
    fn restart(&mut self, started_ms: u64) -> Option<Crash> {
        self.step(Event::Heartbeat(profile(started_ms)));
        self.session(started_ms)
    }

    fn session(&mut self, started_ms: u64) -> Option<Crash> {
        self.calls.clear();
        self.reports.clear();
        self.step(Event::Welcome(Epoch(1), FENCE, None));
        self.poll(snapshot(started_ms, Vec::new()));
        let mut inventories = self
            .reports
            .iter()
            .filter_map(|report| report.inventory.clone());
        inventories.next().expect("an inventory is sent").crash
    }
}

/// Guards against a task that crashes every worker: nobody knows which runs a
/// crash has interrupted.
#[test]
fn crash_of_the_worker_is_reported_with_its_runs_in_each_session() {
    let mut harness = Harness::new();
    let call = harness.order();
    harness.answer(call, Answer::Done);
    harness.pass(Millis(400));
    harness.poll(snapshot(1, vec![row()]));
    harness.pass(Millis(700));
    harness.poll(Answer::Lost);

    let first = harness.restart(2);
    harness.step(Event::Disconnected);
    harness.step(Event::Connected);
    let second = harness.session(2);

    let loss = Loss {
        task: task(),
        run: Run(1),
        lasted: Millis(402),
        certain: true,
    };
    assert_eq!(first, crash(vec![loss]));
    assert_eq!(second, first);
}

/// Guards against blame for tasks that never reached the crashed worker.
#[test]
fn start_after_the_worker_fell_silent_is_not_part_of_its_crash() {
    let mut harness = Harness::new();
    harness.poll(Answer::Lost);
    harness.now = harness.now + Millis(10);
    let call = harness.order();
    harness.answer(call, Answer::Lost);

    assert_eq!(harness.restart(2), None);
}

/// Guards against a task that crashes its worker before the start is answered
/// and is therefore never suspected.
#[test]
fn unanswered_start_that_silenced_the_worker_is_part_of_its_crash() {
    let mut harness = Harness::new();
    let call = harness.order();
    harness.answer(call, Answer::Lost);

    let loss = Loss {
        task: task(),
        run: Run(1),
        lasted: Millis::ZERO,
        certain: false,
    };
    assert_eq!(harness.restart(2), crash(vec![loss]));
}

/// Guards against blame for tasks of a worker that left as announced.
#[test]
fn end_of_a_draining_worker_is_no_crash() {
    let mut harness = Harness::new();
    let call = harness.order();
    harness.answer(call, Answer::Done);
    let draining = Profile {
        draining: true,
        ..profile(1)
    };
    harness.step(Event::Heartbeat(draining));

    assert_eq!(harness.restart(2), None);
}

/// Guards against blame for tasks after a loss of power, in which the agent
/// ended, too.
#[test]
fn agent_that_has_restarted_reports_no_crash() {
    let mut harness = Harness::new();
    harness.agent = Agent::default();
    harness.step(Event::Connected);
    harness.step(Event::Welcome(Epoch(1), FENCE, Some(profile(1))));

    assert_eq!(harness.restart(2), None);
}

/// Guards against an innocent job that is shown as failed: its starts never
/// reached the workers that crashed.
#[test]
fn start_that_cannot_be_sent_is_not_part_of_a_crash() {
    let mut harness = Harness::new();
    let call = harness.order();
    harness.answer(call, Answer::Unreachable);

    assert_eq!(harness.restart(2), None);
}

/// Guards against tasks that wait for a crashed worker to come back, although
/// their starts have certainly not reached it.
#[test]
fn start_that_cannot_be_sent_is_given_back_at_once() {
    let mut harness = Harness::new();
    let call = harness.order();

    harness.answer(call, Answer::Unreachable);

    let outcome = Outcome {
        task: task(),
        run: Run(1),
        status: StartStatus::Unreachable,
    };
    assert_eq!(harness.outcomes(), [outcome]);
}

/// Guards against a task that crashes its workers unseen: a list that was
/// requested after the start, but made before it, dropped the run.
#[test]
fn run_whose_start_was_overtaken_by_a_list_is_part_of_a_crash() {
    let mut harness = Harness::new();
    harness.pass(Millis(600));
    let start = harness.order();
    let ordered = harness.now;
    let poll = harness.take(|call| matches!(call, Call::Poll { .. }));
    harness.now = ordered + Millis(3);
    harness.step(Event::Answered {
        call: start,
        sent: ordered,
        answer: Answer::Done,
    });

    harness.step(Event::Answered {
        call: poll.expect("the agent polls"),
        sent: ordered + Millis(1),
        answer: snapshot(1, Vec::new()),
    });

    let crash = harness.restart(2).expect("the crash is reported");
    assert_eq!(crash.losses.len(), 1);
}
