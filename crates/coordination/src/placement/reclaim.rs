//! Reclaims lent capacity by evicting the tasks that lose the least work.

use {
    super::{
        node::Placement,
        queue::{allows, Group},
        Decision, Planner,
    },
    filbertbend_state::{id, room::Room, service::Class, time::Instant, unit::Millis},
    std::collections::BTreeMap,
};

/// How many borrowing teams are searched for tasks to evict.
const BORROWERS_LIMIT: usize = 8;

/// How many tasks of one team are examined.
const VICTIMS_LIMIT: usize = 16;

/// The most waiting tasks for which one call starts evictions.
const EVICTIONS_LIMIT: usize = 64;

/// The cost of stopping and restarting a task, as lost run time.
const RESTART_COST: Millis = Millis::from_secs(5);

/// A task that may be evicted.
struct Candidate {
    task: id::Task,
    node: u32,
    size: Room,
    loss: f64,
}

/// Tasks on one worker whose eviction frees enough resources.
struct Eviction {
    loss: f64,
    tasks: Vec<id::Task>,
}

impl Planner {
    /// Evicts borrowers' tasks for the waiting tasks of a group, if its team is
    /// below its quota or its tasks are urgent.
    pub(super) fn reclaim(&mut self, now: Instant, index: u32, decisions: &mut Vec<Decision>) {
        for _ in 0..EVICTIONS_LIMIT {
            let group = &self.groups[index as usize];
            let team = &self.teams[group.team as usize];
            // The tasks that evictions in progress make way for count against
            // the quota as well.
            let pending = (0..group.evictions_pending).fold(Room::NONE, |sum, _| sum + group.size);
            let within_quota = team.fits_quota(&(pending + group.size));
            let urgent = group.class == Class::Urgent;
            if group.evictions_pending >= group.queue.len() || !(within_quota || urgent) {
                return;
            }
            let Some(eviction) = self.cheapest_eviction(now, group, within_quota) else {
                return;
            };
            self.groups[index as usize].evictions_pending += 1;
            for (position, task) in eviction.tasks.into_iter().enumerate() {
                let Some(placement) = self.placements.get(&task) else {
                    continue;
                };
                let slice = placement.slice;
                // The first task counts as the pending eviction of the group;
                // the others are only marked as being evicted.
                let beneficiary = if position == 0 { index } else { u32::MAX };
                self.evicting.insert(task, beneficiary);
                decisions.push(Decision::Evict { slice, task });
            }
        }
    }

    /// Ends one pending eviction of a group.
    pub(super) fn finish_eviction(&mut self, group: u32) {
        if let Some(group) = self.groups.get_mut(group as usize) {
            group.evictions_pending = group.evictions_pending.saturating_sub(1);
        }
    }

    /// Records that a task could not be evicted. It is not selected again before
    /// its next checkpoint.
    pub fn record_eviction_failure(&mut self, task: id::Task) {
        let Some(group) = self.evicting.remove(&task) else {
            return;
        };
        if let Some(placement) = self.placements.get_mut(&task) {
            placement.unevictable = true;
        }
        self.finish_eviction(group);
        if self.blocked.contains(&group) {
            self.unblock(group);
        }
    }

    /// Returns the eviction that loses the least work and frees enough
    /// resources for one task of a group.
    fn cheapest_eviction(
        &self,
        now: Instant,
        group: &Group,
        within_quota: bool,
    ) -> Option<Eviction> {
        let mut candidates = self.candidates(now, group, within_quota);
        candidates.sort_by(|a, b| a.loss.total_cmp(&b.loss));
        let single = candidates.iter().find(|candidate| {
            let free = self.nodes[candidate.node as usize].free;
            (free + candidate.size).fits(&group.size)
        });
        match single {
            Some(candidate) => Some(Eviction {
                loss: candidate.loss,
                tasks: vec![candidate.task],
            }),
            None => self.cheapest_combination(group, candidates),
        }
    }

    /// Returns the tasks that may be evicted for a group. The tasks of each team
    /// are examined from the newest progress on, since they lose the least.
    fn candidates(&self, now: Instant, group: &Group, within_quota: bool) -> Vec<Candidate> {
        let own = std::iter::once(group.team).filter(|_| group.class == Class::Urgent);
        let ratio = self.teams[group.team as usize].borrowed_ratio;
        let borrowers = self
            .borrowers
            .iter()
            .rev()
            // An urgent task above its team's quota may evict only tasks of
            // teams that are further above theirs.
            .filter(|(other, team)| *team != group.team && (within_quota || Some(*other) > ratio))
            .map(|(_, team)| *team);
        own.chain(borrowers.take(BORROWERS_LIMIT))
            .flat_map(|team| {
                let victims = self.teams[team as usize].victims.iter().rev();
                victims.take(VICTIMS_LIMIT).map(|(_, task)| *task)
            })
            .filter_map(|task| self.candidate(now, task, group))
            .collect()
    }

    /// Returns a task with the cost of its eviction, if it may be evicted.
    fn candidate(&self, now: Instant, task: id::Task, group: &Group) -> Option<Candidate> {
        let placement = self.placements.get(&task)?;
        let index = placement.node?;
        let node = &self.nodes[index as usize];
        let class = if group.class == Class::Urgent {
            placement.class == Class::Batch
        } else {
            placement.class >= group.class
        };
        let may_evict = class
            && !placement.unevictable
            && node.cell.is_some()
            && node.room.fits(&group.size)
            && allows(group, node.data_centre)
            && !self.evicting.contains_key(&task);
        may_evict.then(|| Candidate {
            task,
            node: index,
            size: placement.size,
            loss: loss(now, placement, &node.room),
        })
    }

    /// Returns several tasks on one worker whose eviction frees enough resources
    /// together. `candidates` must be sorted by loss.
    fn cheapest_combination(&self, group: &Group, candidates: Vec<Candidate>) -> Option<Eviction> {
        let mut by_node: BTreeMap<u32, Vec<Candidate>> = BTreeMap::new();
        for candidate in candidates {
            by_node.entry(candidate.node).or_default().push(candidate);
        }
        let evictions = by_node.into_iter().filter_map(|(node, candidates)| {
            let mut free = self.nodes[node as usize].free;
            let mut eviction = Eviction {
                loss: 0.0,
                tasks: Vec::new(),
            };
            for candidate in candidates {
                if free.fits(&group.size) {
                    break;
                }
                free += candidate.size;
                eviction.loss += candidate.loss;
                eviction.tasks.push(candidate.task);
            }
            free.fits(&group.size).then_some(eviction)
        });
        evictions.min_by(|a, b| a.loss.total_cmp(&b.loss))
    }
}

/// Returns the cost of an eviction: the time since the last progress plus the
/// restart, weighted by the fraction of the worker that the task uses.
fn loss(now: Instant, placement: &Placement, room: &Room) -> f64 {
    let lost = now.since(placement.progress_at) + RESTART_COST;
    lost.0 as f64 * placement.size.dominant_share(room)
}
