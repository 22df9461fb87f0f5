//! What agents, entries and the leader say to each other.

use {
    crate::{
        id::{Epoch, Fence, Incarnation, Job, Node, Run, Sequence, Task},
        interference::{Reading, Service, Weight},
        job,
        record::State,
        worker::{End, Profile, Running},
    },
    filbertbend_state::unit::{Cores, Millis},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
};

/// To the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// An agent opens a session; always its first message.
    Agent(Node),
    /// Another entry opens a session; always its first message.
    Entry(Node),
    /// From an agent.
    Report(Box<Report>),
    /// From an entry, answered with the same ticket.
    Query(u64, Query),
    /// Nothing but a sign of life.
    Ping,
}

/// What an entry asks the leader for a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Query {
    /// The state of a job.
    State(Job),
    /// How many accepted jobs of a queue have not begun.
    Pending(Arc<str>),
}

/// The answer to a [`Question`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The state of a job, if the leader knows it.
    State(Option<State>),
    /// How many jobs have not begun.
    Pending(u64),
    /// The leader has not read everything back yet.
    NotReady,
}

/// From the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// The session is open.
    Welcome {
        /// The leader's term.
        epoch: Epoch,
        /// The fence of every order of this session.
        fence: Fence,
        /// The worker as it was last reported, for an agent that has just
        /// started.
        profile: Option<Profile>,
    },
    /// The peer does not lead; it knows this leader.
    NotLeader(Option<SocketAddr>),
    /// To an agent.
    Orders(Orders),
    /// To an entry.
    Answer(u64, Reply),
    /// Nothing but a sign of life.
    Pong,
}

/// What an agent reports.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The fence of the session that it belongs to. The leader may have opened
    /// another one meanwhile, whose fence the worker has not taken yet.
    pub fence: Fence,
    /// The worker, if it has changed or this is the first report.
    pub profile: Option<Profile>,
    /// Everything that runs and has ended, once a session after the worker has
    /// taken the session's fence.
    pub inventory: Option<Inventory>,
    /// What became of starts.
    pub outcomes: Vec<Outcome>,
    /// Ends that have not been reported in this session.
    pub ends: Vec<End>,
    /// New checkpoints.
    pub checkpoints: Vec<(Task, Run, Arc<str>)>,
    /// Fillers that have been held back entirely for long.
    pub starved: Vec<Task>,
    /// What has been learned about interference, once a session.
    pub weights: Vec<Weight>,
    /// The newest figures of the worker.
    pub reading: Option<Reading>,
    /// Asks for a lease; the number names the request.
    pub renew: Option<u64>,
}

impl Report {
    /// Tells whether the report says nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Everything on a worker at one moment of a session.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Inventory {
    /// The life of the worker.
    pub incarnation: Incarnation,
    /// What runs.
    pub running: Vec<Running>,
}

/// What became of a start.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// The task.
    pub task: Task,
    /// The run.
    pub run: Run,
    /// Whether it runs; if not, it certainly never will.
    pub status: StartStatus,
}

/// Whether a start took effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum StartStatus {
    /// It runs, or has ended by now.
    Started,
    /// The worker has no room for it.
    NoRoom,
    /// The worker has seen a later run of it.
    Superseded,
    /// The worker is not well.
    Unhealthy,
    /// The order came too late, or was withdrawn.
    Withdrawn,
    /// The worker cannot read the order.
    Invalid,
}

/// What the leader orders.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// Tasks to start.
    pub starts: Vec<Start>,
    /// How runs that the agent did not start itself concern their neighbours.
    pub roles: Vec<(Task, Run, Role)>,
    /// Runs to stop.
    pub stops: Vec<(Task, Run)>,
    /// Ends up to this one are durable and may be forgotten.
    pub acknowledged: Option<Sequence>,
    /// What the leader has learned about interference.
    pub weights: Vec<Weight>,
    /// The lease that was asked for: the request and the time from then on.
    pub lease: Option<(u64, Millis)>,
}

impl Orders {
    /// Tells whether nothing is ordered.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// The order to start a task.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// The task.
    pub task: Task,
    /// The run.
    pub run: Run,
    /// What the task is told to do.
    pub spec: Arc<str>,
    /// The checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
    /// How the task concerns its neighbours.
    pub role: Role,
}

/// How a task concerns its neighbours on a worker.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Role {
    /// What it runs.
    pub image: Option<Arc<str>>,
    /// Its highest tail latency, if it serves users.
    pub latency_target: Option<Millis>,
    /// Whether it may be slowed down for the others.
    pub best_effort: bool,
    /// The cores that it asks for.
    pub cores: Cores,
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

    /// Returns how the tasks of a step concern their neighbours.
    pub fn of(step: &job::Step) -> Self {
        Self {
            image: step.image.clone(),
            latency_target: step.latency_target,
            best_effort: step.mode.best_effort,
            cores: step.room.cores,
        }
    }
}
