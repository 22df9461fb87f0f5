//! Messages between agents, entries and the leader.

use {
    crate::{
        id::{Epoch, Fence, Incarnation, Job, Node, Run, Sequence, Task},
        interference::{Reading, Service, Weight},
        job,
        record::State,
        relay,
        worker::{End, Profile, Running},
    },
    filbertbend_state::{
        room::Room,
        unit::{Cores, Millis},
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
};

/// A message to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// An agent opens a session; always its first message.
    Agent(Node),
    /// Another entry opens a session; always its first message.
    Entry(Node),
    /// A report of an agent.
    Report(Box<Report>),
    /// A query of an entry with the identifier of the request, which the answer
    /// repeats.
    Query(u64, Query),
    /// Keeps the connection alive.
    Ping,
    /// A call of the store that an entry passes on, with the identifier of the
    /// request, which the answer repeats.
    Relay(u64, relay::Call),
}

/// A query that an entry sends to the leader for a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Query {
    /// The state of a job.
    State(Job),
    /// The number of accepted jobs of a queue that have not started.
    Pending(Arc<str>),
    /// States that no process at this address has led for this long.
    Retired(SocketAddr, Millis),
}

/// The answer to a [`Query`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The state of a job, if the leader knows it.
    State(Option<State>),
    /// The number of accepted jobs that have not started.
    Pending(u64),
    /// The leader has not loaded all jobs yet.
    NotReady,
    /// The leader has taken the statement into account.
    Noted,
}

/// A message from the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// Opens the session of an agent.
    Welcome {
        /// The leader's term.
        epoch: Epoch,
        /// The fence of all orders of this session.
        fence: Fence,
        /// The worker's last reported profile, for an agent that has just
        /// started.
        profile: Option<Profile>,
    },
    /// The peer does not lead; holds the leader's address if the peer knows it.
    NotLeader(Option<SocketAddr>),
    /// Orders to an agent.
    Orders(Orders),
    /// The answer to a query of an entry, with the request's identifier.
    Answer(u64, Reply),
    /// Keeps the connection alive.
    Pong,
    /// The outcome of a call that an entry has passed on, with the request's
    /// identifier.
    Relayed(u64, relay::Outcome),
}

/// A report of an agent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The fence of the session that the report belongs to. The leader may have
    /// opened another session meanwhile, whose fence the worker has not seen
    /// yet.
    pub fence: Fence,
    /// The worker's profile, if it has changed or was not reported in this
    /// session.
    pub profile: Option<Profile>,
    /// What the agent knows about the worker's lease, sent at the beginning of a
    /// session.
    pub lease: Option<KnownLease>,
    /// The running tasks on the worker, sent once per session after the worker
    /// has accepted the session's fence.
    pub inventory: Option<Inventory>,
    /// The outcomes of starts.
    pub outcomes: Vec<Outcome>,
    /// Ends that have not been reported in this session.
    pub ends: Vec<End>,
    /// New checkpoints.
    pub checkpoints: Vec<(Task, Run, Arc<str>)>,
    /// Best-effort tasks that have been fully throttled for long.
    pub starved: Vec<Task>,
    /// The interference weights that the agent has learned, sent once per
    /// session.
    pub weights: Vec<Weight>,
    /// The newest reading of the worker, if it is new.
    pub reading: Option<Reading>,
    /// Requests a lease; the number identifies the request.
    pub renew: Option<u64>,
    /// The number of the last probe, to show that all earlier reports of the
    /// session have been sent.
    pub probe: Option<u64>,
}

impl Report {
    /// Returns whether the report has no content.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// What an agent knows about the lease of its worker, which may not answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct KnownLease {
    /// For how long leases were granted that the agent may have passed on, by
    /// its own clock.
    pub left: Millis,
    /// How long the agent has been running. It does not know what an earlier
    /// process has passed on.
    pub age: Millis,
    /// How long ago the first list of the worker's incarnation was read, if it has
    /// begun under the name of the one before. It may have accepted a lease by the
    /// clock of that one until then.
    pub restarted: Option<Millis>,
    /// How long ago a start was sent of which it is not known which incarnation of
    /// the worker it has reached, and so by which clock its lease counts.
    pub unconfirmed_start: Option<Millis>,
    /// The runs in the worker's last list, which such a start does not concern: if
    /// the worker has restarted since, they have ended. Empty without such a
    /// start.
    pub listed: Vec<(Task, Run)>,
}

/// The running tasks on a worker at one time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Inventory {
    /// The worker's incarnation.
    pub incarnation: Incarnation,
    /// How long ago the first inventory of the incarnation was made, if it began
    /// under the name of the one that the agent knew before.
    pub restarted: Option<Millis>,
    /// How long ago the first inventory of the incarnation was made, if it may have
    /// accepted a deadline by the clock of a former one, and so hold a longer lease
    /// than was granted.
    pub foreign_lease: Option<Millis>,
    /// The running tasks.
    pub running: Vec<Running>,
    /// How the worker's former incarnation ended, if it crashed while the agent
    /// was there. Every session of the incarnation repeats it, because the
    /// leader may change before it has recorded the crash.
    pub crash: Option<Crash>,
}

/// The end of a worker's incarnation that was not announced.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Crash {
    /// The incarnation that ended.
    pub incarnation: Incarnation,
    /// The runs that it interrupted.
    pub losses: Vec<Loss>,
}

/// A run that was interrupted by a crash.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Loss {
    /// The task.
    pub task: Task,
    /// The run.
    pub run: Run,
    /// How long the run had lasted at least.
    pub lasted: Millis,
    /// Whether the worker had accepted the start. Without an answer it may not
    /// have reached the worker.
    pub certain: bool,
}

/// The outcome of a start.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// The task.
    pub task: Task,
    /// The run.
    pub run: Run,
    /// Whether the start took effect; if not, it certainly never will.
    pub status: StartStatus,
}

/// Whether a start took effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum StartStatus {
    /// The run has started, and may have ended by now.
    Started,
    /// The worker lacks resources.
    NoRoom,
    /// The worker has seen a later run of the task.
    Superseded,
    /// The worker is unhealthy.
    Unhealthy,
    /// The worker's process is gone, so that the start cannot be sent.
    Unreachable,
    /// A stop has ruled the start out.
    Withdrawn,
    /// The worker cannot parse the start.
    Invalid,
    /// The worker may start nothing at present: its lease is over or ending, it is
    /// draining, or its profile is not known to be up to date.
    Unready,
}

/// Orders of the leader to an agent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// Tasks to start.
    pub starts: Vec<Start>,
    /// The roles of runs that the agent may not have started itself.
    pub roles: Vec<(Task, Run, Role)>,
    /// Runs to stop.
    pub stops: Vec<(Task, Run)>,
    /// Ends up to this one are durable, so the worker may discard them.
    pub acknowledged: Option<Sequence>,
    /// Interference weights that the leader has learned.
    pub weights: Vec<Weight>,
    /// The granted lease: the number of the request and the duration from when
    /// it was made.
    pub lease: Option<(u64, Millis)>,
    /// Asks the agent to report this number at once.
    pub probe: Option<u64>,
}

/// The size of the starts in one message, in bytes, from which the others follow in
/// further messages. A start has at most some kilobytes, and a link refuses frames of
/// over 4 MiB.
const STARTS_LIMIT_BYTES: usize = 1 << 20;

impl Orders {
    /// Returns whether there are no orders.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Splits orders into messages that a link accepts, to be sent in this order.
    pub fn split(mut self) -> Vec<Self> {
        let mut parts = Vec::new();
        let mut size = 0;
        for start in std::mem::take(&mut self.starts) {
            size += start.size();
            self.starts.push(start);
            if size >= STARTS_LIMIT_BYTES {
                size = 0;
                // A stop may concern any of the starts, so stops come last.
                let stops = std::mem::take(&mut self.stops);
                parts.push(std::mem::take(&mut self));
                self.stops = stops;
            }
        }
        if !self.is_empty() {
            parts.push(self);
        }
        parts
    }
}

/// The order to start a task.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// The task.
    pub task: Task,
    /// The run.
    pub run: Run,
    /// The instructions for the task; opaque to the scheduler.
    pub spec: Arc<str>,
    /// The checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
    /// The role of the task.
    pub role: Role,
}

impl Start {
    /// Returns an upper bound of the encoded size, in bytes.
    fn size(&self) -> usize {
        const FIXED_BYTES: usize = 128;
        let texts = [&self.checkpoint, &self.role.image].into_iter().flatten();
        FIXED_BYTES + self.spec.len() + texts.map(|text| text.len()).sum::<usize>()
    }
}

/// What an agent knows about a task beyond its instructions: its part in the
/// interference between tasks on a worker, and its size.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Role {
    /// The image that the task runs.
    pub image: Option<Arc<str>>,
    /// The tail latency target, if the task serves users.
    pub latency_target: Option<Millis>,
    /// Whether the task is best-effort, so that it may be throttled.
    pub best_effort: bool,
    /// The cores that the task requires.
    pub cores: Cores,
    /// The resources that the task reserves.
    pub room: Room,
}

impl Role {
    /// Returns the service that the task is a replica of, if it serves users.
    pub fn service(&self, task: Task) -> Option<Service> {
        self.latency_target.map(|target| Service {
            replicas: task.into(),
            image: self.image.clone().unwrap_or_default(),
            target,
        })
    }

    /// Returns the role of the tasks of a step.
    pub fn of(step: &job::Step) -> Self {
        Self {
            image: step.image.clone(),
            latency_target: step.latency_target,
            best_effort: step.mode.best_effort,
            cores: step.room.cores,
            room: step.reserved(),
        }
    }
}
