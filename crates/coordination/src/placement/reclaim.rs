//! Takes lent room back by evicting what loses least.

use {
    super::{
        queue::{allows, Shape},
        Decision, Planner,
    },
    filbertbend_state::{id, room::Room, service::Class, time::Instant, unit::Millis},
};

/// Borrowing teams that are searched for tasks to evict.
const BORROWERS_LIMIT: usize = 8;

/// Tasks of one team that are examined.
const VICTIMS_LIMIT: usize = 32;

/// Most evictions that one decision starts.
const EVICTIONS_LIMIT: usize = 64;

/// What stopping and starting a task again costs, as run time lost.
const RESTART_COST: Millis = Millis::from_secs(5);

/// Tasks on one worker whose eviction makes room.
struct Offer {
    loss: f64,
    tasks: Vec<id::Task>,
}

impl Planner {
    /// Evicts borrowers' tasks for the waiting tasks of a shape, if its team is
    /// below its guarantee or its tasks are urgent.
    pub(super) fn reclaim(&mut self, now: Instant, index: u32, decisions: &mut Vec<Decision>) {
        for _ in 0..EVICTIONS_LIMIT {
            let shape = &self.shapes[index as usize];
            let team = &self.teams[shape.team as usize];
            // Evictions in progress will use up the guarantee as well.
            let pending = (0..shape.reclaims).fold(Room::NONE, |sum, _| sum + shape.size);
            let within = team.guarantees(&(pending + shape.size));
            let urgent = shape.class == Class::Urgent;
            if shape.reclaims >= shape.queue.len() || !(within || urgent) {
                return;
            }
            let Some(offer) = self.offer(now, shape, within) else {
                return;
            };
            self.shapes[index as usize].reclaims += 1;
            for (position, task) in offer.tasks.into_iter().enumerate() {
                let Some(run) = self.runs.get(&task) else {
                    continue;
                };
                let slice = run.slice;
                // The first victim stands for the waiting task it makes room
                // for; the others only have to be known as being evicted.
                let beneficiary = if position == 0 { index } else { u32::MAX };
                self.evicting.insert(task, beneficiary);
                decisions.push(Decision::Evict { slice, task });
            }
        }
    }

    /// Counts an eviction that is over.
    pub(super) fn reclaimed(&mut self, shape: u32) {
        if let Some(shape) = self.shapes.get_mut(shape as usize) {
            shape.reclaims = shape.reclaims.saturating_sub(1);
        }
    }

    /// Takes note that a task could not be evicted.
    pub fn eviction_failed(&mut self, task: id::Task) {
        if let Some(shape) = self.evicting.remove(&task) {
            self.reclaimed(shape);
        }
    }

    /// Returns the evictions that lose least and make room for one task.
    fn offer(&self, now: Instant, shape: &Shape, within: bool) -> Option<Offer> {
        let candidates = self.candidates(shape, within);
        let singles = candidates.iter().filter_map(|task| {
            let run = self.runs.get(task)?;
            let free = self.free(&run.worker)? + run.size;
            free.fits(&shape.size).then(|| Offer {
                loss: self.loss(now, *task),
                tasks: vec![*task],
            })
        });
        let best = singles.min_by(|a, b| a.loss.total_cmp(&b.loss));
        best.or_else(|| self.combined(now, shape, &candidates))
    }

    /// Returns the tasks that may be evicted for a shape, where the newest
    /// progress, and so the least loss, comes first for each team.
    fn candidates(&self, shape: &Shape, within: bool) -> Vec<id::Task> {
        let own = std::iter::once(shape.team).filter(|_| shape.class == Class::Urgent);
        let ratio = self.teams[shape.team as usize].borrowing;
        let borrowers = self
            .borrowers
            .iter()
            .rev()
            // An urgent task beyond its team's guarantee takes from teams that
            // are further beyond theirs.
            .filter(|(other, team)| *team != shape.team && (within || Some(*other) > ratio))
            .map(|(_, team)| *team);
        own.chain(borrowers.take(BORROWERS_LIMIT))
            .flat_map(|team| {
                let victims = self.teams[team as usize].victims.iter().rev();
                victims.take(VICTIMS_LIMIT).map(|(_, task)| *task)
            })
            .filter(|task| self.may_evict(*task, shape))
            .collect()
    }

    fn may_evict(&self, task: id::Task, shape: &Shape) -> bool {
        let Some(run) = self.runs.get(&task) else {
            return false;
        };
        let Some(node) = self.node_by_worker.get(&run.worker) else {
            return false;
        };
        let node = &self.nodes[*node as usize];
        let class = if shape.class == Class::Urgent {
            run.class == Class::Batch
        } else {
            run.class >= shape.class
        };
        class
            && self.takes_work(node)
            && node.cell.is_some()
            && allows(shape, node.data_centre)
            && !self.evicting.contains_key(&task)
    }

    /// Returns what an eviction loses: work since the last checkpoint and the
    /// restart, weighted by the part of its worker that the task uses.
    fn loss(&self, now: Instant, task: id::Task) -> f64 {
        let Some(run) = self.runs.get(&task) else {
            return f64::INFINITY;
        };
        let room = self
            .node_by_worker
            .get(&run.worker)
            .map_or(run.size, |node| self.nodes[*node as usize].room);
        let lost = now.since(run.progress_at) + RESTART_COST;
        lost.0 as f64 * run.size.dominant_share(&room)
    }

    /// Returns several evictions on one worker that together make room.
    fn combined(&self, now: Instant, shape: &Shape, candidates: &[id::Task]) -> Option<Offer> {
        let mut by_worker: std::collections::BTreeMap<&id::Worker, Vec<id::Task>> =
            std::collections::BTreeMap::new();
        for task in candidates {
            if let Some(run) = self.runs.get(task) {
                by_worker.entry(&run.worker).or_default().push(*task);
            }
        }
        let offers = by_worker.into_iter().filter_map(|(worker, mut tasks)| {
            tasks.sort_by(|a, b| self.loss(now, *a).total_cmp(&self.loss(now, *b)));
            let mut free = self.free(worker)?;
            let mut offer = Offer {
                loss: 0.0,
                tasks: Vec::new(),
            };
            for task in tasks {
                if free.fits(&shape.size) {
                    break;
                }
                free += self.runs.get(&task)?.size;
                offer.loss += self.loss(now, task);
                offer.tasks.push(task);
            }
            free.fits(&shape.size).then_some(offer)
        });
        offers.min_by(|a, b| a.loss.total_cmp(&b.loss))
    }
}
