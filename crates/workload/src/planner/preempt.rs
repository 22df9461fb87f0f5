//! Preemption of less urgent tasks.

use {
    super::{
        pass::{Offer, Pass},
        worker::{Reservation, Worker},
        Action, Planner, Rank, Reason,
    },
    crate::{
        id::{Node, Run, Task},
        urgency::Work,
    },
    filbertbend_state::{room::Room, unit::Millis},
    std::cmp::Reverse,
};

/// What a stop costs a task besides the work that it has not saved: a stop takes up
/// to 400 ms on the platform, and a resumed task needs 250 ms to read its checkpoint.
const RESTART_TIME: Millis = Millis(650);

impl Planner {
    /// Preempts less urgent tasks on the worker where the least work is lost
    /// to fit a task of `rank`. Tasks that are already being stopped
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
        let mut best: Option<(Choice, Node)> = None;
        for (node, worker) in self.fleet.iter() {
            self.count_examined(1);
            if !self.is_feasible(&requirements, node, worker) {
                continue;
            }
            let Some(choice) = self.choose_on(worker, need, rank.priority) else {
                continue;
            };
            if choice.victims.is_empty() {
                return None;
            }
            if best
                .as_ref()
                .is_none_or(|(known, _)| choice.cost() < known.cost())
            {
                best = Some((choice, node.clone()));
            }
        }
        let Some((choice, node)) = best else {
            self.bound(&requirements, preempting, pass, |worker| Offer {
                room: reclaimable(worker, rank.priority),
                idle_cores: 0.0,
            });
            return None;
        };
        for (victim, run) in choice.victims {
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
    fn choose_on(&self, worker: &Worker, need: Room, priority: u8) -> Option<Choice> {
        if !reclaimable(worker, priority).fits(&need) {
            return None;
        }
        let unsent = worker.unsent();
        let (withdrawable, sent): (Vec<_>, Vec<_>) =
            preemptible(worker, priority).partition(|(key, _)| unsent.contains(key));
        self.choose(worker, worker.used, need, withdrawable)
            .or_else(|| self.choose(worker, worker.used, need, sent))
    }

    /// Chooses which of the candidates must end to free `need` beside runs that
    /// use `used` together, so that little work is lost, or returns `None` if all
    /// are not enough.
    ///
    /// Those that lose the least are not always best, since many of them may free
    /// no more than one that uses much memory.
    pub(super) fn choose(
        &self,
        worker: &Worker,
        used: Room,
        need: Room,
        candidates: Vec<(&(Task, Run), &Reservation)>,
    ) -> Option<Choice> {
        let mut candidates: Vec<Candidate<'_>> = candidates
            .into_iter()
            .map(|((task, run), reservation)| Candidate {
                task: *task,
                run: *run,
                reservation,
                loss: self.loss(*task, *run),
            })
            .collect();
        let memory = |candidate: &Candidate<'_>| Reverse(candidate.reservation.room.memory);
        candidates.sort_by_key(memory);
        let largest = take(worker, used, need, &candidates);
        candidates.sort_by_key(|candidate| candidate.loss);
        let cheapest = take(worker, used, need, &candidates);
        largest.into_iter().chain(cheapest).min_by_key(Choice::cost)
    }

    /// Returns the work that is lost if a run is stopped, or `None` if it is being
    /// stopped already. A run that no task counts as its own was stopped when it was
    /// found.
    fn loss(&self, task: Task, run: Run) -> Option<Work> {
        let execution = self.registry.execution(task, run)?;
        let step = self.registry.get(task.job)?.step(task.step)?;
        if execution.stopping {
            return None;
        }
        // A stop saves a checkpoint.
        let unsaved = if step.checkpoints {
            Millis::ZERO
        } else {
            self.now.since(execution.since)
        };
        Some(Work::of(1, step.room.cores, unsaved + RESTART_TIME))
    }
}

/// A run that may be stopped.
struct Candidate<'a> {
    task: Task,
    run: Run,
    reservation: &'a Reservation,
    /// The work that is lost; `None` if the run is being stopped already.
    loss: Option<Work>,
}

/// Takes candidates in order until `need` is free, or returns `None` if all are not
/// enough.
fn take(worker: &Worker, used: Room, need: Room, candidates: &[Candidate<'_>]) -> Option<Choice> {
    let mut choice = Choice {
        used,
        ending: Vec::new(),
        victims: Vec::new(),
        lost: Work::default(),
    };
    for candidate in candidates {
        if worker.fits_beside(choice.used, need) {
            break;
        }
        let key = (candidate.task, candidate.run);
        choice.used -= candidate.reservation.room;
        choice.ending.push(key);
        if let Some(loss) = candidate.loss {
            choice.victims.push(key);
            choice.lost = choice.lost.with(loss);
        }
    }
    worker.fits_beside(choice.used, need).then_some(choice)
}

/// Runs that make room on a worker by ending.
pub(super) struct Choice {
    /// What the other runs use.
    pub(super) used: Room,
    pub(super) ending: Vec<(Task, Run)>,
    /// Those that must be stopped; the others are already being stopped.
    pub(super) victims: Vec<(Task, Run)>,
    lost: Work,
}

impl Choice {
    /// Returns what choices are compared by: the work that is lost, then the number
    /// of stops.
    pub(super) fn cost(&self) -> (Work, usize) {
        (self.lost, self.victims.len())
    }
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
