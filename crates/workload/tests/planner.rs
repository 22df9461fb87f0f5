//! The leader's decisions: starts, ends, lost workers and changes of leader.

mod support;

use {
    filbertbend_state::unit::Millis,
    filbertbend_workload::{
        id::{Job, Link, Run, Sequence},
        interference::{Reading, Weight},
        message::{Inventory, Query, Reply, Report},
        planner::Event,
        record::{Progress, State},
        worker::Exit,
    },
    std::sync::Arc,
    support::{
        catalog, end, incarnation, job, node, placed, profile, progress, room, running, step, task,
        World,
    },
};

/// Guards against ends that are taken for those of unknown jobs, and runs that
/// are stopped, because agents report before a new leader has read the jobs
/// back.
#[test]
fn agents_wait_until_a_new_leader_has_read_everything_back() {
    let mut world = World::new(2);
    world.step(Event::Configured(Arc::new(catalog(0, 2))));

    world.step(Event::Opened(Link(0), node(0)));
    assert!(
        world.welcomed.is_empty(),
        "welcomed before the jobs are known"
    );
    let job = job(vec![step(2)]);
    world.step(Event::Recovered(Job(7), job, Progress::default()));
    world.step(Event::Loaded);
    assert_eq!(world.welcomed, [Link(0)]);
    let done = end(1, task(7, 0, 0), Run(1), Exit::Done);
    world.inventory(0, vec![running(task(7, 0, 1), Run(1))], vec![done]);
    world.pass(Millis(300), &[0]);
    let batches = world.commit();

    assert!(world.stops(0).is_empty());
    let progress = progress(&batches, 7).expect("the end is made durable");
    assert_eq!(progress.occurrences[0].done[0], [1]);
}

/// Guards against an end that the worker forgets before its consequence is
/// durable.
#[test]
fn ends_are_settled_only_once_they_are_durable() {
    let mut world = World::with_workers(1);
    world.submit(1, job(vec![step(2)]));
    let starts = world.starts(0);
    world.started(0, &starts[0]);

    world.end(0, 1, &starts[0], Exit::Done);
    world.pass(Millis(300), &[0]);
    assert_eq!(world.acknowledged(0), None);
    world.commit();
    world.step(Event::Tick);

    assert_eq!(world.acknowledged(0), Some(Sequence(1)));
}

/// Guards against a step that begins before the one that it follows has
/// completed, and a job that is shown as complete before that is durable.
#[test]
fn steps_follow_one_another_and_completion_is_durable_first() {
    let mut world = World::with_workers(1);
    let mut second = step(1);
    second.after = vec![0];
    world.submit(1, job(vec![step(2), second]));
    let first = world.starts(0);
    assert_eq!(first.len(), 2);

    world.end(0, 1, &first[0], Exit::Done);
    assert!(world.starts(0).is_empty());
    world.end(0, 2, &first[1], Exit::Done);
    world.commit();
    let second = world.starts(0);
    assert_eq!(second.len(), 1);
    world.end(0, 3, &second[0], Exit::Done);

    let query = Query::State(Job(1));
    assert_ne!(
        world.planner.answer(&query),
        Reply::State(Some(State::Complete))
    );
    world.commit();
    assert_eq!(
        world.planner.answer(&query),
        Reply::State(Some(State::Complete))
    );
}

/// Guards against a task that runs twice at the same time because its worker
/// was cut off and its lease had not passed.
#[test]
fn tasks_of_a_silent_worker_wait_for_its_lease() {
    let mut world = World::with_workers(2);
    world.submit(1, job(vec![step(1)]));
    let (busy, start) = world.all_starts().remove(0);
    world.started(busy, &start);
    let other = 1 - busy;

    world.step(Event::Closed(Link(busy)));
    world.pass(Millis(5900), &[other]);
    assert!(world.all_starts().is_empty());
    world.pass(Millis(700), &[other]);
    world.commit();

    let (found, again) = world.all_starts().remove(0);
    assert_eq!(found, other);
    assert!(again.run > start.run);
}

/// Guards against an order whose placement a later leader would not know of.
#[test]
fn placements_are_durable_before_they_are_ordered() {
    let mut world = World::with_workers(1);

    world.step(Event::Submitted(Job(1), job(vec![step(1)])));
    assert!(world.starts(0).is_empty());
    let batches = world.commit();

    let start = world.starts(0).remove(0);
    let durable = progress(&batches, 1).expect("the placement is durable");
    let runs = &durable.occurrences[0].unfinished[0].runs;
    assert_eq!(*runs, [(node(0), start.run)]);
}

/// Guards against a task that runs twice because a former leader started it on
/// a worker that has not reported to the new one, and against other tasks that
/// wait for that worker.
#[test]
fn only_tasks_placed_on_a_missing_worker_wait_for_it() {
    let mut world = World::new(2);
    world.step(Event::Configured(Arc::new(catalog(0, 2))));
    let one = || job(vec![step(1)]);
    world.step(Event::Recovered(Job(1), one(), placed(1, Run(1))));
    world.step(Event::Recovered(Job(2), one(), Progress::default()));
    world.step(Event::Loaded);

    world.join(0, Vec::new());
    world.pass(Millis(300), &[0]);
    world.commit();
    let starts = world.starts(0);
    assert_eq!(starts.len(), 1, "{starts:?}");
    assert_eq!(starts[0].task, task(2, 0, 0));
    world.pass(Millis(13_600), &[0]);
    world.commit();
    assert!(world.starts(0).is_empty(), "its lease may not have passed");
    world.pass(Millis(1000), &[0]);
    world.commit();

    assert_eq!(world.starts(0)[0].task, task(1, 0, 0));
}

/// Guards against a run that a new leader does not take over although its
/// worker reports it.
#[test]
fn runs_of_a_former_leader_go_on() {
    let mut world = World::new(2);
    world.step(Event::Configured(Arc::new(catalog(0, 2))));
    let one = job(vec![step(1)]);
    world.step(Event::Recovered(Job(1), one, placed(0, Run(1))));
    world.step(Event::Loaded);

    world.join(0, vec![running(task(1, 0, 0), Run(1))]);
    world.pass(Millis(20_000), &[0]);
    world.commit();

    assert!(world.starts(0).is_empty());
    assert!(world.stops(0).is_empty());
}

/// Guards against a failure that counts twice because its end was listed again
/// to the next leader.
#[test]
fn a_failure_counts_once_across_leaders() {
    let mut world = World::with_workers(1);
    world.submit(1, job(vec![step(1)]));
    let start = world.starts(0).remove(0);
    world.end(0, 1, &start, Exit::Failed);
    world.pass(Millis(300), &[0]);
    let durable = progress(&world.commit(), 1).expect("the failure is made durable");

    let mut next = World::new(2);
    next.step(Event::Configured(Arc::new(catalog(0, 2))));
    next.step(Event::Recovered(Job(1), job(vec![step(1)]), durable));
    next.step(Event::Loaded);
    next.step(Event::Opened(Link(0), node(0)));
    next.inventory(
        0,
        Vec::new(),
        vec![end(1, start.task, start.run, Exit::Failed)],
    );
    next.commit();
    next.pass(Millis(300), &[0]);
    next.commit();

    assert_eq!(next.starts(0).len(), 1, "one attempt is left");
}

/// Guards against work on a job whose cancellation is durable.
#[test]
fn cancelled_jobs_are_stopped_and_not_started_again() {
    let mut world = World::with_workers(1);
    world.submit(1, job(vec![step(1)]));
    let start = world.starts(0).remove(0);
    world.started(0, &start);

    world.step(Event::Cancelled(Job(1)));
    assert_eq!(world.stops(0), [(start.task, start.run)]);
    world.end(0, 1, &start, Exit::Stopped);
    world.pass(Millis(1000), &[0]);

    assert!(world.starts(0).is_empty());
    let state = world.planner.answer(&Query::State(Job(1)));
    assert_eq!(state, Reply::State(Some(State::Cancelled)));
}

/// Guards against a stop that is forgotten because the agent was not linked
/// when the job was cancelled.
#[test]
fn stops_are_repeated_in_the_next_session() {
    let mut world = World::with_workers(1);
    world.submit(1, job(vec![step(1)]));
    let start = world.starts(0).remove(0);
    world.started(0, &start);

    world.step(Event::Closed(Link(0)));
    world.step(Event::Cancelled(Job(1)));
    world.join(0, vec![running(start.task, start.run)]);

    assert_eq!(world.stops(0), [(start.task, start.run)]);
}

/// Guards against more work on a worker than it has room for, also while a run
/// there is being stopped.
#[test]
fn room_is_taken_until_the_end_is_listed() {
    let mut world = World::with_workers(1);
    world.submit(1, job(vec![step(8)]));
    let starts = world.starts(0);
    assert_eq!(starts.len(), 8);
    world.submit(2, job(vec![step(1)]));
    assert!(world.starts(0).is_empty());

    world.step(Event::Cancelled(Job(1)));
    assert!(world.starts(0).is_empty());
    world.end(0, 1, &starts[0], Exit::Stopped);
    world.commit();

    assert_eq!(world.starts(0).len(), 1);
}

/// Guards against a job that stands still because no worker suits its fillers,
/// although there is room.
#[test]
fn fillers_are_placed_anywhere_after_a_while() {
    let mut world = World::with_workers(1);
    let mut service = step(1);
    service.mode.long_running = true;
    service.latency_target = Some(Millis(50));
    service.image = Some("service".into());
    world.submit(1, job(vec![service]));
    let mut best_effort = step(3);
    best_effort.mode.best_effort = true;
    best_effort.room = room(6, 1);
    best_effort.image = Some("filler".into());
    let reading = Reading {
        latencies: vec![(task(1, 0, 0), Millis(49))],
        ..Reading::default()
    };
    world.reads(0, reading);

    world.submit(2, job(vec![best_effort]));
    let starts = world.starts(0);
    assert!(starts.iter().all(|start| start.task.job == Job(1)));
    world.pass(Millis(1600), &[0]);
    world.commit();

    assert_eq!(world.starts(0).len(), 1, "one keeps the job going");
}

/// Guards against a worker that is closed to harmless fillers because a harmful
/// one is there, which its agent holds back in their favour.
#[test]
fn held_back_filler_does_not_keep_harmless_ones_away() {
    let mut world = World::with_workers(1);
    let mut service = step(1);
    service.mode.long_running = true;
    service.latency_target = Some(Millis(50));
    service.image = Some("service".into());
    world.submit(1, job(vec![service]));
    let best_effort = |image: &str| {
        let mut best_effort = step(1);
        best_effort.mode.best_effort = true;
        best_effort.room = room(1, 1);
        best_effort.image = Some(image.into());
        job(vec![best_effort])
    };
    let weight = |image: &str, value| Weight {
        service: "service".into(),
        aggressor: image.into(),
        value,
        variance: 0.001,
    };
    world.weights(0, vec![weight("harmful", 2.0), weight("harmless", 0.02)]);
    let reading = Reading {
        latencies: vec![(task(1, 0, 0), Millis(25))],
        ..Reading::default()
    };
    world.reads(0, reading.clone());
    world.submit(2, best_effort("harmful"));
    assert_eq!(world.starts(0).len(), 2);

    let busy = Reading {
        latencies: vec![(task(1, 0, 0), Millis(40))],
        ..reading
    };
    world.reads(0, busy);
    world.submit(3, best_effort("harmless"));

    assert_eq!(world.starts(0).len(), 1);
}

/// Guards against a leader that has no time left for anything else, because it
/// searches all workers for every job that waits.
#[test]
fn waiting_jobs_that_ask_for_the_same_are_searched_for_once() {
    let mut world = World::with_workers(2);
    let best_effort = |image: &str| {
        let mut best_effort = step(4);
        best_effort.mode.best_effort = true;
        best_effort.room = room(8, 17);
        best_effort.image = Some(image.into());
        job(vec![best_effort])
    };
    for id in 1..=100 {
        world.submit(id, best_effort("filler"));
    }
    // Idle jobs that have waited for long are urgent.
    world.pass(Millis(2000), &[0, 1]);

    let before = world.planner.searches();
    world.pass(Millis(1000), &[0, 1]);
    let searches = world.planner.searches() - before;

    // Ten looks, each with one search for urgent jobs and one for the others.
    assert!(searches <= 20, "{searches} searches in 1 s");
}

/// Guards against a task that a later leader starts only after the longest
/// lease, because the end of its last run was not made durable: the worker may
/// have left for good.
#[test]
fn stopped_runs_are_gone_for_a_later_leader() {
    let mut world = World::with_workers(1);
    let mut service = step(1);
    service.mode.long_running = true;
    world.submit(1, job(vec![service]));
    let starts = world.starts(0);
    world.started(0, &starts[0]);
    world.drain(0);

    world.end(0, 1, &starts[0], Exit::Stopped);
    world.pass(Millis(300), &[0]);
    let batches = world.commit();

    let progress = progress(&batches, 1).expect("the end is made durable");
    assert!(
        progress.occurrences[0].unfinished.is_empty(),
        "{progress:?}"
    );
}

/// Guards against tasks that are started twice, because a list of an earlier
/// session is taken for one of the newest: the worker has not taken the newest
/// fence, so orders that are still on their way have an effect later.
#[test]
fn lists_of_earlier_sessions_do_not_count() {
    let mut world = World::with_workers(1);
    world.submit(1, job(vec![step(1)]));
    let starts = world.starts(0);
    world.started(0, &starts[0]);
    let earlier = world.fences[&Link(0)];
    // The worker has begun another life, which the agent has said twice.
    world.step(Event::Opened(Link(0), node(0)));
    world.step(Event::Opened(Link(0), node(0)));

    let list = Inventory {
        incarnation: incarnation(0),
        running: Vec::new(),
    };
    let report = |fence| Report {
        fence,
        profile: Some(profile(0)),
        inventory: Some(list.clone()),
        renew: Some(1),
        ..Report::default()
    };
    world.report(0, report(earlier));
    world.commit();
    assert!(world.starts(0).is_empty());
    world.report(0, report(world.fences[&Link(0)]));
    world.commit();

    assert_eq!(world.starts(0).len(), 1);
}
