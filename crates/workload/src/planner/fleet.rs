//! The workers, the sessions with their agents, and the reservations on each
//! worker.

use {
    super::headroom::Headroom,
    crate::{
        id::{Fence, Incarnation, Job, Link, Node, Run, Sequence, Task},
        interference::{Model, Service, Weight},
        message::{Orders, Role, Start},
        worker::Profile,
    },
    filbertbend_state::{
        room::Room,
        time::Instant,
        unit::{Cores, Millis},
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
        sync::Arc,
    },
};

/// The resources that a run reserves on its worker.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Reservation {
    pub(super) room: Room,
    /// The cores that a best-effort task would use if they were idle; zero for
    /// others.
    pub(super) best_effort_cores: Cores,
    /// The service that the run is a replica of, if it serves users.
    pub(super) service: Option<Service>,
    pub(super) image: Arc<str>,
    pub(super) priority: u8,
}

/// The recent failures on a worker.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    /// Failures since the last success.
    pub(super) failures: u32,
    pub(super) last_failure: Instant,
}

/// The fraction of its reserved cores that a service leaves unused on average:
/// it reserves for its peak, and the platform's services run at half of that.
const UNUSED_FRACTION: f64 = 0.5;
/// The result of ordering a stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StopOutcome {
    /// The stop will be sent to the agent.
    Ordered,
    /// The stop is already pending, or there is no such worker.
    Repeated,
    /// The start was not sent yet and has been withdrawn.
    NeverOrdered,
}

/// Consecutive failures after which a worker is on probation.
const FAILURE_LIMIT: u32 = 3;
/// How long a worker stays on probation after its last failure.
const FAILURE_WINDOW: Millis = Millis(6000);

/// One worker and the session with its agent.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub(super) link: Option<Link>,
    pub(super) fence: Fence,
    pub(super) profile: Option<Profile>,
    /// The incarnation that the inventory of this session belongs to.
    pub(super) incarnation: Option<Incarnation>,
    pub(super) reservations: BTreeMap<(Task, Run), Reservation>,
    pub(super) used: Room,
    pub(super) best_effort_cores: Cores,
    /// When all runs on the worker have certainly ended unless the lease is
    /// renewed.
    pub(super) lease_until: Option<Instant>,
    pub(super) last_report: Instant,
    /// When the worker leaves, if it is draining.
    pub(super) leaves_at: Option<Instant>,
    pub(super) health: Health,
    /// What the services leave to best-effort tasks; `None` after a change.
    headroom: Option<Headroom>,
    orders: Orders,
    /// Starts whose placement is not durable yet, each with the version of the
    /// job that contains it.
    pending_starts: Vec<(Start, u64)>,
    /// Ends that were processed but are not durable yet, each with the version
    /// of its job.
    pending_ends: VecDeque<(Sequence, Job, u64)>,
    last_end: Sequence,
    acknowledged: Sequence,
}

impl Worker {
    fn new(now: Instant) -> Self {
        Self {
            link: None,
            fence: Fence::default(),
            profile: None,
            incarnation: None,
            reservations: BTreeMap::new(),
            used: Room::NONE,
            best_effort_cores: Cores::ZERO,
            lease_until: None,
            last_report: now,
            leaves_at: None,
            health: Health::default(),
            headroom: None,
            orders: Orders::default(),
            pending_starts: Vec::new(),
            pending_ends: VecDeque::new(),
            last_end: Sequence(0),
            acknowledged: Sequence(0),
        }
    }

    /// Returns whether the worker may get tasks.
    pub(super) fn is_usable(&self, now: Instant, silence_limit: Millis) -> bool {
        self.link.is_some()
            && now < self.last_report + silence_limit
            && self.incarnation.is_some()
            && self.lease_until.is_some_and(|until| now < until)
            && self.profile.as_ref().is_some_and(|profile| {
                !profile.draining && Some(&profile.incarnation) == self.incarnation.as_ref()
            })
    }

    /// Returns whether the worker gets only one task at a time because of
    /// recent failures.
    pub(super) fn is_on_probation(&self, now: Instant) -> bool {
        self.health.failures >= FAILURE_LIMIT && now < self.health.last_failure + FAILURE_WINDOW
    }

    /// Returns the services that have replicas on the worker.
    pub(super) fn services(&self) -> impl Iterator<Item = &Service> {
        self.reservations
            .values()
            .filter_map(|reservation| reservation.service.as_ref())
    }

    /// Computes the headroom if it was invalidated.
    pub(super) fn update_headroom(&mut self, model: &Model) {
        if self.headroom.is_none() {
            let mut headroom = Headroom::default();
            for reservation in self.reservations.values() {
                if let Some(service) = &reservation.service {
                    headroom.add_service(model, service);
                }
                if reservation.best_effort_cores > Cores::ZERO {
                    headroom.add_best_effort(
                        &reservation.image,
                        self.fraction(reservation.best_effort_cores),
                    );
                }
            }
            headroom.update_demands(model);
            self.headroom = Some(headroom);
        }
    }

    /// Makes the next [`Worker::update_headroom`] compute the headroom again.
    pub(super) fn invalidate_headroom(&mut self) {
        self.headroom = None;
    }

    fn fraction(&self, cores: Cores) -> f64 {
        let whole = self.profile.as_ref().map(|profile| profile.room.cores.0);
        cores.0 as f64 / whole.unwrap_or(0).max(1) as f64
    }

    /// Returns the fraction of a best-effort task that the services on the
    /// worker tolerate: above 1 if they tolerate more, infinite without
    /// services, and 0 if the headroom has not been computed.
    pub(super) fn tolerance(&self, model: &Model, image: &Arc<str>, cores: Cores) -> f64 {
        self.headroom.as_ref().map_or(0.0, |headroom| {
            headroom.tolerance(model, image, self.fraction(cores))
        })
    }

    /// Returns the cores that a further best-effort task can expect: unreserved
    /// cores and those that services reserve but leave unused, less the cores
    /// that the present best-effort tasks would use.
    pub(super) fn idle_cores(&self) -> f64 {
        let serving: u64 = self
            .reservations
            .values()
            .filter(|reservation| reservation.service.is_some())
            .map(|reservation| reservation.room.cores.0)
            .sum();
        let unused = serving as f64 * UNUSED_FRACTION;
        self.free().cores.0 as f64 + unused - self.best_effort_cores.0 as f64
    }

    /// Returns the unreserved resources.
    pub(super) fn free(&self) -> Room {
        self.profile
            .as_ref()
            .map_or(Room::NONE, |profile| profile.room - self.used)
    }

    fn reserve(&mut self, task: Task, run: Run, reservation: Reservation) {
        self.headroom = None;
        self.used += reservation.room;
        self.best_effort_cores += reservation.best_effort_cores;
        self.reservations.insert((task, run), reservation);
    }

    fn release(&mut self, task: Task, run: Run) -> bool {
        let Some(reservation) = self.reservations.remove(&(task, run)) else {
            return false;
        };
        self.headroom = None;
        self.used -= reservation.room;
        self.best_effort_cores -= reservation.best_effort_cores;
        true
    }

    /// Records the number of an end; returns whether it is new in this session.
    pub(super) fn record_end(&mut self, sequence: Sequence) -> bool {
        let new = sequence > self.last_end;
        self.last_end = self.last_end.max(sequence);
        new
    }

    /// Defers the acknowledgement of an end until the job's version is durable.
    pub(super) fn defer_acknowledgement(&mut self, sequence: Sequence, job: Job, version: u64) {
        self.pending_ends.push_back((sequence, job, version));
    }

    /// Returns whether starts or ends wait for changes to be durable.
    fn is_pending(&self) -> bool {
        !self.pending_starts.is_empty() || !self.pending_ends.is_empty()
    }

    /// Queues the starts whose placement is durable and acknowledges the ends
    /// whose consequences are durable.
    fn release_durable(&mut self, is_durable: impl Fn(Job, u64) -> bool) {
        let ready = self
            .pending_starts
            .extract_if(.., |(start, version)| is_durable(start.task.job, *version));
        self.orders.starts.extend(ready.map(|(start, _)| start));
        let mut acknowledged = None;
        while let Some((sequence, job, version)) = self.pending_ends.front() {
            if !is_durable(*job, *version) {
                break;
            }
            acknowledged = Some(*sequence);
            self.pending_ends.pop_front();
        }
        if let Some(acknowledged) =
            acknowledged.filter(|acknowledged| *acknowledged > self.acknowledged)
        {
            self.acknowledged = acknowledged;
            self.orders.acknowledged = Some(acknowledged);
        }
    }

    /// Queues learned interference weights for the agent.
    pub(super) fn send_weights(&mut self, weights: Vec<Weight>) {
        self.orders.weights.extend(weights);
    }

    /// Queues the role of a run that the agent may not have started itself.
    pub(super) fn send_role(&mut self, task: Task, run: Run, role: Role) {
        self.orders.roles.push((task, run, role));
    }

    pub(super) fn lease(&mut self, request: u64, lease: Millis, until: Instant) {
        self.orders.lease = Some((request, lease));
        self.lease_until = self.lease_until.max(Some(until));
    }
}

/// All workers, by the node of their agents.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    workers: BTreeMap<Node, Worker>,
    links: HashMap<Link, Node>,
    /// The workers that may have orders to send.
    changed: BTreeSet<Node>,
    /// The workers with starts or ends that wait for changes to be durable.
    pending: BTreeSet<Node>,
}

impl Fleet {
    pub(super) fn iter(&self) -> impl Iterator<Item = (&Node, &Worker)> {
        self.workers.iter()
    }

    /// Returns the number of known workers, usable or not.
    pub(super) fn len(&self) -> usize {
        self.workers.len()
    }

    pub(super) fn get(&self, node: &Node) -> Option<&Worker> {
        self.workers.get(node)
    }

    /// Returns a worker, whose orders are examined at the next
    /// [`Fleet::take_orders`].
    pub(super) fn get_mut(&mut self, node: &Node) -> Option<&mut Worker> {
        let worker = self.workers.get_mut(node)?;
        if !self.changed.contains(node) {
            self.changed.insert(node.clone());
        }
        Some(worker)
    }

    /// Computes the headroom of every worker whose headroom was invalidated.
    pub(super) fn update_headroom(&mut self, model: &Model) {
        for worker in self.workers.values_mut() {
            worker.update_headroom(model);
        }
    }

    /// Invalidates the headroom of every worker, because the interference model
    /// has changed.
    pub(super) fn invalidate_headroom(&mut self) {
        for worker in self.workers.values_mut() {
            worker.invalidate_headroom();
        }
    }

    /// Returns the reserved fraction of a pool's most used resource.
    pub(super) fn used_fraction(&self, pool: &str) -> f64 {
        let mut whole = Room::NONE;
        let mut used = Room::NONE;
        for worker in self.workers.values() {
            if let Some(profile) = worker
                .profile
                .as_ref()
                .filter(|profile| *profile.pool == *pool && worker.link.is_some())
            {
                whole += profile.room;
                used += worker.used;
            }
        }
        used.dominant_share(&whole)
    }

    /// Returns the node that a session belongs to.
    pub(super) fn node(&self, link: Link) -> Option<Node> {
        self.links.get(&link).cloned()
    }

    /// Returns the number of workers that may get tasks.
    pub(super) fn usable(&self, now: Instant, silence_limit: Millis) -> usize {
        self.workers
            .values()
            .filter(|worker| worker.is_usable(now, silence_limit))
            .count()
    }

    /// Lists the draining workers.
    pub(super) fn leaving(&self) -> Vec<Node> {
        self.workers
            .iter()
            .filter(|(_, worker)| worker.leaves_at.is_some())
            .map(|(node, _)| node.clone())
            .collect()
    }

    /// Opens a session and replaces an earlier one with the same agent.
    pub(super) fn open(&mut self, link: Link, node: Node, fence: Fence, now: Instant) {
        let worker = self
            .workers
            .entry(node.clone())
            .or_insert_with(|| Worker::new(now));
        if let Some(former) = worker.link.replace(link) {
            self.links.remove(&former);
        }
        worker.fence = fence;
        worker.last_report = now;
        worker.incarnation = None;
        worker.orders = Orders::default();
        worker.pending_starts.clear();
        worker.pending_ends.clear();
        worker.last_end = Sequence(0);
        worker.acknowledged = Sequence(0);
        self.links.insert(link, node);
    }

    /// Closes a session; the worker and its reservations are kept.
    pub(super) fn close(&mut self, link: Link) {
        if let Some(node) = self.links.remove(&link) {
            if let Some(worker) = self.workers.get_mut(&node) {
                if worker.link == Some(link) {
                    worker.link = None;
                }
            }
        }
    }

    /// Records that the inventory of a worker has arrived in this session.
    pub(super) fn confirm_inventory(&mut self, node: &Node, incarnation: &Incarnation) {
        if let Some(worker) = self.get_mut(node) {
            worker.incarnation = Some(incarnation.clone());
        }
    }

    /// Reserves resources for a run that is already on the worker.
    pub(super) fn adopt(&mut self, node: &Node, task: Task, run: Run, reservation: Reservation) {
        if let Some(worker) = self.get_mut(node) {
            worker.reserve(task, run, reservation);
        }
    }

    /// Reserves resources for a run and sends its start once `version` of its
    /// job is durable.
    pub(super) fn start(
        &mut self,
        node: &Node,
        start: Start,
        version: u64,
        reservation: Reservation,
    ) {
        if let Some(worker) = self.get_mut(node) {
            worker.reserve(start.task, start.run, reservation);
            worker.pending_starts.push((start, version));
        }
    }

    /// Reserves resources for a run that a former leader ordered on a worker
    /// that may not have reported yet. The run has certainly ended at `until`.
    pub(super) fn reserve_until(
        &mut self,
        now: Instant,
        node: &Node,
        (task, run): (Task, Run),
        until: Instant,
        reservation: Reservation,
    ) {
        let worker = self
            .workers
            .entry(node.clone())
            .or_insert_with(|| Worker::new(now));
        worker.lease_until = worker.lease_until.max(Some(until));
        worker.reserve(task, run, reservation);
    }

    /// Orders a stop. The resources stay reserved until the end is reported.
    pub(super) fn stop(&mut self, node: &Node, task: Task, run: Run) -> StopOutcome {
        let Some(worker) = self.get_mut(node) else {
            return StopOutcome::Repeated;
        };
        if worker.orders.stops.contains(&(task, run)) {
            return StopOutcome::Repeated;
        }
        let withdrawn = worker
            .pending_starts
            .extract_if(.., |(start, _)| (start.task, start.run) == (task, run));
        if withdrawn.count() > 0 {
            worker.release(task, run);
            return StopOutcome::NeverOrdered;
        }
        worker.orders.stops.push((task, run));
        StopOutcome::Ordered
    }

    /// Frees the resources of a run that has ended; returns whether any were
    /// reserved.
    pub(super) fn release(&mut self, node: &Node, task: Task, run: Run) -> bool {
        self.get_mut(node)
            .is_some_and(|worker| worker.release(task, run))
    }

    /// Frees all resources on a worker and returns the runs that held them.
    pub(super) fn clear(&mut self, node: &Node) -> Vec<(Task, Run)> {
        let Some(worker) = self.get_mut(node) else {
            return Vec::new();
        };
        worker.headroom = None;
        worker.used = Room::NONE;
        worker.best_effort_cores = Cores::ZERO;
        worker.pending_starts.clear();
        worker.orders.starts.clear();
        worker.orders.stops.clear();
        std::mem::take(&mut worker.reservations)
            .into_keys()
            .collect()
    }

    /// Lists workers whose leases have expired and that still hold
    /// reservations.
    pub(super) fn expired_leases(&self, now: Instant) -> Vec<Node> {
        self.workers
            .iter()
            .filter(|(_, worker)| {
                !worker.reservations.is_empty()
                    && worker.lease_until.is_some_and(|until| now >= until)
            })
            .map(|(node, _)| node.clone())
            .collect()
    }

    /// Removes workers that are disconnected, hold no reservations and have not
    /// reported for `after`.
    pub(super) fn remove_gone(&mut self, now: Instant, after: Millis) {
        self.workers.retain(|_, worker| {
            let gone = worker.link.is_none()
                && worker.reservations.is_empty()
                && now >= worker.last_report + after
                && worker.lease_until.is_none_or(|until| now >= until);
            !gone
        });
    }

    /// Queues learned interference weights for all agents.
    pub(super) fn send_weights(&mut self, weights: &[Weight]) {
        if weights.is_empty() {
            return;
        }
        for (node, worker) in &mut self.workers {
            worker.send_weights(weights.to_vec());
            self.changed.insert(node.clone());
        }
    }

    /// Takes the orders to send in each session. If `durability_changed`, those
    /// that waited for changes to be durable are examined too.
    pub(super) fn take_orders(
        &mut self,
        durability_changed: bool,
        is_durable: impl Fn(Job, u64) -> bool,
    ) -> Vec<(Link, Orders)> {
        let mut examined = std::mem::take(&mut self.changed);
        if durability_changed {
            examined.append(&mut self.pending);
        }
        let mut taken = Vec::new();
        for node in examined {
            let Some(worker) = self.workers.get_mut(&node) else {
                continue;
            };
            worker.release_durable(&is_durable);
            if let Some(link) = worker.link.filter(|_| !worker.orders.is_empty()) {
                taken.push((link, std::mem::take(&mut worker.orders)));
            }
            if worker.is_pending() {
                self.pending.insert(node);
            }
        }
        taken
    }
}

/// Returns whether a worker has a label, which is its kind or its rack.
pub(super) fn has_label(profile: &Profile, label: &Arc<str>) -> bool {
    profile.labels.contains(label)
}
