//! Heartbeats of other incarnations: restarts, delayed heartbeats, and those of
//! another writer.

#[path = "support/agent.rs"]
mod support;

use {
    filbertbend_state::unit::Millis,
    filbertbend_workload::{
        agent::Event,
        id::{Incarnation, Job, Run, Task},
        worker::Running,
    },
    support::{incarnation, profile, Simulation, CALL, ROUND_TRIP},
};

const HEARTBEAT_INTERVAL: Millis = Millis(1500);
/// How long the inventory of a new incarnation may take after its heartbeat: the
/// worker is asked, a session opens, and the worker is asked again.
const RESTART_LIMIT: Millis = Millis(2 * CALL.0 + ROUND_TRIP.0);

fn worker() -> Incarnation {
    incarnation("w-1", 1_000)
}

fn row() -> Running {
    Running {
        task: Task {
            job: Job(1),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run: Run(1),
        checkpoint: None,
        percent: 0,
        measurement: 0,
    }
}

/// Returns incarnations that do not run: of another name or of the worker's,
/// started earlier or later.
fn odd_incarnations() -> [Incarnation; 6] {
    [
        incarnation("x-9", 2_000),
        incarnation("x-9", u64::MAX),
        incarnation("x-8", 0),
        incarnation("w-1", 0),
        incarnation("w-1", 2_000),
        incarnation("w-1", u64::MAX),
    ]
}

/// Guards against a heartbeat of another writer that ends the session, the lease
/// and the list of tasks of a worker that runs.
#[test]
fn odd_heartbeat_leaves_session_lease_and_tasks_alone() {
    for odd in odd_incarnations() {
        let mut simulation = Simulation::in_session(worker(), vec![row()]);
        let hellos = simulation.hellos;
        simulation.renewals.clear();

        simulation.heartbeat(&odd);
        simulation.pass(Millis(5000));

        assert_eq!(simulation.hellos, hellos, "{odd}");
        assert_eq!(simulation.agent.size().0, 1, "{odd}");
        assert!(simulation.renewals.len() >= 4, "{odd}");
        let known = simulation.agent.profile().map(|known| &known.incarnation);
        assert_eq!(known, Some(&worker()), "{odd}");
    }
}

/// Guards against a series of odd heartbeats that keeps an agent from renewing
/// its worker's lease.
#[test]
fn series_of_odd_heartbeats_is_borne() {
    let mut simulation = Simulation::in_session(worker(), vec![row()]);
    let hellos = simulation.hellos;
    simulation.renewals.clear();

    for number in 0..500 {
        simulation.heartbeat(&incarnation("x", 5_000 + number));
        for odd in odd_incarnations() {
            simulation.heartbeat(&odd);
        }
        simulation.pass(Millis(10));
    }

    assert_eq!(simulation.hellos, hellos);
    assert!(simulation.renewals.len() >= 4);
}

/// Guards against a session that begins with an odd heartbeat: the one before
/// the welcome decided whose tasks were listed.
#[test]
fn odd_heartbeat_before_the_welcome_delays_no_inventory() {
    for odd in odd_incarnations() {
        let mut simulation = Simulation::in_session(worker(), vec![row()]);
        simulation.step(Event::Disconnected);
        simulation.pass(Millis(200));

        simulation.heartbeat(&odd);
        let since = simulation.now;
        simulation.step(Event::Connected);
        simulation.heartbeat(&odd);
        simulation.pass(Millis(1000));

        let took = simulation.inventoried(since, &worker());
        assert_eq!(took, Some(ROUND_TRIP + CALL), "{odd}");
    }
}

/// Guards against an agent that has just started and takes an odd heartbeat, the
/// first that it gets, for that of its worker.
#[test]
fn agent_that_starts_with_an_odd_heartbeat_finds_its_worker() {
    for odd in odd_incarnations() {
        let mut simulation = Simulation::new(worker());
        simulation.heartbeat(&odd);
        simulation.step(Event::Connected);
        simulation.pass(HEARTBEAT_INTERVAL);

        let since = simulation.now;
        simulation.heartbeat(&worker());
        simulation.heartbeat(&odd);
        simulation.pass(Millis(1000));

        let took = simulation.inventoried(since, &worker());
        assert!(
            took.is_some_and(|took| took <= RESTART_LIMIT),
            "{odd}: {took:?}"
        );
    }
}

/// Guards against a restart that is noticed late because the agent asks the
/// worker first, also while odd heartbeats arrive.
#[test]
fn restart_is_inventoried_within_a_round_trip() {
    for next in [incarnation("w-2", 9_000), incarnation("w-1", 9_000)] {
        for odd in odd_incarnations().map(Some).into_iter().chain([None]) {
            let mut simulation = Simulation::in_session(worker(), vec![row()]);
            simulation.restart(next.clone());
            let since = simulation.now;

            simulation.heartbeat(&next);
            if let Some(odd) = &odd {
                simulation.heartbeat(odd);
            }
            simulation.pass(Millis(1000));

            let took = simulation.inventoried(since, &next);
            assert!(
                took.is_some_and(|took| took <= RESTART_LIMIT),
                "{next}, {odd:?}: {took:?}"
            );
            assert_eq!(simulation.agent.size().0, 0);
        }
    }
}

/// Guards against a restart without a session that is never noticed.
#[test]
fn restart_before_the_welcome_is_inventoried() {
    for next in [incarnation("w-2", 9_000), incarnation("w-1", 9_000)] {
        let mut simulation = Simulation::in_session(worker(), vec![row()]);
        simulation.step(Event::Disconnected);
        simulation.restart(next.clone());
        simulation.heartbeat(&next);
        simulation.pass(Millis(200));

        let since = simulation.now;
        simulation.step(Event::Connected);
        simulation.pass(Millis(1000));

        let took = simulation.inventoried(since, &next);
        assert!(
            took.is_some_and(|took| took <= RESTART_LIMIT + ROUND_TRIP),
            "{next}: {took:?}"
        );
    }
}

/// Guards against a heartbeat that was delayed until its sender had been
/// replaced, and then replaces its successor.
#[test]
fn delayed_heartbeat_of_an_earlier_incarnation_does_not_win() {
    let mut simulation = Simulation::in_session(worker(), vec![row()]);
    let next = incarnation("w-2", 9_000);
    simulation.restart(next.clone());
    simulation.heartbeat(&next);
    simulation.pass(Millis(1000));
    let hellos = simulation.hellos;

    simulation.heartbeat(&worker());
    simulation.pass(Millis(5000));

    assert_eq!(simulation.hellos, hellos);
    let known = simulation.agent.profile().map(|known| &known.incarnation);
    assert_eq!(known, Some(&next));
}

/// Guards against a restart that is not noticed because the worker did not
/// answer when its first heartbeat arrived.
#[test]
fn worker_that_answers_late_after_a_restart_is_asked_again() {
    let mut simulation = Simulation::in_session(worker(), vec![row()]);
    let next = incarnation("w-2", 9_000);
    simulation.worker = None;
    simulation.heartbeat(&next);
    simulation.pass(Millis(700));

    simulation.restart(next.clone());
    let since = simulation.now;
    simulation.pass(Millis(1000));

    assert!(simulation.inventoried(since, &next).is_some());
}

/// Guards against an agent that asks for one session after the other because the
/// leader remembers an incarnation that is gone, and the next has not sent a
/// heartbeat.
#[test]
fn remembered_incarnation_that_is_gone_costs_one_session() {
    let mut simulation = Simulation::new(worker());
    simulation.known = Some(profile(incarnation("w-0", 500)));

    simulation.step(Event::Connected);
    simulation.pass(HEARTBEAT_INTERVAL);
    assert_eq!(simulation.hellos, 2);
    let since = simulation.now;
    simulation.heartbeat(&worker());
    simulation.pass(Millis(1000));

    let took = simulation.inventoried(since, &worker());
    assert!(took.is_some_and(|took| took <= RESTART_LIMIT), "{took:?}");
}

/// Guards against an agent that asks for one session after the other because its
/// worker has seen a higher fence than the leader gives.
#[test]
fn worker_that_refuses_the_fence_is_polled_after_a_delay() {
    let mut simulation = Simulation::in_session(worker(), Vec::new());
    let hellos = simulation.hellos;

    simulation.raise_fence();
    simulation.pass(Millis(5000));

    let sessions = simulation.hellos - hellos;
    assert!((1..=50).contains(&sessions), "{sessions} sessions in 5 s");
}
