//! The queues of waiting tasks by team, class and size, and the scheduling
//! order.

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

/// Tasks that arrive within the same window are placed largest first, which
/// packs workers better. Tasks of an older window go before those of a newer
/// one.
const WINDOW: Millis = Millis::from_secs(30);

/// Identifies a group of tasks that are equivalent for placement.
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

/// The position of a task in its group's queue: when it began to wait, and its
/// sequence number.
pub(super) type Arrival = (Instant, u64);

/// The rank of a team in scheduling order, by whether its next task exceeds the
/// quota, the class of that task, the used fraction of the quota, and the index
/// of the team.
pub(super) type TeamRank = (bool, Class, u64, u32);

/// The rank of a group within its team, by class, window, decreasing size, and
/// the index of the group.
pub(super) type GroupRank = (Class, u64, Reverse<u64>, u32);

/// The position of a group in the ready or blocked set of its team.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Position {
    blocked: bool,
    rank: GroupRank,
    size: Room,
}

/// The smallest amounts of processor time and memory that any blocked group
/// needs. They rule out at once a worker that fits none of the groups.
#[derive(Debug, Default)]
pub(super) struct Minimums {
    cores: BTreeMap<u64, usize>,
    memory: BTreeMap<u64, usize>,
}

impl Minimums {
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

/// Waiting tasks that are equivalent for placement.
#[derive(Debug)]
pub(super) struct Group {
    key: Key,
    pub(super) slice: id::Slice,
    pub(super) team: u32,
    pub(super) class: Class,
    pub(super) service: id::Service,
    pub(super) declared: Room,
    /// The declared size, corrected by observed usage.
    pub(super) size: Room,
    pub(super) data_centres: Vec<u16>,
    pub(super) avoid: Vec<id::Worker>,
    pub(super) queue: BTreeMap<Arrival, (id::Task, Millis)>,
    /// Its position in the sets of its team, if it has waiting tasks.
    position: Option<Position>,
    /// Whether its tasks fitted on no worker at the last attempt.
    pub(super) blocked: bool,
    pub(super) deferred_until: Option<Instant>,
    /// Evictions in progress that free resources for this group.
    pub(super) evictions_pending: usize,
}

/// The usage of a team and its waiting groups.
#[derive(Debug)]
pub(super) struct Team {
    id: id::Team,
    /// The part of its quota that this planner gives out.
    pub(super) quota: Room,
    pub(super) used: Room,
    pub(super) ready: BTreeSet<GroupRank>,
    pub(super) blocked: BTreeSet<GroupRank>,
    ready_rank: Option<TeamRank>,
    blocked_rank: Option<TeamRank>,
    /// Placed tasks that may be evicted, by when they last made progress.
    pub(super) victims: BTreeSet<(Instant, id::Task)>,
    /// The usage ratio, if the team uses more than its quota.
    pub(super) borrowed_ratio: Option<u64>,
}

impl Team {
    /// Returns the used fraction of the quota as the bits of an `f64`, which
    /// sort like the value because it is not negative.
    fn usage_ratio(&self) -> u64 {
        self.used.dominant_share(&self.quota).to_bits()
    }

    fn ranks(&mut self, blocked: bool) -> &mut BTreeSet<GroupRank> {
        if blocked {
            &mut self.blocked
        } else {
            &mut self.ready
        }
    }

    /// Returns whether the team stays within its quota with `size` more.
    pub(super) fn fits_quota(&self, size: &Room) -> bool {
        self.quota.fits(&(self.used + *size))
    }
}

impl Planner {
    /// Returns the index of a team, and adds it if it is new.
    pub(super) fn team_index(&mut self, id: &id::Team) -> u32 {
        if let Some(index) = self.team_by_id.get(id) {
            return *index;
        }
        let index = self.teams.len() as u32;
        self.teams.push(Team {
            id: id.clone(),
            quota: self.owned_quota(id),
            used: Room::NONE,
            ready: BTreeSet::new(),
            blocked: BTreeSet::new(),
            ready_rank: None,
            blocked_rank: None,
            victims: BTreeSet::new(),
            borrowed_ratio: None,
        });
        self.team_by_id.insert(id.clone(), index);
        index
    }

    /// Returns the part of a team's quota that this planner gives out.
    fn owned_quota(&self, id: &id::Team) -> Room {
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

    pub(super) fn update_quotas(&mut self) {
        for team in 0..self.teams.len() {
            let id = self.teams[team].id.clone();
            self.teams[team].quota = self.owned_quota(&id);
            self.update_borrowing(team as u32);
            self.update_team_rank(team as u32);
        }
    }

    pub(super) fn add_usage(&mut self, team: u32, size: Room) {
        self.teams[team as usize].used += size;
        self.update_borrowing(team);
        self.update_team_rank(team);
    }

    pub(super) fn subtract_usage(&mut self, team: u32, size: Room) {
        self.teams[team as usize].used -= size;
        self.update_borrowing(team);
        self.update_team_rank(team);
    }

    /// Moves a team to its current position in the index of borrowers.
    fn update_borrowing(&mut self, index: u32) {
        let team = &mut self.teams[index as usize];
        let over = !team.quota.fits(&team.used);
        let ratio = over.then(|| team.usage_ratio());
        if ratio == team.borrowed_ratio {
            return;
        }
        if let Some(ratio) = team.borrowed_ratio {
            self.borrowers.remove(&(ratio, index));
        }
        if let Some(ratio) = ratio {
            self.borrowers.insert((ratio, index));
        }
        team.borrowed_ratio = ratio;
    }

    /// Moves a team to its current position in scheduling order.
    fn update_team_rank(&mut self, index: u32) {
        let team = &self.teams[index as usize];
        let rank = |first: Option<&GroupRank>| {
            first.map(|(class, _, _, group)| {
                let over = !team.fits_quota(&self.groups[*group as usize].size);
                (over, *class, team.usage_ratio(), index)
            })
        };
        let ready = rank(team.ready.first());
        let blocked = rank(team.blocked.first());
        let team = &mut self.teams[index as usize];
        replace(&mut self.ready_teams, &mut team.ready_rank, ready);
        replace(&mut self.blocked_teams, &mut team.blocked_rank, blocked);
    }

    /// Moves a group to its current position in the sets of its team.
    pub(super) fn update_group_rank(&mut self, index: u32) {
        let group = &self.groups[index as usize];
        let blocked = group.blocked || group.deferred_until.is_some();
        let position = group.queue.first_key_value().map(|((since, _), _)| {
            let window = since.0 / WINDOW.0;
            let scale = self.grids[self.local as usize].scale();
            let share = total_share(&group.size, &scale).to_bits();
            Position {
                blocked,
                rank: (group.class, window, Reverse(share), index),
                size: group.size,
            }
        });
        if position == group.position {
            return;
        }
        let team = group.team;
        let queues = &mut self.teams[team as usize];
        if let Some(position) = &group.position {
            queues.ranks(position.blocked).remove(&position.rank);
            if position.blocked {
                self.blocked_minimums.remove(&position.size);
            }
        }
        if let Some(position) = position {
            queues.ranks(position.blocked).insert(position.rank);
            if position.blocked {
                self.blocked_minimums.insert(&position.size);
            }
        }
        self.groups[index as usize].position = position;
        self.update_team_rank(team);
    }

    /// Adds a task to the waiting tasks, unless it waits or is placed already.
    pub fn enqueue(&mut self, _now: Instant, request: Request) {
        if self.waiting.contains_key(&request.task) || self.placements.contains_key(&request.task) {
            return;
        }
        let group = self.group_for(&request);
        self.arrivals += 1;
        let arrival = (request.since, self.arrivals);
        self.groups[group as usize]
            .queue
            .insert(arrival, (request.task, request.run_time));
        self.waiting.insert(request.task, (group, arrival));
        if request.class == Class::Urgent {
            // If it fits on no worker, it may evict other tasks at once.
            self.unblock(group);
        } else {
            self.update_group_rank(group);
        }
    }

    fn group_for(&mut self, request: &Request) -> u32 {
        let team = self.team_index(&request.team);
        let names = request.data_centres.iter();
        let data_centres: Vec<u16> = names.map(|name| self.data_centre_index(name)).collect();
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
        if let Some(index) = self.group_by_key.get(&key) {
            return *index;
        }
        let group = Group {
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
            position: None,
            blocked: false,
            deferred_until: None,
            evictions_pending: 0,
        };
        self.insert_group(key, group)
    }

    fn insert_group(&mut self, key: Key, group: Group) -> u32 {
        let service = group.service.clone();
        let index = match self.free_groups.pop() {
            Some(index) => {
                self.groups[index as usize] = group;
                index
            }
            None => {
                self.groups.push(group);
                self.groups.len() as u32 - 1
            }
        };
        self.group_by_key.insert(key, index);
        let indices = self.groups_by_service.entry(service).or_default();
        indices.insert(index);
        index
    }

    /// Frees an empty group of tasks that failed before. Other groups stay, as
    /// their number is bounded by the combinations of services and sizes.
    pub(super) fn free_group(&mut self, index: u32) {
        let group = &self.groups[index as usize];
        if group.avoid.is_empty() || !group.queue.is_empty() || group.evictions_pending > 0 {
            return;
        }
        if self.group_by_key.remove(&group.key).is_none() {
            return;
        }
        if let Some(indices) = self.groups_by_service.get_mut(&group.service) {
            indices.remove(&index);
        }
        if let Some(until) = group.deferred_until {
            self.deferred.remove(&(until, index));
        }
        self.blocked.remove(&index);
        self.free_groups.push(index);
    }

    /// Removes a waiting task whose job has ended.
    pub fn dequeue(&mut self, task: id::Task) {
        if let Some((group, arrival)) = self.waiting.remove(&task) {
            self.groups[group as usize].queue.remove(&arrival);
            self.update_group_rank(group);
            self.free_group(group);
        }
    }

    /// Updates the sizes of waiting tasks after a new observation.
    pub(super) fn apply_observed_sizes(&mut self, service: &id::Service) {
        let indices = self.groups_by_service.get(service);
        for index in indices.cloned().unwrap_or_default() {
            let group = &self.groups[index as usize];
            let size = self.corrected_size(service, &group.declared);
            if size != group.size {
                self.groups[index as usize].size = size;
                self.unblock(index);
            }
        }
    }

    pub(super) fn unblock(&mut self, index: u32) {
        let group = &mut self.groups[index as usize];
        group.blocked = false;
        if let Some(until) = group.deferred_until.take() {
            self.deferred.remove(&(until, index));
        }
        self.blocked.remove(&index);
        self.update_group_rank(index);
    }

    /// Returns why a task waits, if it fits on no worker.
    pub fn waiting_reason(&self, task: id::Task) -> Option<filbertbend_state::outcome::Reason> {
        use filbertbend_state::outcome::Reason;
        let (group, _) = self.waiting.get(&task)?;
        let group = &self.groups[*group as usize];
        if !group.blocked {
            return None;
        }
        let within = self.teams[group.team as usize].fits_quota(&group.size);
        Some(if within {
            Reason::NoRoom
        } else {
            Reason::QuotaExceeded
        })
    }
}

/// Replaces `current` by `rank` in `ranks`.
fn replace(ranks: &mut BTreeSet<TeamRank>, current: &mut Option<TeamRank>, rank: Option<TeamRank>) {
    if *current == rank {
        return;
    }
    if let Some(current) = current {
        ranks.remove(current);
    }
    if let Some(rank) = rank {
        ranks.insert(rank);
    }
    *current = rank;
}

/// Returns whether tasks of a group may run in a data centre.
pub(super) fn allows(group: &Group, data_centre: u16) -> bool {
    group.data_centres.is_empty() || group.data_centres.contains(&data_centre)
}
