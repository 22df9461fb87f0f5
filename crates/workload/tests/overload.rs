//! The planner while more work arrives than the workers can do.

mod support;

use {
    filbertbend_state::{
        time::{Instant, Wall},
        unit::Millis,
    },
    filbertbend_workload::{
        catalog::{Catalog, Objective},
        id::Job,
        message::Start,
        planner::{Decision, Event},
        record::State,
        urgency::Standing,
        worker::Exit,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
    support::{job, step, two_queues, Harness, LESS_URGENT, QUEUE},
};

/// Workers of eight cores, which run two of the small jobs a second.
const WORKERS: u64 = 4;
/// How long each task runs; estimates are right.
const TASK_TIME: Millis = Millis(1000);
const TURN: Millis = Millis(100);
/// Two steps of one second each, stretched by two, and one second more.
const OBJECTIVE: Millis = Millis(5000);
const SMALL: u16 = 8;
const LARGE: u16 = 24;

fn catalog(has_objective: bool) -> Arc<Catalog> {
    let mut catalog = two_queues();
    for queue in catalog.queues.values_mut().filter(|_| has_objective) {
        queue.objective = Some(Objective {
            stretch: 2.0,
            allowance: Millis(1000),
        });
    }
    Arc::new(catalog)
}

/// Workers whose tasks end after [`TASK_TIME`], and the jobs submitted to them.
struct Load {
    harness: Harness,
    running: Vec<(Instant, u64, Start)>,
    sequence: u64,
    submitted: BTreeMap<u64, Instant>,
    ended: BTreeMap<u64, Millis>,
    first_starts: Vec<u64>,
}

impl Load {
    fn new(has_objective: bool) -> Self {
        let mut harness = Harness::with_workers(WORKERS);
        harness.step(Event::Configured(catalog(has_objective)));
        Self {
            harness,
            running: Vec::new(),
            sequence: 0,
            submitted: BTreeMap::new(),
            ended: BTreeMap::new(),
            first_starts: Vec::new(),
        }
    }

    fn submit(&mut self, id: u64, queue: &str, tasks: u16) {
        let mut last = step(tasks);
        last.after = vec![0];
        let mut new = (*job(vec![step(tasks), last])).clone();
        new.queue = queue.into();
        new.accepted = Wall(self.harness.now.0);
        self.submitted.insert(id, self.harness.now);
        self.harness.step(Event::Submitted(Job(id), Arc::new(new)));
    }

    /// Ends the tasks that are done and lets the planner place others.
    fn turn(&mut self) {
        let now = self.harness.now;
        let is_done = |(end, ..): &mut (Instant, u64, Start)| now >= *end;
        let done: Vec<_> = self.running.extract_if(.., is_done).collect();
        for (_, worker, start) in done {
            self.sequence += 1;
            self.harness.end(worker, self.sequence, &start, Exit::Done);
        }
        let workers: Vec<u64> = (0..WORKERS).collect();
        self.harness.pass(TURN, &workers);
        self.harness.commit();
        let end = self.harness.now + TASK_TIME;
        for (worker, start) in self.harness.all_starts() {
            let id = start.task.job.0;
            if !self.first_starts.contains(&id) {
                self.first_starts.push(id);
            }
            self.running.push((end, worker, start));
        }
        for decision in &self.harness.decisions {
            if let Decision::Job { job, state } = decision {
                assert_eq!(*state, State::Complete);
                let age = self.harness.now.since(self.submitted[&job.0]);
                self.ended.entry(job.0).or_insert(age);
            }
        }
    }

    /// Submits about 1.4 times the work that the workers can run, for this long. Every
    /// eighth is large. Returns the large ones.
    fn overload(&mut self, span: Millis) -> BTreeSet<u64> {
        let mut large = BTreeSet::new();
        let until = self.harness.now + span;
        let mut next = self.harness.now;
        while self.harness.now < until {
            if self.harness.now >= next {
                let id = self.submitted.len() as u64 + 1;
                let is_large = id.is_multiple_of(8);
                if is_large {
                    large.insert(id);
                }
                self.submit(id, QUEUE, if is_large { LARGE } else { SMALL });
                next = next + Millis(420);
            }
            self.turn();
        }
        large
    }

    fn finish(&mut self) {
        for _ in 0..2000 {
            if self.ended.len() == self.submitted.len() {
                return;
            }
            self.turn();
        }
    }

    fn in_time(&self) -> usize {
        let is_in_time = |age: &&Millis| **age <= OBJECTIVE;
        self.ended.values().filter(is_in_time).count()
    }
}

/// Load: about 1.4 times the room for 30 s. Guards against jobs that are all
/// late because each waits for those that are late already.
#[test]
fn more_jobs_are_in_time_than_in_the_order_of_arrival() {
    let served = [false, true].map(|has_objective| {
        let mut load = Load::new(has_objective);
        load.overload(Millis(30_000));
        load.finish();
        assert_eq!(load.ended.len(), load.submitted.len());
        load.in_time()
    });

    let [arrival, standing] = served;
    assert!(standing >= 2 * arrival, "{standing} instead of {arrival}");
}

/// Load: about 1.4 times the room for 90 s. Guards against large jobs that wait
/// for ever while smaller ones run.
#[test]
fn large_jobs_are_served_at_least_half_as_often_as_all() {
    let mut load = Load::new(true);

    let large = load.overload(Millis(90_000));

    let served = load.ended.keys().filter(|id| large.contains(id)).count();
    let share = served as f64 / large.len() as f64;
    let all = load.ended.len() as f64 / load.submitted.len() as f64;
    assert!(share >= all / 2.0, "{share} of the large, {all} of all");
}

/// Load: three times the room in urgent jobs for 10 s. Guards against work of a lower
/// priority that passes urgent work because it can still be in time.
#[test]
fn urgent_jobs_that_are_late_come_before_less_urgent_ones() {
    let mut load = Load::new(true);
    for id in 1..=60 {
        load.submit(id, QUEUE, SMALL);
    }
    for _ in 0..90 {
        load.turn();
    }
    load.submit(100, LESS_URGENT, SMALL);
    load.finish();

    assert_eq!(load.first_starts.last(), Some(&100));
    assert_eq!(load.ended.len(), 61);
}

/// Guards against a deferred job that cannot be found in the log, and against a line
/// for each pass.
#[test]
fn deferred_job_is_logged_once_for_each_standing() {
    let mut load = Load::new(true);
    for id in 1..=60 {
        load.submit(id, QUEUE, SMALL);
    }
    load.finish();

    let mut lines: BTreeMap<Job, Vec<Standing>> = BTreeMap::new();
    for decision in &load.harness.decisions {
        if let Decision::Deferred { job, standing, .. } = decision {
            lines.entry(*job).or_default().push(*standing);
        }
    }
    assert!(!lines.is_empty());
    assert!(lines
        .values()
        .all(|standings| standings.windows(2).all(|pair| pair[0] < pair[1])));
}

/// Guards against an order that depends on when the leader learned of the jobs: a new
/// leader reads them in another order.
#[test]
fn order_does_not_depend_on_the_order_of_submissions() {
    let first_starts = [false, true].map(|reverse| {
        let mut load = Load::new(true);
        load.submit(1, QUEUE, 4 * SMALL);
        load.turn();
        let mut ids: Vec<u64> = (2..30).collect();
        if reverse {
            ids.reverse();
        }
        for id in ids {
            load.submit(id, QUEUE, SMALL);
        }
        load.finish();
        load.first_starts
    });

    let [forward, backward] = first_starts;
    assert_eq!(forward, backward);
}

/// Guards against a leader that does nothing else any more: the time of each pass
/// grew with the square of the steps that a job has ready.
#[test]
fn steps_of_a_job_are_estimated_once_a_pass() {
    const STEPS: u64 = 500;
    let mut harness = Harness::with_workers(WORKERS);
    harness.step(Event::Configured(catalog(true)));
    let (passes, estimates) = (harness.planner.passes(), harness.planner.estimates());

    harness.submit(1, job((0..STEPS).map(|_| step(1)).collect()));
    harness.pass(Millis(1000), &[0, 1, 2, 3]);

    let passes = harness.planner.passes() - passes;
    let estimates = harness.planner.estimates() - estimates;
    assert!(passes > 0);
    // The count of waiting jobs, once a second, estimates them as well.
    assert!(
        estimates <= STEPS * (passes + 2),
        "{estimates} in {passes} passes"
    );
}
