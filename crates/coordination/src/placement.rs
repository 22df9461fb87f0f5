//! Decides which worker takes a task.
//!
//! One [`Planner`] serves all slices of an entry process. It works on a view of
//! the workers that may be a second old; the agents make the final check. Teams
//! have guaranteed shares, idle room is lent beyond them, and a team below its
//! guarantee gets room back by the eviction of a borrower's task. See
//! `docs/design.md`, section 11.

mod decide;
mod grid;
mod node;
mod queue;
mod reclaim;
mod size;

use {
    crate::{
        attempt::Refusal,
        probation::{FailureAction, Standing, Tracker},
    },
    filbertbend_state::{
        config::Snapshot,
        id,
        room::Room,
        service::Class,
        time::Instant,
        unit::{Millis, Slots},
    },
    grid::Grid,
    node::{Node, Run},
    queue::{Shape, Team},
    serde::{Deserialize, Serialize},
    size::Peaks,
    std::collections::{BTreeMap, BTreeSet},
};

/// How long after the first agent a job may be refused as too large. Before,
/// the larger workers may not have announced themselves yet.
const SETTLE_TIME: Millis = Millis::from_secs(5);

/// Whether an agent takes new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Liveness {
    /// Its heartbeats arrive.
    #[default]
    Up,
    /// Its heartbeats are late; it gets no new work.
    Suspect,
    /// Its heartbeats have stopped.
    Down,
    /// It is leaving or operators are draining it.
    Leaving,
}

/// A worker and the endpoint and agent beside it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Agent {
    /// The worker.
    pub worker: id::Worker,
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// The life of the agent's process.
    pub incarnation: id::Incarnation,
    /// The data centre.
    pub data_centre: id::DataCentre,
    /// The rack.
    pub rack: id::Rack,
    /// The services that the endpoint answers.
    pub services: Vec<id::Service>,
    /// The endpoint's request slots.
    pub slots: Slots,
    /// The worker's room for tasks.
    pub room: Room,
}

/// A task that waits for a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// The slice that owns the task.
    pub slice: id::Slice,
    /// The task.
    pub task: id::Task,
    /// The service, which names the kind of load.
    pub service: id::Service,
    /// The team that it counts against.
    pub team: id::Team,
    /// How urgent it is.
    pub class: Class,
    /// The declared size.
    pub size: Room,
    /// How long it is expected to run.
    pub run_time: Millis,
    /// Where it may run; empty means everywhere.
    pub data_centres: Vec<id::DataCentre>,
    /// Workers on which it failed, used again only if there are no others.
    pub avoid: Vec<id::Worker>,
    /// Since when it waits.
    pub since: Instant,
}

/// A task that was placed before, by a former owner of its slice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Running {
    /// The slice that owns the task.
    pub slice: id::Slice,
    /// The task.
    pub task: id::Task,
    /// Where it was placed.
    pub worker: id::Worker,
    /// The team that it counts against.
    pub team: id::Team,
    /// The service.
    pub service: id::Service,
    /// How urgent it is.
    pub class: Class,
    /// The room that it takes.
    pub size: Room,
    /// How long it is expected to run.
    pub run_time: Millis,
}

/// The highest use that tasks of a service were seen to make.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Peak {
    /// The service.
    pub service: id::Service,
    /// The highest use of each resource.
    pub peak: Room,
}

/// What an order needs of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Route<'a> {
    /// The service.
    pub service: &'a id::Service,
    /// Where it may run; empty means everywhere.
    pub data_centres: &'a [id::DataCentre],
}

/// A decision, for the owner of the task's slice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Place a waiting task.
    Place {
        /// The slice that owns the task.
        slice: id::Slice,
        /// The task.
        task: id::Task,
        /// The worker.
        worker: id::Worker,
        /// The life of its agent.
        incarnation: id::Incarnation,
        /// The room to reserve.
        size: Room,
    },
    /// Evict a running task.
    Evict {
        /// The slice that owns the task.
        slice: id::Slice,
        /// The task.
        task: id::Task,
    },
}

impl Decision {
    /// Returns the slice whose owner the decision is for.
    pub fn slice(&self) -> id::Slice {
        match self {
            Self::Place { slice, .. } | Self::Evict { slice, .. } => *slice,
        }
    }
}

/// What a planner is set up with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The data centre of the entry process, which is preferred.
    pub local: id::DataCentre,
    /// What running in another data centre costs, as the delay of the start
    /// that is accepted to avoid it.
    pub remote_cost: Millis,
    /// The part of each guarantee that this planner gives out: the slices that
    /// its entry process owns out of all.
    pub slices_owned: u16,
    /// The number of slices.
    pub slices: u16,
}

/// The planner of one entry process.
#[derive(Debug)]
pub struct Planner {
    settings: Settings,
    local: u16,
    first_agent_at: Option<Instant>,
    data_centres: BTreeMap<id::DataCentre, u16>,
    grids: Vec<Grid>,
    nodes: Vec<Node>,
    node_by_worker: BTreeMap<id::Worker, u32>,
    /// Workers not in good standing, which get trial tasks only.
    limited: BTreeSet<u32>,
    drained: BTreeSet<id::Endpoint>,
    teams: Vec<Team>,
    team_by_id: BTreeMap<id::Team, u32>,
    quotas: BTreeMap<id::Team, Room>,
    shapes: Vec<Shape>,
    shape_by_key: BTreeMap<queue::Key, u32>,
    shapes_by_service: BTreeMap<id::Service, BTreeSet<u32>>,
    /// Indices of shapes that are no longer used.
    free_shapes: Vec<u32>,
    waiting: BTreeMap<id::Task, (u32, queue::Place)>,
    arrivals: u64,
    /// Teams with tasks that may fit somewhere, in the order of decisions.
    order: BTreeSet<queue::Turn>,
    /// Teams with blocked shapes, in the same order.
    blocked_order: BTreeSet<queue::Turn>,
    smallest: queue::Smallest,
    /// Workers that have more room than when the blocked shapes were tried.
    raised: BTreeSet<u32>,
    /// Shapes whose tasks fit nowhere at the moment.
    blocked: BTreeSet<u32>,
    /// Shapes that wait for room in the local data centre, and until when.
    deferred: BTreeSet<(Instant, u32)>,
    runs: BTreeMap<id::Task, Run>,
    /// When placed tasks are expected to end, by data centre.
    ends: BTreeSet<(u16, Instant, id::Task)>,
    /// When blocked shapes were last tried again, and which one is next.
    retried_at: Instant,
    retry_next: u32,
    /// Placed tasks on workers that no agent has announced yet.
    unlinked: BTreeMap<id::Worker, BTreeSet<id::Task>>,
    /// Teams beyond their guarantee, the furthest beyond first.
    borrowers: BTreeSet<(u64, u32)>,
    /// For each task being evicted, the shape that the room is for.
    evicting: BTreeMap<id::Task, u32>,
    /// For each job with several tasks, the tasks placed in each rack.
    spread: BTreeMap<id::Job, BTreeMap<id::Rack, u32>>,
    peaks: BTreeMap<id::Service, Peaks>,
    ledger: Tracker,
}

impl Planner {
    /// Makes a planner that knows no worker.
    pub fn new(settings: Settings) -> Self {
        let mut planner = Self {
            local: 0,
            first_agent_at: None,
            data_centres: BTreeMap::new(),
            grids: Vec::new(),
            nodes: Vec::new(),
            node_by_worker: BTreeMap::new(),
            limited: BTreeSet::new(),
            drained: BTreeSet::new(),
            teams: Vec::new(),
            team_by_id: BTreeMap::new(),
            quotas: BTreeMap::new(),
            shapes: Vec::new(),
            shape_by_key: BTreeMap::new(),
            shapes_by_service: BTreeMap::new(),
            free_shapes: Vec::new(),
            waiting: BTreeMap::new(),
            arrivals: 0,
            order: BTreeSet::new(),
            blocked_order: BTreeSet::new(),
            smallest: queue::Smallest::default(),
            raised: BTreeSet::new(),
            blocked: BTreeSet::new(),
            deferred: BTreeSet::new(),
            runs: BTreeMap::new(),
            ends: BTreeSet::new(),
            retried_at: Instant::default(),
            retry_next: 0,
            unlinked: BTreeMap::new(),
            borrowers: BTreeSet::new(),
            evicting: BTreeMap::new(),
            spread: BTreeMap::new(),
            peaks: BTreeMap::new(),
            ledger: Tracker::default(),
            settings,
        };
        let local = planner.settings.local.clone();
        planner.local = planner.data_centre(&local);
        planner
    }

    /// Puts a configuration in force: the teams' guarantees and the drains.
    pub fn configure(&mut self, snapshot: &Snapshot) {
        self.quotas.clear();
        for service in &snapshot.services {
            let quota = self.quotas.entry(service.team.clone()).or_default();
            // Files of one team that state different guarantees add nothing.
            quota.cores = quota.cores.max(service.quota.cores);
            quota.memory = quota.memory.max(service.quota.memory);
            quota.accelerators = quota.accelerators.max(service.quota.accelerators);
        }
        self.drained = snapshot.drains.iter().cloned().collect();
        self.requote();
        for node in 0..self.nodes.len() as u32 {
            self.reindex(node);
        }
    }

    /// Takes note of how many slices the entry process owns.
    pub fn set_slices_owned(&mut self, owned: u16) {
        self.settings.slices_owned = owned;
        self.requote();
    }

    /// Returns the number of tasks that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the room that `team`'s placed tasks take.
    pub fn used(&self, team: &id::Team) -> Room {
        self.team_by_id
            .get(team)
            .map_or(Room::NONE, |team| self.teams[*team as usize].used)
    }

    /// Returns the room that is believed to be free on `worker`.
    pub fn free(&self, worker: &id::Worker) -> Option<Room> {
        let node = *self.node_by_worker.get(worker)?;
        Some(self.nodes[node as usize].free)
    }

    /// Returns how far `worker` is trusted.
    pub fn standing(&self, worker: &id::Worker) -> Standing {
        self.ledger.standing(worker)
    }

    /// Tells whether a job is larger than every worker where it may run.
    pub fn is_too_large(&self, now: Instant, size: &Room, data_centres: &[id::DataCentre]) -> bool {
        let settled = self
            .first_agent_at
            .is_some_and(|at| now.since(at) >= SETTLE_TIME);
        let allowed: Vec<u16> = data_centres
            .iter()
            .filter_map(|name| self.data_centres.get(name).copied())
            .collect();
        let anywhere = data_centres.is_empty();
        let fits =
            |node: &Node| (anywhere || allowed.contains(&node.data_centre)) && node.room.fits(size);
        settled && !self.nodes.iter().any(fits)
    }

    /// Takes note of what a task of `service` was observed to use.
    pub fn observe(&mut self, service: &id::Service, peak: Room) {
        self.peaks.entry(service.clone()).or_default().observe(peak);
        self.resize(service);
    }

    /// Returns the room that a task of `service` gets if it declares `declared`.
    pub fn corrected(&self, service: &id::Service, declared: &Room) -> Room {
        let peaks = self.peaks.get(service);
        peaks.map_or(*declared, |peaks| peaks.corrected(declared))
    }

    /// Takes note that a task completed on `worker`.
    pub fn succeeded(
        &mut self,
        _now: Instant,
        _service: &id::Service,
        task: id::Task,
        worker: &id::Worker,
    ) {
        for worker in self.ledger.succeeded(task, worker) {
            self.restanding(&worker);
        }
    }

    /// Takes note that a task failed on `worker`, and decides whether its job
    /// is parked. `failed_on` are the workers on which it failed so far.
    pub fn failed(
        &mut self,
        now: Instant,
        _service: &id::Service,
        task: id::Task,
        worker: &id::Worker,
        failed_on: &[id::Worker],
    ) -> FailureAction {
        let fleet = self.nodes.len();
        let verdict = self.ledger.failed(now, task, worker, failed_on, fleet);
        for worker in failed_on {
            self.restanding(worker);
        }
        self.restanding(worker);
        verdict
    }

    /// Takes note that an agent refused an attempt.
    pub fn refused(&mut self, worker: &id::Worker, reason: Refusal) {
        let Some(&node) = self.node_by_worker.get(worker) else {
            return;
        };
        match reason {
            // The view was too old; the next heartbeat tells what is free.
            Refusal::NoRoom => self.nodes[node as usize].free = Room::NONE,
            Refusal::Leaving => self.nodes[node as usize].liveness = Liveness::Leaving,
            Refusal::Worker => {}
        }
        self.reindex(node);
    }

    /// Forgets the tasks of a slice that the entry process has lost.
    pub fn forget_slice(&mut self, slice: id::Slice) {
        let waiting: Vec<id::Task> = self
            .waiting
            .iter()
            .filter(|(_, (shape, _))| self.shapes[*shape as usize].slice == slice)
            .map(|(task, _)| *task)
            .collect();
        for task in waiting {
            self.dequeue(task);
        }
        let runs: Vec<id::Task> = self
            .runs
            .iter()
            .filter(|(_, run)| run.slice == slice)
            .map(|(task, _)| *task)
            .collect();
        for task in runs {
            self.vacated(task);
        }
    }
}
