//! When room becomes free on workers, as far as the estimates of tasks tell.

use {
    super::{pass::Pass, place::Requirements, worker::Worker, Planner},
    crate::id::{Node, Run, Task},
    filbertbend_state::{room::Room, unit::Millis},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
    },
};

/// What ends by itself on a worker, the earliest first: how long it still takes,
/// and its room.
pub(super) type Drain = Vec<(Millis, Room)>;

/// Room that will be free on a worker.
#[derive(Clone, Debug)]
pub(super) struct Prospect {
    pub(super) node: Node,
    /// How long that takes.
    pub(super) wait: Millis,
    /// The tasks that have room there, including those of earlier prospects on
    /// this worker.
    pub(super) tasks: usize,
}

impl Planner {
    /// Lists where `wanted` tasks of a step will have room, the earliest first.
    /// `is_open` tells whether a worker may be used for a task after this wait.
    pub(super) fn prospects(
        &self,
        requirements: &Requirements<'_>,
        wanted: usize,
        pass: &mut Pass,
        mut is_open: impl FnMut(&Node, &Worker, Millis) -> bool,
    ) -> Vec<Prospect> {
        let drains = pass.drains.get_or_insert_with(|| self.drains());
        let need = requirements.step.reserved();
        let most = requirements.step.placement.most_per_worker;
        let wait_for = |node: &Node, worker: &Worker, tasks: usize| {
            let siblings = requirements.siblings_on(node);
            if most.is_some_and(|most| siblings + tasks > usize::from(most)) {
                return None;
            }
            let room = (0..tasks).fold(Room::NONE, |room, _| room + need);
            wait_for_room(worker, drains.get(node)?, room)
        };
        self.count_examined(self.fleet.len());
        let mut queue: BinaryHeap<_> = self
            .fleet
            .iter()
            .filter(|(node, worker)| {
                let is_held = worker
                    .hold
                    .is_some_and(|hold| hold.rank() <= requirements.rank);
                !is_held && self.is_feasible(requirements, node, worker)
            })
            .filter_map(|(node, worker)| Some(Reverse((wait_for(node, worker, 1)?, 1, node))))
            .collect();
        let mut chosen = Vec::new();
        while chosen.len() < wanted {
            let Some(Reverse((wait, tasks, node))) = queue.pop() else {
                break;
            };
            let Some(worker) = self.fleet.get(node) else {
                continue;
            };
            if !is_open(node, worker, wait) {
                continue;
            }
            chosen.push(Prospect {
                node: node.clone(),
                wait,
                tasks,
            });
            if let Some(next) = wait_for(node, worker, tasks + 1) {
                queue.push(Reverse((next, tasks + 1, node)));
            }
        }
        chosen
    }

    /// Estimates when the tasks end on each worker that end by themselves.
    fn drains(&self) -> BTreeMap<Node, Drain> {
        self.count_examined(self.fleet.len());
        self.fleet
            .iter()
            .map(|(node, worker)| {
                let mut drain: Drain = worker
                    .reservations
                    .iter()
                    .filter_map(|((task, run), reservation)| {
                        Some((self.remaining(*task, *run)?, reservation.room))
                    })
                    .collect();
                drain.sort_unstable_by_key(|(wait, _)| *wait);
                (node.clone(), drain)
            })
            .collect()
    }

    /// Estimates when a run ends; returns `None` if it does not end by itself.
    fn remaining(&self, task: Task, run: Run) -> Option<Millis> {
        let entry = self.registry.get(task.job)?;
        let step = entry.step(task.step)?;
        let state = entry.step_of(task)?;
        let executions = &state.tasks.get(usize::from(task.index))?.executions;
        let execution = executions.iter().find(|execution| execution.run == run)?;
        if execution.stopping {
            return Some(Millis::ZERO);
        }
        if step.mode.long_running {
            return None;
        }
        let lasted = self.now.since(execution.began());
        let queue = &entry.job.queue;
        let left = self
            .run_times
            .remaining_beside(queue, step, &state.run_times, lasted);
        Some(left)
    }
}

/// Returns how long it takes until a worker has this much room, or `None` if what
/// ends by itself is not enough.
fn wait_for_room(worker: &Worker, drain: &Drain, room: Room) -> Option<Millis> {
    let mut used = worker.used;
    if worker.fits_beside(used, room) {
        return Some(Millis::ZERO);
    }
    for (wait, ending) in drain {
        used -= *ending;
        if worker.fits_beside(used, room) {
            return Some(*wait);
        }
    }
    None
}
