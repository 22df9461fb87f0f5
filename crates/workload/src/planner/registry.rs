//! The state of jobs with their occurrences, steps and tasks, and the runs of
//! each task.

use {
    crate::{
        id::{Fence, Job, Node, Run, Task},
        job::{self, Step},
        record::State,
        run_time::Siblings,
        urgency::Standing,
    },
    filbertbend_state::{
        time::{Instant, Wall},
        unit::Millis,
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// A run of a task that has not certainly ended.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Execution {
    pub(super) node: Node,
    pub(super) run: Run,
    pub(super) since: Instant,
    /// When the worker accepted the start; unknown for a run that a former leader
    /// started.
    pub(super) accepted: Option<Acceptance>,
    /// Whether the run resumes from a checkpoint.
    pub(super) resumed: bool,
    /// Whether the worker is known to have accepted the start.
    pub(super) started: bool,
    pub(super) stopping: bool,
}

impl Execution {
    /// Returns when the run began, as far as that is known: when the worker accepted
    /// the start, or else when it was placed or found.
    pub(super) fn began(&self) -> Instant {
        self.accepted.map_or(self.since, |acceptance| acceptance.at)
    }
}

/// That a worker has accepted a start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Acceptance {
    pub(super) at: Instant,
    /// The session in which it was reported.
    pub(super) fence: Fence,
    /// How long the run was expected to take then.
    pub(super) expected: Millis,
}

/// What a step may demand of others, in the order of urgency.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Claim {
    /// A service was running and is away, so that its users notice every second
    /// until it is back.
    Displaced,
    /// Nothing of what waits was running.
    #[default]
    New,
}

/// The state of a task.
#[derive(Clone, Debug, Default)]
pub(super) struct TaskEntry {
    pub(super) done: bool,
    pub(super) failures: u32,
    pub(super) failed_run: Run,
    /// The blame for crashes of workers.
    pub(super) blame: u32,
    /// The last run that was blamed.
    pub(super) blamed_run: Run,
    /// The highest run number used so far.
    pub(super) run: Run,
    pub(super) checkpoint: Option<Arc<str>>,
    pub(super) executions: Vec<Execution>,
    /// When the task last became startable.
    pub(super) ready_since: Option<Instant>,
    /// Whether a run of the task has been at work before.
    pub(super) was_running: bool,
    /// The node on which the task last failed or was refused or starved.
    pub(super) avoid: Option<Node>,
    /// The node on which a start that was ruled out may be carried out after all, by
    /// the worker's next incarnation, and until when.
    pub(super) late_start: Option<(Node, Instant)>,
}

impl TaskEntry {
    /// Returns the node on which a start of the task may yet be carried out late.
    pub(super) fn late_start(&self, now: Instant) -> Option<&Node> {
        let (node, until) = self.late_start.as_ref()?;
        (now < *until).then_some(node)
    }

    /// Prefers other nodes for the next run, also to one with a late start: there the
    /// task would mostly fail again.
    pub(super) fn avoid(&mut self, node: &Node) {
        self.avoid = Some(node.clone());
        self.late_start = None;
    }

    /// Returns whether a run of the task may be started.
    pub(super) fn is_startable(&self) -> bool {
        !self.done && self.executions.is_empty()
    }
}

/// The state of a step in one occurrence.
#[derive(Clone, Debug)]
pub(super) struct StepEntry {
    pub(super) tasks: Vec<TaskEntry>,
    /// The run times of those that have completed in this term.
    pub(super) run_times: Siblings,
    pub(super) remaining: usize,
    pub(super) open: bool,
}

impl StepEntry {
    /// Returns what one of the tasks may demand of others. The members of a gang
    /// start together, so they share their claim.
    pub(super) fn claim(&self, step: &Step, task: &TaskEntry) -> Claim {
        let is_displaced = |task: &TaskEntry| task.was_running && task.is_startable();
        let displaced = if step.mode.gang {
            self.tasks.iter().any(is_displaced)
        } else {
            task.was_running
        };
        if step.mode.long_running && displaced {
            Claim::Displaced
        } else {
            Claim::New
        }
    }

    /// Lists the tasks that may be started with a claim, each with its index.
    pub(super) fn startable<'a>(
        &'a self,
        step: &'a Step,
        claim: Claim,
    ) -> impl Iterator<Item = (usize, &'a TaskEntry)> {
        let is_startable =
            move |task: &TaskEntry| task.is_startable() && self.claim(step, task) == claim;
        let tasks = self.tasks.iter().enumerate();
        tasks.filter(move |(_, task)| is_startable(task))
    }
}

/// The state of one occurrence of a job.
#[derive(Clone, Debug)]
pub(super) struct Occurrence {
    pub(super) steps: Vec<StepEntry>,
    /// The standing that was last logged.
    pub(super) standing: Standing,
}

/// The state of a job.
#[derive(Clone, Debug)]
pub(super) struct JobEntry {
    pub(super) job: Arc<job::Job>,
    pub(super) state: State,
    /// The state that callers see, which is durable if it is final.
    pub(super) visible: State,
    /// Incremented with each change that must become durable.
    pub(super) version: u64,
    /// The newest durable version.
    pub(super) durable_version: u64,
    pub(super) ended_at: Option<Instant>,
    pub(super) ended: Option<Wall>,
    pub(super) occurrences: BTreeMap<u32, Occurrence>,
    /// All occurrences below this one have completed.
    pub(super) completed: u32,
    /// The first occurrence that is not due yet.
    pub(super) next: u32,
}

impl Occurrence {
    pub(super) fn new(job: &job::Job) -> Self {
        let steps = job
            .steps
            .iter()
            .map(|step| StepEntry {
                tasks: vec![TaskEntry::default(); step.tasks.into()],
                run_times: Siblings::default(),
                remaining: step.tasks.into(),
                open: false,
            })
            .collect();
        Self {
            steps,
            standing: Standing::default(),
        }
    }

    fn is_complete(&self) -> bool {
        self.steps.iter().all(|step| step.remaining == 0)
    }

    fn is_step_complete(&self, step: u16) -> bool {
        let step = self.steps.get(usize::from(step));
        step.is_some_and(|step| step.remaining == 0)
    }

    /// Opens the steps whose predecessors have completed.
    fn open_steps(&mut self, job: &job::Job, now: Instant) {
        for (index, step) in job.steps.iter().enumerate() {
            let ready = !self.steps[index].open
                && step
                    .after
                    .iter()
                    .all(|earlier| self.is_step_complete(*earlier));
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

    /// Opens due occurrences and the steps whose predecessors have completed,
    /// and removes completed occurrences.
    pub(super) fn open_due(&mut self, now: Instant, wall: Wall) {
        if self.state.is_final() {
            return;
        }
        while self.next < self.job.occurrences() && self.may_open() {
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

    /// Returns whether another due occurrence may be opened. Occurrences may
    /// overlap, but those of one job have at most [`job::TASK_LIMIT`] tasks at a
    /// time, so that a schedule without pauses does not exhaust the leader.
    pub(super) fn may_open(&self) -> bool {
        let tasks = self.job.tasks() * (self.occurrences.len() + 1);
        self.occurrences.is_empty() || tasks <= job::TASK_LIMIT
    }

    /// Returns whether every occurrence has completed.
    pub(super) fn is_complete(&self) -> bool {
        self.completed >= self.job.occurrences()
    }

    /// Records that a task has started; returns whether it is the first one.
    pub(super) fn begin(&mut self) -> bool {
        let is_first = self.state == State::Queued;
        if is_first {
            self.state = State::Running;
            self.visible = State::Running;
        }
        is_first
    }

    /// Moves the job to a final state.
    pub(super) fn finish(&mut self, state: State, now: Instant, wall: Wall) {
        self.state = state;
        self.ended_at = Some(now);
        self.ended = Some(wall);
        self.version += 1;
    }

    /// Lists every step as occurrence, step index, claim and whether a task may be
    /// started with that claim.
    pub(super) fn startable(&self) -> Vec<(u32, u16, Claim, bool)> {
        let is_final = self.state.is_final();
        let mut found = Vec::new();
        for (number, occurrence) in &self.occurrences {
            let steps = occurrence.steps.iter().zip(&self.job.steps);
            for (index, (entry, step)) in steps.enumerate() {
                for claim in [Claim::Displaced, Claim::New] {
                    let startable =
                        !is_final && entry.open && entry.startable(step, claim).next().is_some();
                    found.push((*number, index as u16, claim, startable));
                }
            }
        }
        found
    }

    /// Lists all runs of the job that have not certainly ended.
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

    /// Returns whether the job has no runs.
    pub(super) fn is_idle(&self) -> bool {
        self.occurrences
            .values()
            .flat_map(|occurrence| &occurrence.steps)
            .flat_map(|step| &step.tasks)
            .all(|task| task.executions.is_empty())
    }

    /// Returns the specification of a step.
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

    /// Returns the step that a task belongs to.
    pub(super) fn step_of(&self, task: Task) -> Option<&StepEntry> {
        let occurrence = self.occurrences.get(&task.occurrence)?;
        occurrence.steps.get(usize::from(task.step))
    }

    /// Returns the step that a task belongs to.
    pub(super) fn step_of_mut(&mut self, task: Task) -> Option<&mut StepEntry> {
        let occurrence = self.occurrences.get_mut(&task.occurrence)?;
        occurrence.steps.get_mut(usize::from(task.step))
    }

    /// Lists the tasks that share an end of `task`: all tasks of the step for a
    /// gang, otherwise only the task itself.
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

    /// Recounts the incomplete tasks of the step that `task` belongs to.
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

/// All jobs that the leader knows.
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

    /// Returns the number of queued jobs of a queue, as visible to callers.
    pub(super) fn pending(&self, queue: &str) -> u64 {
        let pending =
            |entry: &&JobEntry| &*entry.job.queue == queue && entry.visible == State::Queued;
        self.jobs.values().filter(pending).count() as u64
    }

    /// Returns the number of jobs that have not ended.
    pub(super) fn live(&self) -> usize {
        self.jobs
            .values()
            .filter(|entry| !entry.state.is_final())
            .count()
    }

    /// Lists the jobs with occurrences that are not due yet.
    pub(super) fn scheduled(&self) -> Vec<Job> {
        self.jobs
            .iter()
            .filter(|(_, entry)| !entry.state.is_final() && entry.next < entry.job.occurrences())
            .map(|(id, _)| *id)
            .collect()
    }

    /// Lists the jobs that ended at least `keep` ago.
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

    pub(super) fn execution(&self, task: Task, run: Run) -> Option<&Execution> {
        self.get(task.job)?
            .task(task)?
            .executions
            .iter()
            .find(|execution| execution.run == run)
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
            let ended = |execution: &mut Execution| execution.run == run;
            for execution in entry.executions.extract_if(.., ended) {
                entry.ready_since = Some(now);
                entry.was_running |= execution.started;
            }
        }
    }
}
