//! Jobs, their occurrences, steps and tasks, and where each task runs.

use {
    crate::{
        id::{Job, Node, Run, Task},
        job::{self, Step},
        record::{Occurrence as StoredOccurrence, Progress, State, Unfinished},
    },
    filbertbend_state::{
        time::{Instant, Wall},
        unit::Millis,
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// One run of a task that has not certainly ended.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Execution {
    pub(super) node: Node,
    pub(super) run: Run,
    pub(super) since: Instant,
    /// Whether the worker is known to have taken it.
    pub(super) started: bool,
    pub(super) stopping: bool,
}

/// One task.
#[derive(Clone, Debug, Default)]
pub(super) struct TaskEntry {
    pub(super) done: bool,
    pub(super) failures: u32,
    pub(super) failed_run: Run,
    /// The last run that was used.
    pub(super) run: Run,
    pub(super) checkpoint: Option<Arc<str>>,
    pub(super) executions: Vec<Execution>,
    /// Since when it could have run.
    pub(super) ready_since: Option<Instant>,
    /// Where it failed last.
    pub(super) avoid: Option<Node>,
}

impl TaskEntry {
    /// Tells whether a run may be started.
    pub(super) fn is_startable(&self) -> bool {
        !self.done && self.executions.is_empty()
    }
}

/// The tasks of one step of one occurrence.
#[derive(Clone, Debug)]
pub(super) struct StepEntry {
    pub(super) tasks: Vec<TaskEntry>,
    pub(super) remaining: usize,
    pub(super) open: bool,
}

/// One occurrence of a job.
#[derive(Clone, Debug)]
pub(super) struct Occurrence {
    pub(super) steps: Vec<StepEntry>,
}

/// One job.
#[derive(Clone, Debug)]
pub(super) struct JobEntry {
    pub(super) job: Arc<job::Job>,
    pub(super) state: State,
    /// The state that callers are told.
    pub(super) visible: State,
    /// Counts changes that must be durable.
    pub(super) version: u64,
    /// The newest version that is durable.
    pub(super) durable_version: u64,
    pub(super) ended_at: Option<Instant>,
    pub(super) ended: Option<Wall>,
    pub(super) occurrences: BTreeMap<u32, Occurrence>,
    /// All occurrences below this one have completed.
    pub(super) completed: u32,
    /// The first occurrence that has not been opened.
    next: u32,
}

impl Occurrence {
    fn new(job: &job::Job) -> Self {
        let steps = job
            .steps
            .iter()
            .map(|step| StepEntry {
                tasks: vec![TaskEntry::default(); step.tasks.into()],
                remaining: step.tasks.into(),
                open: false,
            })
            .collect();
        Self { steps }
    }

    fn is_complete(&self) -> bool {
        self.steps.iter().all(|step| step.remaining == 0)
    }

    /// Opens the steps whose earlier steps have completed.
    fn open_steps(&mut self, job: &job::Job, now: Instant) {
        for (index, step) in job.steps.iter().enumerate() {
            let ready = !self.steps[index].open
                && step
                    .after
                    .iter()
                    .all(|earlier| self.steps[usize::from(*earlier)].remaining == 0);
            if ready {
                self.steps[index].open = true;
                for task in &mut self.steps[index].tasks {
                    task.ready_since = Some(now);
                }
            }
        }
    }
}

impl JobEntry {
    fn new(job: Arc<job::Job>) -> Self {
        Self {
            job,
            state: State::Queued,
            visible: State::Queued,
            version: 0,
            durable_version: 0,
            ended_at: None,
            ended: None,
            occurrences: BTreeMap::new(),
            completed: 0,
            next: 0,
        }
    }

    /// Takes over what a former leader made durable.
    pub(super) fn restore(&mut self, now: Instant, progress: &Progress) {
        self.state = progress.state;
        self.visible = progress.state;
        self.completed = progress.completed;
        self.next = progress.completed;
        self.ended = progress.ended;
        self.ended_at = progress.state.is_final().then_some(now);
        if progress.state.is_final() {
            return;
        }
        for stored in &progress.occurrences {
            let mut occurrence = Occurrence::new(&self.job);
            for (step, bits) in occurrence.steps.iter_mut().zip(&stored.done) {
                for (index, task) in step.tasks.iter_mut().enumerate() {
                    let word = bits.get(index / 64).copied().unwrap_or(0);
                    task.done = word >> (index % 64) & 1 == 1;
                }
                step.remaining = step.tasks.iter().filter(|task| !task.done).count();
            }
            for recorded in &stored.unfinished {
                let step = occurrence.steps.get_mut(usize::from(recorded.step));
                let task = step.and_then(|step| step.tasks.get_mut(usize::from(recorded.index)));
                if let Some(task) = task {
                    task.failures = recorded.failures;
                    task.failed_run = recorded.failed_run;
                    task.run = recorded.failed_run;
                    task.checkpoint.clone_from(&recorded.checkpoint);
                    for (node, run) in &recorded.runs {
                        task.run = task.run.max(*run);
                        task.executions.push(Execution {
                            node: node.clone(),
                            run: *run,
                            since: now,
                            started: true,
                            stopping: false,
                        });
                    }
                }
            }
            self.next = self.next.max(stored.number + 1);
            self.occurrences.insert(stored.number, occurrence);
        }
    }

    /// Returns what must be durable of the job.
    pub(super) fn progress(&self) -> Progress {
        let occurrences = if self.state.is_final() {
            Vec::new()
        } else {
            self.occurrences
                .iter()
                .map(|(number, occurrence)| stored_occurrence(*number, occurrence))
                .collect()
        };
        Progress {
            state: self.state,
            ended: self.ended,
            occurrences,
            completed: self.completed,
        }
    }

    /// Opens occurrences that are due and steps whose turn has come.
    pub(super) fn open_due(&mut self, now: Instant, wall: Wall) {
        if self.state.is_final() {
            return;
        }
        while self.next < self.job.occurrences() {
            let due = self
                .job
                .schedule
                .map_or(Wall(0), |schedule| schedule.due(self.next));
            if wall < due {
                break;
            }
            let occurrence = Occurrence::new(&self.job);
            self.occurrences.entry(self.next).or_insert(occurrence);
            self.next += 1;
        }
        for occurrence in self.occurrences.values_mut() {
            occurrence.open_steps(&self.job, now);
        }
        let update_remaining = |occurrence: &Occurrence| occurrence.is_complete();
        while self
            .occurrences
            .get(&self.completed)
            .is_some_and(update_remaining)
        {
            self.occurrences.remove(&self.completed);
            self.completed += 1;
        }
    }

    /// Tells whether every occurrence has completed.
    pub(super) fn is_complete(&self) -> bool {
        self.completed >= self.job.occurrences()
    }

    /// Brings the job to a final state.
    pub(super) fn finish(&mut self, state: State, now: Instant, wall: Wall) {
        self.state = state;
        self.ended_at = Some(now);
        self.ended = Some(wall);
        self.version += 1;
    }

    /// Lists every step with whether one of its tasks may be started.
    pub(super) fn startable(&self) -> Vec<(u32, u16, bool)> {
        let is_final = self.state.is_final();
        self.occurrences
            .iter()
            .flat_map(|(number, occurrence)| {
                occurrence
                    .steps
                    .iter()
                    .enumerate()
                    .map(move |(index, step)| {
                        let startable = !is_final
                            && step.open
                            && step.tasks.iter().any(TaskEntry::is_startable);
                        (*number, index as u16, startable)
                    })
            })
            .collect()
    }

    /// Lists all runs that have not certainly ended.
    pub(super) fn executions(&self, job: Job) -> Vec<(Task, Execution)> {
        let mut found = Vec::new();
        for (number, occurrence) in &self.occurrences {
            for (step, entry) in occurrence.steps.iter().enumerate() {
                for (index, task) in entry.tasks.iter().enumerate() {
                    let name = Task {
                        job,
                        occurrence: *number,
                        step: step as u16,
                        index: index as u16,
                    };
                    found.extend(
                        task.executions
                            .iter()
                            .map(|execution| (name, execution.clone())),
                    );
                }
            }
        }
        found
    }

    /// Tells whether nothing of the job runs.
    pub(super) fn is_idle(&self) -> bool {
        self.occurrences
            .values()
            .flat_map(|occurrence| &occurrence.steps)
            .flat_map(|step| &step.tasks)
            .all(|task| task.executions.is_empty())
    }

    /// Returns a step's description.
    pub(super) fn step(&self, step: u16) -> Option<&Step> {
        self.job.steps.get(usize::from(step))
    }

    /// Returns a task.
    pub(super) fn task(&self, task: Task) -> Option<&TaskEntry> {
        self.occurrences
            .get(&task.occurrence)?
            .steps
            .get(usize::from(task.step))?
            .tasks
            .get(usize::from(task.index))
    }

    /// Lists the tasks that an end of `task` concerns: all of a gang.
    pub(super) fn members(&self, task: Task, gang: bool) -> Vec<Task> {
        if !gang {
            return vec![task];
        }
        let count = self.step(task.step).map_or(0, |step| step.tasks);
        (0..count).map(|index| Task { index, ..task }).collect()
    }

    /// Returns a task.
    pub(super) fn task_mut(&mut self, task: Task) -> Option<&mut TaskEntry> {
        self.occurrences
            .get_mut(&task.occurrence)?
            .steps
            .get_mut(usize::from(task.step))?
            .tasks
            .get_mut(usize::from(task.index))
    }

    /// Notes that a task has completed.
    pub(super) fn update_remaining(&mut self, task: Task) {
        let step = self
            .occurrences
            .get_mut(&task.occurrence)
            .and_then(|occurrence| occurrence.steps.get_mut(usize::from(task.step)));
        if let Some(step) = step {
            step.remaining = step.tasks.iter().filter(|task| !task.done).count();
        }
    }
}

fn stored_occurrence(number: u32, occurrence: &Occurrence) -> StoredOccurrence {
    let mut unfinished = Vec::new();
    let mut done = Vec::new();
    for (step, entry) in occurrence.steps.iter().enumerate() {
        let mut bits = vec![0_u64; entry.tasks.len().div_ceil(64)];
        for (index, task) in entry.tasks.iter().enumerate() {
            if task.done {
                bits[index / 64] |= 1 << (index % 64);
            } else if task.failures > 0 || task.checkpoint.is_some() || !task.executions.is_empty()
            {
                unfinished.push(Unfinished {
                    step: step as u16,
                    index: index as u16,
                    failures: task.failures,
                    failed_run: task.failed_run,
                    checkpoint: task.checkpoint.clone(),
                    runs: task
                        .executions
                        .iter()
                        .map(|execution| (execution.node.clone(), execution.run))
                        .collect(),
                });
            }
        }
        done.push(bits);
    }
    StoredOccurrence {
        number,
        done,
        unfinished,
    }
}

/// All jobs of a leader.
#[derive(Debug, Default)]
pub(super) struct Registry {
    jobs: BTreeMap<Job, JobEntry>,
}

impl Registry {
    /// Adds a job; returns whether it is new.
    pub(super) fn insert(&mut self, id: Job, job: Arc<job::Job>) -> bool {
        if self.jobs.contains_key(&id) {
            return false;
        }
        self.jobs.insert(id, JobEntry::new(job));
        true
    }

    pub(super) fn get(&self, id: Job) -> Option<&JobEntry> {
        self.jobs.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: Job) -> Option<&mut JobEntry> {
        self.jobs.get_mut(&id)
    }

    pub(super) fn remove(&mut self, id: Job) {
        self.jobs.remove(&id);
    }

    pub(super) fn ids(&self) -> Vec<Job> {
        self.jobs.keys().copied().collect()
    }

    /// Returns how many jobs of a queue have not begun.
    pub(super) fn pending(&self, queue: &str) -> u64 {
        let pending =
            |entry: &&JobEntry| &*entry.job.queue == queue && entry.visible == State::Queued;
        self.jobs.values().filter(pending).count() as u64
    }

    /// Returns how many jobs have not ended.
    pub(super) fn live(&self) -> usize {
        self.jobs
            .values()
            .filter(|entry| !entry.state.is_final())
            .count()
    }

    /// Lists the jobs that wait for the time of an occurrence.
    pub(super) fn scheduled(&self) -> Vec<Job> {
        self.jobs
            .iter()
            .filter(|(_, entry)| !entry.state.is_final() && entry.next < entry.job.occurrences())
            .map(|(id, _)| *id)
            .collect()
    }

    /// Lists the jobs that ended more than `keep` ago.
    pub(super) fn expired(&self, now: Instant, keep: Millis) -> Vec<Job> {
        self.jobs
            .iter()
            .filter(|(_, entry)| entry.ended_at.is_some_and(|ended| now >= ended + keep))
            .map(|(id, _)| *id)
            .collect()
    }

    pub(super) fn task_mut(&mut self, task: Task) -> Option<&mut TaskEntry> {
        self.jobs.get_mut(&task.job)?.task_mut(task)
    }

    pub(super) fn execution_mut(&mut self, task: Task, run: Run) -> Option<&mut Execution> {
        self.task_mut(task)?
            .executions
            .iter_mut()
            .find(|execution| execution.run == run)
    }

    /// Removes a run that has certainly ended.
    pub(super) fn remove_execution(&mut self, task: Task, run: Run, now: Instant) {
        if let Some(entry) = self.task_mut(task) {
            let before = entry.executions.len();
            entry.executions.retain(|execution| execution.run != run);
            if entry.executions.len() < before {
                entry.ready_since = Some(now);
            }
        }
    }
}
