//! Workers that are held for tasks that need much room.
//!
//! Room becomes free in small amounts. Without a hold, later tasks that need
//! little take each of them, and a service or a gang that needs more does not
//! start while there are such tasks, although it comes first. Other tasks get no
//! hold: what waits for their room costs more than they gain.

use {
    super::{pass::Pass, place::Requirements, worker::Worker, Planner, Rank},
    crate::id::Node,
    filbertbend_state::{room::Room, unit::Millis},
    std::collections::{BTreeMap, BTreeSet},
};

/// How long a task that may start waits before a worker is held for it. Most
/// tasks find room sooner.
const HOLD_AFTER: Millis = Millis(5000);
/// The reciprocal of the largest fraction of the usable workers that is held.
const MAX_HELD_DIVISOR: usize = 8;

/// A worker's room that is kept for a step. Less urgent tasks are placed there
/// only if that room stays free.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hold {
    rank: Rank,
    room: Room,
}

/// The holds in a placement pass.
#[derive(Default)]
pub(super) struct Holds {
    of_step: BTreeMap<Rank, usize>,
    /// The maximum number of held workers.
    limit: usize,
}

impl Holds {
    /// Returns how many more workers may be held for a step that needs `wanted`
    /// in all. Only holds for steps that are as urgent count towards the limit.
    fn allowed(&self, rank: Rank, wanted: usize) -> usize {
        let of_step = self.of_step.get(&rank).copied().unwrap_or(0);
        let as_urgent: usize = self.of_step.range(..=rank).map(|(_, count)| count).sum();
        let left = self.limit.saturating_sub(as_urgent);
        wanted.saturating_sub(of_step).min(left)
    }

    fn is_full(&self) -> bool {
        self.of_step.values().sum::<usize>() >= self.limit
    }

    /// Counts a hold, which may replace one for another step.
    fn add(&mut self, rank: Rank, replaced: Option<Rank>) {
        *self.of_step.entry(rank).or_default() += 1;
        if let Some(count) = replaced.and_then(|rank| self.of_step.get_mut(&rank)) {
            *count -= 1;
        }
    }
}

impl Hold {
    /// Returns whether a task of `rank` that needs `room` must stay off the
    /// worker.
    pub(super) fn excludes(&self, worker: &Worker, rank: Rank, room: Room) -> bool {
        self.rank < rank && !(worker.free() - room).fits(&self.room)
    }
}

impl Planner {
    /// Releases the workers whose steps do not wait for them any more, and
    /// counts the other holds.
    pub(super) fn review_holds(&mut self) -> Holds {
        let mut waiting: BTreeMap<Rank, usize> = BTreeMap::new();
        let mut futile = BTreeSet::new();
        for (node, worker) in self.fleet.iter() {
            let Some(hold) = &worker.hold else {
                continue;
            };
            let rank = hold.rank;
            waiting.entry(rank).or_insert_with(|| {
                // Another priority gives the step another rank.
                let is_ready = self.ready.contains(&rank);
                self.startable(rank).filter(|_| is_ready).count()
            });
            if !self.drained(worker).fits(&hold.room) {
                futile.insert(node.clone());
            }
        }
        let mut holds = Holds::default();
        let mut usable: usize = 0;
        let (now, limit) = (self.now, self.settings.silence_limit);
        for (node, worker) in self.fleet.iter_mut() {
            let is_usable = worker.is_usable(now, limit);
            usable += usize::from(is_usable);
            let Some(hold) = &worker.hold else {
                continue;
            };
            let count = holds.of_step.entry(hold.rank).or_default();
            let is_wanted = waiting.get(&hold.rank).is_some_and(|tasks| *count < *tasks);
            if is_usable && is_wanted && !futile.contains(node) {
                *count += 1;
            } else {
                worker.hold = None;
            }
        }
        holds.limit = usable.div_ceil(MAX_HELD_DIVISOR);
        holds
    }

    /// Holds a worker for a service that has waited for [`HOLD_AFTER`], or one for
    /// each member of a gang: those on which the most cores are free, if the task fits
    /// there once all that ends by itself has ended.
    pub(super) fn hold(&mut self, rank: Rank, pass: &mut Pass) {
        let mut tasks = self.startable(rank);
        let Some(task) = tasks.next() else {
            return;
        };
        let members = 1 + tasks.count();
        let Some(requirements) = self.requirements(task, pass) else {
            return;
        };
        if requirements.waited < HOLD_AFTER {
            return;
        }
        let mode = requirements.step.mode;
        let wanted = match (mode.gang, mode.long_running) {
            (true, _) => members,
            (false, true) => 1,
            (false, false) => 0,
        };
        let wanted = pass.holds.allowed(rank, wanted);
        if wanted == 0 {
            return;
        }
        let room = requirements.step.reserved();
        for node in self.drainable(&requirements, wanted) {
            if let Some(worker) = self.fleet.get_mut(&node) {
                if worker.hold.is_none() && pass.holds.is_full() {
                    continue;
                }
                let replaced = worker.hold.replace(Hold { rank, room });
                pass.holds.add(rank, replaced.map(|hold| hold.rank));
            }
        }
    }

    /// Lists up to `count` workers that will have room for a task and are not
    /// held for a more urgent one: those that are held for a less urgent one, then
    /// those with the most free cores.
    fn drainable(&self, requirements: &Requirements<'_>, count: usize) -> Vec<Node> {
        let need = requirements.step.reserved();
        let rank = requirements.rank;
        self.count_examined(self.fleet.len());
        let mut found: Vec<_> = self
            .fleet
            .iter()
            .filter(|(node, worker)| {
                let is_held = worker.hold.as_ref().is_some_and(|hold| hold.rank <= rank);
                !is_held
                    && self.is_feasible(requirements, node, worker)
                    && self.drained(worker).fits(&need)
            })
            .map(|(node, worker)| (worker.hold.is_some(), worker.free().cores, node))
            .collect();
        found.sort_unstable_by(|left, right| right.cmp(left));
        let nodes = found.into_iter().map(|(.., node)| node.clone());
        nodes.take(count).collect()
    }

    /// Returns the room of a worker that its long-running tasks leave.
    fn drained(&self, worker: &Worker) -> Room {
        let is_long_running = |task: &crate::id::Task| {
            let step = self
                .registry
                .get(task.job)
                .and_then(|entry| entry.step(task.step));
            step.is_some_and(|step| step.mode.long_running)
        };
        let whole = worker
            .profile
            .as_ref()
            .map_or(Room::NONE, |profile| profile.room);
        worker
            .reservations
            .iter()
            .filter(|((task, _), _)| is_long_running(task))
            .fold(whole, |room, (_, reservation)| room - reservation.room)
    }
}
