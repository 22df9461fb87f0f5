//! Decisions of the planner, for the log.

use {
    crate::{
        id::{Fence, Incarnation, Job, Node, Run, Task},
        message::{KnownLease, StartStatus},
        record::State,
        run_time::Timing,
        urgency::{Outlook, Standing},
        worker::Exit,
    },
    filbertbend_state::{room::Room, unit::Millis},
    std::sync::Arc,
};

/// A decision with its grounds.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A task was placed.
    Placed {
        /// The task.
        task: Task,
        /// The run.
        run: Run,
        /// The node of the worker's agent.
        node: Node,
        /// How long the task was startable before.
        waited: Millis,
        /// Whether it resumes from a checkpoint.
        resumed: bool,
    },
    /// A run was ordered to stop.
    Stopped {
        /// The task.
        task: Task,
        /// The run.
        run: Run,
        /// The node of the worker's agent.
        node: Node,
        /// Why it was stopped or removed.
        reason: Reason,
    },
    /// A run has ended.
    Ended {
        /// The task.
        task: Task,
        /// The run.
        run: Run,
        /// The node of the worker's agent.
        node: Node,
        /// How it ended.
        exit: Exit,
        /// The task's failures so far.
        failures: u32,
        /// How long it took, if that is known of a whole task that completed.
        timing: Option<Timing>,
    },
    /// A start was not carried out, so its run was removed.
    Refused {
        /// The task.
        task: Task,
        /// The run.
        run: Run,
        /// The node of the worker's agent.
        node: Node,
        /// What the agent reported.
        status: StartStatus,
        /// Whether the leader had ordered the run to stop.
        stopping: bool,
        /// For how long the worker gets no such starts.
        pause: Millis,
    },
    /// A run was removed although the worker reported no end.
    Lost {
        /// The task.
        task: Task,
        /// The run.
        run: Run,
        /// The node of the worker's agent.
        node: Node,
        /// Why it was stopped or removed.
        reason: Reason,
        /// The time since the last report of the worker.
        silent: Millis,
    },
    /// The lease of a worker seems to have expired, so its agent is asked whether
    /// all of its reports have been read.
    Probed {
        /// The node of the worker's agent.
        node: Node,
        /// The time since the last report of the worker.
        silent: Millis,
    },
    /// An agent has reported what it knows about the lease of a worker with runs
    /// that has not answered it in this session.
    LeaseKnown {
        /// The agent's node.
        node: Node,
        /// What the agent knows.
        known: KnownLease,
        /// After which time the leader gives the runs up.
        wait: Millis,
    },
    /// A data centre was evacuated, or tasks may be started there again.
    Evacuation {
        /// The data centre.
        data_centre: Arc<str>,
        /// Whether it is evacuated from now on.
        evacuated: bool,
        /// The number of its workers.
        workers: usize,
        /// The number of runs on these, including starts that are then withdrawn.
        runs: usize,
    },
    /// A job has changed its state.
    Job {
        /// The job.
        job: Job,
        /// The state.
        state: State,
    },
    /// A worker's inventory was processed, so that it can be used.
    Joined {
        /// Its agent's node.
        node: Node,
        /// The worker's incarnation.
        incarnation: Incarnation,
        /// The session's fence.
        fence: Fence,
        /// How many runs of former leaders were adopted.
        adopted: usize,
        /// For how long it gets no tasks, because it may hold a lease by the clock
        /// of a former incarnation.
        withheld: Millis,
    },
    /// What the planner waits for, repeated once a second.
    Waiting(Backlog),
    /// An agent has reported that its worker crashed.
    Crashed {
        /// Its agent's node.
        node: Node,
        /// The incarnation that ended.
        incarnation: Incarnation,
        /// How many runs the crash interrupted.
        runs: usize,
    },
    /// A task was blamed for the crash of its worker.
    Blamed {
        /// The task.
        task: Task,
        /// The run.
        run: Run,
        /// The node of the worker's agent.
        node: Node,
        /// How long the run had lasted at least.
        lasted: Millis,
        /// The task's blame so far.
        blame: u32,
    },
    /// A waiting job cannot be in time, so those that can come before it.
    Deferred {
        /// The job.
        job: Job,
        /// The occurrence.
        occurrence: u32,
        /// Its priority, which comes before its standing.
        priority: u8,
        /// How it stands to its objective.
        standing: Standing,
        /// What is known about it.
        outlook: Outlook,
    },
    /// A job is failed because a task crashes the workers that start it.
    GivenUp {
        /// The task.
        task: Task,
        /// The run.
        run: Run,
        /// The node of the last worker that it crashed.
        node: Node,
    },
}

/// The jobs with objectives that wait for room, by standing.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Waiting {
    /// Those that can be in time.
    pub in_time: usize,
    /// Those that will be late.
    pub late: usize,
    /// Those that end too late to be of use.
    pub overdue: usize,
}

/// What the planner waits for, so that a task that does not start can be
/// explained.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Backlog {
    /// The most urgent task that has waited for long although it may start.
    pub blocked: Option<Blocked>,
    /// The jobs that wait for room.
    pub jobs: Waiting,
    /// The long-running tasks that may start, which callers expect to be running.
    pub waiting_services: usize,
    /// The longest wait among these.
    pub longest_wait: Millis,
    /// The workers that are held for tasks that need much room.
    pub held_workers: usize,
    /// The runs of former leaders on workers that have not reported in this
    /// term.
    pub awaited_runs: usize,
    /// The workers whose expired leases are not acted on yet, because the
    /// leader is behind.
    pub overdue_workers: usize,
    /// For how long the first of these leases has been expired.
    pub overdue: Millis,
}

/// A task that may start but finds no worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Blocked {
    /// The task.
    pub task: Task,
    /// How long it has waited.
    pub waited: Millis,
    /// The resources that it requires.
    pub required: Room,
    /// The worker with the most free cores of those that the task may run on, and
    /// its free resources.
    pub freest: Option<(Node, Room)>,
}

/// Why a run is stopped or removed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The job has ended or is unknown.
    NotWanted,
    /// Another run of the task has completed or is newer.
    Duplicate,
    /// More urgent work needs the resources.
    Preempted,
    /// The worker is draining.
    Draining,
    /// The worker's data centre is evacuated, and the run is not known to have
    /// begun.
    Evacuated,
    /// The run makes no progress.
    Stalled,
    /// A best-effort task interferes with a service although it is fully
    /// throttled.
    #[strum(serialize = "crowding")]
    Interference,
    /// The worker has restarted.
    #[strum(serialize = "reborn")]
    WorkerRestarted,
    /// The worker's lease has expired.
    LeasePassed,
    /// The worker's room has shrunk, so that the start no longer fits.
    WorkerShrunk,
    /// Another member of the gang was withdrawn or refused.
    GangIncomplete,
    /// The worker's inventory does not contain the run.
    Missing,
}
