//! The planner: starts that are withdrawn before they are sent, and workers
//! whose room changes.

mod support;

use {
    filbertbend_state::unit::Millis,
    filbertbend_workload::{
        id::{Job, Link, Run},
        job,
        message::{Inventory, Outcome, Report, Start, StartStatus},
        planner::Event,
        worker::{Exit, Profile},
    },
    std::sync::Arc,
    support::{
        end, incarnation, job, node, profile, room, running, single, step, task, two_queues,
        Harness, LESS_URGENT, QUEUE,
    },
};

/// Lists the jobs that the starts belong to.
fn jobs(starts: &[Start]) -> Vec<u64> {
    starts.iter().map(|start| start.task.job.0).collect()
}

/// Guards against a task that is never placed again: its start was withdrawn in
/// favour of a more urgent task.
#[test]
fn preempted_start_is_placed_again() {
    let mut harness = Harness::with_workers(1);
    harness.step(Event::Configured(Arc::new(two_queues())));
    harness.step(Event::Submitted(Job(1), single(LESS_URGENT, room(8, 8))));
    harness.place();

    harness.step(Event::Submitted(Job(2), single(QUEUE, room(8, 8))));
    harness.commit();
    harness.commit();
    let urgent = harness.starts(0);
    assert_eq!(jobs(&urgent), [2]);
    harness.end(0, 1, &urgent[0], Exit::Done);
    harness.commit();

    assert_eq!(jobs(&harness.starts(0)), [1]);
}

/// Guards against tasks that take the room of one another in every pass while
/// the store does not answer: what was withdrawn for an urgent task went to the
/// next less urgent one.
#[test]
fn room_of_a_withdrawn_start_goes_to_the_urgent_task() {
    let mut harness = Harness::with_workers(1);
    harness.step(Event::Configured(Arc::new(two_queues())));
    harness.step(Event::Submitted(Job(1), single(LESS_URGENT, room(8, 8))));
    harness.step(Event::Submitted(Job(2), single(LESS_URGENT, room(4, 4))));
    harness.place();

    harness.step(Event::Submitted(Job(3), single(QUEUE, room(8, 8))));
    harness.decisions.clear();
    for _ in 0..10 {
        harness.place();
    }
    assert_eq!(harness.decisions.len(), 2, "{:?}", harness.decisions);
    harness.commit();

    assert_eq!(jobs(&harness.starts(0)), [3]);
}

/// Guards against starts that are withdrawn in every pass for a gang that does
/// not fit, while the store does not answer.
#[test]
fn starts_are_not_withdrawn_for_a_gang_that_does_not_fit() {
    let mut harness = Harness::with_workers(1);
    harness.step(Event::Configured(Arc::new(two_queues())));
    harness.step(Event::Submitted(Job(1), single(LESS_URGENT, room(8, 8))));
    harness.step(Event::Submitted(Job(2), single(LESS_URGENT, room(8, 8))));
    harness.place();

    harness.step(Event::Submitted(Job(3), pair(QUEUE)));
    harness.decisions.clear();
    for _ in 0..10 {
        harness.place();
    }

    assert_eq!(harness.decisions, []);
}

/// Creates a job of a gang of two tasks that do not fit on one worker.
fn pair(queue: &str) -> Arc<job::Job> {
    let mut gang = step(2);
    gang.mode.gang = true;
    gang.room = room(5, 1);
    let mut submitted = (*job(vec![gang])).clone();
    submitted.queue = queue.into();
    Arc::new(submitted)
}

/// Guards against members of a gang that wait for another whose start was
/// withdrawn, and end without having worked.
#[test]
fn gang_is_withdrawn_as_a_whole() {
    let mut harness = Harness::with_workers(2);
    harness.step(Event::Configured(Arc::new(two_queues())));
    harness.step(Event::Submitted(Job(1), pair(LESS_URGENT)));
    harness.place();

    harness.step(Event::Submitted(Job(2), single(QUEUE, room(8, 1))));
    harness.commit();
    harness.commit();

    let started = harness.all_starts();
    let started: Vec<u64> = started.iter().map(|(_, start)| start.task.job.0).collect();
    assert_eq!(started, [2]);
}

/// Guards against stops of runs that were never ordered: a withdrawn gang had
/// several members on the worker.
#[test]
fn withdrawn_members_of_a_gang_are_not_stopped_as_well() {
    let mut harness = Harness::with_workers(1);
    harness.step(Event::Configured(Arc::new(two_queues())));
    let mut gang = (*pair(LESS_URGENT)).clone();
    gang.steps[0].room = room(3, 1);
    harness.step(Event::Submitted(Job(1), Arc::new(gang)));
    harness.place();

    harness.step(Event::Submitted(Job(2), single(QUEUE, room(8, 1))));
    harness.commit();

    assert_eq!(harness.stops(0), []);
}

/// Guards against members of a gang that wait for another that its worker has
/// refused, and end without having worked.
#[test]
fn gang_is_stopped_when_a_member_is_refused() {
    let mut harness = Harness::with_workers(2);
    harness.submit(1, pair(QUEUE));
    let started = harness.all_starts();
    assert_eq!(started.len(), 2);
    let (first, second) = (&started[0], &started[1]);
    harness.started(first.0, &first.1);

    let refused = Outcome {
        task: second.1.task,
        run: second.1.run,
        status: StartStatus::NoRoom,
    };
    let report = Report {
        outcomes: vec![refused],
        ..Report::default()
    };
    harness.report(second.0, report);

    assert_eq!(harness.stops(first.0), [(first.1.task, first.1.run)]);
}

/// Guards against starts that exceed the room of a worker: they were placed
/// before it shrank, and sent once the store had answered.
#[test]
fn starts_waiting_for_the_store_are_withdrawn_when_the_worker_shrinks() {
    let mut harness = Harness::with_workers(1);
    for id in 1..=4 {
        harness.step(Event::Submitted(Job(id), single(QUEUE, room(2, 2))));
    }
    harness.place();

    harness.resize(0, room(5, 32));
    harness.commit();
    assert_eq!(jobs(&harness.starts(0)), [1, 2]);
    harness.resize(0, room(8, 32));
    harness.commit();

    assert_eq!(jobs(&harness.starts(0)), [3, 4]);
}

/// Guards against preemption that frees nothing for the urgent task: the worker
/// has shrunk, and what is left running exceeds its room.
#[test]
fn nothing_is_preempted_where_the_urgent_task_would_not_fit_afterwards() {
    let mut harness = Harness::with_workers(1);
    harness.step(Event::Configured(Arc::new(two_queues())));
    harness.submit(1, single(QUEUE, room(4, 4)));
    harness.submit(2, single(LESS_URGENT, room(4, 4)));
    assert_eq!(jobs(&harness.starts(0)), [1, 2]);

    harness.resize(0, room(4, 32));
    harness.submit(3, single(QUEUE, room(4, 4)));
    harness.pass(Millis(1000), &[0]);

    assert_eq!(harness.stops(0), []);
}

/// Guards against preemption that stops too little on a worker that has shrunk
/// below what runs, so that the urgent task waits for a second stop.
#[test]
fn preemption_on_a_shrunken_worker_frees_enough_at_once() {
    let mut harness = Harness::with_workers(1);
    harness.step(Event::Configured(Arc::new(two_queues())));
    for id in 1..=4 {
        harness.submit(id, single(LESS_URGENT, room(2, 4)));
    }
    let started = harness.starts(0);
    assert_eq!(started.len(), 4);

    harness.resize(0, room(4, 32));
    harness.submit(5, single(QUEUE, room(2, 4)));

    assert_eq!(harness.stops(0).len(), 3);
}

/// Guards against starts on a worker that runs more than it has room for since
/// it has shrunk: they need none of what is exceeded.
#[test]
fn worker_that_exceeds_its_room_gets_no_tasks() {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, single(QUEUE, room(4, 4)));
    let first = harness.starts(0);
    let mut best_effort = step(1);
    best_effort.mode.best_effort = true;

    harness.resize(0, room(2, 32));
    harness.submit(2, job(vec![best_effort]));
    harness.submit(3, single(QUEUE, room(0, 1)));
    harness.pass(Millis(2000), &[0]);
    harness.commit();
    assert_eq!(jobs(&harness.starts(0)), []);
    harness.end(0, 1, &first[0], Exit::Done);
    harness.pass(Millis(200), &[0]);
    harness.commit();

    assert_eq!(jobs(&harness.starts(0)).len(), 2);
}

/// Guards against waiting tasks that miss the room of a worker that has grown.
#[test]
fn room_that_has_grown_is_used_in_the_next_pass() {
    let mut harness = Harness::with_workers(1);
    harness.resize(0, room(0, 0));
    harness.submit(1, single(QUEUE, room(8, 8)));
    harness.submit(2, single(QUEUE, room(4, 4)));
    assert_eq!(jobs(&harness.starts(0)), []);
    let passes = harness.planner.passes();

    harness.resize(0, room(8, 32));
    harness.commit();

    assert_eq!(jobs(&harness.starts(0)), [1]);
    assert_eq!(harness.planner.passes(), passes + 1);
}

/// Guards against starts beside a run of unknown size, for which the room of the
/// worker was reserved while it was small.
#[test]
fn worker_with_an_unknown_run_that_grows_gets_no_tasks() {
    let mut harness = Harness::with_workers(1);
    let unknown = task(9, 0, 0);
    harness.step(Event::Opened(Link(0), node(0)));
    let report = Report {
        profile: Some(Profile {
            room: room(2, 8),
            ..profile(0)
        }),
        inventory: Some(Inventory {
            restarted: None,
            foreign_lease: None,
            crash: None,
            incarnation: incarnation(0),
            running: vec![running(unknown, Run(1))],
        }),
        renew: Some(1),
        ..Report::default()
    };
    harness.report(0, report);

    harness.resize(0, room(8, 32));
    harness.submit(1, single(QUEUE, room(1, 1)));
    assert_eq!(jobs(&harness.starts(0)), []);
    let report = Report {
        ends: vec![end(1, unknown, Run(1), Exit::Stopped)],
        ..Report::default()
    };
    harness.report(0, report);
    harness.commit();

    assert_eq!(jobs(&harness.starts(0)), [1]);
}

/// Guards against a stop that is sent with every placement pass, because the
/// job of the run is unknown and an urgent task needs its room.
#[test]
fn unknown_run_is_stopped_once() {
    let mut harness = Harness::with_workers(0);
    harness.join(0, vec![running(task(9, 0, 0), Run(1))]);
    assert_eq!(harness.stops(0).len(), 1);

    harness.submit(1, single(QUEUE, room(8, 8)));
    harness.pass(Millis(1000), &[0]);

    assert_eq!(harness.stops(0), []);
}

/// Guards against starts that exceed the room of a worker that shrank while its
/// agent was down: the new session has not reported a profile yet.
#[test]
fn worker_gets_no_tasks_until_its_session_has_reported_a_profile() {
    let mut harness = Harness::with_workers(1);
    harness.step(Event::Opened(Link(0), node(0)));
    let report = Report {
        inventory: Some(Inventory {
            restarted: None,
            foreign_lease: None,
            crash: None,
            incarnation: incarnation(0),
            running: Vec::new(),
        }),
        renew: Some(1),
        ..Report::default()
    };
    harness.report(0, report);

    harness.submit(1, single(QUEUE, room(8, 8)));
    assert_eq!(jobs(&harness.starts(0)), []);
    harness.resize(0, room(8, 32));
    harness.commit();

    assert_eq!(jobs(&harness.starts(0)), [1]);
}

/// Creates a job of a gang that needs a whole worker for each of its members.
fn wide_gang(members: u16) -> Arc<job::Job> {
    let mut gang = (*pair(QUEUE)).clone();
    gang.steps[0].tasks = members;
    gang.steps[0].room = room(8, 8);
    Arc::new(gang)
}

/// Creates less urgent tasks that fill two workers, and returns their starts.
fn fill(harness: &mut Harness) -> Vec<(u64, Start)> {
    harness.step(Event::Configured(Arc::new(two_queues())));
    for id in 1..=4 {
        harness.submit(id, single(LESS_URGENT, room(4, 4)));
    }
    harness.all_starts()
}

/// Guards against less urgent tasks that are stopped again and again for a
/// gang: they took the room of its first member before the others had theirs.
#[test]
fn room_preempted_for_a_gang_is_kept_until_all_members_fit() {
    let mut harness = Harness::with_workers(2);
    let filling = fill(&mut harness);
    assert_eq!(filling.len(), 4);

    harness.submit(5, wide_gang(2));
    assert_eq!((harness.stops(0).len(), harness.stops(1).len()), (2, 2));
    for worker in [0, 1] {
        assert!(harness.all_starts().is_empty(), "a member is missing");
        let stopped = filling.iter().filter(|(found, _)| *found == worker);
        for (sequence, (_, start)) in (1..).zip(stopped) {
            harness.end(worker, sequence, start, Exit::Stopped);
        }
        harness.commit();
    }

    let started = harness.all_starts();
    let started: Vec<u64> = started.iter().map(|(_, start)| start.task.job.0).collect();
    assert_eq!(started, [5, 5]);
}

/// Guards against tasks that are stopped for a gang that does not fit even
/// without them.
#[test]
fn nothing_is_preempted_for_a_gang_that_never_fits() {
    let mut harness = Harness::with_workers(2);
    fill(&mut harness);

    harness.submit(5, wide_gang(3));
    harness.pass(Millis(1000), &[0, 1]);

    assert_eq!((harness.stops(0), harness.stops(1)), (vec![], vec![]));
}
