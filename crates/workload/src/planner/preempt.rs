//! Preemption of less urgent tasks.

use {
    super::{
        pass::{Offer, Pass},
        worker::{Reservation, Worker},
        Action, Planner, Rank, Reason,
    },
    crate::id::{Node, Run, Task},
    filbertbend_state::room::Room,
};

impl Planner {
    /// Preempts less urgent tasks on the worker where the fewest must be
    /// stopped to fit a task of `rank`. Tasks that are already being stopped
    /// count as free, so nothing more is stopped while they end.
    pub(super) fn preempt(&mut self, rank: Rank, pass: &mut Pass, actions: &mut Vec<Action>) {
        let Some(task) = self.first_startable(rank) else {
            return;
        };
        let Some(requirements) = self.requirements(task, pass) else {
            return;
        };
        if requirements.step.mode.best_effort {
            return;
        }
        let need = requirements.step.reserved();
        let preempting = Some(rank.priority);
        if pass.is_excluded(&requirements, preempting, |offer| offer.room.fits(&need)) {
            return;
        }
        let mut best: Option<(Vec<(Task, Run)>, Node)> = None;
        for (node, worker) in self.fleet.iter() {
            self.count_examined(1);
            if !self.is_feasible(&requirements, node, worker) {
                continue;
            }
            let Some(victims) = self.victims(worker, need, rank.priority) else {
                continue;
            };
            if victims.is_empty() {
                return;
            }
            if best
                .as_ref()
                .is_none_or(|(known, _)| victims.len() < known.len())
            {
                best = Some((victims, node.clone()));
            }
        }
        let Some((victims, node)) = best else {
            self.bound(&requirements, preempting, pass, |worker| Offer {
                room: reclaimable(worker, rank.priority),
                idle_cores: 0.0,
            });
            return;
        };
        for (victim, run) in victims {
            self.stop(victim, run, &node, Reason::Preempted, actions);
        }
        // A stop releases the resources of a start that has not been sent.
        pass.released();
    }

    /// Returns the less urgent tasks that must be stopped on a worker to free
    /// `need`, or `None` if that is not enough. Tasks that are already being
    /// stopped count as free and are not returned.
    fn victims(&self, worker: &Worker, need: Room, priority: u8) -> Option<Vec<(Task, Run)>> {
        if !reclaimable(worker, priority).fits(&need) {
            return None;
        }
        let mut free = worker.free();
        let mut victims = Vec::new();
        let mut candidates: Vec<_> = preemptible(worker, priority).collect();
        candidates.sort_by_key(|(_, reservation)| std::cmp::Reverse(reservation.room.memory));
        for ((task, run), reservation) in candidates {
            if free.fits(&need) {
                break;
            }
            let entry = self
                .registry
                .get(task.job)
                .and_then(|entry| entry.task(*task));
            let stopping = entry.is_some_and(|entry| {
                entry
                    .executions
                    .iter()
                    .any(|execution| execution.run == *run && execution.stopping)
            });
            free += reservation.room;
            if !stopping {
                victims.push((*task, *run));
            }
        }
        free.fits(&need).then_some(victims)
    }
}

/// Lists the reservations that a task of a priority may preempt.
fn preemptible(
    worker: &Worker,
    priority: u8,
) -> impl Iterator<Item = (&(Task, Run), &Reservation)> {
    worker.reservations.iter().filter(move |(_, reservation)| {
        reservation.priority > priority && reservation.service.is_none()
    })
}

/// Returns the resources that are free once everything less urgent has ended.
fn reclaimable(worker: &Worker, priority: u8) -> Room {
    preemptible(worker, priority).fold(worker.free(), |room, (_, reservation)| {
        room + reservation.room
    })
}
