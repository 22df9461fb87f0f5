//! The agent beside a worker: sessions, leases, and orders without an answer.

use {
    filbertbend_state::{
        room::Room,
        time::Instant,
        unit::{Cores, Millis},
    },
    filbertbend_workload::{
        agent::{Action, Agent, Answer, Call, Event, Refusal, Snapshot},
        id::{Epoch, Fence, Incarnation, Job, Run, Sequence, Task},
        message::{Crash, Loss, Orders, Outcome, Report, Role, Start, StartStatus},
        worker::{End, Exit, Profile, Running},
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

/// Returns a snapshot that lists ends of other tasks with these numbers.
fn ends(numbers: std::ops::RangeInclusive<u64>) -> Answer {
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
    /// Creates an agent that knows nothing.
    fn idle() -> Self {
        Self {
            agent: Agent::default(),
            now: Instant(10_000),
            calls: Vec::new(),
            reports: Vec::new(),
            hellos: 0,
        }
    }

    /// Creates an agent with an open session and a lease.
    fn new() -> Self {
        let mut harness = Self::idle();
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

    /// Takes the pending poll.
    fn pending_poll(&mut self) -> Call {
        self.take(|call| matches!(call, Call::Poll { .. }))
            .expect("the agent polls")
    }

    /// Answers the pending poll.
    fn poll(&mut self, answer: Answer) {
        let sent = self.now;
        let call = self.pending_poll();
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
        self.order_start(start()).expect("the start is sent")
    }

    /// Orders a start and returns the call to the worker, if there is one.
    fn order_start(&mut self, start: Start) -> Option<Call> {
        self.order_starts([start]).pop()
    }

    /// Orders starts and returns the calls to the worker.
    fn order_starts(&mut self, starts: impl IntoIterator<Item = Start>) -> Vec<Call> {
        let orders = Orders {
            starts: starts.into_iter().collect(),
            ..Orders::default()
        };
        self.step(Event::Orders(orders));
        let is_start = |call: &mut Call| matches!(call, Call::Start { .. });
        self.calls.extract_if(.., is_start).collect()
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
    assert_eq!(harness.hellos, hellos, "the heartbeat alone proves nothing");
    let question = harness.take(|call| matches!(call, Call::Identify { .. }));
    harness.answer(
        question.expect("the worker is asked"),
        snapshot(2, Vec::new()),
    );
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

/// Creates a start of a task of a step, which needs this many cores.
fn start_of(index: u16, cores: u64) -> Start {
    Start {
        task: Task { index, ..task() },
        role: Role {
            room: cores_only(cores),
            ..Role::default()
        },
        ..start()
    }
}

fn cores_only(cores: u64) -> Room {
    Room {
        cores: Cores(cores * 1000),
        ..Room::NONE
    }
}

fn resized(cores: u64) -> Profile {
    Profile {
        room: cores_only(cores),
        ..profile(1)
    }
}

/// Guards against starts that exceed the room of a worker that has shrunk since
/// the leader decided: what runs, is being stopped or may still start counts.
#[test]
fn start_is_refused_if_the_worker_has_shrunk_since_it_was_ordered() {
    let mut harness = Harness::new();
    harness.step(Event::Heartbeat(resized(8)));
    let first = harness.order_start(start_of(0, 2)).expect("it fits");
    harness.answer(first, Answer::Done);
    let second = harness.order_start(start_of(1, 2)).expect("it fits");
    harness.answer(second, Answer::Lost);
    harness.order_start(start_of(2, 2)).expect("it fits");
    harness.step(Event::Orders(Orders {
        stops: vec![(start_of(0, 2).task, Run(1))],
        ..Orders::default()
    }));
    harness.outcomes();

    harness.step(Event::Heartbeat(resized(7)));
    let refused = harness.order_start(start_of(3, 2));

    assert_eq!(refused, None);
    assert_eq!(harness.outcomes()[0].status, StartStatus::NoRoom);
    assert!(harness.order_start(start_of(4, 1)).is_some());
}

/// Guards against starts that exceed the room of a worker that has shrunk while
/// they waited for calls that it leaves unanswered.
#[test]
fn start_that_waits_for_other_calls_is_refused_once_the_worker_has_shrunk() {
    let mut harness = Harness::new();
    harness.step(Event::Heartbeat(resized(5)));
    let sent = harness.order_starts((0..5).map(|index| start_of(index, 1)));
    assert_eq!(sent.len(), 4);

    harness.step(Event::Heartbeat(resized(4)));
    harness.answer(sent[0].clone(), Answer::Lost);

    assert_eq!(
        harness.take(|call| matches!(call, Call::Start { .. })),
        None
    );
    let refused = Outcome {
        task: start_of(4, 1).task,
        run: Run(1),
        status: StartStatus::NoRoom,
    };
    assert_eq!(harness.outcomes(), [refused]);
}

/// Guards against a start that is sent although it was stopped while it waited.
#[test]
fn start_that_waits_for_other_calls_is_withdrawn_by_a_stop() {
    let mut harness = Harness::new();
    harness.step(Event::Heartbeat(resized(5)));
    let sent = harness.order_starts((0..5).map(|index| start_of(index, 1)));
    let waiting = start_of(4, 1).task;

    harness.step(Event::Orders(Orders {
        stops: vec![(waiting, Run(1))],
        ..Orders::default()
    }));
    assert_eq!(harness.outcomes()[0].status, StartStatus::Withdrawn);
    harness.answer(sent[0].clone(), Answer::Done);

    assert_eq!(
        harness.take(|call| !matches!(call, Call::Poll { .. })),
        None
    );
}

/// Guards against an agent that sends nothing any more because calls of an
/// earlier session were not counted as answered.
#[test]
fn calls_of_an_earlier_session_make_way_for_others() {
    let mut harness = Harness::new();
    harness.step(Event::Heartbeat(resized(8)));
    let sent = harness.order_starts((0..6).map(|index| start_of(index, 1)));
    assert_eq!(sent.len(), 4);
    harness.step(Event::Disconnected);
    harness.step(Event::Connected);
    harness.step(Event::Welcome(Epoch(1), Fence(8), None));
    harness.calls.clear();

    harness.step(Event::Orders(Orders {
        stops: vec![(task(), Run(1))],
        ..Orders::default()
    }));
    assert_eq!(harness.take(|call| matches!(call, Call::Stop { .. })), None);
    harness.answer(sent[0].clone(), Answer::Lost);

    let next = harness.take(|call| !matches!(call, Call::Poll { .. }));
    assert!(matches!(next, Some(Call::Stop { .. })), "{next:?}");
}

/// Guards against starts that exceed the room of a worker that shrank while its
/// agent was down: the leader's profile is older.
#[test]
fn restarted_agent_reports_a_profile_only_after_a_heartbeat() {
    let mut harness = Harness::idle();
    harness.step(Event::Connected);
    harness.step(Event::Welcome(Epoch(1), FENCE, Some(resized(8))));
    harness.poll(snapshot(1, Vec::new()));
    harness.step(Event::Tick);
    harness.grant();

    let reports = std::mem::take(&mut harness.reports);
    assert!(reports.iter().any(|report| report.inventory.is_some()));
    assert!(reports.iter().all(|report| report.profile.is_none()));
    assert_eq!(harness.order_start(start_of(0, 1)), None);
    harness.step(Event::Heartbeat(resized(2)));

    let profiles = harness
        .reports
        .iter()
        .filter_map(|report| report.profile.clone());
    assert_eq!(profiles.collect::<Vec<_>>(), [resized(2)]);
    assert!(harness.order_start(start_of(0, 1)).is_some());
}

/// Guards against starts that exceed the room of a worker that shrank while its
/// agent was frozen: heartbeats did not arrive meanwhile.
#[test]
fn thawed_agent_starts_nothing_before_a_heartbeat() {
    let mut harness = Harness::new();
    harness.step(Event::Heartbeat(resized(8)));
    let sent = harness.order_starts((0..5).map(|index| start_of(index, 1)));
    assert_eq!(sent.len(), 4);
    let hellos = harness.hellos;

    harness.now = harness.now + Millis(4500);
    harness.answer(sent[0].clone(), Answer::Lost);

    assert_eq!(
        harness.take(|call| matches!(call, Call::Start { .. })),
        None
    );
    assert_eq!(harness.hellos, hellos + 1);
    harness.reports.clear();
    harness.calls.clear();
    harness.step(Event::Welcome(Epoch(1), Fence(8), None));
    harness.poll(snapshot(1, Vec::new()));
    assert!(harness
        .reports
        .iter()
        .all(|report| report.profile.is_none()));
    harness.step(Event::Heartbeat(resized(2)));

    let profiles = harness
        .reports
        .iter()
        .filter_map(|report| report.profile.clone());
    assert_eq!(profiles.collect::<Vec<_>>(), [resized(2)]);
}

/// Guards against starts beside a run whose size is unknown.
#[test]
fn start_is_refused_beside_an_unknown_run() {
    let mut harness = Harness::new();
    harness.step(Event::Heartbeat(resized(8)));
    harness.pass(Millis(500));
    harness.poll(snapshot(1, vec![row()]));

    assert_eq!(harness.order_start(start_of(1, 1)), None);
    harness.pass(Millis(500));
    harness.poll(snapshot(1, Vec::new()));

    assert!(harness.order_start(start_of(1, 1)).is_some());
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

fn acknowledged(call: &Call) -> Option<Sequence> {
    match call {
        Call::Poll { acknowledged, .. } => Some(*acknowledged),
        _ => None,
    }
}

/// Guards against the loss of an end: the worker has restarted under its name
/// and discards an end by the numbers of its former incarnation.
#[test]
fn ends_are_not_acknowledged_by_the_numbers_of_a_former_incarnation() {
    let mut harness = Harness::new();
    harness.poll(ends(1..=5));
    harness.step(Event::Orders(Orders {
        acknowledged: Some(Sequence(5)),
        ..Orders::default()
    }));
    harness.pass(Millis(100));

    // The worker may have restarted after its last answer.
    let start = harness.order();
    let poll = harness.pending_poll();
    harness.answer(poll, Answer::Lost);
    harness.pass(Millis(100));
    let poll = harness.pending_poll();
    assert_eq!(acknowledged(&poll), Some(Sequence(0)), "start in progress");
    harness.answer(start, Answer::Done);
    harness.answer(poll, Answer::Lost);
    harness.pass(Millis(100));
    let poll = harness.pending_poll();
    assert_eq!(acknowledged(&poll), Some(Sequence(0)), "start answered");

    harness.answer(poll, ends(1..=5));
    harness.pass(Millis(100));
    let poll = harness.pending_poll();
    assert_eq!(acknowledged(&poll), Some(Sequence(5)), "same incarnation");
}

/// Guards against the loss of an end, like the test above: the worker carries out
/// a poll late that was sent before the start.
#[test]
fn ends_that_are_no_longer_listed_are_not_acknowledged_again() {
    let mut harness = Harness::new();
    harness.poll(ends(1..=5));
    harness.step(Event::Orders(Orders {
        acknowledged: Some(Sequence(5)),
        ..Orders::default()
    }));
    harness.pass(Millis(100));
    let poll = harness.pending_poll();
    assert_eq!(acknowledged(&poll), Some(Sequence(5)));

    harness.answer(poll, snapshot(1, Vec::new()));

    let poll = harness.pending_poll();
    assert_eq!(acknowledged(&poll), Some(Sequence(0)));
}

/// Guards against a worker that keeps its tasks longer than the leader counts:
/// a deadline on the clock of a former incarnation lies far in the future.
#[test]
fn lease_is_not_passed_on_to_another_incarnation() {
    let mut harness = Harness::new();

    harness.poll(snapshot(2, Vec::new()));
    // The leader does not know of the restart yet.
    harness.step(Event::Welcome(Epoch(1), Fence(8), Some(profile(1))));
    harness.pass(Millis(100));
    assert!(harness.calls.is_empty(), "{:?}", harness.calls);
    harness.step(Event::Heartbeat(profile(2)));
    harness.step(Event::Welcome(Epoch(1), Fence(9), Some(profile(1))));
    harness.pass(Millis(100));

    let poll = harness.pending_poll();
    assert!(
        matches!(poll, Call::Poll { deadline: None, .. }),
        "{poll:?}"
    );
}

/// Guards against a task that is started again after it has completed: its end
/// is on the next page when a stop has been confirmed.
#[test]
fn run_whose_end_may_be_on_the_next_page_does_not_count_as_withdrawn() {
    let mut harness = Harness::new();
    let start = harness.order();
    harness.answer(start, Answer::Done);
    harness.poll(snapshot(1, vec![row()]));
    harness.outcomes();
    harness.step(Event::Orders(Orders {
        stops: vec![(task(), Run(1))],
        ..Orders::default()
    }));
    let stop = harness.take(|call| matches!(call, Call::Stop { .. }));
    harness.answer(stop.expect("the stop is sent"), Answer::Done);
    harness.poll(snapshot(1, vec![row()]));

    harness.poll(ends(1..=500));
    assert!(harness.outcomes().is_empty(), "its end may be listed later");
    harness.pass(Millis(100));
    harness.poll(snapshot(1, Vec::new()));

    assert_eq!(harness.outcomes()[0].status, StartStatus::Withdrawn);
}

/// Guards against a leader that is kept busy by the agents of restarted workers:
/// they open sessions without a pause until the first heartbeat arrives.
#[test]
fn sessions_with_an_unknown_incarnation_are_spaced() {
    let mut harness = Harness::new();
    let hellos = harness.hellos;

    for fence in 0..100 {
        harness.pass(Millis(10));
        if harness.calls.is_empty() {
            continue;
        }
        harness.poll(snapshot(2, Vec::new()));
        harness.step(Event::Welcome(Epoch(1), Fence(8 + fence), Some(profile(1))));
    }

    let opened = harness.hellos - hellos;
    assert!((1..=10).contains(&opened), "{opened} sessions in 1 s");
}

/// Guards against a new leader that does not learn of a restart, after which the
/// worker may hold a lease by the clock of its former incarnation.
#[test]
fn restart_is_reported_in_later_sessions() {
    let mut harness = Harness::new();
    harness.step(Event::Heartbeat(profile(2)));
    let question = harness.take(|call| matches!(call, Call::Identify { .. }));
    harness.answer(
        question.expect("the worker is asked"),
        snapshot(2, Vec::new()),
    );
    for fence in [8, 9] {
        harness.step(Event::Disconnected);
        harness.step(Event::Connected);
        harness.calls.clear();
        harness.step(Event::Welcome(Epoch(1), Fence(fence), None));
        harness.poll(snapshot(2, Vec::new()));
        harness.now = harness.now + Millis(3000);
    }

    let ages = harness
        .reports
        .iter()
        .filter_map(|report| report.inventory.as_ref())
        .map(|inventory| inventory.restarted);
    let expected = [None, Some(Millis(0)), Some(Millis(3001))];
    assert_eq!(ages.collect::<Vec<_>>(), expected);
}

/// Guards against a start of an earlier session that is resolved in a later one,
/// which the leader has opened by itself.
#[test]
fn session_that_the_leader_opens_replaces_the_present_one() {
    let mut harness = Harness::new();
    let start = harness.order();
    harness.answer(start, Answer::Lost);
    harness.calls.clear();
    harness.reports.clear();

    harness.step(Event::Welcome(Epoch(1), Fence(8), None));
    harness.poll(snapshot(1, Vec::new()));

    assert!(
        harness
            .take(|call| matches!(call, Call::Stop { .. }))
            .is_none(),
        "the new fence rules it out"
    );
    let fences = harness.reports.iter().map(|report| report.fence);
    assert!(fences.into_iter().all(|fence| fence == Fence(8)));
    assert!(harness
        .reports
        .iter()
        .any(|report| report.inventory.is_some()));
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
        let question = self.take(|call| matches!(call, Call::Identify { .. }));
        if let Some(question) = question {
            self.answer(question, snapshot(started_ms, Vec::new()));
        }
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

/// Guards against a crash that no leader learns of: the next incarnation ends as
/// well, before the agent has a session.
#[test]
fn crash_is_reported_although_another_incarnation_has_ended_since() {
    let mut harness = Harness::new();
    let call = harness.order();
    harness.answer(call, Answer::Done);
    harness.poll(Answer::Lost);

    harness.restart(2);
    let crash = harness.restart(3).expect("the crash is reported");

    assert_eq!(crash.incarnation, profile(1).incarnation);
    assert_eq!(crash.losses.len(), 1);
}
