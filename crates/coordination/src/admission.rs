//! Admission control by class and team, with guaranteed shares and bounded
//! queues.
//!
//! Each class, team and service has its own queue. Free slots are assigned by
//! start-time fair queuing with the shares as weights: a queue whose start tag
//! is lower than that of the newest dispatch has recently used less than its
//! share. Such queues are served first, the most urgent class before the others;
//! the remaining slots are lent in the order of the start tags. Every dispatch
//! advances its queue's tag, so neither a flood of the least urgent work nor one
//! of the most urgent work starves the other classes.
//!
//! A request is refused on arrival if it would be queued for longer than the
//! limit of its class or past its deadline. See `docs/design.md`, section 11.

use {
    crate::routing::SlotUsage,
    filbertbend_state::{
        id,
        outcome::Reason,
        time::Instant,
        unit::{Millis, Share},
    },
    std::collections::{BTreeMap, BTreeSet},
};

mod capacity;
mod event;
mod flow;
mod order;

pub use event::{max_queue_time, Action, Event, Request};

use {
    capacity::Capacity,
    event::RETRY_AFTER_MIN_MS,
    flow::{Flow, Key, QueuedRequest},
};

/// Number of queues from which on new teams without a share are put into one
/// queue per class and service. Callers choose the team name, so the number of
/// teams is not bounded otherwise.
const MAX_QUEUES: usize = 1024;
/// Time after which a queue without requests is removed.
const IDLE_TIMEOUT_MS: Millis = Millis(10_000);
/// Time between two searches for idle queues.
const CLEANUP_INTERVAL_MS: Millis = Millis(1000);
/// Credit of a queue that becomes busy again: its start tag may lie behind the
/// virtual time by as much work as all slots do in this time. A queue that uses
/// less than its share thus has its bursts served before a flood.
const BURST_CREDIT_MS: f64 = 500.0;
/// Factor applied to predicted waits. Their error grows with the length of the
/// queue, and a request that is served too late wastes its slot.
const WAIT_SAFETY_FACTOR: f64 = 1.15;
/// Retry delay returned when no endpoint is known or alive.
const NO_ENDPOINT_RETRY_AFTER_MS: Millis = Millis(1000);
/// Retry delay returned by an entry that leaves; another entry takes the retry.
const LEAVING_RETRY_AFTER_MS: Millis = Millis(100);

#[derive(Clone, Debug)]
struct RunningRequest {
    key: Key,
    queued: QueuedRequest,
    dispatched_at: Instant,
}

/// Admits, queues and refuses requests.
#[derive(Clone, Debug, Default)]
pub struct Controller {
    flows: BTreeMap<Key, Flow>,
    /// The flows with queued requests. With 880 teams most have none, and
    /// dispatch decisions iterate over these only.
    backlogged: BTreeSet<Key>,
    /// Sum of the shares of all flows, in thousandths.
    shares: u64,
    queued: BTreeMap<id::Request, Key>,
    running: BTreeMap<id::Request, RunningRequest>,
    services: BTreeMap<id::Service, Capacity>,
    total: Capacity,
    /// The start tag of the request dispatched last.
    virtual_time: f64,
    next_cleanup: Instant,
    leaving: bool,
}

impl Controller {
    /// Creates a controller, which refuses everything until endpoints are known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles one event and appends the resulting actions.
    pub fn step(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrived(request) => self.arrived(now, request, actions),
            Event::Completed(request) => self.completed(now, request),
            Event::Returned(request) => self.returned(now, request),
            Event::Dropped(request) => self.dropped(request),
            Event::SlotsChanged {
                entries,
                total,
                services,
            } => self.slots_changed(entries, total, services),
            Event::Leave => self.leaving = true,
            Event::Tick => self.tick(now, actions),
        }
        self.dispatch(now, actions);
    }

    /// Returns the number of requests in all queues.
    pub fn queued(&self) -> usize {
        self.queued.len()
    }

    /// Returns the number of queues, including empty ones.
    pub fn queues(&self) -> usize {
        self.flows.len()
    }

    /// Returns the number of dispatched requests that are in progress.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the concurrency limit over all services.
    pub fn limit(&self) -> u32 {
        self.total.limit()
    }

    fn arrived(&mut self, now: Instant, request: Request, actions: &mut Vec<Action>) {
        if let Err((reason, retry_after)) = self.check_admission(now, &request) {
            actions.push(Action::Refuse {
                request: request.id,
                reason,
                retry_after: retry_after.max(RETRY_AFTER_MIN_MS),
            });
            return;
        }
        let key = self.key(&request);
        let predicted_ms = self.predicted_wait_ms(&key);
        let earliest = self.virtual_time - BURST_CREDIT_MS * f64::from(self.total.limit());
        let flow = self.flow(&request, now);
        if flow.queue.is_empty() {
            flow.tag = flow.tag.max(earliest);
        }
        flow.queue.push_back(QueuedRequest {
            id: request.id,
            deadline: request.deadline,
            enqueued_at: now,
            predicted_ms,
        });
        self.backlogged.insert(key.clone());
        self.queued.insert(request.id, key);
    }

    /// Returns the reason and retry delay if `request` must be refused now.
    fn check_admission(&mut self, now: Instant, request: &Request) -> Result<(), (Reason, Millis)> {
        if self.leaving {
            return Err((Reason::Leaving, LEAVING_RETRY_AFTER_MS));
        }
        let supplied = self
            .services
            .get_mut(&request.service)
            .filter(|capacity| capacity.limit() > 0);
        let Some(capacity) = supplied else {
            return Err((Reason::NoEndpoint, NO_ENDPOINT_RETRY_AFTER_MS));
        };
        capacity.set_declared(request.run_time);
        let need_ms = capacity.conservative_ms();
        let remaining_ms = request.deadline.since(now).0 as f64;
        if remaining_ms < need_ms {
            capacity.decay_towards_declared(request.run_time);
            return Err((Reason::DeadlineTooShort, Millis(need_ms as u64)));
        }
        self.flow(request, now);
        let key = self.key(request);
        let bias = self.flows.get(&key).map_or(1.0, Flow::bias);
        let wait_ms = self.predicted_wait_ms(&key) * bias * WAIT_SAFETY_FACTOR;
        let bound_ms = (max_queue_time(request.class).0 as f64).min(remaining_ms - need_ms);
        if wait_ms > bound_ms {
            let excess = Millis((wait_ms - bound_ms).ceil() as u64);
            return Err((Reason::QueueFull, excess));
        }
        Ok(())
    }

    fn key(&self, request: &Request) -> Key {
        let mut key = Key {
            class: request.class,
            team: Some(request.team.clone()),
            service: request.service.clone(),
        };
        let is_over_limit = request.share == Share::NONE && self.flows.len() >= MAX_QUEUES;
        if is_over_limit && !self.flows.contains_key(&key) {
            key.team = None;
        }
        key
    }

    fn flow(&mut self, request: &Request, now: Instant) -> &mut Flow {
        let key = self.key(request);
        let flow = self.flows.entry(key).or_default();
        self.shares -= u64::from(flow.share.thousandths());
        self.shares += u64::from(request.share.thousandths());
        flow.share = request.share;
        flow.arrived_at = now;
        flow
    }

    fn completed(&mut self, now: Instant, request: id::Request) {
        let Some(ended) = self.remove_running(request) else {
            return;
        };
        self.total.increase_limit();
        if let Some(capacity) = self.services.get_mut(&ended.key.service) {
            capacity.increase_limit();
            capacity.observe(now.since(ended.dispatched_at));
        }
    }

    fn returned(&mut self, now: Instant, request: id::Request) {
        let Some(ended) = self.remove_running(request) else {
            return;
        };
        if let Some(capacity) = self.services.get_mut(&ended.key.service) {
            capacity.refused(now);
        }
        self.total.decrease_limit();
        let flow = self.flows.entry(ended.key.clone()).or_default();
        flow.queue.push_front(ended.queued);
        self.backlogged.insert(ended.key.clone());
        self.queued.insert(request, ended.key);
    }

    fn dropped(&mut self, request: id::Request) {
        if self.remove_running(request).is_some() {
            return;
        }
        if let Some(key) = self.queued.remove(&request) {
            if let Some(flow) = self.flows.get_mut(&key) {
                flow.queue.retain(|queued| queued.id != request);
                if flow.queue.is_empty() {
                    self.backlogged.remove(&key);
                }
            }
        }
    }

    fn remove_running(&mut self, request: id::Request) -> Option<RunningRequest> {
        let ended = self.running.remove(&request)?;
        self.total.running -= 1;
        if let Some(capacity) = self.services.get_mut(&ended.key.service) {
            capacity.running -= 1;
        }
        if let Some(flow) = self.flows.get_mut(&ended.key) {
            flow.running -= 1;
        }
        Some(ended)
    }

    fn slots_changed(
        &mut self,
        entries: u32,
        total: SlotUsage,
        services: Vec<(id::Service, SlotUsage)>,
    ) {
        self.total.set_slots(entries, total);
        let no_slots = SlotUsage::default();
        for capacity in self.services.values_mut() {
            capacity.set_slots(entries, no_slots);
        }
        for (service, usage) in services {
            let capacity = self.services.entry(service).or_default();
            capacity.set_slots(entries, usage);
        }
    }

    /// Refuses requests that can no longer meet their deadline, and removes idle
    /// queues.
    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for key in std::mem::take(&mut self.backlogged) {
            let mean_ms = self
                .services
                .get(&key.service)
                .map_or(0.0, Capacity::mean_ms);
            let latest = now + Millis(mean_ms as u64);
            let Some(flow) = self.flows.get_mut(&key) else {
                continue;
            };
            flow.queue.retain(|queued| {
                let in_time = queued.deadline >= latest;
                if !in_time {
                    self.queued.remove(&queued.id);
                    actions.push(Action::refuse_late(queued.id, mean_ms));
                }
                in_time
            });
            if !flow.queue.is_empty() {
                self.backlogged.insert(key);
            }
        }
        if now >= self.next_cleanup {
            self.next_cleanup = now + CLEANUP_INTERVAL_MS;
            self.flows
                .retain(|_, flow| !flow.is_idle() || now.since(flow.arrived_at) < IDLE_TIMEOUT_MS);
            let shares = self.flows.values().map(|flow| flow.share.thousandths());
            self.shares = shares.map(u64::from).sum();
        }
    }

    fn dispatch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while self.total.has_room(now) {
            let Some(key) = self.next_flow(now) else {
                return;
            };
            let Some(flow) = self.flows.get_mut(&key) else {
                return;
            };
            let Some(queued) = flow.queue.pop_front() else {
                return;
            };
            if flow.queue.is_empty() {
                self.backlogged.remove(&key);
            }
            self.queued.remove(&queued.id);
            let Some(capacity) = self.services.get_mut(&key.service) else {
                return;
            };
            let mean_ms = capacity.mean_ms();
            if (queued.deadline.since(now).0 as f64) < mean_ms {
                actions.push(Action::refuse_late(queued.id, mean_ms));
                continue;
            }
            let waited_ms = now.since(queued.enqueued_at).0 as f64;
            flow.update_bias(queued.predicted_ms, waited_ms);
            self.virtual_time = self.virtual_time.max(flow.tag);
            flow.tag += mean_ms / flow.weight();
            flow.running += 1;
            capacity.running += 1;
            self.total.running += 1;
            actions.push(Action::Dispatch(queued.id));
            let running = RunningRequest {
                key,
                dispatched_at: now,
                queued,
            };
            self.running.insert(queued.id, running);
        }
    }
}
