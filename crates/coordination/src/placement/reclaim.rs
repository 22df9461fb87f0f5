//! Takes lent room back by evicting what loses least.

use {
    super::{
        node::Run,
        queue::{allows, Shape},
        Decision, Planner,
    },
    filbertbend_state::{id, room::Room, service::Class, time::Instant, unit::Millis},
    std::collections::BTreeMap,
};

/// Borrowing teams that are searched for tasks to evict.
const BORROWERS_LIMIT: usize = 8;

/// Tasks of one team that are examined.
const VICTIMS_LIMIT: usize = 16;

/// Most evictions that one decision starts.
const EVICTIONS_LIMIT: usize = 64;

/// What stopping and starting a task again costs, as run time lost.
const RESTART_COST: Millis = Millis::from_secs(5);

/// A task that may be evicted.
struct Candidate {
    task: id::Task,
    node: u32,
    size: Room,
    loss: f64,
}

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

    /// Takes note that a task could not be evicted; others are tried before it
    /// until its next checkpoint.
    pub fn record_eviction_failure(&mut self, task: id::Task) {
        let Some(shape) = self.evicting.remove(&task) else {
            return;
        };
        if let Some(run) = self.runs.get_mut(&task) {
            run.unevictable = true;
        }
        self.reclaimed(shape);
        if self.blocked.contains(&shape) {
            self.unblock(shape);
        }
    }

    /// Returns the evictions that lose least and make room for one task.
    fn offer(&self, now: Instant, shape: &Shape, within: bool) -> Option<Offer> {
        let mut candidates = self.candidates(now, shape, within);
        candidates.sort_by(|a, b| a.loss.total_cmp(&b.loss));
        let single = candidates.iter().find(|candidate| {
            let free = self.nodes[candidate.node as usize].free;
            (free + candidate.size).fits(&shape.size)
        });
        match single {
            Some(candidate) => Some(Offer {
                loss: candidate.loss,
                tasks: vec![candidate.task],
            }),
            None => self.combined(shape, candidates),
        }
    }

    /// Returns the tasks that may be evicted for a shape. Those of each team
    /// are taken from the newest progress on, which loses least.
    fn candidates(&self, now: Instant, shape: &Shape, within: bool) -> Vec<Candidate> {
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
            .filter_map(|task| self.candidate(now, task, shape))
            .collect()
    }

    /// Returns a task with what its eviction loses, if it may be evicted.
    fn candidate(&self, now: Instant, task: id::Task, shape: &Shape) -> Option<Candidate> {
        let run = self.runs.get(&task)?;
        let index = run.node?;
        let node = &self.nodes[index as usize];
        let class = if shape.class == Class::Urgent {
            run.class == Class::Batch
        } else {
            run.class >= shape.class
        };
        let may_evict = class
            && !run.unevictable
            && node.cell.is_some()
            && node.room.fits(&shape.size)
            && allows(shape, node.data_centre)
            && !self.evicting.contains_key(&task);
        may_evict.then(|| Candidate {
            task,
            node: index,
            size: run.size,
            loss: loss(now, run, &node.room),
        })
    }

    /// Returns several evictions on one worker that together make room.
    /// `candidates` are sorted by their loss.
    fn combined(&self, shape: &Shape, candidates: Vec<Candidate>) -> Option<Offer> {
        let mut by_node: BTreeMap<u32, Vec<Candidate>> = BTreeMap::new();
        for candidate in candidates {
            by_node.entry(candidate.node).or_default().push(candidate);
        }
        let offers = by_node.into_iter().filter_map(|(node, candidates)| {
            let mut free = self.nodes[node as usize].free;
            let mut offer = Offer {
                loss: 0.0,
                tasks: Vec::new(),
            };
            for candidate in candidates {
                if free.fits(&shape.size) {
                    break;
                }
                free += candidate.size;
                offer.loss += candidate.loss;
                offer.tasks.push(candidate.task);
            }
            free.fits(&shape.size).then_some(offer)
        });
        offers.min_by(|a, b| a.loss.total_cmp(&b.loss))
    }
}

/// Returns what an eviction loses: work since the last checkpoint and the
/// restart, weighted by the part of its worker that the task uses.
fn loss(now: Instant, run: &Run, room: &Room) -> f64 {
    let lost = now.since(run.progress_at) + RESTART_COST;
    lost.0 as f64 * run.size.dominant_share(room)
}
