//! Places waiting tasks in scheduling order.

use {
    super::{
        grid::waste,
        node::Placement,
        queue::{allows, Group, GroupRank, TeamRank},
        Decision, Planner,
    },
    crate::probation::Standing,
    filbertbend_state::{id, service::Class, time::Instant, unit::Millis},
};

/// What each task that a job already has in a rack adds to the score of the
/// workers there. It outweighs the fit, which alone would place all tasks of a
/// job on one worker.
const SPREAD_PENALTY: f64 = 1.0;

/// How often blocked tasks are retried for conditions that change with time
/// alone: trials that come due, and capacity that may be reclaimed.
const RETRY_INTERVAL: Millis = Millis(1000);

/// How many expected ends of local tasks are examined to decide whether a task
/// waits for local capacity.
const EXPECTED_ENDS_LIMIT: usize = 16;

impl Planner {
    /// Schedules a recheck of the blocked tasks for a worker that may have more
    /// free capacity now.
    pub(super) fn queue_recheck(&mut self, index: u32) {
        let node = &self.nodes[index as usize];
        if node.cell.is_some() {
            self.recheck.insert(index);
        }
    }

    /// Decides on waiting tasks until none fits on any worker, in at most
    /// `limit` rounds.
    pub fn decide(&mut self, now: Instant, limit: usize, decisions: &mut Vec<Decision>) {
        self.retry_due(now);
        for _ in 0..limit {
            let ready = self.ready_teams.first().and_then(|rank| {
                let team = &self.teams[rank.3 as usize];
                Some((*rank, *team.ready.first()?))
            });
            let node = self.recheck.first().copied();
            let blocked = node.and_then(|node| Some((self.first_blocked_fit(now, node)?, node)));
            match (ready, blocked) {
                (Some(ready), Some((blocked, _))) if ready <= blocked => {
                    self.place_or_block(now, ready.1 .3, decisions);
                }
                (_, Some((blocked, node))) => {
                    self.assign(now, blocked.1 .3, node, decisions);
                }
                (Some(ready), None) => self.place_or_block(now, ready.1 .3, decisions),
                (None, None) if node.is_none() => return,
                (None, None) => {}
            }
            if let (Some(node), None) = (node, blocked) {
                self.recheck.remove(&node);
            }
        }
    }

    /// Unblocks the groups that are due for a retry.
    fn retry_due(&mut self, now: Instant) {
        while let Some(&(until, group)) = self.deferred.first() {
            if until > now {
                break;
            }
            self.unblock(group);
        }
        // Retrying all groups at once would delay the current round, so each
        // round retries a number in proportion to the time since the last one.
        let passed = now.since(self.retried_at).min(RETRY_INTERVAL).0 as usize;
        let due = self.blocked.len() * passed / RETRY_INTERVAL.0 as usize;
        if due == 0 {
            return;
        }
        self.retried_at = now;
        let next = self.blocked.range(self.retry_from..);
        let groups: Vec<u32> = next.chain(&self.blocked).take(due).copied().collect();
        self.retry_from = groups.last().map_or(0, |group| group + 1);
        for group in groups {
            if self.groups[group as usize].deferred_until.is_none() {
                self.unblock(group);
            }
        }
    }

    /// Returns the first blocked group in scheduling order that fits a worker.
    /// Only this worker is checked, because the others have no more free
    /// capacity than when the group was blocked.
    fn first_blocked_fit(&self, now: Instant, index: u32) -> Option<(TeamRank, GroupRank)> {
        let node = &self.nodes[index as usize];
        if node.cell.is_none() || !self.blocked_minimums.may_fit(&node.free) {
            return None;
        }
        let fits = |rank: &&GroupRank| {
            let group = &self.groups[rank.3 as usize];
            node.free.fits(&group.size)
                && allows(group, node.data_centre)
                && !group.avoid.contains(&node.worker)
                && (node.data_centre == self.local || self.may_run_remotely(now, group))
        };
        self.blocked_teams.iter().find_map(|rank| {
            let team = &self.teams[rank.3 as usize];
            Some((*rank, *team.blocked.iter().find(fits)?))
        })
    }

    fn may_run_remotely(&self, now: Instant, group: &Group) -> bool {
        let since = group.queue.first_key_value().map(|((since, _), _)| *since);
        since.is_none_or(|since| self.local_deadline(now, group, since).is_none())
    }

    /// Places the first task of a group, or defers or blocks the group.
    fn place_or_block(&mut self, now: Instant, index: u32, decisions: &mut Vec<Decision>) {
        let group = &self.groups[index as usize];
        let Some((&(since, _), &(task, _))) = group.queue.first_key_value() else {
            return;
        };
        let trial = (group.class == Class::Batch).then(|| self.trial_worker(now, group));
        if let Some(node) = trial.flatten() {
            let worker = self.nodes[node as usize].worker.clone();
            self.probation.start_trial(&worker, task);
            self.assign(now, index, node, decisions);
            return;
        }
        if let Some(node) = self.best_worker(group, task, &[self.local]) {
            self.assign(now, index, node, decisions);
            return;
        }
        let remote: Vec<u16> = (0..self.grids.len() as u16)
            .filter(|data_centre| *data_centre != self.local)
            .collect();
        if let Some(node) = self.best_worker(group, task, &remote) {
            let until = self.local_deadline(now, group, since);
            if let Some(until) = until.filter(|until| *until > now) {
                self.defer(index, until);
                return;
            }
            self.assign(now, index, node, decisions);
            return;
        }
        self.groups[index as usize].blocked = true;
        self.blocked.insert(index);
        self.update_group_rank(index);
        self.reclaim(now, index, decisions);
    }

    /// Returns until when a task waits for capacity in the local data centre,
    /// if enough is expected there within the cost of running elsewhere.
    fn local_deadline(&self, now: Instant, group: &Group, since: Instant) -> Option<Instant> {
        let latest = since + self.settings.remote_cost;
        if latest <= now || !allows(group, self.local) {
            return None;
        }
        let first = id::Task {
            job: id::Job(Default::default()),
            index: 0,
        };
        let expected_ends = (self.local, now, first)..(self.local, latest, first);
        let fits = |(_, _, task): &(u16, Instant, id::Task)| {
            let node = self
                .placements
                .get(task)
                .and_then(|placement| placement.node);
            node.is_some_and(|node| {
                let node = &self.nodes[node as usize];
                self.accepts_work(node) && node.room.fits(&group.size)
            })
        };
        let mut expected_ends = self
            .expected_ends
            .range(expected_ends)
            .take(EXPECTED_ENDS_LIMIT);
        expected_ends.any(fits).then_some(latest)
    }

    fn defer(&mut self, index: u32, until: Instant) {
        self.groups[index as usize].deferred_until = Some(until);
        self.deferred.insert((until, index));
        self.blocked.insert(index);
        self.update_group_rank(index);
    }

    /// Returns a worker that is not in good standing and due for a trial task.
    fn trial_worker(&self, now: Instant, group: &Group) -> Option<u32> {
        self.probationary.iter().copied().find(|index| {
            let node = &self.nodes[*index as usize];
            self.probation.standing(&node.worker) != Standing::Good
                && self.probation.allows_trial(now, &node.worker)
                && node.free.fits(&group.size)
                && allows(group, node.data_centre)
                && !group.avoid.contains(&node.worker)
        })
    }

    /// Returns the worker with the lowest score in `data_centres`.
    fn best_worker(&self, group: &Group, task: id::Task, data_centres: &[u16]) -> Option<u32> {
        let racks = self.tasks_by_rack.get(&task.job);
        let failed_everywhere = !group.avoid.is_empty() && self.failed_everywhere(group);
        let mut best: Option<(f64, u32)> = None;
        for data_centre in data_centres {
            if !allows(group, *data_centre) {
                continue;
            }
            let grid = &self.grids[*data_centre as usize];
            let scale = grid.scale();
            let score = |index: u32| {
                let node = &self.nodes[index as usize];
                let avoided = !failed_everywhere && group.avoid.contains(&node.worker);
                if avoided || !node.free.fits(&group.size) {
                    return None;
                }
                let same = racks.and_then(|racks| racks.get(&node.rack));
                let penalty = f64::from(same.copied().unwrap_or(0)) * SPREAD_PENALTY;
                Some(waste(&node.free, &group.size, &scale) + penalty)
            };
            let found = grid.best_fit(&group.size, score);
            if let Some(found) = found {
                if best.is_none_or(|best| found.0 < best.0) {
                    best = Some(found);
                }
            }
        }
        best.map(|(_, node)| node)
    }

    /// Returns whether the tasks of a group have failed on every worker that
    /// could take them.
    fn failed_everywhere(&self, group: &Group) -> bool {
        self.nodes.iter().all(|node| {
            !self.accepts_work(node)
                || !allows(group, node.data_centre)
                || !node.room.fits(&group.size)
                || self.probation.standing(&node.worker) != Standing::Good
                || group.avoid.contains(&node.worker)
        })
    }

    /// Places the first task of a group on a worker.
    fn assign(&mut self, now: Instant, index: u32, node: u32, decisions: &mut Vec<Decision>) {
        let group = &mut self.groups[index as usize];
        let Some((_, (task, run_time))) = group.queue.pop_first() else {
            return;
        };
        let (slice, size, team, class) = (group.slice, group.size, group.team, group.class);
        self.waiting.remove(&task);
        let placed_on = node;
        let node = &self.nodes[node as usize];
        let (worker, incarnation) = (node.worker.clone(), node.incarnation);
        let racks = self.tasks_by_rack.entry(task.job).or_default();
        *racks.entry(node.rack.clone()).or_default() += 1;
        let placement = Placement {
            slice,
            worker: worker.clone(),
            node: Some(placed_on),
            team,
            class,
            size,
            progress_at: now,
            expected_end: now + run_time,
            counted_by_rack: true,
            unevictable: false,
        };
        self.insert_placement(task, placement);
        self.update_group_rank(index);
        self.free_group(index);
        decisions.push(Decision::Place {
            slice,
            task,
            worker,
            incarnation,
            size,
        });
    }
}
