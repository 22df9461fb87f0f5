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
    /// count as free, so nothing more is stopped while they end. Returns the
    /// worker if the task fits there at once.
    pub(super) fn preempt(
        &mut self,
        rank: Rank,
        pass: &mut Pass,
        actions: &mut Vec<Action>,
    ) -> Option<Node> {
        let task = self.first_startable(rank)?;
        let requirements = self.requirements(task, pass)?;
        if requirements.step.mode.best_effort {
            return None;
        }
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
            let Some(victims) = self.victims(worker, need, rank.priority) else {
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
    /// their room is free at once and others would take it.
    fn victims(&self, worker: &Worker, need: Room, priority: u8) -> Option<Vec<(Task, Run)>> {
        if !reclaimable(worker, priority).fits(&need) {
            return None;
        }
        let unsent = worker.unsent();
        let (withdrawable, sent): (Vec<_>, Vec<_>) =
            preemptible(worker, priority).partition(|(key, _)| unsent.contains(key));
        let choice = self
            .choose(worker, worker.used, need, withdrawable)
            .or_else(|| self.choose(worker, worker.used, need, sent))?;
        Some(choice.victims)
    }

    /// Chooses which of the candidates must end to free `need` beside runs that
    /// use `used` together, those with the most memory first, or returns `None`
    /// if all are not enough.
    pub(super) fn choose(
        &self,
        worker: &Worker,
        used: Room,
        need: Room,
        mut candidates: Vec<(&(Task, Run), &Reservation)>,
    ) -> Option<Choice> {
        let mut choice = Choice {
            used,
            ending: Vec::new(),
            victims: Vec::new(),
        };
        candidates.sort_by_key(|(_, reservation)| std::cmp::Reverse(reservation.room.memory));
        for ((task, run), reservation) in candidates {
            if worker.fits_beside(choice.used, need) {
                break;
            }
            // A run that no task counts as its own was stopped when it was found.
            let stopping = self
                .registry
                .execution(*task, *run)
                .is_none_or(|execution| execution.stopping);
            choice.used -= reservation.room;
            choice.ending.push((*task, *run));
            if !stopping {
                choice.victims.push((*task, *run));
            }
        }
        worker.fits_beside(choice.used, need).then_some(choice)
    }
}

/// Runs that make room on a worker by ending.
pub(super) struct Choice {
    /// What the other runs use.
    pub(super) used: Room,
    pub(super) ending: Vec<(Task, Run)>,
    /// Those that must be stopped; the others are already being stopped.
    pub(super) victims: Vec<(Task, Run)>,
}

/// Lists the reservations that a task of a priority may preempt.
pub(super) fn preemptible(
    worker: &Worker,
    priority: u8,
) -> impl Iterator<Item = (&(Task, Run), &Reservation)> {
    worker.reservations.iter().filter(move |(_, reservation)| {
        reservation.priority > priority && reservation.service.is_none()
    })
}

/// Returns the resources that are free once everything less urgent has ended.
pub(super) fn reclaimable(worker: &Worker, priority: u8) -> Room {
    let whole = worker.profile.as_ref().map(|profile| profile.room);
    let remaining = preemptible(worker, priority).fold(worker.used, |used, (_, reservation)| {
        used - reservation.room
    });
    whole.unwrap_or(Room::NONE) - remaining
}
