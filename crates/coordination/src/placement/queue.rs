//! Waiting tasks by team, class and size, and the order of decisions.

use {
    super::{grid::total_share, Planner, Request},
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
pub(super) type ShapeTurn = (Class, u64, Reverse<u64>, u32);

/// Where a shape is in its team's orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Listed {
    blocked: bool,
    turn: ShapeTurn,
    size: Room,
}

/// The smallest amounts that any blocked shape needs, by which a worker that
/// fits none of them is recognised at once.
#[derive(Debug, Default)]
pub(super) struct Smallest {
    cores: BTreeMap<u64, usize>,
    memory: BTreeMap<u64, usize>,
}

impl Smallest {
    fn insert(&mut self, size: &Room) {
        *self.cores.entry(size.cores.0).or_default() += 1;
        *self.memory.entry(size.memory.0).or_default() += 1;
    }

    fn remove(&mut self, size: &Room) {
        let amounts = [
            (&mut self.cores, size.cores.0),
            (&mut self.memory, size.memory.0),
        ];
        for (counts, amount) in amounts {
            if let Some(count) = counts.get_mut(&amount) {
                *count -= 1;
                if *count == 0 {
                    counts.remove(&amount);
                }
            }
        }
    }

    pub(super) fn may_fit(&self, free: &Room) -> bool {
        let fits = |counts: &BTreeMap<u64, usize>, free: u64| {
            let smallest = counts.first_key_value();
            smallest.is_some_and(|(amount, _)| *amount <= free)
        };
        fits(&self.cores, free.cores.0) && fits(&self.memory, free.memory.0)
    }
}

/// Waiting tasks that are alike for placement.
#[derive(Debug)]
pub(super) struct Shape {
    key: Key,
    pub(super) slice: id::Slice,
    pub(super) team: u32,
    pub(super) class: Class,
    pub(super) service: id::Service,
    pub(super) declared: Room,
    /// The declared size corrected by what was observed.
    pub(super) size: Room,
    pub(super) data_centres: Vec<u16>,
    pub(super) avoid: Vec<id::Worker>,
    pub(super) queue: BTreeMap<Place, (id::Task, Millis)>,
    /// Where it is in its team's orders.
    listed: Option<Listed>,
    /// Whether its tasks fitted nowhere when they were last tried.
    pub(super) blocked: bool,
    pub(super) deferred_until: Option<Instant>,
    /// Evictions in progress that make room for this shape.
    pub(super) reclaims: usize,
}

/// A team's use and waiting shapes.
#[derive(Debug)]
pub(super) struct Team {
    id: id::Team,
    pub(super) quota: Room,
    pub(super) used: Room,
    pub(super) ready: BTreeSet<ShapeTurn>,
    pub(super) blocked: BTreeSet<ShapeTurn>,
    turn: Option<Turn>,
    blocked_turn: Option<Turn>,
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

    fn shapes(&mut self, blocked: bool) -> &mut BTreeSet<ShapeTurn> {
        if blocked {
            &mut self.blocked
        } else {
            &mut self.ready
        }
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
            blocked: BTreeSet::new(),
            turn: None,
            blocked_turn: None,
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

    /// Puts a team where the orders of decisions expect it.
    fn update_turn(&mut self, index: u32) {
        let team = &self.teams[index as usize];
        let turn = |first: Option<&ShapeTurn>| {
            first.map(|(class, _, _, shape)| {
                let over = !team.guarantees(&self.shapes[*shape as usize].size);
                (over, *class, team.ratio(), index)
            })
        };
        let ready = turn(team.ready.first());
        let blocked = turn(team.blocked.first());
        let team = &mut self.teams[index as usize];
        replace(&mut self.order, &mut team.turn, ready);
        replace(&mut self.blocked_order, &mut team.blocked_turn, blocked);
    }

    /// Puts a shape where its team's orders expect it.
    pub(super) fn update_shape(&mut self, index: u32) {
        let shape = &self.shapes[index as usize];
        let blocked = shape.blocked || shape.deferred_until.is_some();
        let listed = shape.queue.first_key_value().map(|((since, _), _)| {
            let window = since.0 / WINDOW.0;
            let scale = self.grids[self.local as usize].scale();
            let share = total_share(&shape.size, &scale).to_bits();
            Listed {
                blocked,
                turn: (shape.class, window, Reverse(share), index),
                size: shape.size,
            }
        });
        if listed == shape.listed {
            return;
        }
        let team = shape.team;
        let order = &mut self.teams[team as usize];
        if let Some(listed) = &shape.listed {
            order.shapes(listed.blocked).remove(&listed.turn);
            if listed.blocked {
                self.smallest.remove(&listed.size);
            }
        }
        if let Some(listed) = listed {
            order.shapes(listed.blocked).insert(listed.turn);
            if listed.blocked {
                self.smallest.insert(&listed.size);
            }
        }
        self.shapes[index as usize].listed = listed;
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
        if request.class == Class::Urgent {
            // What fits nowhere may be made room for at once.
            self.unblock(shape);
        } else {
            self.update_shape(shape);
        }
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
        let shape = Shape {
            key: key.clone(),
            slice: request.slice,
            team,
            class: request.class,
            service: request.service.clone(),
            declared: request.size,
            size: self.corrected_size(&request.service, &request.size),
            data_centres,
            avoid: request.avoid.clone(),
            queue: BTreeMap::new(),
            listed: None,
            blocked: false,
            deferred_until: None,
            reclaims: 0,
        };
        self.insert_shape(key, shape)
    }

    fn insert_shape(&mut self, key: Key, shape: Shape) -> u32 {
        let service = shape.service.clone();
        let index = match self.free_shapes.pop() {
            Some(index) => {
                self.shapes[index as usize] = shape;
                index
            }
            None => {
                self.shapes.push(shape);
                self.shapes.len() as u32 - 1
            }
        };
        self.shape_by_key.insert(key, index);
        let indices = self.shapes_by_service.entry(service).or_default();
        indices.insert(index);
        index
    }

    /// Frees a shape without tasks that a repeated failure made. Others stay,
    /// since there are only as many as services and sizes.
    pub(super) fn free_shape(&mut self, index: u32) {
        let shape = &self.shapes[index as usize];
        if shape.avoid.is_empty() || !shape.queue.is_empty() || shape.reclaims > 0 {
            return;
        }
        if self.shape_by_key.remove(&shape.key).is_none() {
            return;
        }
        if let Some(indices) = self.shapes_by_service.get_mut(&shape.service) {
            indices.remove(&index);
        }
        if let Some(until) = shape.deferred_until {
            self.deferred.remove(&(until, index));
        }
        self.blocked.remove(&index);
        self.free_shapes.push(index);
    }

    /// Takes a task out of the queue, because its job ends.
    pub fn dequeue(&mut self, task: id::Task) {
        if let Some((shape, place)) = self.waiting.remove(&task) {
            self.shapes[shape as usize].queue.remove(&place);
            self.update_shape(shape);
            self.free_shape(shape);
        }
    }

    /// Applies newly observed sizes to waiting tasks.
    pub(super) fn resize(&mut self, service: &id::Service) {
        let indices = self.shapes_by_service.get(service);
        for index in indices.cloned().unwrap_or_default() {
            let shape = &self.shapes[index as usize];
            let size = self.corrected_size(service, &shape.declared);
            if size != shape.size {
                self.shapes[index as usize].size = size;
                self.unblock(index);
            }
        }
    }

    pub(super) fn unblock(&mut self, index: u32) {
        let shape = &mut self.shapes[index as usize];
        shape.blocked = false;
        if let Some(until) = shape.deferred_until.take() {
            self.deferred.remove(&(until, index));
        }
        self.blocked.remove(&index);
        self.update_shape(index);
    }

    /// Returns why a task waits, if it fits nowhere.
    pub fn waiting_reason(&self, task: id::Task) -> Option<filbertbend_state::outcome::Reason> {
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

/// Replaces a turn in an order.
fn replace(order: &mut BTreeSet<Turn>, known: &mut Option<Turn>, turn: Option<Turn>) {
    if *known == turn {
        return;
    }
    if let Some(known) = known {
        order.remove(known);
    }
    if let Some(turn) = turn {
        order.insert(turn);
    }
    *known = turn;
}

/// Tells whether tasks of a shape may run in a data centre.
pub(super) fn allows(shape: &Shape, data_centre: u16) -> bool {
    shape.data_centres.is_empty() || shape.data_centres.contains(&data_centre)
}
