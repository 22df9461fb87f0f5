//! Crashes of the worker and the runs that they interrupt.

use {
    crate::harness::{profile, row, snapshot, task, Harness, FENCE},
    filbertbend_state::unit::Millis,
    filbertbend_workload::{
        agent::{Agent, Answer, Call, Event},
        id::{Epoch, Run},
        message::{Crash, Loss, Outcome, StartStatus},
        worker::Profile,
    },
};

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
