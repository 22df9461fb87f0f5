//! Predictions of run times, and where the planner relies on them.

mod support;

use {
    filbertbend_state::unit::Millis,
    filbertbend_workload::{
        id::{Job, Link, Run},
        job::Step,
        message::{Report, Start},
        planner::{Decision, Event},
        run_time::{Model, Siblings},
        worker::{End, Exit},
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, sync::Arc},
    support::{
        catalog, end, job, node, placed, room, running, service, step, task, Harness, QUEUE,
    },
};

/// Returns a step of one task with an estimate.
fn estimated(estimate: u64) -> Step {
    Step {
        estimate: Millis(estimate),
        ..step(1)
    }
}

fn queue() -> Arc<str> {
    QUEUE.into()
}

/// Returns a model that has learned from these run times of steps of one task, each
/// of which was estimated at 1 s.
fn learned(took: impl IntoIterator<Item = u64>) -> Model {
    let mut model = Model::default();
    for took in took {
        model.observe(&queue(), &estimated(1000), Millis(took));
    }
    model
}

/// Returns a factor whose logarithm is near a normal distribution with a deviation.
fn factor(random: &mut ChaCha8Rng, deviation: f64) -> f64 {
    let sum: f64 = (0..12).map(|_| random.random::<f64>()).sum();
    ((sum - 6.0) * deviation).exp()
}

/// Guards against predictions from a few tasks that differ wildly from the estimate,
/// and against ones that differ although nothing is known.
#[test]
fn few_observations_hardly_change_an_estimate() {
    let unknown = Model::default();
    assert_eq!(unknown.expected(QUEUE, &estimated(1000)), Millis(1000));
    let remaining = |elapsed| unknown.remaining(QUEUE, &estimated(1000), Millis(elapsed));
    assert_eq!(remaining(400), Millis(600));
    assert_eq!(remaining(1700), Millis(700));

    let model = learned([60_000]);

    let expected = model.expected(QUEUE, &estimated(1000)).0;
    assert!((1000..20_000).contains(&expected), "{expected}");
}

/// Guards against estimates that are believed although they are always wrong by the
/// same factor, and against the use of that factor for other queues.
#[test]
fn a_constant_error_of_the_estimates_is_corrected() {
    let model = learned([5000; 100]);

    let expected = model.expected(QUEUE, &estimated(1000)).0;
    assert!((4500..6000).contains(&expected), "{expected}");
    assert_eq!(model.expected("others", &estimated(1000)), Millis(1000));
}

/// Guards against predictions that follow estimates which say nothing.
#[test]
fn estimates_without_meaning_are_ignored() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut model = Model::default();
    for _ in 0..300 {
        let estimate = 1000.0 * factor(&mut random, 1.5);
        let took = 2000.0 * factor(&mut random, 0.2);
        model.observe(&queue(), &estimated(estimate as u64), Millis(took as u64));
    }

    for estimate in [100, 1000, 10_000] {
        let expected = model.expected(QUEUE, &estimated(estimate)).0;
        assert!((1500..3000).contains(&expected), "{estimate}: {expected}");
    }
}

/// Guards against a model that stays at what it learned before run times changed.
#[test]
fn drift_is_followed() {
    let model = learned([vec![1000; 2000], vec![4000; 800]].concat());

    let expected = model.expected(QUEUE, &estimated(1000)).0;
    assert!((3600..4400).contains(&expected), "{expected}");
}

/// Guards against a run that counts as about to end because it has taken longer than
/// expected: where a few tasks take many times as long, it is one of them.
#[test]
fn what_runs_on_in_a_heavy_tail_is_not_about_to_end() {
    let model = learned((0..200).map(|number| if number % 20 == 0 { 15_000 } else { 1000 }));
    let remaining = |elapsed| model.remaining(QUEUE, &estimated(1000), Millis(elapsed)).0;

    assert!(remaining(0) < 3000, "{}", remaining(0));
    assert!(remaining(800) < 3000, "{}", remaining(800));
    assert!(remaining(2500) > 8000, "{}", remaining(2500));
}

/// Guards against an estimate that is preferred to the run times of other tasks of
/// the same step, against taking those of one step for those of another,
/// or the slowest task of a step for one like the others.
#[test]
fn completed_tasks_of_a_step_tell_about_the_others() {
    let mut random = ChaCha8Rng::seed_from_u64(2);
    let mut model = Model::default();
    let mut wide = |model: &mut Model, error: f64, tasks: usize| {
        let like = Step {
            tasks: 10,
            ..estimated(1000)
        };
        let mut siblings = Siblings::default();
        for _ in 0..tasks {
            let took = Millis((1000.0 * error * factor(&mut random, 0.2)) as u64);
            model.observe_beside(&queue(), &like, &mut siblings, took);
        }
        (like, siblings)
    };
    for number in 0..100 {
        let error = [0.3, 0.6, 1.0, 2.0, 4.0][number % 5];
        wide(&mut model, error, 10);
    }

    let (like, siblings) = wide(&mut model, 8.0, 4);

    let expected = model.expected_beside(QUEUE, &like, &siblings).0;
    assert!((6400..9600).contains(&expected), "{expected}");
    let other = model.expected(QUEUE, &like).0;
    assert!((800..3000).contains(&other), "{other}");
    // The mean of the highest of ten values is 1.54 deviations above the others'.
    let slowest = |count| model.expected_slowest(QUEUE, &like, &siblings, count).0;
    assert_eq!(slowest(1), expected);
    let excess = slowest(10) as f64 / expected as f64;
    assert!((1.2..1.6).contains(&excess), "{excess}");
    let unknown = Model::default().expected_slowest(QUEUE, &like, &siblings, 10);
    assert_eq!(
        unknown,
        Model::default().expected_beside(QUEUE, &like, &siblings)
    );
}

/// Guards against memory that grows with the number of queues that ever had tasks.
#[test]
fn the_queues_that_were_not_used_for_long_are_forgotten() {
    let mut model = Model::default();
    let name = |number: u32| Arc::from(format!("queue-{number}"));
    for number in 0..3000 {
        for _ in 0..20 {
            model.observe(&name(number), &estimated(1000), Millis(9000));
        }
        model.observe(&name(0), &estimated(1000), Millis(9000));
    }

    let knows = |number| model.expected(&name(number), &estimated(1000)) > Millis(5000);
    assert!(knows(0) && knows(2999));
    let known = (0..3000).filter(|number| knows(*number)).count();
    assert!((500..=1000).contains(&known), "{known}");
}

/// Guards against predictions that are no number, or a panic, because of what jobs
/// declare or a clock shows.
#[test]
fn any_numbers_are_survived() {
    let extremes = [0, 1, 1000, u64::MAX / 2, u64::MAX];
    let mut model = Model::default();
    let mut siblings = Siblings::default();
    for estimate in extremes {
        for took in extremes {
            let mut hostile = estimated(estimate);
            hostile.tasks = (took % 2) as u16;
            model.observe_beside(&queue(), &hostile, &mut siblings, Millis(took));
        }
    }

    let year = Millis::from_secs(365 * 24 * 3600);
    for estimate in extremes {
        for elapsed in extremes {
            let hostile = estimated(estimate);
            let elapsed = Millis(elapsed);
            assert!(model.remaining(QUEUE, &hostile, elapsed) <= year);
            assert!(model.remaining_beside(QUEUE, &hostile, &siblings, elapsed) <= year);
            assert!(model.expected_slowest(QUEUE, &hostile, &siblings, usize::MAX) <= year);
        }
    }
    for _ in 0..2000 {
        model.observe(&queue(), &estimated(1000), Millis(1000));
    }
    let expected = model.expected(QUEUE, &estimated(1000)).0;
    assert!((900..1500).contains(&expected), "{expected}");
}

/// Guards against predictions that are no better than the estimates. The load is like
/// that of the users: an estimate is off by a factor that its whole step shares, and
/// some steps take many times as long.
#[test]
fn ends_are_predicted_better_than_by_the_estimates() {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let mut model = Model::default();
    let (mut by_estimate, mut by_model, mut count) = (0, 0, 0);
    for _ in 0..600 {
        let heavy = if random.random::<f64>() < 0.03 {
            7.0
        } else {
            1.0
        };
        let typical = 1200.0 * heavy * factor(&mut random, 0.5);
        let like = Step {
            tasks: 10,
            ..estimated((typical * factor(&mut random, 0.7)) as u64)
        };
        let mut run_times: Vec<u64> = (0..10)
            .map(|_| (typical * factor(&mut random, 0.3)) as u64)
            .collect();
        run_times.sort_unstable();
        let mut siblings = Siblings::default();
        let mut now = 0;
        // All tasks start together. What is left of the others is predicted when one
        // ends.
        for (index, took) in run_times.iter().enumerate() {
            for other in &run_times[index..] {
                let left = model.remaining_beside(QUEUE, &like, &siblings, Millis(now));
                by_model += left.0.abs_diff(other - now);
                by_estimate += like.estimate.0.abs_diff(now).abs_diff(other - now);
                count += 1;
            }
            model.observe_beside(&queue(), &like, &mut siblings, Millis(*took));
            now = *took;
        }
    }

    let (before, after) = (by_estimate / count, by_model / count);
    println!("mean error of predicted ends: {before} ms by estimates, {after} ms by the model");
    assert!(after * 3 < before * 2, "{before} ms, {after} ms");
}

/// Starts a job of one task that uses most of a worker, and returns that worker.
fn start_large(harness: &mut Harness, id: u64, mut large: Step) -> (u64, Start) {
    large.room = room(6, 2);
    harness.submit(id, job(vec![large]));
    let (worker, start) = harness.all_starts().remove(0);
    harness.started(worker, &start);
    (worker, start)
}

/// Runs 16 jobs of one task, of which 13 take 1 s and the others 10 s. Returns the
/// number of ends of each worker.
fn learn_heavy_tail(harness: &mut Harness) -> BTreeMap<u64, u64> {
    for id in 1..=16 {
        harness.submit(id, job(vec![step(1)]));
    }
    let starts = harness.all_starts();
    for (worker, start) in &starts {
        harness.started(*worker, start);
    }
    let mut ends = BTreeMap::new();
    for (index, (worker, start)) in starts.iter().enumerate() {
        match index {
            0 => harness.pass(Millis(1000), &[0, 1, 2]),
            13 => harness.pass(Millis(9000), &[0, 1, 2]),
            _ => {}
        }
        let sequence = ends.entry(*worker).or_default();
        *sequence += 1;
        harness.end(*worker, *sequence, start, Exit::Done);
    }
    harness.commit();
    ends
}

/// Guards against room that is kept for a service where a run has gone far beyond
/// what was expected of it, as if it were about to end, although room becomes free
/// elsewhere sooner.
#[test]
fn no_room_is_awaited_from_a_run_far_beyond_its_expectation() {
    let mut harness = Harness::with_workers(3);
    let ends = learn_heavy_tail(&mut harness);
    let (left, replica) = start_large(&mut harness, 20, service());
    let (late, _) = start_large(&mut harness, 21, step(1));
    harness.pass(Millis(1500), &[0, 1, 2]);
    let (fresh, _) = start_large(&mut harness, 22, step(1));

    harness.drain(left);
    let sequence = ends.get(&left).copied().unwrap_or(0) + 1;
    harness.end(left, sequence, &replica, Exit::Stopped);
    harness.commit();
    harness.submit(23, job(vec![step(1)]));

    // The worker that is held for the service gets no other task.
    let starts = harness.all_starts();
    let taken: Vec<u64> = starts.iter().map(|(worker, _)| *worker).collect();
    assert_eq!(taken, [late], "the other one is {fresh}");
}

/// Returns the run times that were taken from ends since the last call.
fn timings(harness: &mut Harness) -> Vec<Option<Millis>> {
    let decisions = std::mem::take(&mut harness.decisions);
    let took = |decision| match decision {
        Decision::Ended { timing, .. } => Some(timing.map(|timing| timing.took)),
        _ => None,
    };
    decisions.into_iter().filter_map(took).collect()
}

/// Guards against run times that include the wait for the worker's answer.
#[test]
fn a_run_time_counts_from_the_acceptance_of_the_start() {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, job(vec![step(1)]));
    let start = harness.starts(0).remove(0);
    harness.pass(Millis(400), &[0]);
    harness.started(0, &start);
    harness.pass(Millis(700), &[0]);

    harness.end(0, 1, &start, Exit::Done);

    assert_eq!(timings(&mut harness), [Some(Millis(700))]);
}

/// Guards against learning that tasks are short from a run that resumed from a
/// checkpoint, or that a former leader started.
#[test]
fn run_times_of_parts_are_not_learned() {
    let mut resumed = Harness::with_workers(1);
    resumed.submit(1, job(vec![step(1)]));
    let start = resumed.starts(0).remove(0);
    resumed.started(0, &start);
    let report = Report {
        ends: vec![End {
            checkpoint: Some("half".into()),
            ..end(1, start.task, start.run, Exit::Stopped)
        }],
        ..Report::default()
    };
    resumed.report(0, report);
    resumed.commit();
    let again = resumed.starts(0).remove(0);
    resumed.started(0, &again);
    resumed.end(0, 2, &again, Exit::Done);
    assert_eq!(timings(&mut resumed), [None, None]);

    let mut adopted = Harness::new(2);
    adopted.step(Event::Configured(Arc::new(catalog(0, 2))));
    let one = job(vec![step(1)]);
    adopted.step(Event::Recovered(Job(1), one, placed(0, Run(1))));
    adopted.step(Event::Loaded);
    adopted.join(0, vec![running(task(1, 0, 0), Run(1))]);
    let done = end(1, task(1, 0, 0), Run(1), Exit::Done);
    let report = Report {
        ends: vec![done],
        ..Report::default()
    };
    adopted.report(0, report);
    assert_eq!(timings(&mut adopted), [None]);
}

/// Guards against run times that include how long an end waited for a link.
#[test]
fn a_run_time_that_ended_in_a_later_session_is_not_learned() {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, job(vec![step(1)]));
    let start = harness.starts(0).remove(0);
    harness.started(0, &start);

    harness.step(Event::Closed(Link(0)));
    harness.idle(Millis(2000));
    harness.step(Event::Opened(Link(0), node(0)));
    let done = end(1, start.task, start.run, Exit::Done);
    harness.inventory(0, Vec::new(), vec![done]);

    assert_eq!(timings(&mut harness), [None]);
}

/// Guards against a gang that counts once for each member, or from the first one's
/// start, when it could not work yet.
#[test]
fn the_run_time_of_a_gang_counts_once_and_from_its_last_start() {
    let mut harness = Harness::with_workers(1);
    let mut gang = step(3);
    gang.mode.gang = true;
    harness.submit(1, job(vec![gang]));
    let starts = harness.starts(0);
    for start in &starts {
        harness.started(0, start);
        harness.pass(Millis(300), &[0]);
    }
    harness.pass(Millis(500), &[0]);

    for (sequence, start) in (1..).zip(&starts) {
        harness.end(0, sequence, start, Exit::Done);
    }

    let known: Vec<Millis> = timings(&mut harness).into_iter().flatten().collect();
    assert_eq!(known, [Millis(800)]);
}
