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
/// The reciprocal of the largest fraction of the usable workers of a pool that is
/// held.
const MAX_HELD_DIVISOR: usize = 8;

/// A worker's room that is kept for a step. Less urgent tasks are placed there
/// only if that room stays free.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hold {
    rank: Rank,
    room: Room,
    /// Whether others are stopped there for the step.
    preempting: bool,
}

/// The number of workers that are held for each step.
#[derive(Default)]
pub(super) struct Holds(BTreeMap<Rank, usize>);

impl Holds {
    fn of_step(&self, rank: Rank) -> usize {
        self.0.get(&rank).copied().unwrap_or(0)
    }

    fn remove(&mut self, rank: Rank) {
        if let Some(count) = self.0.get_mut(&rank) {
            *count = count.saturating_sub(1);
        }
    }

    /// Counts a hold, which may replace one for another step.
    fn add(&mut self, rank: Rank, replaced: Option<Rank>) {
        *self.0.entry(rank).or_default() += 1;
        if let Some(rank) = replaced {
            self.remove(rank);
        }
    }
}

/// The holds in one pool, and how many there may be.
struct Quota {
    limit: usize,
    held: usize,
    /// Those for steps that are as urgent as the one in question.
    as_urgent: usize,
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
        let (now, limit) = (self.now, self.settings.silence_limit);
        for (node, worker) in self.fleet.iter_mut() {
            let is_usable = worker.is_usable(now, limit);
            let Some(hold) = &worker.hold else {
                continue;
            };
            let count = holds.0.entry(hold.rank).or_default();
            let is_wanted = waiting.get(&hold.rank).is_some_and(|tasks| *count < *tasks);
            if is_usable && is_wanted && !futile.contains(node) {
                *count += 1;
            } else {
                worker.hold = None;
            }
        }
        holds
    }

    /// Holds workers for a step that has waited for [`HOLD_AFTER`]: one for a
    /// service, or as many as all members of a gang need. They are those on which
    /// the most cores are free, if there is room once all that ends by itself has
    /// ended.
    pub(super) fn hold(&mut self, rank: Rank, pass: &mut Pass) {
        let mut tasks = self.startable(rank);
        let Some(task) = tasks.next() else {
            return;
        };
        let members = 1 + tasks.count();
        let Some(requirements) = self.requirements(task, pass) else {
            return;
        };
        let mode = requirements.step.mode;
        let is_candidate = mode.gang || mode.long_running;
        if !is_candidate || requirements.waited < HOLD_AFTER || pass.holds.of_step(rank) > 0 {
            return;
        }
        let quota = self.quota(&requirements);
        let left = quota.limit.saturating_sub(quota.as_urgent);
        let wanted = if mode.gang { members } else { 1 };
        let Some(chosen) = self.drainable(&requirements, left, wanted) else {
            return;
        };
        let mut held = quota.held;
        for (node, room) in chosen {
            let Some(worker) = self.fleet.get_mut(&node) else {
                continue;
            };
            if worker.hold.is_none() {
                if held >= quota.limit {
                    continue;
                }
                held += 1;
            }
            let replaced = worker.hold.replace(Hold {
                rank,
                room,
                preempting: false,
            });
            pass.holds.add(rank, replaced.map(|hold| hold.rank));
        }
    }

    /// Returns the quota of the pool that a task runs in.
    fn quota(&self, requirements: &Requirements<'_>) -> Quota {
        self.count_examined(self.fleet.len());
        let mut usable: usize = 0;
        let mut quota = Quota {
            limit: 0,
            held: 0,
            as_urgent: 0,
        };
        for (_, worker) in self.fleet.iter() {
            let is_member = |pool: &str| *pool == **requirements.pool;
            let pool = worker.profile.as_ref().map(|profile| &*profile.pool);
            if !pool.is_some_and(is_member) {
                continue;
            }
            usable += usize::from(worker.is_usable(self.now, self.settings.silence_limit));
            if let Some(hold) = worker.hold.filter(|hold| !hold.preempting) {
                quota.held += 1;
                quota.as_urgent += usize::from(hold.rank <= requirements.rank);
            }
        }
        quota.limit = usable.div_ceil(MAX_HELD_DIVISOR);
        quota
    }

    /// Holds a worker on which others are stopped for a step, unless it is held
    /// for a more urgent one. Such holds are short, so they are not limited.
    pub(super) fn keep(&mut self, node: &Node, rank: Rank, room: Room, pass: &mut Pass) {
        let Some(worker) = self.fleet.get_mut(node) else {
            return;
        };
        if worker.hold.is_none_or(|hold| hold.rank >= rank) {
            let hold = Hold {
                rank,
                room,
                preempting: true,
            };
            let replaced = worker.hold.replace(hold);
            pass.holds.add(rank, replaced.map(|hold| hold.rank));
        }
    }

    /// Releases the workers on which others were stopped for a step.
    pub(super) fn drop_kept(&mut self, rank: Rank, pass: &mut Pass) {
        for (_, worker) in self.fleet.iter_mut() {
            let is_kept = |hold: &mut Hold| hold.preempting && hold.rank == rank;
            if worker.hold.take_if(is_kept).is_some() {
                pass.holds.remove(rank);
            }
        }
    }

    /// Lists workers that will have room for `wanted` tasks in all, each with the
    /// room that these need there: those that are held for a less urgent step, then
    /// those with the most free cores. Returns `None` if `limit` workers are not
    /// enough.
    fn drainable(
        &self,
        requirements: &Requirements<'_>,
        limit: usize,
        wanted: usize,
    ) -> Option<Vec<(Node, Room)>> {
        let need = requirements.step.reserved();
        let rank = requirements.rank;
        self.count_examined(self.fleet.len());
        let mut found: Vec<_> = self
            .fleet
            .iter()
            .filter(|(node, worker)| {
                let is_held = worker.hold.as_ref().is_some_and(|hold| hold.rank <= rank);
                !is_held && self.is_feasible(requirements, node, worker)
            })
            .map(|(node, worker)| (worker.hold.is_some(), worker.free().cores, node))
            .collect();
        found.sort_unstable_by(|left, right| right.cmp(left));
        let mut chosen = Vec::new();
        let mut left = wanted;
        for (.., node) in found {
            if left == 0 || chosen.len() >= limit {
                break;
            }
            let whole = self.fleet.get(node).map(|worker| self.drained(worker))?;
            let mut room = Room::NONE;
            while left > 0 && whole.fits(&(room + need)) {
                room += need;
                left -= 1;
            }
            if room != Room::NONE {
                chosen.push((node.clone(), room));
            }
        }
        (left == 0).then_some(chosen)
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
