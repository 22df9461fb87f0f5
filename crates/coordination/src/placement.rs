//! Decides which worker runs a task.
//!
//! One [`Planner`] serves all slices of an entry process. Its view of the
//! workers may be a second old, so the agents make the final check. Each team
//! has a guaranteed quota. Idle capacity is lent beyond the quotas, and a team
//! below its quota reclaims capacity by evicting tasks of teams above theirs.
//! See `docs/design.md`, section 11.

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
    node::{Node, Placement},
    queue::{Group, Team},
    serde::{Deserialize, Serialize},
    size::Peaks,
    std::collections::{BTreeMap, BTreeSet},
};

/// How long after the first agent registers no job is refused as too large,
/// since larger workers may not have registered yet.
const SETTLE_TIME: Millis = Millis::from_secs(5);

/// Whether an agent takes new work.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Liveness {
    /// Its heartbeats arrive.
    #[default]
    Up,
    /// Its heartbeats are late. It gets no new work.
    Suspect,
    /// Its heartbeats have stopped.
    Down,
    /// It is shutting down or operators are draining it.
    Leaving,
}

/// A worker with the endpoint and the agent on the same instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Agent {
    /// The worker that the agent runs tasks on.
    pub worker: id::Worker,
    /// The endpoint that the agent forwards orders to.
    pub endpoint: id::Endpoint,
    /// The incarnation of the agent's process, new after each restart.
    pub incarnation: id::Incarnation,
    /// The data centre of the instance.
    pub data_centre: id::DataCentre,
    /// The rack of the instance.
    pub rack: id::Rack,
    /// The services that the endpoint answers.
    pub services: Vec<id::Service>,
    /// How many requests the endpoint handles at a time.
    pub slots: Slots,
    /// The worker's total capacity for tasks.
    pub room: Room,
}

/// A task that waits for placement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// The slice that owns the task.
    pub slice: id::Slice,
    /// The task to place.
    pub task: id::Task,
    /// The service of its job. Observed peak usage is kept per service.
    pub service: id::Service,
    /// The team whose quota it counts against.
    pub team: id::Team,
    /// The priority class.
    pub class: Class,
    /// The resources that its job declares for it.
    pub size: Room,
    /// The expected run time.
    pub run_time: Millis,
    /// The data centres where it may run; empty means all.
    pub data_centres: Vec<id::DataCentre>,
    /// Workers on which it failed. They are used only if no other is left.
    pub avoid: Vec<id::Worker>,
    /// When it began to wait.
    pub since: Instant,
}

/// A task that a former owner of its slice placed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Running {
    /// The slice that owns the task.
    pub slice: id::Slice,
    /// The placed task.
    pub task: id::Task,
    /// The worker that it was placed on.
    pub worker: id::Worker,
    /// The team whose quota it counts against.
    pub team: id::Team,
    /// The service of its job.
    pub service: id::Service,
    /// The priority class.
    pub class: Class,
    /// The resources reserved for it.
    pub size: Room,
    /// The expected run time.
    pub run_time: Millis,
}

/// The highest observed resource usage of a task of one service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Peak {
    /// The service of the task's job.
    pub service: id::Service,
    /// The highest usage of each resource.
    pub peak: Room,
}

/// The constraints on an endpoint that can take an order.
#[derive(Clone, Copy, Debug)]
pub struct Constraints<'a> {
    /// The service that the endpoint must answer.
    pub service: &'a id::Service,
    /// The data centres where the order may run; empty means all.
    pub data_centres: &'a [id::DataCentre],
}

/// A decision that the owner of the task's slice carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Start a waiting task on a worker.
    Place {
        /// The slice that owns the task.
        slice: id::Slice,
        /// The task to start.
        task: id::Task,
        /// The worker that it is placed on.
        worker: id::Worker,
        /// The incarnation of that worker's agent.
        incarnation: id::Incarnation,
        /// The resources to reserve.
        size: Room,
    },
    /// Evict a running task.
    Evict {
        /// The slice that owns the task.
        slice: id::Slice,
        /// The task to evict.
        task: id::Task,
    },
}

impl Decision {
    /// Returns the slice whose owner carries the decision out.
    pub fn slice(&self) -> id::Slice {
        match self {
            Self::Place { slice, .. } | Self::Evict { slice, .. } => *slice,
        }
    }
}

/// Settings of a [`Planner`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The data centre of the entry process, which is preferred.
    pub local: id::DataCentre,
    /// The cost of running a task in another data centre, given as the longest
    /// delay of its start that is accepted to avoid it.
    pub remote_cost: Millis,
    /// The number of slices that the entry process owns. The planner gives out
    /// the same fraction of each quota.
    pub slices_owned: u16,
    /// The total number of slices.
    pub slices: u16,
}

/// Places the batch tasks and the orders of one entry process.
#[derive(Debug)]
pub struct Planner {
    settings: Settings,
    /// The index of the local data centre in `grids`.
    local: u16,
    first_agent_at: Option<Instant>,
    data_centres: BTreeMap<id::DataCentre, u16>,
    grids: Vec<Grid>,
    nodes: Vec<Node>,
    node_by_worker: BTreeMap<id::Worker, u32>,
    /// Workers that are not in good standing and get trial tasks only.
    probationary: BTreeSet<u32>,
    /// Endpoints that operators are draining.
    drained: BTreeSet<id::Endpoint>,
    teams: Vec<Team>,
    team_by_id: BTreeMap<id::Team, u32>,
    /// The whole quota of each team, before its division by slices.
    quotas: BTreeMap<id::Team, Room>,
    groups: Vec<Group>,
    group_by_key: BTreeMap<queue::Key, u32>,
    groups_by_service: BTreeMap<id::Service, BTreeSet<u32>>,
    /// Indices in `groups` that can be reused.
    free_groups: Vec<u32>,
    waiting: BTreeMap<id::Task, (u32, queue::Arrival)>,
    /// The number of tasks enqueued so far.
    arrivals: u64,
    /// Teams with tasks that may fit on some worker, in scheduling order.
    ready_teams: BTreeSet<queue::TeamRank>,
    /// Teams with blocked groups, in scheduling order.
    blocked_teams: BTreeSet<queue::TeamRank>,
    /// The smallest sizes of the blocked groups.
    blocked_minimums: queue::Minimums,
    /// Workers that have more free capacity than when the blocked groups were
    /// tried.
    recheck: BTreeSet<u32>,
    /// Groups whose tasks fit on no worker at the moment.
    blocked: BTreeSet<u32>,
    /// Groups that wait for capacity in the local data centre, by the time
    /// until which they wait.
    deferred: BTreeSet<(Instant, u32)>,
    placements: BTreeMap<id::Task, Placement>,
    /// The expected ends of placed tasks, by data centre.
    expected_ends: BTreeSet<(u16, Instant, id::Task)>,
    /// When blocked groups were last retried, and the index to continue at.
    retried_at: Instant,
    retry_from: u32,
    /// Placed tasks on workers whose agents have not registered yet.
    unattached: BTreeMap<id::Worker, BTreeSet<id::Task>>,
    /// Teams above their quota, by the ratio of usage to quota.
    borrowers: BTreeSet<(u64, u32)>,
    /// For each task being evicted, the group that needs its resources, or
    /// `u32::MAX` if another task of the same eviction stands for the group.
    evicting: BTreeMap<id::Task, u32>,
    /// For each job, the number of its tasks placed in each rack.
    tasks_by_rack: BTreeMap<id::Job, BTreeMap<id::Rack, u32>>,
    peaks: BTreeMap<id::Service, Peaks>,
    probation: Tracker,
}

impl Planner {
    /// Creates a planner without workers.
    pub fn new(settings: Settings) -> Self {
        let mut planner = Self {
            local: 0,
            first_agent_at: None,
            data_centres: BTreeMap::new(),
            grids: Vec::new(),
            nodes: Vec::new(),
            node_by_worker: BTreeMap::new(),
            probationary: BTreeSet::new(),
            drained: BTreeSet::new(),
            teams: Vec::new(),
            team_by_id: BTreeMap::new(),
            quotas: BTreeMap::new(),
            groups: Vec::new(),
            group_by_key: BTreeMap::new(),
            groups_by_service: BTreeMap::new(),
            free_groups: Vec::new(),
            waiting: BTreeMap::new(),
            arrivals: 0,
            ready_teams: BTreeSet::new(),
            blocked_teams: BTreeSet::new(),
            blocked_minimums: queue::Minimums::default(),
            recheck: BTreeSet::new(),
            blocked: BTreeSet::new(),
            deferred: BTreeSet::new(),
            placements: BTreeMap::new(),
            expected_ends: BTreeSet::new(),
            retried_at: Instant::default(),
            retry_from: 0,
            unattached: BTreeMap::new(),
            borrowers: BTreeSet::new(),
            evicting: BTreeMap::new(),
            tasks_by_rack: BTreeMap::new(),
            peaks: BTreeMap::new(),
            probation: Tracker::default(),
            settings,
        };
        let local = planner.settings.local.clone();
        planner.local = planner.data_centre_index(&local);
        planner
    }

    /// Applies a configuration: the quotas of the teams and the drains.
    pub fn configure(&mut self, snapshot: &Snapshot) {
        self.quotas.clear();
        for service in &snapshot.services {
            let quota = self.quotas.entry(service.team.clone()).or_default();
            // If files of one team state different quotas, the largest amount
            // of each resource counts; they are not added up.
            quota.cores = quota.cores.max(service.quota.cores);
            quota.memory = quota.memory.max(service.quota.memory);
            quota.accelerators = quota.accelerators.max(service.quota.accelerators);
        }
        self.drained = snapshot.drains.iter().cloned().collect();
        self.update_quotas();
        for node in 0..self.nodes.len() as u32 {
            self.reindex(node);
        }
    }

    /// Sets the number of slices that the entry process owns.
    pub fn set_slices_owned(&mut self, owned: u16) {
        self.settings.slices_owned = owned;
        self.update_quotas();
    }

    /// Returns the number of waiting tasks.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the resources that the placed tasks of `team` use.
    pub fn used(&self, team: &id::Team) -> Room {
        self.team_by_id
            .get(team)
            .map_or(Room::NONE, |team| self.teams[*team as usize].used)
    }

    /// Returns the free capacity of `worker` by the planner's accounting.
    pub fn free(&self, worker: &id::Worker) -> Option<Room> {
        let node = *self.node_by_worker.get(worker)?;
        Some(self.nodes[node as usize].free)
    }

    /// Returns the standing of `worker`.
    pub fn standing(&self, worker: &id::Worker) -> Standing {
        self.probation.standing(worker)
    }

    /// Returns whether a task of this size exceeds the capacity of every worker
    /// where it may run.
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

    /// Records the observed peak usage of a task of `service`.
    pub fn record_peak(&mut self, service: &id::Service, peak: Room) {
        self.peaks.entry(service.clone()).or_default().record(peak);
        self.apply_observed_sizes(service);
    }

    /// Returns the resources to reserve for a task of `service` that declares
    /// `declared`.
    pub fn corrected_size(&self, service: &id::Service, declared: &Room) -> Room {
        let peaks = self.peaks.get(service);
        peaks.map_or(*declared, |peaks| peaks.corrected_size(declared))
    }

    /// Records that a task completed on `worker`.
    pub fn record_success(
        &mut self,
        _now: Instant,
        _service: &id::Service,
        task: id::Task,
        worker: &id::Worker,
    ) {
        for worker in self.probation.succeeded(task, worker) {
            self.apply_standing(&worker);
        }
    }

    /// Records that a task failed on `worker`, and decides whether its job is
    /// parked. `failed_on` holds the workers on which it failed so far.
    pub fn record_failure(
        &mut self,
        now: Instant,
        _service: &id::Service,
        task: id::Task,
        worker: &id::Worker,
        failed_on: &[id::Worker],
    ) -> FailureAction {
        let worker_count = self.nodes.len();
        let action = self
            .probation
            .failed(now, task, worker, failed_on, worker_count);
        for worker in failed_on {
            self.apply_standing(worker);
        }
        self.apply_standing(worker);
        action
    }

    /// Records that an agent refused an attempt.
    pub fn record_refusal(&mut self, worker: &id::Worker, reason: Refusal) {
        let Some(&node) = self.node_by_worker.get(worker) else {
            return;
        };
        match reason {
            // The view was stale. The next heartbeat corrects it.
            Refusal::NoRoom => self.nodes[node as usize].free = Room::NONE,
            Refusal::Leaving => self.nodes[node as usize].liveness = Liveness::Leaving,
            Refusal::Worker => {}
        }
        self.reindex(node);
    }

    /// Drops the tasks of a slice that the entry process no longer owns.
    pub fn forget_slice(&mut self, slice: id::Slice) {
        let waiting: Vec<id::Task> = self
            .waiting
            .iter()
            .filter(|(_, (group, _))| self.groups[*group as usize].slice == slice)
            .map(|(task, _)| *task)
            .collect();
        for task in waiting {
            self.dequeue(task);
        }
        let placements: Vec<id::Task> = self
            .placements
            .iter()
            .filter(|(_, placement)| placement.slice == slice)
            .map(|(task, _)| *task)
            .collect();
        for task in placements {
            self.release(task);
        }
    }
}
