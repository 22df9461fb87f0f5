//! Waiting tasks by team, class and size, and the order of decisions.

use {
    super::{
        grid::waste,
        node::{Node, Run},
        Decision, Planner, Request,
    },
    crate::probation::Standing,
    filbertbend_state::{
        id,
        room::Room,
        service::Class,
        time::Instant,
        unit::{Accelerators, Bytes, Cores, Millis},
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
    },
};

/// Tasks that arrived within the same window are placed largest first, which
/// fills workers better; an older window goes before a newer one.
const WINDOW: Millis = Millis::from_secs(30);

/// What each task of the same job in a rack adds to the score of a worker in
/// it, against a fit between 0 and about 1.
const SPREAD_PENALTY: f64 = 0.02;

/// What a shape is: tasks that are alike for placement.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Key {
    slice: id::Slice,
    team: u32,
    class: Class,
    service: id::Service,
    declared: (u64, u64, u32),
    data_centres: Vec<u16>,
    avoid: Vec<id::Worker>,
}

/// The place of a task in its shape's queue.
pub(super) type Place = (Instant, u64);

/// The turn of a team: within its guarantee first, then by class, then by the
/// part of its guarantee that it uses.
pub(super) type Turn = (bool, Class, u64, u32);

/// The turn of a shape within its team.
type ShapeTurn = (Class, u64, Reverse<u64>, u32);

/// Waiting tasks that are alike for placement.
#[derive(Debug)]
pub(super) struct Shape {
    pub(super) slice_of: Option<id::Slice>,
    pub(super) team: u32,
    pub(super) class: Class,
    pub(super) service: id::Service,
    pub(super) declared: Room,
    /// The declared size corrected by what was observed.
    pub(super) size: Room,
    pub(super) data_centres: Vec<u16>,
    avoid: Vec<id::Worker>,
    pub(super) queue: BTreeMap<Place, (id::Task, Millis)>,
    turn: Option<ShapeTurn>,
    pub(super) blocked: bool,
    deferred_until: Option<Instant>,
    /// Evictions in progress that make room for this shape.
    pub(super) reclaims: usize,
}

/// A team's use and waiting shapes.
#[derive(Debug)]
pub(super) struct Team {
    id: id::Team,
    pub(super) quota: Room,
    pub(super) used: Room,
    ready: BTreeSet<ShapeTurn>,
    turn: Option<Turn>,
    /// Placed tasks that may be evicted, by when they last made progress.
    pub(super) victims: BTreeSet<(Instant, id::Task)>,
    pub(super) borrowing: Option<u64>,
}

impl Team {
    /// Returns the part of its guarantee that the team uses, as a number that
    /// sorts like it.
    fn ratio(&self) -> u64 {
        self.used.dominant_share(&self.quota).to_bits()
    }

    /// Tells whether the team stays within its guarantee with `size` more.
    pub(super) fn guarantees(&self, size: &Room) -> bool {
        self.quota.fits(&(self.used + *size))
    }
}

impl Planner {
    /// Returns the index of a team.
    pub(super) fn team(&mut self, id: &id::Team) -> u32 {
        if let Some(index) = self.team_by_id.get(id) {
            return *index;
        }
        let index = self.teams.len() as u32;
        self.teams.push(Team {
            id: id.clone(),
            quota: self.quota(id),
            used: Room::NONE,
            ready: BTreeSet::new(),
            turn: None,
            victims: BTreeSet::new(),
            borrowing: None,
        });
        self.team_by_id.insert(id.clone(), index);
        index
    }

    /// Returns the part of a team's guarantee that this planner gives out.
    fn quota(&self, id: &id::Team) -> Room {
        let whole = self.quotas.get(id).copied().unwrap_or(Room::NONE);
        let owned = u64::from(self.settings.slices_owned);
        let all = u64::from(self.settings.slices.max(1));
        let part = |amount: u64| (amount * owned).div_ceil(all);
        Room {
            cores: Cores(part(whole.cores.0)),
            memory: Bytes(part(whole.memory.0)),
            accelerators: Accelerators(part(whole.accelerators.0.into()) as u32),
        }
    }

    pub(super) fn requote(&mut self) {
        for team in 0..self.teams.len() {
            let id = self.teams[team].id.clone();
            self.teams[team].quota = self.quota(&id);
            self.update_borrowing(team as u32);
            self.update_turn(team as u32);
        }
    }

    pub(super) fn use_room(&mut self, team: u32, size: Room) {
        self.teams[team as usize].used += size;
        self.update_borrowing(team);
        self.update_turn(team);
    }

    pub(super) fn return_room(&mut self, team: u32, size: Room) {
        self.teams[team as usize].used -= size;
        self.update_borrowing(team);
        self.update_turn(team);
    }

    /// Puts a team where the index of borrowers expects it.
    fn update_borrowing(&mut self, index: u32) {
        let team = &mut self.teams[index as usize];
        let over = !team.quota.fits(&team.used);
        let ratio = over.then(|| team.ratio());
        if ratio == team.borrowing {
            return;
        }
        if let Some(ratio) = team.borrowing {
            self.borrowers.remove(&(ratio, index));
        }
        if let Some(ratio) = ratio {
            self.borrowers.insert((ratio, index));
        }
        team.borrowing = ratio;
    }

    /// Puts a team where the order of decisions expects it.
    fn update_turn(&mut self, index: u32) {
        let team = &self.teams[index as usize];
        let turn = team.ready.first().map(|(class, _, _, shape)| {
            let over = !team.guarantees(&self.shapes[*shape as usize].size);
            (over, *class, team.ratio(), index)
        });
        if turn == team.turn {
            return;
        }
        if let Some(turn) = team.turn {
            self.order.remove(&turn);
        }
        if let Some(turn) = turn {
            self.order.insert(turn);
        }
        self.teams[index as usize].turn = turn;
    }

    /// Puts a shape where its team's order expects it.
    pub(super) fn update_shape(&mut self, index: u32) {
        let shape = &self.shapes[index as usize];
        let waits = !shape.blocked && shape.deferred_until.is_none();
        let head = shape.queue.first_key_value().filter(|_| waits);
        let turn = head.map(|((since, _), _)| {
            let window = since.0 / WINDOW.0;
            let scale = self.grids[self.local as usize].scale();
            let share = shape.size.dominant_share(&scale).to_bits();
            (shape.class, window, Reverse(share), index)
        });
        if turn == shape.turn {
            return;
        }
        let team = &mut self.teams[shape.team as usize];
        if let Some(turn) = &shape.turn {
            team.ready.remove(turn);
        }
        if let Some(turn) = turn {
            team.ready.insert(turn);
        }
        let team = shape.team;
        self.shapes[index as usize].turn = turn;
        self.update_turn(team);
    }

    /// Lets a task wait for a worker.
    pub fn enqueue(&mut self, _now: Instant, request: Request) {
        if self.waiting.contains_key(&request.task) || self.runs.contains_key(&request.task) {
            return;
        }
        let shape = self.shape(&request);
        self.arrivals += 1;
        let place = (request.since, self.arrivals);
        self.shapes[shape as usize]
            .queue
            .insert(place, (request.task, request.run_time));
        self.waiting.insert(request.task, (shape, place));
        self.update_shape(shape);
    }

    fn shape(&mut self, request: &Request) -> u32 {
        let team = self.team(&request.team);
        let names = request.data_centres.iter();
        let data_centres: Vec<u16> = names.map(|name| self.data_centre(name)).collect();
        let key = Key {
            slice: request.slice,
            team,
            class: request.class,
            service: request.service.clone(),
            declared: (
                request.size.cores.0,
                request.size.memory.0,
                request.size.accelerators.0,
            ),
            data_centres: data_centres.clone(),
            avoid: request.avoid.clone(),
        };
        if let Some(index) = self.shape_by_key.get(&key) {
            return *index;
        }
        let index = self.shapes.len() as u32;
        self.shapes.push(Shape {
            slice_of: Some(request.slice),
            team,
            class: request.class,
            service: request.service.clone(),
            declared: request.size,
            size: self.corrected(&request.service, &request.size),
            data_centres,
            avoid: request.avoid.clone(),
            queue: BTreeMap::new(),
            turn: None,
            blocked: false,
            deferred_until: None,
            reclaims: 0,
        });
        self.shape_by_key.insert(key, index);
        index
    }

    /// Takes a task out of the queue, because its job ends.
    pub fn dequeue(&mut self, task: id::Task) {
        if let Some((shape, place)) = self.waiting.remove(&task) {
            self.shapes[shape as usize].queue.remove(&place);
            self.update_shape(shape);
        }
    }

    /// Applies newly observed sizes to waiting tasks.
    pub(super) fn resize(&mut self, service: &id::Service) {
        for index in 0..self.shapes.len() {
            let shape = &self.shapes[index];
            if shape.service != *service {
                continue;
            }
            let size = self.corrected(service, &shape.declared);
            if size != shape.size {
                self.shapes[index].size = size;
                self.unblock(index as u32);
            }
        }
    }

    fn unblock(&mut self, index: u32) {
        let shape = &mut self.shapes[index as usize];
        shape.blocked = false;
        if let Some(until) = shape.deferred_until.take() {
            self.deferred.remove(&(until, index));
        }
        self.blocked.remove(&index);
        self.update_shape(index);
    }

    /// Lets the shapes be tried again that fit a worker's room now.
    pub(super) fn wake(&mut self, node: u32) {
        let node = &self.nodes[node as usize];
        if !self.takes_work(node) {
            return;
        }
        let (free, data_centre) = (node.free, node.data_centre);
        let fits = |index: &&u32| {
            let shape = &self.shapes[**index as usize];
            free.fits(&shape.size) && allows(shape, data_centre)
        };
        let woken: Vec<u32> = self.blocked.iter().filter(fits).copied().collect();
        for shape in woken {
            self.unblock(shape);
        }
    }

    /// Decides about waiting tasks until none fits anywhere, at most `limit`
    /// times.
    pub fn decide(&mut self, now: Instant, limit: usize, decisions: &mut Vec<Decision>) {
        while let Some(&(until, shape)) = self.deferred.first() {
            if until > now {
                break;
            }
            self.unblock(shape);
        }
        for _ in 0..limit {
            let Some(&(_, _, _, team)) = self.order.first() else {
                return;
            };
            let Some(&(_, _, _, shape)) = self.teams[team as usize].ready.first() else {
                return;
            };
            self.decide_shape(now, shape, decisions);
        }
    }

    /// Places the first task of a shape, or blocks the shape.
    fn decide_shape(&mut self, now: Instant, index: u32, decisions: &mut Vec<Decision>) {
        let shape = &self.shapes[index as usize];
        let Some((&place, &(task, run_time))) = shape.queue.first_key_value() else {
            return;
        };
        let trial = (shape.class == Class::Batch).then(|| self.trial(now, shape));
        if let Some(node) = trial.flatten() {
            let worker = self.nodes[node as usize].worker.clone();
            self.ledger.trial(&worker, task);
            self.assign(now, index, place, node, run_time, decisions);
            return;
        }
        if let Some(node) = self.fit(shape, task, &[self.local]) {
            self.assign(now, index, place, node, run_time, decisions);
            return;
        }
        let remote: Vec<u16> = (0..self.grids.len() as u16)
            .filter(|data_centre| *data_centre != self.local)
            .collect();
        if let Some(node) = self.fit(shape, task, &remote) {
            let until = self.local_wait(now, shape, place.0);
            if let Some(until) = until.filter(|until| *until > now) {
                self.defer(index, until);
                return;
            }
            self.assign(now, index, place, node, run_time, decisions);
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
        let fits = |node: &&Node| {
            node.data_centre == self.local && self.takes_work(node) && node.room.fits(&shape.size)
        };
        let mut tasks = self
            .nodes
            .iter()
            .filter(fits)
            .flat_map(|node| &node.tasks)
            .filter_map(|task| self.runs.get(task));
        tasks
            .any(|run| run.expected_end <= latest)
            .then_some(latest)
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
                && self.ledger.may_try(now, &node.worker)
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

    fn assign(
        &mut self,
        now: Instant,
        index: u32,
        place: Place,
        node: u32,
        run_time: Millis,
        decisions: &mut Vec<Decision>,
    ) {
        let shape = &mut self.shapes[index as usize];
        let Some((task, _)) = shape.queue.remove(&place) else {
            return;
        };
        let (slice, size, team, class) = (
            shape.slice_of.unwrap_or_default(),
            shape.size,
            shape.team,
            shape.class,
        );
        self.waiting.remove(&task);
        let node = &self.nodes[node as usize];
        let (worker, incarnation) = (node.worker.clone(), node.incarnation);
        let racks = self.spread.entry(task.job).or_default();
        *racks.entry(node.rack.clone()).or_default() += 1;
        let run = Run {
            slice,
            worker: worker.clone(),
            team,
            class,
            size,
            progress_at: now,
            expected_end: now + run_time,
            spread: true,
        };
        self.insert_run(task, run);
        self.update_shape(index);
        decisions.push(Decision::Place {
            slice,
            task,
            worker,
            incarnation,
            size,
        });
    }

    /// Returns why a task waits, if it fits nowhere.
    pub fn reason(&self, task: id::Task) -> Option<filbertbend_state::outcome::Reason> {
        use filbertbend_state::outcome::Reason;
        let (shape, _) = self.waiting.get(&task)?;
        let shape = &self.shapes[*shape as usize];
        if !shape.blocked {
            return None;
        }
        let within = self.teams[shape.team as usize].guarantees(&shape.size);
        Some(if within {
            Reason::NoRoom
        } else {
            Reason::QuotaExceeded
        })
    }
}

/// Tells whether tasks of a shape may run in a data centre.
pub(super) fn allows(shape: &Shape, data_centre: u16) -> bool {
    shape.data_centres.is_empty() || shape.data_centres.contains(&data_centre)
}
