//! The planner: starts, ends, lost workers and changes of leader.

mod support;

use {
    filbertbend_state::unit::Millis,
    filbertbend_workload::{
        id::{Incarnation, Job, Link, Run, Sequence},
        interference::{Reading, Weight},
        message::{Inventory, Query, Reply, Report},
        planner::Event,
        record::{Progress, State},
        worker::{Exit, Profile},
    },
    std::sync::Arc,
    support::{
        catalog, end, incarnation, job, node, placed, profile, progress, room, running, service,
        step, task, Harness,
    },
};

/// Guards against dropped ends and stopped runs: agents report to a new leader
/// before it has loaded the jobs, which it then takes for unknown.
#[test]
fn agents_wait_until_a_new_leader_has_loaded_the_jobs() {
    let mut harness = Harness::new(2);
    harness.step(Event::Configured(Arc::new(catalog(0, 2))));

    harness.step(Event::Opened(Link(0), node(0)));
    assert!(
        harness.welcomed.is_empty(),
        "welcomed before the jobs are loaded"
    );
    let job = job(vec![step(2)]);
    harness.step(Event::Recovered(Job(7), job, Progress::default()));
    harness.step(Event::Loaded);
    assert_eq!(harness.welcomed, [Link(0)]);
    let done = end(1, task(7, 0, 0), Run(1), Exit::Done);
    harness.inventory(0, vec![running(task(7, 0, 1), Run(1))], vec![done]);
    harness.pass(Millis(300), &[0]);
    let batches = harness.commit();

    assert!(harness.stops(0).is_empty());
    let progress = progress(&batches, 7).expect("the end is made durable");
    assert_eq!(progress.occurrences[0].done[0], [1]);
}

/// Guards against losing an end: the worker discards it before its consequence
/// is durable.
#[test]
fn ends_are_acknowledged_only_once_they_are_durable() {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, job(vec![step(2)]));
    let starts = harness.starts(0);
    harness.started(0, &starts[0]);

    harness.end(0, 1, &starts[0], Exit::Done);
    harness.pass(Millis(300), &[0]);
    assert_eq!(harness.acknowledged(0), None);
    harness.commit();
    harness.step(Event::Tick);

    assert_eq!(harness.acknowledged(0), Some(Sequence(1)));
}

/// Guards against a step that begins before its predecessor has completed, and
/// against showing a job as complete before that is durable.
#[test]
fn steps_follow_one_another_and_completion_is_durable_first() {
    let mut harness = Harness::with_workers(1);
    let mut second = step(1);
    second.after = vec![0];
    harness.submit(1, job(vec![step(2), second]));
    let first = harness.starts(0);
    assert_eq!(first.len(), 2);

    harness.end(0, 1, &first[0], Exit::Done);
    assert!(harness.starts(0).is_empty());
    harness.end(0, 2, &first[1], Exit::Done);
    harness.commit();
    let second = harness.starts(0);
    assert_eq!(second.len(), 1);
    harness.end(0, 3, &second[0], Exit::Done);

    let query = Query::State(Job(1));
    assert_ne!(
        harness.planner.answer(&query),
        Reply::State(Some(State::Complete))
    );
    harness.commit();
    assert_eq!(
        harness.planner.answer(&query),
        Reply::State(Some(State::Complete))
    );
}

/// Guards against a task that runs twice because its worker was cut off and its
/// lease had not expired.
#[test]
fn tasks_of_a_silent_worker_wait_for_its_lease() {
    let mut harness = Harness::with_workers(2);
    harness.submit(1, job(vec![step(1)]));
    let (busy, start) = harness.all_starts().remove(0);
    harness.started(busy, &start);
    let other = 1 - busy;

    harness.step(Event::Closed(Link(busy)));
    harness.pass(Millis(5900), &[other]);
    assert!(harness.all_starts().is_empty());
    harness.pass(Millis(700), &[other]);
    harness.commit();

    let (found, again) = harness.all_starts().remove(0);
    assert_eq!(found, other);
    assert!(again.run > start.run);
}

/// Guards against a start whose placement a later leader does not know of.
#[test]
fn placements_are_durable_before_they_are_ordered() {
    let mut harness = Harness::with_workers(1);

    harness.step(Event::Submitted(Job(1), job(vec![step(1)])));
    assert!(harness.starts(0).is_empty());
    let batches = harness.commit();

    let start = harness.starts(0).remove(0);
    let durable = progress(&batches, 1).expect("the placement is durable");
    let runs = &durable.occurrences[0].unfinished[0].runs;
    assert_eq!(*runs, [(node(0), start.run)]);
}

/// Guards against a task that runs twice because a former leader started it on
/// a worker that has not reported to the new one, and against delaying other
/// tasks until that worker reports.
#[test]
fn only_tasks_placed_on_a_missing_worker_wait_for_it() {
    let mut harness = Harness::new(2);
    harness.step(Event::Configured(Arc::new(catalog(0, 2))));
    let one = || job(vec![step(1)]);
    harness.step(Event::Recovered(Job(1), one(), placed(1, Run(1))));
    harness.step(Event::Recovered(Job(2), one(), Progress::default()));
    harness.step(Event::Loaded);

    harness.join(0, Vec::new());
    harness.pass(Millis(300), &[0]);
    harness.commit();
    let starts = harness.starts(0);
    assert_eq!(starts.len(), 1, "{starts:?}");
    assert_eq!(starts[0].task, task(2, 0, 0));
    // A former leader may have confirmed its leadership until 1 s after the claim
    // of the term, and granted leases for 8 s from then, by a clock 2% slow.
    harness.pass(Millis(8900), &[0]);
    harness.commit();
    assert!(
        harness.starts(0).is_empty(),
        "its lease may not have expired"
    );
    harness.pass(Millis(500), &[0]);
    harness.commit();

    assert_eq!(harness.starts(0)[0].task, task(1, 0, 0));
}

/// Guards against a new leader that does not adopt a run which its worker
/// reports.
#[test]
fn runs_of_a_former_leader_are_adopted() {
    let mut harness = Harness::new(2);
    harness.step(Event::Configured(Arc::new(catalog(0, 2))));
    let one = job(vec![step(1)]);
    harness.step(Event::Recovered(Job(1), one, placed(0, Run(1))));
    harness.step(Event::Loaded);

    harness.join(0, vec![running(task(1, 0, 0), Run(1))]);
    harness.pass(Millis(20_000), &[0]);
    harness.commit();

    assert!(harness.starts(0).is_empty());
    assert!(harness.stops(0).is_empty());
}

/// Guards against counting a failure twice because its end was listed again to
/// the next leader.
#[test]
fn a_failure_counts_once_across_leaders() {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, job(vec![step(1)]));
    let start = harness.starts(0).remove(0);
    harness.end(0, 1, &start, Exit::Failed);
    harness.pass(Millis(300), &[0]);
    let durable = progress(&harness.commit(), 1).expect("the failure is made durable");

    let mut next = Harness::new(2);
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

/// Guards against running a job whose cancellation is durable.
#[test]
fn cancelled_jobs_are_stopped_and_not_started_again() {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, job(vec![step(1)]));
    let start = harness.starts(0).remove(0);
    harness.started(0, &start);

    harness.step(Event::Cancelled(Job(1)));
    assert_eq!(harness.stops(0), [(start.task, start.run)]);
    harness.end(0, 1, &start, Exit::Stopped);
    harness.pass(Millis(1000), &[0]);

    assert!(harness.starts(0).is_empty());
    let state = harness.planner.answer(&Query::State(Job(1)));
    assert_eq!(state, Reply::State(Some(State::Cancelled)));
}

/// Guards against losing a stop because the agent was disconnected when the job
/// was cancelled.
#[test]
fn stops_are_repeated_in_the_next_session() {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, job(vec![step(1)]));
    let start = harness.starts(0).remove(0);
    harness.started(0, &start);

    harness.step(Event::Closed(Link(0)));
    harness.step(Event::Cancelled(Job(1)));
    harness.join(0, vec![running(start.task, start.run)]);

    assert_eq!(harness.stops(0), [(start.task, start.run)]);
}

/// Guards against overcommitting a worker, also while a run on it is being
/// stopped.
#[test]
fn resources_stay_reserved_until_the_end_is_listed() {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, job(vec![step(8)]));
    let starts = harness.starts(0);
    assert_eq!(starts.len(), 8);
    harness.submit(2, job(vec![step(1)]));
    assert!(harness.starts(0).is_empty());

    harness.step(Event::Cancelled(Job(1)));
    assert!(harness.starts(0).is_empty());
    harness.end(0, 1, &starts[0], Exit::Stopped);
    harness.commit();

    assert_eq!(harness.starts(0).len(), 1);
}

/// Guards against a job without progress because no worker has a good place for
/// its best-effort tasks, although resources are free.
#[test]
fn best_effort_tasks_are_placed_anywhere_after_a_while() {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, job(vec![service()]));
    let mut best_effort = step(3);
    best_effort.mode.best_effort = true;
    best_effort.room = room(6, 1);
    best_effort.image = Some("filler".into());
    let reading = Reading {
        latencies: vec![(task(1, 0, 0), Millis(49))],
        ..Reading::default()
    };
    harness.report_reading(0, reading);

    harness.submit(2, job(vec![best_effort]));
    let starts = harness.starts(0);
    assert!(starts.iter().all(|start| start.task.job == Job(1)));
    harness.pass(Millis(1600), &[0]);
    harness.commit();

    assert_eq!(harness.starts(0).len(), 1, "one makes progress");
}

/// Guards against a worker that gets no harmless best-effort tasks because a
/// harmful one runs there, which its agent throttles in their favour.
#[test]
fn throttled_task_does_not_keep_harmless_ones_away() {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, job(vec![service()]));
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
    harness.weights(0, vec![weight("harmful", 1.2), weight("harmless", 0.02)]);
    let reading = Reading {
        latencies: vec![(task(1, 0, 0), Millis(10))],
        ..Reading::default()
    };
    harness.report_reading(0, reading.clone());
    harness.submit(2, best_effort("harmful"));
    assert_eq!(harness.starts(0).len(), 2);

    let busy = Reading {
        latencies: vec![(task(1, 0, 0), Millis(30))],
        ..reading
    };
    harness.report_reading(0, busy);
    harness.pass(Millis(4000), &[0]);
    harness.submit(3, best_effort("harmless"));

    assert_eq!(harness.starts(0).len(), 1);
}

/// Guards against best-effort tasks that are throttled or moved soon after they
/// have started, which makes their whole job late: they were placed where the
/// services tolerate them only at their present load.
#[test]
fn best_effort_task_that_a_rising_load_would_throttle_waits() {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, job(vec![service()]));
    let weight = Weight {
        service: "service".into(),
        aggressor: "harmful".into(),
        value: 2.0,
        variance: 0.001,
    };
    harness.weights(0, vec![weight]);
    let reading = Reading {
        latencies: vec![(task(1, 0, 0), Millis(25))],
        ..Reading::default()
    };
    harness.report_reading(0, reading);
    assert_eq!(harness.starts(0).len(), 1, "the service");
    let mut best_effort = step(1);
    best_effort.mode.best_effort = true;
    best_effort.image = Some("harmful".into());

    harness.submit(2, job(vec![best_effort]));

    assert!(harness.starts(0).is_empty());
}

/// Guards against a leader that is saturated because it searches all workers
/// for every waiting job.
#[test]
fn jobs_with_equal_requirements_are_searched_for_once() {
    let mut harness = Harness::with_workers(2);
    let best_effort = |image: &str| {
        let mut best_effort = step(4);
        best_effort.mode.best_effort = true;
        best_effort.room = room(8, 17);
        best_effort.image = Some(image.into());
        job(vec![best_effort])
    };
    for id in 1..=100 {
        harness.submit(id, best_effort("filler"));
    }
    // Jobs without running tasks that have waited for long accept any worker.
    harness.pass(Millis(2000), &[0, 1]);

    let before = harness.planner.searches();
    harness.pass(Millis(1000), &[0, 1]);
    let searches = harness.planner.searches() - before;

    // Ten passes, each with one search for tasks that accept any worker and one
    // for the others.
    assert!(searches <= 20, "{searches} searches in 1 s");
}

/// Guards against a leader that loses its links and leases because placement
/// passes over a backlog follow each other without a pause.
#[test]
fn placement_passes_leave_three_quarters_of_the_time() {
    let pass_time = Millis(16);
    let span = Millis(50 * 4 * pass_time.0);
    let mut harness = Harness::with_workers(2);
    for id in 1..=100 {
        harness.submit(id, job(vec![step(40)]));
    }

    let begin = harness.now;
    let mut placing = Millis(0);
    while harness.now < begin + span {
        let passes = harness.planner.passes();
        harness.step(Event::Tick);
        if harness.planner.passes() > passes {
            harness.now = harness.now + pass_time;
            placing += pass_time;
            harness.step(Event::Placed);
        } else {
            harness.now = harness.now + Millis(1);
        }
    }

    assert!(placing > Millis(0), "nothing is placed any more");
    let total = harness.now.since(begin);
    assert!(placing.0 * 4 <= total.0, "{placing} of {total} in passes");
}

/// Guards against a long delay at a later leader: it waits for the longest
/// lease because the end of the last run was not made durable, and the worker
/// may have left for good.
#[test]
fn stopped_runs_are_gone_for_a_later_leader() {
    let mut harness = Harness::with_workers(1);
    let mut service = step(1);
    service.mode.long_running = true;
    harness.submit(1, job(vec![service]));
    let starts = harness.starts(0);
    harness.started(0, &starts[0]);
    harness.drain(0);

    harness.end(0, 1, &starts[0], Exit::Stopped);
    harness.pass(Millis(300), &[0]);
    let batches = harness.commit();

    let progress = progress(&batches, 1).expect("the end is made durable");
    assert!(
        progress.occurrences[0].unfinished.is_empty(),
        "{progress:?}"
    );
}

/// Guards against a task that runs twice because an inventory of an earlier
/// session is taken for one of the newest: the worker has not seen the newest
/// fence, so orders in transit may still take effect.
#[test]
fn inventories_of_earlier_sessions_are_ignored() {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, job(vec![step(1)]));
    let starts = harness.starts(0);
    harness.started(0, &starts[0]);
    let earlier = harness.fences[&Link(0)];
    // The worker has restarted, and its agent has requested a session twice.
    harness.step(Event::Opened(Link(0), node(0)));
    harness.step(Event::Opened(Link(0), node(0)));

    let list = Inventory {
        incarnation: incarnation(0),
        restarted: None,
        foreign_lease: None,
        running: Vec::new(),
        crash: None,
    };
    let report = |fence| Report {
        fence,
        profile: Some(profile(0)),
        inventory: Some(list.clone()),
        renew: Some(1),
        ..Report::default()
    };
    harness.report(0, report(earlier));
    harness.commit();
    assert!(harness.starts(0).is_empty());
    harness.report(0, report(harness.fences[&Link(0)]));
    harness.commit();

    assert_eq!(harness.starts(0).len(), 1);
}

/// Guards against a task that runs twice: its worker has restarted under its
/// name and holds a long lease by the clock of its former incarnation.
#[test]
fn tasks_of_a_restarted_worker_wait_for_its_longest_lease() {
    let mut harness = Harness::with_workers(1);
    let restarted = Incarnation {
        started_ms: 2,
        ..incarnation(0)
    };
    harness.step(Event::Opened(Link(0), node(0)));
    let report = Report {
        profile: Some(Profile {
            incarnation: restarted.clone(),
            ..profile(0)
        }),
        inventory: Some(Inventory {
            incarnation: restarted,
            restarted: None,
            foreign_lease: None,
            crash: None,
            running: Vec::new(),
        }),
        renew: Some(1),
        ..Report::default()
    };
    harness.report(0, report);
    harness.submit(1, job(vec![step(1)]));
    let start = harness.starts(0).remove(0);
    harness.started(0, &start);
    harness.join(1, Vec::new());

    harness.step(Event::Closed(Link(0)));
    harness.pass(Millis(10_000), &[1]);
    harness.commit();
    assert!(
        harness.all_starts().is_empty(),
        "its lease may not have expired"
    );
    harness.pass(Millis(1000), &[1]);
    harness.commit();

    assert_eq!(harness.starts(1).len(), 1);
}

/// Guards against a task that runs twice: a start has reached an incarnation
/// that its agent had yet to discover, and the next inventory fails to arrive.
#[test]
fn reopened_session_counts_as_a_restart_until_its_inventory() {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, job(vec![step(1)]));
    let start = harness.starts(0).remove(0);
    harness.started(0, &start);
    harness.join(1, Vec::new());

    harness.step(Event::Opened(Link(0), node(0)));
    harness.step(Event::Closed(Link(0)));
    harness.pass(Millis(10_000), &[1]);
    harness.commit();
    assert!(
        harness.all_starts().is_empty(),
        "its lease may not have expired"
    );
    harness.pass(Millis(1000), &[1]);
    harness.commit();

    assert_eq!(harness.starts(1).len(), 1);
}

/// Guards against a task that runs twice: its worker has restarted under the
/// former leader, and only the agent knows of that.
#[test]
fn restart_under_a_former_leader_is_taken_into_account() {
    let mut harness = Harness::new(2);
    harness.step(Event::Configured(Arc::new(catalog(0, 2))));
    harness.step(Event::Loaded);
    harness.step(Event::Opened(Link(0), node(0)));
    let report = Report {
        profile: Some(profile(0)),
        inventory: Some(Inventory {
            incarnation: incarnation(0),
            restarted: Some(Millis(1000)),
            foreign_lease: None,
            crash: None,
            running: Vec::new(),
        }),
        renew: Some(1),
        ..Report::default()
    };
    harness.report(0, report);
    harness.submit(1, job(vec![step(1)]));
    let start = harness.starts(0).remove(0);
    harness.started(0, &start);
    harness.join(1, Vec::new());

    harness.step(Event::Closed(Link(0)));
    harness.pass(Millis(9000), &[1]);
    harness.commit();
    assert!(
        harness.all_starts().is_empty(),
        "its lease may not have expired"
    );
    harness.pass(Millis(1000), &[1]);
    harness.commit();

    assert_eq!(harness.starts(1).len(), 1);
}
