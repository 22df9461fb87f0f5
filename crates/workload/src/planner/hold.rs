//! Workers that are held for tasks that need much room.
//!
//! Room becomes free in small amounts. Without a hold, later tasks that need
//! little take each of them, and a service or a gang that needs more does not
//! start while there are such tasks, although it comes first. Other tasks get no
//! hold: what waits for their room costs more than they gain.
//!
//! Services that were running get theirs at once and all together, because many of
//! them are lost at a time and their users notice each second.

use {
    super::{
        drain::Prospect, pass::Pass, place::Requirements, registry::Claim, worker::Worker, Planner,
        Rank,
    },
    crate::id::{Node, Task},
    filbertbend_state::{room::Room, time::Instant, unit::Millis},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// How long a task that may start waits before a worker is held for it. Most
/// tasks find room sooner.
const HOLD_AFTER: Millis = Millis(5000);
/// The reciprocal of the largest fraction of the usable workers of a pool that is
/// held.
const MAX_HELD_DIVISOR: usize = 8;
/// The reciprocal of that fraction for services that were running. The others go on
/// with what keeps those workers from being free soon.
const MAX_DISPLACED_DIVISOR: usize = 2;
/// The longest expected wait for room at which more than one worker in
/// [`MAX_HELD_DIVISOR`] is held, since a held worker is partly idle meanwhile.
const SHORT_WAIT: Millis = Millis(2500);
/// How much longer than expected a worker is held before another may be better.
const OVERRUN_LIMIT: Millis = Millis(1000);

/// A worker's room that is kept for a step. Less urgent tasks are placed there
/// only if that room stays free.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hold {
    rank: Rank,
    room: Room,
    /// The tasks that have room there.
    tasks: usize,
    /// Until when the room is expected to be free, if that is known.
    until: Option<Instant>,
    /// Whether others are stopped there for the step.
    preempting: bool,
}

/// What is held, and what cannot be held in this pass.
#[derive(Default)]
pub(super) struct Holds {
    /// The number of tasks of each step that workers are held for.
    tasks: BTreeMap<Rank, usize>,
    /// The pools in which no more workers may be held.
    full: BTreeSet<(Claim, Arc<str>)>,
    shortages: Vec<Shortage>,
}

/// A need for which no further worker can be held.
struct Shortage {
    pool: Arc<str>,
    label: Option<Arc<str>>,
    room: Room,
}

impl Holds {
    fn of_step(&self, rank: Rank) -> usize {
        self.tasks.get(&rank).copied().unwrap_or(0)
    }

    fn remove(&mut self, rank: Rank, tasks: usize) {
        if let Some(count) = self.tasks.get_mut(&rank) {
            *count = count.saturating_sub(tasks);
        }
    }

    /// Counts a hold, which may replace one for another step.
    fn add(&mut self, hold: &Hold, replaced: Option<Hold>) {
        *self.tasks.entry(hold.rank).or_default() += hold.tasks;
        if let Some(hold) = replaced {
            self.remove(hold.rank, hold.tasks);
        }
    }

    /// Returns whether another worker may be held for a task, as far as this pass
    /// has found out.
    fn may_hold(&self, requirements: &Requirements<'_>) -> bool {
        let need = requirements.step.reserved();
        let is_short = |shortage: &Shortage| {
            shortage.pool == *requirements.pool
                && shortage.label == requirements.step.placement.label
                && need.fits(&shortage.room)
        };
        let pool = (requirements.rank.claim, requirements.pool.clone());
        !self.full.contains(&pool) && !self.shortages.iter().any(is_short)
    }

    /// Records that no further worker can be held for such tasks.
    fn add_shortage(&mut self, requirements: &Requirements<'_>) {
        let placement = &requirements.step.placement;
        if placement.most_per_worker.is_none() && !requirements.isolated {
            self.shortages.push(Shortage {
                pool: requirements.pool.clone(),
                label: placement.label.clone(),
                room: requirements.step.reserved(),
            });
        }
    }
}

/// The holds in one pool, and how many there may be.
struct Quota {
    limit: usize,
    /// The limit for workers that are held for longer than [`SHORT_WAIT`].
    lasting_limit: usize,
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

    pub(super) fn rank(&self) -> Rank {
        self.rank
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
            let is_late = hold.until.is_some_and(|until| self.now >= until);
            if !self.drained(worker).fits(&hold.room) || is_late && !worker.fits(hold.room) {
                futile.insert(node.clone());
            }
        }
        let mut holds = Holds::default();
        let (now, limit) = (self.now, self.settings.silence_limit);
        let evacuations = &self.evacuations;
        for (node, worker) in self.fleet.iter_mut() {
            let is_available = worker.is_usable(now, limit) && !evacuations.cover(worker);
            let Some(hold) = &worker.hold else {
                continue;
            };
            let count = holds.tasks.entry(hold.rank).or_default();
            let is_wanted = waiting.get(&hold.rank).is_some_and(|tasks| *count < *tasks);
            if is_available && is_wanted && !futile.contains(node) {
                *count += hold.tasks;
            } else {
                worker.hold = None;
            }
        }
        holds
    }

    /// Holds workers for a step that cannot be placed: at once for services that
    /// were running, otherwise after [`HOLD_AFTER`].
    pub(super) fn hold(&mut self, rank: Rank, pass: &mut Pass) {
        let entry = self.registry.get(rank.job);
        let Some(step) = entry.and_then(|entry| entry.step(rank.step)) else {
            return;
        };
        if rank.claim == Claim::Displaced && !step.mode.gang {
            self.hold_for_displaced(rank, pass);
        } else if step.mode.gang || step.mode.long_running {
            self.hold_for_new(rank, pass);
        }
    }

    /// Holds workers for all services of a step that were running, those that will
    /// have room first.
    fn hold_for_displaced(&mut self, rank: Rank, pass: &mut Pass) {
        let Some(task) = self.first_startable(rank) else {
            return;
        };
        let Some(requirements) = self.requirements(task, pass) else {
            return;
        };
        if !pass.holds.may_hold(&requirements) {
            return;
        }
        let waiting = self.startable(rank).take(self.fleet.len()).count();
        let wanted = waiting.saturating_sub(pass.holds.of_step(rank));
        if wanted == 0 {
            return;
        }
        let quota = self.quota(&requirements);
        if quota.as_urgent >= quota.limit {
            let pool = (rank.claim, requirements.pool.clone());
            pass.holds.full.insert(pool);
            return;
        }
        let need = requirements.step.reserved();
        let mut held = quota.held;
        let mut used = BTreeSet::new();
        let is_open = |node: &Node, worker: &Worker, wait: Millis| {
            let limit = if wait <= SHORT_WAIT {
                quota.limit
            } else {
                quota.lasting_limit
            };
            let is_counted = used.contains(node) || worker.hold.is_some();
            let is_open = is_counted || held < limit;
            if is_open && used.insert(node.clone()) && worker.hold.is_none() {
                held += 1;
            }
            is_open
        };
        let found = self.prospects(&requirements, wanted, pass, is_open);
        if found.len() < wanted {
            pass.holds.add_shortage(&requirements);
        }
        for Prospect { node, wait, tasks } in found {
            let Some(worker) = self.fleet.get_mut(&node) else {
                continue;
            };
            let hold = Hold {
                rank,
                room: (0..tasks).fold(Room::NONE, |room, _| room + need),
                tasks,
                until: Some(self.now + wait + OVERRUN_LIMIT),
                preempting: false,
            };
            let replaced = worker.hold.replace(hold);
            pass.holds.add(&hold, replaced);
        }
    }

    /// Holds workers for a step that has waited for [`HOLD_AFTER`]: one for a
    /// service, or as many as all members of a gang need. They are those on which
    /// the most cores are free, if there is room once all that ends by itself has
    /// ended. A gang whose services were running does not wait for that.
    fn hold_for_new(&mut self, rank: Rank, pass: &mut Pass) {
        let Some(task) = self.startable(rank).next() else {
            return;
        };
        let Some(requirements) = self.requirements(task, pass) else {
            return;
        };
        let mode = requirements.step.mode;
        let is_early = requirements.waited < HOLD_AFTER && rank.claim == Claim::New;
        if is_early || pass.holds.of_step(rank) > 0 || !pass.holds.may_hold(&requirements) {
            return;
        }
        let quota = self.quota(&requirements);
        let left = quota.limit.saturating_sub(quota.as_urgent);
        let wanted = if mode.gang {
            self.startable(rank).count()
        } else {
            1
        };
        let Some(chosen) = self.drainable(&requirements, left, wanted) else {
            if left == 0 {
                let pool = (rank.claim, requirements.pool.clone());
                pass.holds.full.insert(pool);
            }
            return;
        };
        let mut held = quota.held;
        for (node, tasks, room) in chosen {
            let Some(worker) = self.fleet.get_mut(&node) else {
                continue;
            };
            if worker.hold.is_none() {
                if held >= quota.limit {
                    continue;
                }
                held += 1;
            }
            let hold = Hold {
                rank,
                room,
                tasks,
                until: None,
                preempting: false,
            };
            let replaced = worker.hold.replace(hold);
            pass.holds.add(&hold, replaced);
        }
    }

    /// Returns the quota of the pool that a task runs in.
    fn quota(&self, requirements: &Requirements<'_>) -> Quota {
        self.count_examined(self.fleet.len());
        let mut usable: usize = 0;
        let mut quota = Quota {
            limit: 0,
            lasting_limit: 0,
            held: 0,
            as_urgent: 0,
        };
        for (_, worker) in self.fleet.iter() {
            let is_member = |pool: &str| *pool == **requirements.pool;
            let pool = worker.profile.as_ref().map(|profile| &*profile.pool);
            if !pool.is_some_and(is_member) {
                continue;
            }
            usable += usize::from(self.is_available(worker));
            if let Some(hold) = worker.hold.filter(|hold| !hold.preempting) {
                quota.held += 1;
                quota.as_urgent += usize::from(hold.rank <= requirements.rank);
            }
        }
        quota.lasting_limit = usable.div_ceil(MAX_HELD_DIVISOR);
        quota.limit = match requirements.rank.claim {
            Claim::Displaced => usable.div_ceil(MAX_DISPLACED_DIVISOR),
            Claim::New => quota.lasting_limit,
        };
        quota
    }

    /// Holds a worker on which others are stopped for a step, unless it is held
    /// for a more urgent one. Such holds are short, so they are not limited.
    pub(super) fn keep(
        &mut self,
        node: &Node,
        rank: Rank,
        (tasks, room): (usize, Room),
        pass: &mut Pass,
    ) {
        let Some(worker) = self.fleet.get_mut(node) else {
            return;
        };
        if worker.hold.is_none_or(|hold| hold.rank >= rank) {
            let hold = Hold {
                rank,
                room,
                tasks,
                until: None,
                preempting: true,
            };
            let replaced = worker.hold.replace(hold);
            pass.holds.add(&hold, replaced);
        }
    }

    /// Releases the workers on which others were stopped for a step.
    pub(super) fn drop_kept(&mut self, rank: Rank, pass: &mut Pass) {
        for (_, worker) in self.fleet.iter_mut() {
            let is_kept = |hold: &mut Hold| hold.preempting && hold.rank == rank;
            if let Some(hold) = worker.hold.take_if(is_kept) {
                pass.holds.remove(rank, hold.tasks);
            }
        }
    }

    /// Releases the part of a hold that a task uses which has been placed there.
    pub(super) fn use_hold(&mut self, task: Task, node: &Node, pass: &mut Pass) {
        let need = self
            .registry
            .get(task.job)
            .and_then(|entry| entry.step(task.step))
            .map_or(Room::NONE, |step| step.reserved());
        let Some(worker) = self.fleet.get_mut(node) else {
            return;
        };
        let Some(hold) = worker.hold.as_mut().filter(|hold| hold.rank.is_of(task)) else {
            return;
        };
        pass.holds.remove(hold.rank, 1);
        hold.room -= need;
        hold.tasks = hold.tasks.saturating_sub(1);
        if hold.tasks == 0 {
            worker.hold = None;
        }
    }

    /// Lists workers that will have room for `wanted` tasks in all, each with their
    /// number and the room that they need there: those that are held for a less urgent step, then
    /// those with the most free cores. Returns `None` if `limit` workers are not
    /// enough.
    fn drainable(
        &self,
        requirements: &Requirements<'_>,
        limit: usize,
        wanted: usize,
    ) -> Option<Vec<(Node, usize, Room)>> {
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
            let before = left;
            while left > 0 && whole.fits(&(room + need)) {
                room += need;
                left -= 1;
            }
            if room != Room::NONE {
                chosen.push((node.clone(), before - left, room));
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
