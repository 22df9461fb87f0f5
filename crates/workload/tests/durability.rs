//! The planner: the order in which progress becomes durable.

mod support;

use {
    filbertbend_state::unit::Millis,
    filbertbend_workload::{
        id::Job,
        message::Start,
        planner::{Event, Write},
        worker::Exit,
    },
    std::collections::BTreeMap,
    support::{job, service, step, Harness},
};

const WORKERS: u64 = 10;
/// Twice as many jobs as fit into a batch.
const BUSY_JOBS: u64 = 60;
const WAITING: u64 = u64::MAX;
/// Batches until a job that has just changed must have been written: all jobs
/// that changed before it, and the batch in progress.
const MAX_BATCHES: usize = 4;

/// Runs of tasks that are stopped and placed again without end, and the ends
/// that their workers have reported.
#[derive(Default)]
struct Churn {
    running: Vec<(u64, Start)>,
    ends: BTreeMap<u64, u64>,
}

impl Churn {
    /// Ends all runs, and takes the starts that are ordered meanwhile.
    fn turn_over(&mut self, harness: &mut Harness) {
        for (worker, start) in std::mem::take(&mut self.running) {
            let sequence = self.ends.entry(worker).or_default();
            *sequence += 1;
            harness.end(worker, *sequence, &start, Exit::Stopped);
        }
        harness.pass(Millis(200), &(0..WORKERS).collect::<Vec<_>>());
        self.running = harness.all_starts();
    }
}

/// Returns workers on which [`BUSY_JOBS`] keep changing.
fn busy_workers() -> (Harness, Churn) {
    let mut harness = Harness::with_workers(WORKERS);
    for id in 1..=BUSY_JOBS {
        harness.step(Event::Submitted(Job(id), job(vec![step(1)])));
    }
    harness.commit();
    let mut churn = Churn::default();
    churn.turn_over(&mut harness);
    assert_eq!(churn.running.len(), BUSY_JOBS as usize);
    (harness, churn)
}

/// Guards against a task that does not start because the progress of its job is
/// never written: jobs with lower identifiers keep changing.
#[test]
fn job_with_a_high_identifier_is_written_while_others_keep_changing() {
    let (mut harness, mut churn) = busy_workers();
    churn.turn_over(&mut harness);
    harness.step(Event::Submitted(Job(WAITING), job(vec![step(1)])));

    let mut batches = 0;
    let mut started = false;
    while !started && batches < 20 {
        churn.turn_over(&mut harness);
        if let Some(batch) = harness.batches.pop() {
            harness.step(Event::Persisted(batch.number));
            batches += 1;
        }
        let starts = harness.all_starts();
        started = starts
            .iter()
            .any(|(_, start)| start.task.job == Job(WAITING));
        churn.running.extend(starts);
    }

    assert!(started, "not started after {batches} batches");
    assert!(batches <= MAX_BATCHES, "started after {batches} batches");
}

/// Guards against a store that fills with jobs that ended long ago, because they
/// are removed only while few others change.
#[test]
fn ended_job_is_removed_while_others_keep_changing() {
    let (mut harness, mut churn) = busy_workers();
    harness.submit(WAITING, job(vec![step(1)]));
    harness.step(Event::Cancelled(Job(WAITING)));
    harness.commit();
    let workers: Vec<u64> = (0..WORKERS).collect();
    harness.pass(support::settings().job_retention, &workers);

    let mut batches = 0;
    let mut removed = false;
    while !removed && batches < 20 {
        churn.turn_over(&mut harness);
        if let Some(batch) = harness.batches.pop() {
            harness.step(Event::Persisted(batch.number));
            batches += 1;
            removed = batch.writes.contains(&Write::Remove(Job(WAITING)));
        }
        churn.running.extend(harness.all_starts());
    }

    assert!(removed, "not removed after {batches} batches");
    assert!(batches <= MAX_BATCHES, "removed after {batches} batches");
}

/// Guards against a task that is never placed again after its start was
/// withdrawn, because its step is not listed as startable.
#[test]
fn withdrawn_start_is_placed_on_another_worker() {
    let mut harness = Harness::with_workers(1);
    harness.step(Event::Submitted(Job(1), job(vec![service()])));
    harness.now = harness.now + Millis(20);
    harness.step(Event::Tick);
    assert!(harness.starts(0).is_empty(), "ordered before it is durable");

    harness.drain(0);
    harness.join(1, Vec::new());
    harness.pass(Millis(1000), &[0, 1]);
    harness.commit();

    assert!(harness.starts(0).is_empty());
    assert_eq!(harness.starts(1).len(), 1);
}
