//! Places waiting tasks, in the order of decisions.

use {
    super::{
        grid::waste,
        node::Run,
        queue::{allows, Shape, ShapeTurn, Turn},
        Decision, Planner,
    },
    crate::probation::Standing,
    filbertbend_state::{id, service::Class, time::Instant, unit::Millis},
};

/// What each task of the same job in a rack adds to the score of a worker in
/// it. It outweighs the fit, which alone would put all tasks on one worker.
const SPREAD_PENALTY: f64 = 1.0;

/// How often tasks that fit nowhere are tried again, for what changes with
/// time only: trials, and room that may be reclaimed.
const RETRY_INTERVAL: Millis = Millis(1000);

/// Expected ends of local tasks that are examined for a task that may wait.
const ENDS_LIMIT: usize = 16;

impl Planner {
    /// Lets blocked tasks be tried on a worker that has more room now.
    pub(super) fn wake(&mut self, index: u32) {
        let node = &self.nodes[index as usize];
        if node.cell.is_some() {
            self.raised.insert(index);
        }
    }

    /// Decides about waiting tasks until none fits anywhere, at most `limit`
    /// times.
    pub fn decide(&mut self, now: Instant, limit: usize, decisions: &mut Vec<Decision>) {
        self.retry_due(now);
        for _ in 0..limit {
            let ready = self.order.first().and_then(|turn| {
                let team = &self.teams[turn.3 as usize];
                Some((*turn, *team.ready.first()?))
            });
            let node = self.raised.first().copied();
            let blocked = node.and_then(|node| Some((self.blocked_for(now, node)?, node)));
            match (ready, blocked) {
                (Some(ready), Some((blocked, _))) if ready <= blocked => {
                    self.decide_shape(now, ready.1 .3, decisions);
                }
                (_, Some((blocked, node))) => {
                    self.assign(now, blocked.1 .3, node, decisions);
                }
                (Some(ready), None) => self.decide_shape(now, ready.1 .3, decisions),
                (None, None) if node.is_none() => return,
                (None, None) => {}
            }
            if let (Some(node), None) = (node, blocked) {
                self.raised.remove(&node);
            }
        }
    }

    /// Lets the tasks be tried again for which it is time.
    fn retry_due(&mut self, now: Instant) {
        while let Some(&(until, shape)) = self.deferred.first() {
            if until > now {
                break;
            }
            self.unblock(shape);
        }
        // All of them at once would delay the decision that they happen to
        // precede, so each decision takes its part of the interval.
        let passed = now.since(self.retried_at).min(RETRY_INTERVAL).0 as usize;
        let due = self.blocked.len() * passed / RETRY_INTERVAL.0 as usize;
        if due == 0 {
            return;
        }
        self.retried_at = now;
        let next = self.blocked.range(self.retry_next..);
        let shapes: Vec<u32> = next.chain(&self.blocked).take(due).copied().collect();
        self.retry_next = shapes.last().map_or(0, |shape| shape + 1);
        for shape in shapes {
            if self.shapes[shape as usize].deferred_until.is_none() {
                self.unblock(shape);
            }
        }
    }

    /// Returns the first blocked shape, in the order of decisions, that fits a
    /// worker. The other workers have no more room than when it was blocked.
    fn blocked_for(&self, now: Instant, index: u32) -> Option<(Turn, ShapeTurn)> {
        let node = &self.nodes[index as usize];
        if node.cell.is_none() || !self.smallest.may_fit(&node.free) {
            return None;
        }
        let fits = |turn: &&ShapeTurn| {
            let shape = &self.shapes[turn.3 as usize];
            node.free.fits(&shape.size)
                && allows(shape, node.data_centre)
                && !shape.avoid.contains(&node.worker)
                && (node.data_centre == self.local || self.may_go_remote(now, shape))
        };
        self.blocked_order.iter().find_map(|turn| {
            let team = &self.teams[turn.3 as usize];
            Some((*turn, *team.blocked.iter().find(fits)?))
        })
    }

    fn may_go_remote(&self, now: Instant, shape: &Shape) -> bool {
        let since = shape.queue.first_key_value().map(|((since, _), _)| *since);
        since.is_none_or(|since| self.local_wait(now, shape, since).is_none())
    }

    /// Places the first task of a shape, or blocks the shape.
    fn decide_shape(&mut self, now: Instant, index: u32, decisions: &mut Vec<Decision>) {
        let shape = &self.shapes[index as usize];
        let Some((&(since, _), &(task, _))) = shape.queue.first_key_value() else {
            return;
        };
        let trial = (shape.class == Class::Batch).then(|| self.trial(now, shape));
        if let Some(node) = trial.flatten() {
            let worker = self.nodes[node as usize].worker.clone();
            self.ledger.start_trial(&worker, task);
            self.assign(now, index, node, decisions);
            return;
        }
        if let Some(node) = self.fit(shape, task, &[self.local]) {
            self.assign(now, index, node, decisions);
            return;
        }
        let remote: Vec<u16> = (0..self.grids.len() as u16)
            .filter(|data_centre| *data_centre != self.local)
            .collect();
        if let Some(node) = self.fit(shape, task, &remote) {
            let until = self.local_wait(now, shape, since);
            if let Some(until) = until.filter(|until| *until > now) {
                self.defer(index, until);
                return;
            }
            self.assign(now, index, node, decisions);
            return;
        }
        self.shapes[index as usize].blocked = true;
        self.blocked.insert(index);
        self.update_shape(index);
        self.reclaim(now, index, decisions);
    }

    /// Returns until when a task waits for room in the local data centre, if
    /// room there is expected within the cost of another data centre.
    fn local_wait(&self, now: Instant, shape: &Shape, since: Instant) -> Option<Instant> {
        let latest = since + self.settings.remote_cost;
        if latest <= now || !allows(shape, self.local) {
            return None;
        }
        let first = id::Task {
            job: id::Job(Default::default()),
            index: 0,
        };
        let ends = (self.local, now, first)..(self.local, latest, first);
        let fits = |(_, _, task): &(u16, Instant, id::Task)| {
            let node = self.runs.get(task).and_then(|run| run.node);
            node.is_some_and(|node| {
                let node = &self.nodes[node as usize];
                self.takes_work(node) && node.room.fits(&shape.size)
            })
        };
        let mut ends = self.ends.range(ends).take(ENDS_LIMIT);
        ends.any(fits).then_some(latest)
    }

    fn defer(&mut self, index: u32, until: Instant) {
        self.shapes[index as usize].deferred_until = Some(until);
        self.deferred.insert((until, index));
        self.blocked.insert(index);
        self.update_shape(index);
    }

    /// Returns a worker not in good standing that is due for a trial task.
    fn trial(&self, now: Instant, shape: &Shape) -> Option<u32> {
        self.limited.iter().copied().find(|index| {
            let node = &self.nodes[*index as usize];
            self.ledger.standing(&node.worker) != Standing::Good
                && self.ledger.allows_trial(now, &node.worker)
                && node.free.fits(&shape.size)
                && allows(shape, node.data_centre)
                && !shape.avoid.contains(&node.worker)
        })
    }

    /// Returns the best worker in one of `data_centres`.
    fn fit(&self, shape: &Shape, task: id::Task, data_centres: &[u16]) -> Option<u32> {
        let racks = self.spread.get(&task.job);
        let avoids_all = !shape.avoid.is_empty() && self.avoids_all(shape);
        let mut best: Option<(f64, u32)> = None;
        for data_centre in data_centres {
            if !allows(shape, *data_centre) {
                continue;
            }
            let grid = &self.grids[*data_centre as usize];
            let scale = grid.scale();
            let score = |index: u32| {
                let node = &self.nodes[index as usize];
                let avoided = !avoids_all && shape.avoid.contains(&node.worker);
                if avoided || !node.free.fits(&shape.size) {
                    return None;
                }
                let same = racks.and_then(|racks| racks.get(&node.rack));
                let penalty = f64::from(same.copied().unwrap_or(0)) * SPREAD_PENALTY;
                Some(waste(&node.free, &shape.size, &scale) + penalty)
            };
            let found = grid.best(&shape.size, score);
            if let Some(found) = found {
                if best.is_none_or(|best| found.0 < best.0) {
                    best = Some(found);
                }
            }
        }
        best.map(|(_, node)| node)
    }

    /// Tells whether a task has failed on every worker that could take it.
    fn avoids_all(&self, shape: &Shape) -> bool {
        self.nodes.iter().all(|node| {
            !self.takes_work(node)
                || !allows(shape, node.data_centre)
                || !node.room.fits(&shape.size)
                || self.ledger.standing(&node.worker) != Standing::Good
                || shape.avoid.contains(&node.worker)
        })
    }

    /// Places the first task of a shape on a worker.
    fn assign(&mut self, now: Instant, index: u32, node: u32, decisions: &mut Vec<Decision>) {
        let shape = &mut self.shapes[index as usize];
        let Some((_, (task, run_time))) = shape.queue.pop_first() else {
            return;
        };
        let (slice, size, team, class) = (shape.slice, shape.size, shape.team, shape.class);
        self.waiting.remove(&task);
        let placed_on = node;
        let node = &self.nodes[node as usize];
        let (worker, incarnation) = (node.worker.clone(), node.incarnation);
        let racks = self.spread.entry(task.job).or_default();
        *racks.entry(node.rack.clone()).or_default() += 1;
        let run = Run {
            slice,
            worker: worker.clone(),
            node: Some(placed_on),
            team,
            class,
            size,
            progress_at: now,
            expected_end: now + run_time,
            spread: true,
            unevictable: false,
        };
        self.insert_run(task, run);
        self.update_shape(index);
        self.free_shape(index);
        decisions.push(Decision::Place {
            slice,
            task,
            worker,
            incarnation,
            size,
        });
    }
}
