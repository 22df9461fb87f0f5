//! Preemption of less urgent tasks.

use {
    super::{
        pass::{Offer, Pass},
        worker::{Reservation, Worker},
        Action, Planner, Rank, Reason,
    },
    crate::id::{Node, Run, Task},
    filbertbend_state::room::Room,
    std::collections::BTreeSet,
};

impl Planner {
    /// Preempts less urgent tasks on the worker where the fewest must be
    /// stopped to fit a task of `rank`. Tasks that are already being stopped
    /// count as free, so nothing more is stopped while they end. Returns the
    /// worker if the task fits there at once.
    pub(super) fn preempt(
        &mut self,
        rank: Rank,
        pass: &mut Pass,
        actions: &mut Vec<Action>,
    ) -> Option<Node> {
        let task = self.startable(rank).next()?;
        let requirements = self.requirements(task, pass)?;
        if requirements.step.mode.best_effort {
            return None;
        }
        let is_gang = requirements.step.mode.gang;
        let need = requirements.step.reserved();
        let preempting = Some(rank.priority);
        if pass.is_excluded(&requirements, preempting, |offer| offer.room.fits(&need)) {
            return None;
        }
        let mut best: Option<(Vec<(Task, Run)>, Node)> = None;
        for (node, worker) in self.fleet.iter() {
            self.count_examined(1);
            if !self.is_feasible(&requirements, node, worker) {
                continue;
            }
            let Some(victims) = self.victims(worker, need, rank.priority, is_gang) else {
                continue;
            };
            if victims.is_empty() {
                return None;
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
            return None;
        };
        for (victim, run) in victims {
            self.stop(victim, run, &node, Reason::Preempted, actions);
        }
        // A stop releases the resources of a start that has not been sent.
        pass.released();
        let worker = self.fleet.get(&node)?;
        worker.fits(need).then_some(node)
    }

    /// Returns the less urgent tasks that must be stopped on a worker to free
    /// `need`, or `None` if that is not enough.
    ///
    /// Starts that have not been sent are withdrawn only if that suffices, since
    /// their room is free at once and others would take it, and not for one
    /// member of a gang.
    fn victims(
        &self,
        worker: &Worker,
        need: Room,
        priority: u8,
        is_gang: bool,
    ) -> Option<Vec<(Task, Run)>> {
        if !reclaimable(worker, priority).fits(&need) {
            return None;
        }
        let unsent: BTreeSet<(Task, Run)> = worker
            .pending_starts
            .iter()
            .map(|(start, _)| (start.task, start.run))
            .collect();
        let (withdrawable, sent): (Vec<_>, Vec<_>) =
            preemptible(worker, priority).partition(|(key, _)| unsent.contains(key));
        Some(withdrawable)
            .filter(|_| !is_gang)
            .and_then(|candidates| self.choose(worker, need, candidates))
            .or_else(|| self.choose(worker, need, sent))
    }

    /// Chooses the candidates that must be stopped to free `need`, those with
    /// the most memory first, or returns `None` if all are not enough. Those
    /// that are already being stopped count as free and are not returned.
    fn choose(
        &self,
        worker: &Worker,
        need: Room,
        mut candidates: Vec<(&(Task, Run), &Reservation)>,
    ) -> Option<Vec<(Task, Run)>> {
        let mut used = worker.used;
        let mut victims = Vec::new();
        candidates.sort_by_key(|(_, reservation)| std::cmp::Reverse(reservation.room.memory));
        for ((task, run), reservation) in candidates {
            if worker.fits_beside(used, need) {
                break;
            }
            // A run that no task counts as its own was stopped when it was found.
            let stopping = self
                .registry
                .execution(*task, *run)
                .is_none_or(|execution| execution.stopping);
            used -= reservation.room;
            if !stopping {
                victims.push((*task, *run));
            }
        }
        worker.fits_beside(used, need).then_some(victims)
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
    let whole = worker.profile.as_ref().map(|profile| profile.room);
    let remaining = preemptible(worker, priority).fold(worker.used, |used, (_, reservation)| {
        used - reservation.room
    });
    whole.unwrap_or(Room::NONE) - remaining
}
