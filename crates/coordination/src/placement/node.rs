//! The workers as the planner sees them, and the tasks placed on them.

use {
    super::{grid::Cell, Agent, Grid, Liveness, Planner, Route, Running},
    crate::probation::Standing,
    filbertbend_state::{
        id,
        room::Room,
        service::Class,
        time::Instant,
        unit::{Accelerators, Bytes, Cores, Slots},
    },
    std::collections::BTreeMap,
};

/// One worker.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) worker: id::Worker,
    pub(super) endpoint: id::Endpoint,
    pub(super) incarnation: id::Incarnation,
    pub(super) data_centre: u16,
    pub(super) rack: id::Rack,
    pub(super) services: Vec<id::Service>,
    pub(super) slots: Slots,
    pub(super) slots_used: Slots,
    pub(super) liveness: Liveness,
    pub(super) room: Room,
    /// What the newest heartbeat left free, without what was placed since.
    pub(super) free: Room,
    /// Placed tasks that the newest heartbeat may not account for, and whether
    /// the agent has reserved their room since.
    pub(super) unreported: BTreeMap<id::Task, (Room, bool)>,
    /// All tasks that this planner placed on it.
    pub(super) tasks: Vec<id::Task>,
    pub(super) cell: Option<Cell>,
}

/// A placed task.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) slice: id::Slice,
    pub(super) worker: id::Worker,
    /// The worker's place in the planner, once its agent is known.
    pub(super) node: Option<u32>,
    pub(super) team: u32,
    pub(super) class: Class,
    pub(super) size: Room,
    /// When it started or last completed a checkpoint.
    pub(super) progress_at: Instant,
    pub(super) expected_end: Instant,
    pub(super) spread: bool,
    /// Whether an eviction failed since the newest checkpoint.
    pub(super) unevictable: bool,
}

impl Planner {
    /// Returns the index of a data centre, which need not have workers yet.
    pub(super) fn data_centre(&mut self, name: &id::DataCentre) -> u16 {
        if let Some(index) = self.data_centres.get(name) {
            return *index;
        }
        let index = self.grids.len() as u16;
        self.data_centres.insert(name.clone(), index);
        self.grids.push(Grid::new(Room::NONE));
        index
    }

    /// Takes note of an agent that appeared or restarted.
    pub fn agent(&mut self, now: Instant, agent: Agent) {
        self.first_agent_at.get_or_insert(now);
        let data_centre = self.data_centre(&agent.data_centre);
        let index = match self.node_by_worker.get(&agent.worker) {
            Some(index) => *index,
            None => self.new_node(&agent, data_centre),
        };
        self.unindex(index);
        self.move_ends(index, data_centre);
        let node = &mut self.nodes[index as usize];
        node.endpoint = agent.endpoint;
        node.incarnation = agent.incarnation;
        node.data_centre = data_centre;
        node.rack = agent.rack;
        node.services = agent.services;
        node.slots = agent.slots;
        node.liveness = Liveness::Up;
        node.room = agent.room;
        let tasks = std::mem::take(&mut node.tasks);
        let taken: Vec<Room> = tasks
            .iter()
            .filter_map(|task| Some(self.runs.get(task)?.size))
            .collect();
        let node = &mut self.nodes[index as usize];
        node.tasks = tasks;
        node.free = taken.into_iter().fold(node.room, |free, size| free - size);
        self.rescale(data_centre, agent.room);
        for task in self.unlinked.remove(&agent.worker).unwrap_or_default() {
            if let Some(mut run) = self.runs.remove(&task) {
                run.node = Some(index);
                self.link(index, task, &run);
                self.runs.insert(task, run);
            }
        }
        self.reindex(index);
        self.wake(index);
    }

    /// Moves the expected ends of a worker's tasks to another data centre.
    fn move_ends(&mut self, index: u32, data_centre: u16) {
        let node = &self.nodes[index as usize];
        if node.data_centre == data_centre {
            return;
        }
        for task in &node.tasks {
            if let Some(run) = self.runs.get(task) {
                self.ends
                    .remove(&(node.data_centre, run.expected_end, *task));
                self.ends.insert((data_centre, run.expected_end, *task));
            }
        }
    }

    fn new_node(&mut self, agent: &Agent, data_centre: u16) -> u32 {
        let index = self.nodes.len() as u32;
        self.nodes.push(Node {
            worker: agent.worker.clone(),
            endpoint: agent.endpoint.clone(),
            incarnation: agent.incarnation,
            data_centre,
            rack: agent.rack.clone(),
            services: Vec::new(),
            slots: agent.slots,
            slots_used: Slots::ZERO,
            liveness: Liveness::Up,
            room: agent.room,
            free: agent.room,
            unreported: BTreeMap::new(),
            tasks: Vec::new(),
            cell: None,
        });
        self.node_by_worker.insert(agent.worker.clone(), index);
        index
    }

    /// Rebuilds the index of a data centre when a larger worker appears.
    fn rescale(&mut self, data_centre: u16, room: Room) {
        let old = self.grids[data_centre as usize].scale();
        let scale = Room {
            cores: Cores(old.cores.0.max(room.cores.0)),
            memory: Bytes(old.memory.0.max(room.memory.0)),
            accelerators: Accelerators(old.accelerators.0.max(room.accelerators.0)),
        };
        if scale == old {
            return;
        }
        let nodes: Vec<u32> = (0..self.nodes.len() as u32)
            .filter(|node| self.nodes[*node as usize].data_centre == data_centre)
            .collect();
        for node in &nodes {
            self.unindex(*node);
        }
        self.grids[data_centre as usize] = Grid::new(scale);
        for node in nodes {
            self.reindex(node);
        }
    }

    /// Takes note of a heartbeat.
    pub fn load(&mut self, worker: &id::Worker, free: Room, slots_used: Slots, leaving: bool) {
        let Some(&index) = self.node_by_worker.get(worker) else {
            return;
        };
        let node = &mut self.nodes[index as usize];
        node.unreported.retain(|_, (_, reserved)| !*reserved);
        let unreported: Room = node
            .unreported
            .values()
            .fold(Room::NONE, |sum, (size, _)| sum + *size);
        node.free = free - unreported;
        node.slots_used = slots_used;
        node.liveness = if leaving {
            Liveness::Leaving
        } else {
            Liveness::Up
        };
        self.reindex(index);
        self.wake(index);
    }

    /// Takes note that an agent is suspect, down, leaving or up again.
    pub fn set_liveness(&mut self, worker: &id::Worker, liveness: Liveness) {
        let Some(&index) = self.node_by_worker.get(worker) else {
            return;
        };
        self.nodes[index as usize].liveness = liveness;
        self.reindex(index);
        self.wake(index);
    }

    /// Tells whether a worker takes tasks of any kind.
    pub(super) fn takes_work(&self, node: &Node) -> bool {
        node.liveness == Liveness::Up && !self.drained.contains(&node.endpoint)
    }

    fn unindex(&mut self, index: u32) {
        let node = &mut self.nodes[index as usize];
        if let Some(cell) = node.cell.take() {
            self.grids[node.data_centre as usize].remove(cell, index);
        }
    }

    /// Puts a worker where the index expects it, or takes it out if it gets no
    /// new work.
    pub(super) fn reindex(&mut self, index: u32) {
        let node = &self.nodes[index as usize];
        let good = self.ledger.standing(&node.worker) == Standing::Good;
        let takes_work = self.takes_work(node);
        if good || !takes_work {
            self.limited.remove(&index);
        } else {
            self.limited.insert(index);
        }
        let grid = &mut self.grids[node.data_centre as usize];
        let cell = (good && takes_work).then(|| grid.cell(&node.free));
        let node = &mut self.nodes[index as usize];
        if node.cell == cell {
            return;
        }
        if let Some(cell) = node.cell {
            grid.remove(cell, index);
        }
        if let Some(cell) = cell {
            grid.insert(cell, index);
        }
        node.cell = cell;
    }

    /// Puts a worker's standing into effect.
    pub(super) fn restanding(&mut self, worker: &id::Worker) {
        if let Some(&index) = self.node_by_worker.get(worker) {
            self.reindex(index);
            self.wake(index);
        }
    }

    /// Takes note of a task that a former owner of its slice placed.
    pub fn running(&mut self, now: Instant, running: Running) {
        let team = self.team(&running.team);
        let run = Run {
            slice: running.slice,
            node: self.node_by_worker.get(&running.worker).copied(),
            worker: running.worker,
            team,
            class: running.class,
            size: running.size,
            progress_at: now,
            expected_end: now + running.run_time,
            spread: false,
            unevictable: false,
        };
        self.insert_run(running.task, run);
    }

    /// Takes the room of a placed task off its worker.
    fn link(&mut self, index: u32, task: id::Task, run: &Run) {
        let node = &mut self.nodes[index as usize];
        node.free -= run.size;
        node.unreported.insert(task, (run.size, false));
        node.tasks.push(task);
        self.ends.insert((node.data_centre, run.expected_end, task));
        self.reindex(index);
    }

    /// Accounts for a placed task.
    pub(super) fn insert_run(&mut self, task: id::Task, run: Run) {
        match run.node {
            Some(node) => self.link(node, task, &run),
            None => {
                let tasks = self.unlinked.entry(run.worker.clone()).or_default();
                tasks.insert(task);
            }
        }
        self.use_room(run.team, run.size);
        if run.class != Class::Urgent {
            let team = &mut self.teams[run.team as usize];
            team.victims.insert((run.progress_at, task));
        }
        self.runs.insert(task, run);
    }

    /// Takes note that the agent has reserved the room of a placed task.
    pub fn claimed(&mut self, _now: Instant, task: id::Task) {
        let Some(index) = self.runs.get(&task).and_then(|run| run.node) else {
            return;
        };
        if let Some(unreported) = self.nodes[index as usize].unreported.get_mut(&task) {
            unreported.1 = true;
        }
    }

    /// Takes note that a checkpoint of a placed task is durable.
    pub fn checkpointed(&mut self, now: Instant, task: id::Task) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        let victims = &mut self.teams[run.team as usize].victims;
        if victims.remove(&(run.progress_at, task)) {
            victims.insert((now, task));
        }
        run.progress_at = now;
        run.unevictable = false;
    }

    /// Takes note that a placed task no longer takes room.
    pub fn vacated(&mut self, task: id::Task) {
        if let Some(shape) = self.evicting.remove(&task) {
            self.reclaimed(shape);
        }
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        self.teams[run.team as usize]
            .victims
            .remove(&(run.progress_at, task));
        self.return_room(run.team, run.size);
        self.ledger.removed(&run.worker, task);
        let Some(index) = run.node else {
            if let Some(tasks) = self.unlinked.get_mut(&run.worker) {
                tasks.remove(&task);
            }
            return;
        };
        let node = &mut self.nodes[index as usize];
        node.tasks.retain(|found| *found != task);
        self.ends
            .remove(&(node.data_centre, run.expected_end, task));
        node.unreported.remove(&task);
        let free = node.free + run.size;
        node.free = Room {
            cores: free.cores.min(node.room.cores),
            memory: free.memory.min(node.room.memory),
            accelerators: free.accelerators.min(node.room.accelerators),
        };
        if run.spread {
            let rack = node.rack.clone();
            self.unspread(task.job, &rack);
        }
        self.reindex(index);
        self.wake(index);
    }

    fn unspread(&mut self, job: id::Job, rack: &id::Rack) {
        let Some(racks) = self.spread.get_mut(&job) else {
            return;
        };
        if let Some(count) = racks.get_mut(rack) {
            *count -= 1;
            if *count == 0 {
                racks.remove(rack);
            }
        }
        if racks.is_empty() {
            self.spread.remove(&job);
        }
    }

    /// Returns the endpoint for an order: local if there is one, the least
    /// loaded among several.
    pub fn endpoint(&self, route: &Route<'_>) -> Option<(id::Worker, id::Incarnation)> {
        let allowed = |node: &&Node| {
            let mut names = route.data_centres.iter();
            let data_centre = route.data_centres.is_empty()
                || names.any(|name| self.data_centres.get(name) == Some(&node.data_centre));
            data_centre
                && self.takes_work(node)
                && node.services.contains(route.service)
                && node.slots_used < node.slots
        };
        let load = |node: &&Node| {
            let remote = node.data_centre != self.local;
            (remote, node.slots_used.0 * 1000 / node.slots.0.max(1))
        };
        let node = self.nodes.iter().filter(allowed).min_by_key(load)?;
        Some((node.worker.clone(), node.incarnation))
    }

    /// Counts an order that was placed, until the next heartbeat does.
    pub fn order_placed(&mut self, worker: &id::Worker) {
        if let Some(&index) = self.node_by_worker.get(worker) {
            self.nodes[index as usize].slots_used += Slots(1);
        }
    }
}
