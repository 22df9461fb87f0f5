//! All workers and the sessions with their agents.

use {
    super::{
        worker::{Expiry, Reservation, Worker},
        Settings,
    },
    crate::{
        id::{Fence, Job, Link, Node, Run, Task},
        interference::{Model, Weight},
        message::{Orders, Start},
    },
    filbertbend_state::{room::Room, time::Instant, unit::Millis},
    std::collections::{BTreeMap, BTreeSet, HashMap},
};

/// How long an expired lease is not acted on because the leader is behind. An
/// agent that hears nothing closes its link after 1.6 s and opens another within
/// 3 s, so its earlier reports are gone by then.
const MAX_POSTPONEMENT: Millis = Millis(5000);

/// The result of ordering a stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StopOutcome {
    /// The stop will be sent to the agent.
    Ordered,
    /// The stop is already pending, or there is no such run or worker.
    Repeated,
    /// The start was not sent yet and has been withdrawn.
    NeverOrdered,
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

    /// Returns all workers, for changes that cause no orders.
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (&Node, &mut Worker)> {
        self.workers.iter_mut()
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

    /// Lists the draining workers.
    pub(super) fn leaving(&self) -> Vec<Node> {
        self.workers
            .iter()
            .filter(|(_, worker)| worker.leaves_at.is_some())
            .map(|(node, _)| node.clone())
            .collect()
    }

    /// Opens a session and replaces an earlier one with the same agent.
    pub(super) fn open(
        &mut self,
        link: Link,
        node: Node,
        fence: Fence,
        now: Instant,
        settings: &Settings,
    ) {
        let worker = self
            .workers
            .entry(node.clone())
            .or_insert_with(|| Worker::new(now));
        if let Some(former) = worker.begin_session(link, fence, now, settings) {
            self.links.remove(&former);
        }
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

    /// Records that leases of former leaders are over at `until`.
    pub(super) fn end_former_leases(&mut self, until: Instant) {
        for worker in self.workers.values_mut() {
            worker.end_former_lease(until);
        }
    }

    /// Orders a stop. The resources stay reserved until the end is reported.
    pub(super) fn stop(&mut self, node: &Node, task: Task, run: Run) -> StopOutcome {
        let Some(worker) = self.get_mut(node) else {
            return StopOutcome::Repeated;
        };
        let is_unknown = !worker.reservations.contains_key(&(task, run));
        if is_unknown || worker.orders.stops.contains(&(task, run)) {
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
        self.get_mut(node).map(Worker::clear).unwrap_or_default()
    }

    /// Frees the resources of the runs on a worker that are over before its lease,
    /// and returns these runs.
    pub(super) fn clear_early(&mut self, node: &Node) -> Vec<(Task, Run)> {
        self.get_mut(node)
            .map(Worker::clear_early)
            .unwrap_or_default()
    }

    /// Lists workers with reservations whose leases have expired, or some of whose
    /// runs are over before. While the leader is behind, only those for which it
    /// has waited for [`MAX_POSTPONEMENT`].
    pub(super) fn expired_leases(&mut self, now: Instant, is_behind: bool) -> Vec<(Node, Expiry)> {
        let mut found = Vec::new();
        for (node, worker) in &mut self.workers {
            if worker.reservations.is_empty() || !worker.has_expired(now) {
                worker.overdue_since = None;
                continue;
            }
            let overdue_since = *worker.overdue_since.get_or_insert(now);
            if is_behind && now < overdue_since + MAX_POSTPONEMENT {
                continue;
            }
            if let Some(expiry) = worker.judge_expiry(now) {
                self.changed.insert(node.clone());
                found.push((node.clone(), expiry));
            }
        }
        found
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
