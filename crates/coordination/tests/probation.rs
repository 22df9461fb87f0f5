//! Failure tests of probation: faulty workers are limited, and jobs that always
//! fail are parked.

mod support;

use {
    filbertbend_coordination::{
        placement::{Planner, Request},
        probation::{FailureAction, Standing, Tracker},
    },
    filbertbend_state::{id, service::Class, time::Instant, unit::Millis},
    std::collections::BTreeMap,
    support::{name, places, planner, room, task, worker},
};

const NOW: Instant = Instant(1_000_000);
const FLEET: usize = 10;

/// Records that a task fails on one worker and succeeds on another.
fn fail_here_succeed_there(tracker: &mut Tracker, number: u64, here: usize, there: usize) {
    tracker.failed(NOW, task(number), &worker(here), &[worker(here)], FLEET);
    tracker.succeeded(task(number), &worker(there));
}

/// Guards against a worker that fails everything and keeps getting work.
#[test]
fn a_worker_that_fails_three_jobs_which_succeed_elsewhere_is_on_probation() {
    let mut tracker = Tracker::default();

    for number in 0..2 {
        fail_here_succeed_there(&mut tracker, number, 0, 1);
    }
    assert_eq!(tracker.standing(&worker(0)), Standing::Good);
    fail_here_succeed_there(&mut tracker, 2, 0, 1);

    assert_eq!(tracker.standing(&worker(0)), Standing::Probation);
    assert_eq!(tracker.standing(&worker(1)), Standing::Good);
}

/// Guards against limiting a worker because of a few failures among many
/// successes.
#[test]
fn a_worker_that_mostly_succeeds_stays_in_good_standing() {
    let mut tracker = Tracker::default();

    for number in 0..6 {
        tracker.succeeded(task(100 + 2 * number), &worker(0));
        tracker.succeeded(task(101 + 2 * number), &worker(0));
        fail_here_succeed_there(&mut tracker, number, 0, 1);
    }

    assert_eq!(tracker.standing(&worker(0)), Standing::Good);
}

/// Guards against one faulty job with many tries limiting good workers.
#[test]
fn a_job_that_fails_everywhere_does_not_limit_the_workers() {
    let mut tracker = Tracker::default();
    let mut failed_on = Vec::new();

    for number in 0..3 {
        failed_on.push(worker(number));
        tracker.failed(NOW, task(1), &worker(number), &failed_on, FLEET);
    }

    for number in 0..3 {
        assert_eq!(tracker.standing(&worker(number)), Standing::Good);
    }
}

/// Guards against retrying a job forever.
#[test]
fn a_job_is_parked_after_failing_on_three_workers_in_good_standing() {
    let mut tracker = Tracker::default();
    let mut failed_on = Vec::new();
    let mut failure_actions = Vec::new();

    for number in 0..3 {
        failed_on.push(worker(number));
        failure_actions.push(tracker.failed(NOW, task(1), &worker(number), &failed_on, FLEET));
    }

    assert_eq!(
        failure_actions,
        [
            FailureAction::Retry,
            FailureAction::Retry,
            FailureAction::Park
        ]
    );
}

/// Guards against parking a job because of faulty workers.
#[test]
fn failures_on_workers_on_probation_do_not_park_a_job() {
    let mut tracker = Tracker::default();
    for number in 0..3 {
        fail_here_succeed_there(&mut tracker, number, 0, 9);
    }
    let failed_on: Vec<id::Worker> = (0..3).map(worker).collect();

    let third = tracker.failed(NOW, task(20), &worker(2), &failed_on, FLEET);
    let failed_on: Vec<id::Worker> = (0..4).map(worker).collect();
    let fourth = tracker.failed(NOW, task(20), &worker(3), &failed_on, FLEET);

    assert_eq!(third, FailureAction::Retry);
    assert_eq!(fourth, FailureAction::Park);
}

/// Guards against a worker that fails the whole queue before any of the tasks
/// has succeeded elsewhere.
#[test]
fn a_worker_on_which_three_jobs_in_a_row_fail_is_limited_at_once() {
    let mut tracker = Tracker::default();

    for number in 0..3 {
        tracker.failed(NOW, task(number), &worker(0), &[worker(0)], FLEET);
    }

    assert_eq!(tracker.standing(&worker(0)), Standing::Suspected);
}

/// Guards against a flood of faulty jobs limiting the whole fleet.
#[test]
fn no_more_than_a_fifth_of_the_fleet_is_limited_without_proof() {
    let mut tracker = Tracker::default();

    for number in 0..FLEET {
        for job in 0..3 {
            let task = task((number * 10 + job) as u64);
            tracker.failed(NOW, task, &worker(number), &[worker(number)], FLEET);
        }
    }

    let limited = (0..FLEET).filter(|number| tracker.standing(&worker(*number)) != Standing::Good);
    assert_eq!(limited.count(), FLEET / 5);
}

/// Guards against a worker staying suspected after its jobs turn out faulty.
#[test]
fn a_suspected_worker_is_cleared_when_the_jobs_are_parked() {
    let mut tracker = Tracker::default();
    for number in 0..3 {
        tracker.failed(NOW, task(number), &worker(0), &[worker(0)], FLEET);
    }
    assert_eq!(tracker.standing(&worker(0)), Standing::Suspected);

    let failed_on: Vec<id::Worker> = (0..4).map(worker).collect();
    for number in 0..3 {
        for other in 1..4 {
            let failed_on = &failed_on[..=other];
            tracker.failed(NOW, task(number), &worker(other), failed_on, FLEET);
        }
    }

    assert_eq!(tracker.standing(&worker(0)), Standing::Good);
}

/// Guards against more than one task at a time on a faulty worker, and against
/// trials without backoff.
#[test]
fn a_worker_on_probation_gets_single_trials_with_growing_pauses() {
    let mut tracker = Tracker::default();
    for number in 0..3 {
        fail_here_succeed_there(&mut tracker, number, 0, 1);
    }
    assert!(tracker.allows_trial(NOW, &worker(0)));

    tracker.start_trial(&worker(0), task(50));
    assert!(
        !tracker.allows_trial(NOW, &worker(0)),
        "a trial is in progress"
    );
    tracker.failed(NOW, task(50), &worker(0), &[worker(0)], FLEET);
    assert!(!tracker.allows_trial(NOW, &worker(0)));
    assert!(tracker.allows_trial(NOW + Millis(1000), &worker(0)));
    let later = NOW + Millis(1000);
    tracker.start_trial(&worker(0), task(51));
    tracker.failed(later, task(51), &worker(0), &[worker(0)], FLEET);

    assert!(!tracker.allows_trial(later + Millis(1000), &worker(0)));
    assert!(tracker.allows_trial(later + Millis(2000), &worker(0)));
}

/// Guards against a repaired worker staying limited.
#[test]
fn a_trial_that_succeeds_ends_the_probation() {
    let mut tracker = Tracker::default();
    for number in 0..3 {
        fail_here_succeed_there(&mut tracker, number, 0, 1);
    }

    tracker.start_trial(&worker(0), task(50));
    tracker.succeeded(task(50), &worker(0));

    assert_eq!(tracker.standing(&worker(0)), Standing::Good);
}

fn request(number: u64) -> Request {
    Request {
        slice: id::Slice(0),
        task: task(number),
        service: name("layout"),
        team: name("drawing"),
        class: Class::Batch,
        size: room(8, 16, 0),
        run_time: Millis::from_secs(10),
        data_centres: Vec::new(),
        avoid: Vec::new(),
        since: NOW,
    }
}

/// Runs `jobs` jobs on a fleet whose worker 0 fails everything at once while
/// the others succeed after 10 s. Returns the starts by worker.
fn run_with_faulty_worker(planner: &mut Planner, jobs: u64) -> BTreeMap<id::Worker, usize> {
    let mut starts: BTreeMap<id::Worker, usize> = BTreeMap::new();
    let mut failed_on: BTreeMap<id::Task, Vec<id::Worker>> = BTreeMap::new();
    let mut running: Vec<(Instant, id::Task, id::Worker)> = Vec::new();
    let mut done = 0;
    let mut now = NOW;
    for number in 0..jobs {
        planner.enqueue(now, request(number));
    }
    while done < jobs {
        let mut decisions = Vec::new();
        planner.decide(now, usize::MAX, &mut decisions);
        for (task, place) in places(&decisions) {
            *starts.entry(place.clone()).or_default() += 1;
            let span = if place == worker(0) { 100 } else { 10_000 };
            running.push((now + Millis(span), task, place));
        }
        now = now + Millis(100);
        let (due, rest) = running.into_iter().partition(|(at, _, _)| *at <= now);
        running = rest;
        for (_, task, place) in Vec::from_iter::<Vec<_>>(due) {
            planner.release(task);
            if place != worker(0) {
                planner.record_success(now, &name("layout"), task, &place);
                done += 1;
                continue;
            }
            let failed_on = failed_on.entry(task).or_default();
            failed_on.push(place.clone());
            planner.record_failure(now, &name("layout"), task, &place, failed_on);
            let number = task.job.0 .0 as u64;
            planner.enqueue(
                now,
                Request {
                    avoid: failed_on.clone(),
                    ..request(number)
                },
            );
        }
        assert!(now < NOW + Millis::from_secs(3600), "the jobs never end");
    }
    starts
}

/// Guards against a worker that fails everything quickly and thereby attracts
/// all queued tasks.
#[test]
fn a_worker_that_fails_everything_wastes_few_starts() {
    let mut planner = planner(NOW, 10);

    let starts = run_with_faulty_worker(&mut planner, 1000);

    let wasted = starts.get(&worker(0)).copied().unwrap_or(0);
    assert!(wasted <= 40, "{wasted} starts on the faulty worker");
    assert_eq!(planner.standing(&worker(0)), Standing::Probation);
}
