//! The planner: what it concludes about leases while reports are unread.

mod support;

use {
    filbertbend_state::unit::Millis,
    filbertbend_workload::{
        id::Link,
        message::{Report, Start},
        planner::{Decision, Event, Reason},
        worker::Exit,
    },
    support::{end, job, node, step, Harness},
};

/// A time after which the last lease of an agent that asks for no more has
/// expired.
const LEASE_OVER: Millis = Millis(6500);
const OTHER: u64 = 1;

/// Returns two workers, of which the first runs the only task.
fn one_running_task() -> (Harness, Start) {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, job(vec![step(1)]));
    let start = harness.starts(0).remove(0);
    harness.started(0, &start);
    harness.join(OTHER, Vec::new());
    (harness, start)
}

fn abandoned(harness: &Harness) -> usize {
    let lost = |decision: &&Decision| {
        matches!(
            decision,
            Decision::Lost {
                reason: Reason::LeasePassed,
                ..
            }
        )
    };
    harness.decisions.iter().filter(lost).count()
}

/// Guards against a task that is started again after it has completed: the
/// report of its end lay unread while the lease of its worker seemed to expire.
#[test]
fn end_that_lies_unread_is_read_before_its_lease_counts_as_expired() {
    let (mut harness, start) = one_running_task();

    harness.pass(LEASE_OVER, &[OTHER]);
    let probe = harness.probe(0);
    assert!(probe.is_some(), "the agent was not asked");
    let probed = |decision: &&Decision| matches!(decision, Decision::Probed { silent, .. } if *silent > Millis(5000));
    assert_eq!(harness.decisions.iter().filter(probed).count(), 1);
    assert_eq!(abandoned(&harness), 0);
    // The reports are read in the order in which they were sent.
    harness.end(0, 1, &start, Exit::Done);
    harness.report(
        0,
        Report {
            probe,
            ..Report::default()
        },
    );
    harness.pass(Millis(3000), &[OTHER]);
    harness.commit();

    assert_eq!(abandoned(&harness), 0);
    assert!(harness.all_starts().is_empty(), "started again");
}

/// Guards against work that is started elsewhere although its worker was alive:
/// the agent's request for another lease lay unread.
#[test]
fn lease_request_that_lies_unread_keeps_the_work() {
    let (mut harness, start) = one_running_task();

    harness.pass(LEASE_OVER, &[OTHER]);
    harness.report(
        0,
        Report {
            renew: Some(2),
            ..Report::default()
        },
    );
    harness.pass(Millis(3000), &[0, OTHER]);

    assert_eq!(abandoned(&harness), 0);
    harness.end(0, 1, &start, Exit::Done);
    assert!(harness.all_starts().is_empty());
}

/// Guards against tasks that are never restarted, because a dead agent cannot
/// show that it has nothing more to say.
#[test]
fn agent_that_answers_no_probe_loses_its_work() {
    let (mut harness, _) = one_running_task();

    harness.pass(LEASE_OVER, &[OTHER]);
    assert_eq!(abandoned(&harness), 0);
    harness.pass(Millis(1200), &[OTHER]);
    harness.commit();

    assert_eq!(abandoned(&harness), 1);
    assert_eq!(harness.starts(OTHER).len(), 1);
}

/// Guards against a leader that was paused and then, before it reads what
/// arrived meanwhile, takes all workers for lost.
#[test]
fn paused_leader_reads_before_it_concludes() {
    for pause in [Millis(500), Millis(2000), Millis(6000)] {
        let (mut harness, start) = one_running_task();
        harness.step(Event::Closed(Link(0)));
        harness.pass(Millis(5000), &[OTHER]);
        harness.now = harness.now + pause;

        harness.step(Event::Delayed(pause));
        harness.step(Event::Tick);
        assert_eq!(abandoned(&harness), 0, "after a pause of {pause}");
        // The agent's new session and its list were waiting to be read.
        let done = vec![end(1, start.task, start.run, Exit::Done)];
        harness.step(Event::Opened(Link(0), node(0)));
        harness.inventory(0, Vec::new(), done);
        harness.pass(Millis(7000), &[0, OTHER]);

        assert!(harness.all_starts().is_empty(), "after a pause of {pause}");
    }
}

/// Guards against a task that runs twice: its agent has asked for a lease in a
/// new session before the worker answered, so no inventory has been read.
#[test]
fn lease_granted_before_the_inventory_is_waited_for() {
    let (mut harness, _) = one_running_task();
    harness.step(Event::Closed(Link(0)));
    harness.pass(Millis(3000), &[OTHER]);

    let link = Link(7);
    harness.step(Event::Opened(link, node(0)));
    let renewal = Report {
        fence: harness.fences[&link],
        renew: Some(2),
        ..Report::default()
    };
    harness.step(Event::Report(link, Box::new(renewal)));
    harness.step(Event::Closed(link));
    harness.pass(Millis(6000), &[OTHER]);
    harness.commit();
    assert!(harness.all_starts().is_empty(), "the lease has not expired");
    harness.pass(Millis(500), &[OTHER]);
    harness.commit();

    assert_eq!(harness.starts(OTHER).len(), 1);
}

/// Guards against a task that runs twice at once: a start that the agent sent
/// before the lease expired takes effect once the worker has a lease again.
#[test]
fn worker_that_lost_its_runs_gets_a_new_session() {
    let (mut harness, _) = one_running_task();
    let former = harness.fences[&Link(0)];

    harness.pass(LEASE_OVER + Millis(1200), &[OTHER]);
    assert_eq!(abandoned(&harness), 1);

    assert!(harness.fences[&Link(0)] > former, "orders keep their fence");
}

/// Guards against tasks that are never restarted, because a leader that is
/// behind all the time keeps putting off what it concludes.
#[test]
fn leader_that_is_always_behind_gives_a_lost_worker_up_after_a_while() {
    let (mut harness, _) = one_running_task();
    harness.step(Event::Closed(Link(0)));

    for _ in 0..25 {
        harness.step(Event::Delayed(Millis(400)));
        harness.pass(Millis(500), &[OTHER]);
    }
    harness.commit();

    assert_eq!(
        abandoned(&harness),
        1,
        "after 12.5 s, the lease of 6.3 s over"
    );
    assert_eq!(harness.starts(OTHER).len(), 1);
}
