//! The planner: workers that may hold a lease by the clock of a former
//! incarnation.

mod support;

use {
    filbertbend_state::unit::Millis,
    filbertbend_workload::{
        id::{Incarnation, Job, Link, Run, Task},
        message::{Inventory, Report},
        planner::Event,
        worker::{Exit, Profile, Running},
    },
    support::{end, incarnation, job, node, profile, step, Harness},
};

/// The longest lease that a worker accepts, with the slack of its clock.
const LONGEST_LEASE: Millis = Millis(10_400);

fn restarted() -> Incarnation {
    Incarnation {
        started_ms: 2,
        ..incarnation(0)
    }
}

/// Opens a session of the first worker, which has restarted under its name.
fn join_restarted(harness: &mut Harness, inventory: Inventory) {
    harness.step(Event::Opened(Link(0), node(0)));
    let report = Report {
        profile: Some(Profile {
            incarnation: inventory.incarnation.clone(),
            ..profile(0)
        }),
        inventory: Some(inventory),
        renew: Some(1),
        ..Report::default()
    };
    harness.report(0, report);
    harness.commit();
}

fn inventory(foreign_lease: Option<Millis>, running: Vec<Running>) -> Inventory {
    Inventory {
        incarnation: restarted(),
        restarted: foreign_lease,
        foreign_lease,
        running,
        crash: None,
    }
}

/// Submits a job of one task and returns after how long it starts, in steps of
/// 200 ms, without a change of leader.
fn wait(harness: &mut Harness) -> Millis {
    const STEP: Millis = Millis(200);
    let began = harness.now;
    harness.submit(9, job(vec![step(1)]));
    while harness.starts(0).is_empty() {
        harness.report(
            0,
            Report {
                renew: Some(2),
                ..Report::default()
            },
        );
        harness.pass(STEP, &[0]);
        harness.commit();
        assert!(harness.now < began + Millis(30_000), "never started");
    }
    harness.now.since(began)
}

/// Guards against a task that runs twice: a later leader does not know that its
/// worker holds a longer lease than was granted.
#[test]
fn worker_with_a_foreign_lease_gets_no_tasks() {
    for age in [Millis::ZERO, Millis(4000)] {
        let mut harness = Harness::with_workers(1);
        join_restarted(&mut harness, inventory(Some(age), Vec::new()));

        let waited = wait(&mut harness);

        let least = Millis(LONGEST_LEASE.0 - age.0);
        assert!(
            waited >= least && waited <= least + Millis(1000),
            "{waited} after {age}"
        );
    }
}

/// Guards against a worker that stays away for 10 s after each restart.
#[test]
fn restarted_worker_without_signs_of_a_foreign_lease_gets_tasks_at_once() {
    let mut harness = Harness::with_workers(1);
    join_restarted(&mut harness, inventory(None, Vec::new()));

    let waited = wait(&mut harness);

    assert!(waited <= Millis(500), "{waited}");
}

/// Guards against a task that runs twice: an agent that has just started does not
/// know that its worker has restarted, but lists a run that it has not ordered.
#[test]
fn new_incarnation_with_runs_of_a_former_agent_gets_no_tasks() {
    let mut harness = Harness::with_workers(1);
    let task = Task {
        job: Job(7),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let stray = Running {
        task,
        run: Run(1),
        checkpoint: None,
        percent: 0,
        measurement: 0,
    };
    join_restarted(&mut harness, inventory(None, vec![stray]));
    let ended = Report {
        ends: vec![end(1, task, Run(1), Exit::Stopped)],
        ..Report::default()
    };
    harness.report(0, ended);

    let waited = wait(&mut harness);

    assert!(waited >= LONGEST_LEASE, "{waited}");
}
