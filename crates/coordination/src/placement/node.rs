//! The planner's records of the workers and of the tasks placed on them.

use {
    super::{grid::Cell, Agent, Constraints, Grid, Liveness, Planner, Running},
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

/// A worker with the state that the planner knows of it.
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
    /// The free capacity by the newest heartbeat, less what was placed since.
    pub(super) free: Room,
    /// Placed tasks that the newest heartbeat may not account for: their sizes,
    /// and whether the agent has reserved their resources since.
    pub(super) unreported: BTreeMap<id::Task, (Room, bool)>,
    /// All placed tasks of this planner's slices on it.
    pub(super) tasks: Vec<id::Task>,
    pub(super) cell: Option<Cell>,
}

/// A placed task and the resources that it holds.
#[derive(Clone, Debug)]
pub(super) struct Placement {
    pub(super) slice: id::Slice,
    pub(super) worker: id::Worker,
    /// The index of the worker's node, once its agent has registered.
    pub(super) node: Option<u32>,
    pub(super) team: u32,
    pub(super) class: Class,
    pub(super) size: Room,
    /// When it was placed or last completed a checkpoint.
    pub(super) progress_at: Instant,
    pub(super) expected_end: Instant,
    /// Whether `tasks_by_rack` counts it.
    pub(super) counted_by_rack: bool,
    /// Whether an eviction has failed since the newest checkpoint.
    pub(super) unevictable: bool,
}

impl Planner {
    /// Returns the index of a data centre, and adds it if it is new.
    pub(super) fn data_centre_index(&mut self, name: &id::DataCentre) -> u16 {
        if let Some(index) = self.data_centres.get(name) {
            return *index;
        }
        let index = self.grids.len() as u16;
        self.data_centres.insert(name.clone(), index);
        self.grids.push(Grid::new(Room::NONE));
        index
    }

    /// Registers an agent that has connected for the first time or after a
    /// restart.
    pub fn register_agent(&mut self, now: Instant, agent: Agent) {
        self.first_agent_at.get_or_insert(now);
        let data_centre = self.data_centre_index(&agent.data_centre);
        let index = match self.node_by_worker.get(&agent.worker) {
            Some(index) => *index,
            None => self.new_node(&agent, data_centre),
        };
        self.unindex(index);
        self.move_expected_ends(index, data_centre);
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
        let reserved: Vec<Room> = tasks
            .iter()
            .filter_map(|task| Some(self.placements.get(task)?.size))
            .collect();
        let node = &mut self.nodes[index as usize];
        node.tasks = tasks;
        node.free = reserved
            .into_iter()
            .fold(node.room, |free, size| free - size);
        self.extend_scale(data_centre, agent.room);
        for task in self.unattached.remove(&agent.worker).unwrap_or_default() {
            if let Some(mut placement) = self.placements.remove(&task) {
                placement.node = Some(index);
                self.attach(index, task, &placement);
                self.placements.insert(task, placement);
            }
        }
        self.reindex(index);
        self.queue_recheck(index);
    }

    /// Moves the expected ends of a worker's tasks after a change of its data
    /// centre.
    fn move_expected_ends(&mut self, index: u32, data_centre: u16) {
        let node = &self.nodes[index as usize];
        if node.data_centre == data_centre {
            return;
        }
        for task in &node.tasks {
            if let Some(placement) = self.placements.get(task) {
                self.expected_ends
                    .remove(&(node.data_centre, placement.expected_end, *task));
                self.expected_ends
                    .insert((data_centre, placement.expected_end, *task));
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

    /// Rebuilds the index of a data centre if a worker exceeds its scale.
    fn extend_scale(&mut self, data_centre: u16, room: Room) {
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

    /// Records the load that a heartbeat reports.
    pub fn record_heartbeat(
        &mut self,
        worker: &id::Worker,
        free: Room,
        slots_used: Slots,
        leaving: bool,
    ) {
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
        self.queue_recheck(index);
    }

    /// Sets whether an agent is up, suspect, down or leaving.
    pub fn set_liveness(&mut self, worker: &id::Worker, liveness: Liveness) {
        let Some(&index) = self.node_by_worker.get(worker) else {
            return;
        };
        self.nodes[index as usize].liveness = liveness;
        self.reindex(index);
        self.queue_recheck(index);
    }

    /// Returns whether a worker accepts new work of any kind.
    pub(super) fn accepts_work(&self, node: &Node) -> bool {
        node.liveness == Liveness::Up && !self.drained.contains(&node.endpoint)
    }

    fn unindex(&mut self, index: u32) {
        let node = &mut self.nodes[index as usize];
        if let Some(cell) = node.cell.take() {
            self.grids[node.data_centre as usize].remove(cell, index);
        }
    }

    /// Moves a worker to its current cell of the index, or removes it if it
    /// gets no new work or only trial tasks.
    pub(super) fn reindex(&mut self, index: u32) {
        let node = &self.nodes[index as usize];
        let good = self.probation.standing(&node.worker) == Standing::Good;
        let accepts_work = self.accepts_work(node);
        if good || !accepts_work {
            self.probationary.remove(&index);
        } else {
            self.probationary.insert(index);
        }
        let grid = &mut self.grids[node.data_centre as usize];
        let cell = (good && accepts_work).then(|| grid.cell(&node.free));
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

    /// Updates the index after a change of a worker's standing.
    pub(super) fn apply_standing(&mut self, worker: &id::Worker) {
        if let Some(&index) = self.node_by_worker.get(worker) {
            self.reindex(index);
            self.queue_recheck(index);
        }
    }

    /// Restores a task that a former owner of its slice placed.
    pub fn restore_task(&mut self, now: Instant, running: Running) {
        let team = self.team_index(&running.team);
        let placement = Placement {
            slice: running.slice,
            node: self.node_by_worker.get(&running.worker).copied(),
            worker: running.worker,
            team,
            class: running.class,
            size: running.size,
            progress_at: now,
            expected_end: now + running.run_time,
            counted_by_rack: false,
            unevictable: false,
        };
        self.insert_placement(running.task, placement);
    }

    /// Subtracts the resources of a placed task from its worker.
    fn attach(&mut self, index: u32, task: id::Task, placement: &Placement) {
        let node = &mut self.nodes[index as usize];
        node.free -= placement.size;
        node.unreported.insert(task, (placement.size, false));
        node.tasks.push(task);
        self.expected_ends
            .insert((node.data_centre, placement.expected_end, task));
        self.reindex(index);
    }

    /// Adds a placed task to the accounts of its worker and its team.
    pub(super) fn insert_placement(&mut self, task: id::Task, placement: Placement) {
        match placement.node {
            Some(node) => self.attach(node, task, &placement),
            None => {
                let tasks = self.unattached.entry(placement.worker.clone()).or_default();
                tasks.insert(task);
            }
        }
        self.add_usage(placement.team, placement.size);
        if placement.class != Class::Urgent {
            let team = &mut self.teams[placement.team as usize];
            team.victims.insert((placement.progress_at, task));
        }
        self.placements.insert(task, placement);
    }

    /// Records that the agent has reserved the resources of a placed task.
    pub fn record_claim(&mut self, _now: Instant, task: id::Task) {
        let Some(index) = self
            .placements
            .get(&task)
            .and_then(|placement| placement.node)
        else {
            return;
        };
        if let Some(unreported) = self.nodes[index as usize].unreported.get_mut(&task) {
            unreported.1 = true;
        }
    }

    /// Records that a checkpoint of a placed task is durable.
    pub fn record_checkpoint(&mut self, now: Instant, task: id::Task) {
        let Some(placement) = self.placements.get_mut(&task) else {
            return;
        };
        let victims = &mut self.teams[placement.team as usize].victims;
        if victims.remove(&(placement.progress_at, task)) {
            victims.insert((now, task));
        }
        placement.progress_at = now;
        placement.unevictable = false;
    }

    /// Releases the resources of a placed task that has ended.
    pub fn release(&mut self, task: id::Task) {
        if let Some(group) = self.evicting.remove(&task) {
            self.finish_eviction(group);
        }
        let Some(placement) = self.placements.remove(&task) else {
            return;
        };
        self.teams[placement.team as usize]
            .victims
            .remove(&(placement.progress_at, task));
        self.subtract_usage(placement.team, placement.size);
        self.probation.removed(&placement.worker, task);
        let Some(index) = placement.node else {
            if let Some(tasks) = self.unattached.get_mut(&placement.worker) {
                tasks.remove(&task);
            }
            return;
        };
        let node = &mut self.nodes[index as usize];
        node.tasks.retain(|found| *found != task);
        self.expected_ends
            .remove(&(node.data_centre, placement.expected_end, task));
        node.unreported.remove(&task);
        let free = node.free + placement.size;
        node.free = Room {
            cores: free.cores.min(node.room.cores),
            memory: free.memory.min(node.room.memory),
            accelerators: free.accelerators.min(node.room.accelerators),
        };
        if placement.counted_by_rack {
            let rack = node.rack.clone();
            self.decrement_rack(task.job, &rack);
        }
        self.reindex(index);
        self.queue_recheck(index);
    }

    fn decrement_rack(&mut self, job: id::Job, rack: &id::Rack) {
        let Some(racks) = self.tasks_by_rack.get_mut(&job) else {
            return;
        };
        if let Some(count) = racks.get_mut(rack) {
            *count -= 1;
            if *count == 0 {
                racks.remove(rack);
            }
        }
        if racks.is_empty() {
            self.tasks_by_rack.remove(&job);
        }
    }

    /// Selects the endpoint for an order: the least loaded one, in the local
    /// data centre if it has any.
    pub fn select_endpoint(
        &self,
        constraints: &Constraints<'_>,
    ) -> Option<(id::Worker, id::Incarnation)> {
        let allowed = |node: &&Node| {
            let mut names = constraints.data_centres.iter();
            let data_centre = constraints.data_centres.is_empty()
                || names.any(|name| self.data_centres.get(name) == Some(&node.data_centre));
            data_centre
                && self.accepts_work(node)
                && node.services.contains(constraints.service)
                && node.slots_used < node.slots
        };
        let load = |node: &&Node| {
            let remote = node.data_centre != self.local;
            (remote, node.slots_used.0 * 1000 / node.slots.0.max(1))
        };
        let node = self.nodes.iter().filter(allowed).min_by_key(load)?;
        Some((node.worker.clone(), node.incarnation))
    }

    /// Reserves a slot for an order until the next heartbeat accounts for it.
    pub fn reserve_slot(&mut self, worker: &id::Worker) {
        if let Some(&index) = self.node_by_worker.get(worker) {
            self.nodes[index as usize].slots_used += Slots(1);
        }
    }
}
