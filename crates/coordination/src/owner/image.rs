//! The durable state of one slice, built from its records.

use {
    super::record::{customer_bucket, job_bucket, Record, Stored, Termination, BUCKETS},
    crate::{
        attempt::Attempt,
        job::{Phase, Spec, Trial},
    },
    filbertbend_state::{id, outcome::Reason, room::Room, time::Wall},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// Maximum number of trials kept per job; the oldest are dropped.
const TRIALS_LIMIT: usize = 64;

/// Maximum number of workers kept in `failed_on` per task.
const FAILED_ON_LIMIT: usize = 16;

/// Where the current attempt of a task was placed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Current {
    /// The worker that the attempt was placed on.
    pub worker: id::Worker,
    /// The incarnation of the worker's agent when the attempt was placed.
    pub incarnation: id::Incarnation,
    /// The resources reserved for it.
    pub size: Room,
}

/// The durable state of one task.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Task {
    /// The number of the newest attempt; 0 before the first.
    pub attempt: id::Attempt,
    /// Where that attempt was placed; `None` once it has ended.
    pub current: Option<Current>,
    /// The newest complete checkpoint, from which the next attempt resumes.
    pub checkpoint: Option<id::Checkpoint>,
    /// The output, once an attempt has completed.
    pub output: Option<Stored>,
    /// The workers on which an attempt failed, without duplicates.
    pub failed_on: Vec<id::Worker>,
    /// The number of failed attempts.
    pub failures: u32,
}

/// How a job ended.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// The final phase.
    pub phase: Phase,
    /// The reason, if the job was refused or parked.
    pub reason: Option<Reason>,
    /// The time of the end by the owner's wall clock.
    pub at: Wall,
}

/// The durable state of one job or order.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// The submitted specification, with its body moved to `body`.
    pub spec: Arc<Spec>,
    /// The input; emptied when the job ends.
    pub body: Arc<[u8]>,
    /// A hash of the input, which identifies repeated submissions.
    pub digest: u64,
    /// The time of acceptance by the owner's wall clock.
    pub accepted_at: Wall,
    /// The tasks, by index.
    pub tasks: Vec<Task>,
    /// How the job ended; `None` while it is open.
    pub end: Option<End>,
    /// The newest placements for `explain`, oldest first.
    pub trials: Vec<Trial>,
}

impl Job {
    /// Returns whether every task has an output.
    pub fn is_complete(&self) -> bool {
        self.tasks.iter().all(|task| task.output.is_some())
    }
}

/// One bucket of the state, the unit of encoding and compaction.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
struct Bucket {
    jobs: BTreeMap<id::Job, Job>,
    customers: BTreeMap<id::Customer, u64>,
}

/// The durable state of one slice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Image {
    buckets: [Bucket; BUCKETS],
}

impl Default for Image {
    fn default() -> Self {
        Self {
            buckets: std::array::from_fn(|_| Bucket::default()),
        }
    }
}

impl Image {
    /// Returns the index of the bucket that `record` changes, below [`BUCKETS`].
    pub fn bucket(record: &Record) -> usize {
        record.bucket()
    }

    /// Encodes one bucket.
    ///
    /// # Errors
    ///
    /// Returns the encoder's error. A bucket that is empty or does not exist
    /// is encoded as no bytes.
    pub fn encode(&self, bucket: usize) -> Result<Vec<u8>, postcard::Error> {
        match self.buckets.get(bucket) {
            Some(found) if *found != Bucket::default() => postcard::to_stdvec(found),
            _ => Ok(Vec::new()),
        }
    }

    /// Replaces one bucket with a decoded one. No bytes decode to an empty bucket.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error and leaves the image unchanged.
    pub fn decode(&mut self, bucket: usize, bytes: &[u8]) -> Result<(), postcard::Error> {
        let decoded = if bytes.is_empty() {
            Bucket::default()
        } else {
            postcard::from_bytes(bytes)?
        };
        if let Some(found) = self.buckets.get_mut(bucket) {
            *found = decoded;
        }
        Ok(())
    }

    /// Returns the job, unless it is unknown or past its retention.
    pub fn job(&self, job: id::Job) -> Option<&Job> {
        self.buckets[job_bucket(job)].jobs.get(&job)
    }

    /// Returns the task, unless its job is unknown or past its retention.
    pub fn task(&self, task: id::Task) -> Option<&Task> {
        self.job(task.job)?.tasks.get(task.index as usize)
    }

    /// Returns the placement of `attempt` if it is the task's current attempt.
    pub fn current(&self, attempt: Attempt) -> Option<&Current> {
        self.task(attempt.task)
            .filter(|task| task.attempt == attempt.number)?
            .current
            .as_ref()
    }

    /// Returns the sequence number of the customer's next order, starting at 1.
    pub fn next_sequence(&self, customer: &id::Customer) -> u64 {
        self.buckets[customer_bucket(customer)]
            .customers
            .get(customer)
            .copied()
            .unwrap_or(1)
    }

    /// Iterates over all jobs that have not been forgotten.
    pub fn jobs(&self) -> impl Iterator<Item = (id::Job, &Job)> {
        self.buckets
            .iter()
            .flat_map(|bucket| bucket.jobs.iter())
            .map(|(id, job)| (*id, job))
    }

    /// Applies one durable record. A record of an attempt that is not current has
    /// no effect, so a late one cannot affect a newer attempt.
    pub fn apply(&mut self, record: &Record) {
        let bucket = &mut self.buckets[record.bucket()];
        match record {
            Record::Submitted {
                spec,
                body,
                digest,
                at,
            } => {
                bucket
                    .jobs
                    .entry(spec.id)
                    .or_insert_with(|| submitted(spec, body, *digest, *at));
            }
            Record::Placed {
                attempt,
                worker,
                incarnation,
                size,
            } => {
                if let Some(job) = bucket.jobs.get_mut(&attempt.task.job) {
                    let current = Current {
                        worker: worker.clone(),
                        incarnation: *incarnation,
                        size: *size,
                    };
                    place(job, *attempt, current);
                }
            }
            Record::Checkpointed { attempt, number } => {
                if let Some(job) = bucket.jobs.get_mut(&attempt.task.job) {
                    checkpoint(job, *attempt, Some(*number));
                }
            }
            Record::Ended {
                attempt,
                termination,
                checkpoint: number,
            } => {
                if let Some(job) = bucket.jobs.get_mut(&attempt.task.job) {
                    checkpoint(job, *attempt, *number);
                    end(job, *attempt, termination);
                }
            }
            Record::Completed { attempt, output } => {
                if let Some(job) = bucket.jobs.get_mut(&attempt.task.job) {
                    complete(job, *attempt, output);
                }
            }
            Record::Advanced { customer, next } => {
                let found = bucket.customers.entry(customer.clone()).or_insert(1);
                *found = (*found).max(*next);
            }
            Record::Closed {
                job,
                phase,
                reason,
                at,
            } => {
                if let Some(job) = bucket.jobs.get_mut(job) {
                    job.body = Arc::from([]);
                    job.end.get_or_insert(End {
                        phase: *phase,
                        reason: *reason,
                        at: *at,
                    });
                }
            }
            Record::Forgotten { job } => {
                bucket.jobs.remove(job);
            }
        }
    }
}

fn submitted(spec: &Arc<Spec>, body: &Arc<[u8]>, digest: u64, at: Wall) -> Job {
    Job {
        spec: Arc::clone(spec),
        body: Arc::clone(body),
        digest,
        accepted_at: at,
        tasks: vec![Task::default(); spec.tasks as usize],
        end: None,
        trials: Vec::new(),
    }
}

fn place(job: &mut Job, attempt: Attempt, current: Current) {
    let Some(task) = job.tasks.get_mut(attempt.task.index as usize) else {
        return;
    };
    if attempt.number <= task.attempt {
        return;
    }
    if job.trials.len() == TRIALS_LIMIT {
        job.trials.remove(0);
    }
    job.trials.push(Trial {
        index: attempt.task.index,
        number: attempt.number,
        worker: current.worker.clone(),
        state: "placed".into(),
    });
    task.attempt = attempt.number;
    task.current = Some(current);
}

/// Returns the task if `attempt` is its current attempt.
fn current_task(job: &mut Job, attempt: Attempt) -> Option<&mut Task> {
    job.tasks
        .get_mut(attempt.task.index as usize)
        .filter(|task| task.attempt == attempt.number && task.current.is_some())
}

fn checkpoint(job: &mut Job, attempt: Attempt, number: Option<id::Checkpoint>) {
    if let Some(task) = current_task(job, attempt) {
        task.checkpoint = task.checkpoint.max(number);
    }
}

fn end(job: &mut Job, attempt: Attempt, termination: &Termination) {
    let Some(task) = current_task(job, attempt) else {
        return;
    };
    if let Some(current) = task.current.take() {
        let failed = matches!(termination, Termination::Failed(_));
        task.failures += u32::from(failed);
        let known = task.failed_on.contains(&current.worker);
        if failed && !known && task.failed_on.len() < FAILED_ON_LIMIT {
            task.failed_on.push(current.worker);
        }
    }
    describe(job, attempt, termination.describe());
}

fn complete(job: &mut Job, attempt: Attempt, output: &Stored) {
    let Some(task) = current_task(job, attempt) else {
        return;
    };
    task.current = None;
    task.output = Some(output.clone());
    describe(job, attempt, "completed".into());
}

fn describe(job: &mut Job, attempt: Attempt, state: Arc<str>) {
    let found = job
        .trials
        .iter_mut()
        .rev()
        .find(|trial| trial.index == attempt.task.index && trial.number == attempt.number);
    if let Some(trial) = found {
        trial.state = state;
    }
}
