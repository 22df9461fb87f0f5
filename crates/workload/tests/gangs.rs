//! Gangs, whose members start together and share their runs.

mod support;

use {
    filbertbend_workload::{
        id::Job,
        job,
        message::{Query, Reply},
        record::State,
        worker::Exit,
    },
    std::{collections::BTreeSet, sync::Arc},
    support::{job, room, single, step, Harness, QUEUE},
};

/// Creates a gang of two tasks of one core, of which at most `most` may run on one
/// worker.
fn pair(most: Option<u16>) -> Arc<job::Job> {
    let mut pair = step(2);
    pair.mode.gang = true;
    pair.placement.most_per_worker = most;
    job(vec![pair])
}

/// Guards against more members on a worker than the step allows: the members of a run
/// did not count one another.
#[test]
fn members_of_a_gang_keep_to_the_limit_on_each_worker() {
    let mut harness = Harness::with_workers(2);
    harness.submit(1, single(QUEUE, room(6, 1)));
    let filled = harness.all_starts().remove(0);
    harness.started(filled.0, &filled.1);

    harness.submit(2, pair(Some(1)));

    let starts = harness.all_starts();
    let workers: BTreeSet<u64> = starts.iter().map(|(worker, _)| *worker).collect();
    assert_eq!((starts.len(), workers.len()), (2, 2));
}

/// Guards against a gang that starts although its members may not run on the only
/// worker together.
#[test]
fn gang_waits_for_another_worker_if_its_members_must_be_apart() {
    let mut harness = Harness::with_workers(1);

    harness.submit(1, pair(Some(1)));
    assert_eq!(harness.all_starts(), []);
    harness.join(1, Vec::new());
    harness.commit();

    assert_eq!(harness.all_starts().len(), 2);
}

/// Guards against a gang that is given up after its first run: each member that failed
/// in it counted as an attempt.
#[test]
fn run_of_a_gang_in_which_several_members_fail_is_one_attempt() {
    let mut harness = Harness::with_workers(1);
    harness.submit(1, pair(None));
    let mut sequence = 0;
    let mut fail_all = |harness: &mut Harness| {
        for (worker, start) in harness.all_starts() {
            sequence += 1;
            harness.end(worker, sequence, &start, Exit::Failed);
        }
        harness.commit();
        harness.commit();
        harness.planner.answer(&Query::State(Job(1)))
    };

    let states = [fail_all(&mut harness), fail_all(&mut harness)];

    let states = states.map(|reply| match reply {
        Reply::State(state) => state,
        other => panic!("{other:?}"),
    });
    assert_eq!(states, [Some(State::Running), Some(State::Failed)]);
}
