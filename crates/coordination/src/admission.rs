//! Admits requests by class and team, with guaranteed shares and bounded queues.
//!
//! Each class, team and service has its own queue. Free slots are shared out by
//! start-time fair queuing with the shares as weights: a queue whose start tag
//! lies behind that of the newest dispatch has used less than its share lately.
//! Such queues go first, the most urgent class before the others; what is left
//! is lent in the order of the tags. Every dispatch moves its queue's tag
//! ahead, so neither a flood of the least urgent work nor one of the most
//! urgent starves the others.
//!
//! A request is refused on arrival if its queue would hold it for longer than
//! the bound of its class or past its deadline. See `docs/design.md`,
//! section 11.

use {
    crate::routing::Supply,
    filbertbend_state::{
        id,
        outcome::Reason,
        time::Instant,
        unit::{Millis, Share},
    },
    std::collections::BTreeMap,
};

mod capacity;
mod event;
mod flow;

pub use event::{queue_limit, Action, Ask, Event};

use {
    capacity::Capacity,
    event::RETRY_FLOOR_MS,
    flow::{Flow, Key, Waiting},
};

/// Part of the slots that borrowers leave free while another queue is below
/// its guarantee, so that its next request need not wait for a completion.
const RESERVE: f64 = 0.05;
/// Queues beyond which teams without a share use one queue for each class and
/// service. Callers name the team, so its values are not bounded otherwise.
const QUEUES_LIMIT: usize = 1024;
/// Time after which a queue without requests is forgotten.
const IDLE_LIMIT_MS: Millis = Millis(10_000);
/// Time by whose worth of the capacity a queue may lag behind the fair order
/// when it becomes busy again. A queue that uses less than its share thereby
/// gets its bursts served before a flood.
const CREDIT_MS: f64 = 500.0;
/// What predicted waits are multiplied with. Their error grows with the length
/// of the queue, and a request that is served late has wasted its slot.
const WAIT_CAUTION: f64 = 1.15;
/// Wait proposed to a caller when no endpoint is known or alive.
const NO_ENDPOINT_RETRY_MS: Millis = Millis(1000);
/// Wait proposed to a caller by an entry that leaves; another one answers.
const LEAVING_RETRY_MS: Millis = Millis(100);

#[derive(Clone, Debug)]
struct Running {
    key: Key,
    waiting: Waiting,
    since: Instant,
}

/// Admits, queues and refuses requests.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    flows: BTreeMap<Key, Flow>,
    queued: BTreeMap<id::Request, Key>,
    running: BTreeMap<id::Request, Running>,
    services: BTreeMap<id::Service, Capacity>,
    total: Capacity,
    /// The start tag of the request dispatched last.
    virtual_time: f64,
    leaving: bool,
}

impl Gate {
    /// Makes a gate that refuses everything until endpoints are known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes one event in.
    pub fn step(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrived(ask) => self.arrived(now, ask, actions),
            Event::Completed(request) => self.completed(now, request),
            Event::Returned(request) => self.returned(now, request),
            Event::Dropped(request) => self.dropped(request),
            Event::Supplied {
                entries,
                total,
                services,
            } => self.supplied(entries, total, services),
            Event::Leave => self.leaving = true,
            Event::Tick => self.tick(now, actions),
        }
        self.dispatch(now, actions);
    }

    /// Returns the number of requests in all queues.
    pub fn queued(&self) -> usize {
        self.queued.len()
    }

    /// Returns the number of queues that are kept, empty ones among them.
    pub fn queues(&self) -> usize {
        self.flows.len()
    }

    /// Returns the number of dispatched requests that have not ended.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of requests that may be dispatched at a time.
    pub fn limit(&self) -> u32 {
        self.total.limit()
    }

    fn arrived(&mut self, now: Instant, ask: Ask, actions: &mut Vec<Action>) {
        if let Err((reason, retry_after)) = self.admits(now, &ask) {
            actions.push(Action::Refuse {
                request: ask.request,
                reason,
                retry_after: retry_after.max(RETRY_FLOOR_MS),
            });
            return;
        }
        let key = self.key(&ask);
        let predicted_ms = self.predicted_wait_ms(&key);
        let earliest = self.virtual_time - CREDIT_MS * f64::from(self.total.limit());
        let flow = self.flow(&ask, now);
        if flow.queue.is_empty() {
            flow.tag = flow.tag.max(earliest);
        }
        flow.queue.push_back(Waiting {
            request: ask.request,
            deadline: ask.deadline,
            since: now,
            predicted_ms,
        });
        self.queued.insert(ask.request, key);
    }

    /// Tells why `ask` must be refused now, and when a retry is worthwhile.
    fn admits(&mut self, now: Instant, ask: &Ask) -> Result<(), (Reason, Millis)> {
        if self.leaving {
            return Err((Reason::Leaving, LEAVING_RETRY_MS));
        }
        let supplied = self
            .services
            .get_mut(&ask.service)
            .filter(|capacity| capacity.limit() > 0);
        let Some(capacity) = supplied else {
            return Err((Reason::NoEndpoint, NO_ENDPOINT_RETRY_MS));
        };
        capacity.declare(ask.run_time);
        let need_ms = capacity.cautious_ms();
        let remaining_ms = ask.deadline.since(now).0 as f64;
        if remaining_ms < need_ms {
            return Err((Reason::DeadlineTooShort, Millis(need_ms as u64)));
        }
        self.flow(ask, now);
        let key = self.key(ask);
        let bias = self.flows.get(&key).map_or(1.0, Flow::bias);
        let wait_ms = self.predicted_wait_ms(&key) * bias * WAIT_CAUTION;
        let bound_ms = (queue_limit(ask.class).0 as f64).min(remaining_ms - need_ms);
        if wait_ms > bound_ms {
            let excess = Millis((wait_ms - bound_ms).ceil() as u64);
            return Err((Reason::QueueFull, excess));
        }
        Ok(())
    }

    fn key(&self, ask: &Ask) -> Key {
        let mut key = Key {
            class: ask.class,
            team: Some(ask.team.clone()),
            service: ask.service.clone(),
        };
        let is_over = ask.share == Share::NONE && self.flows.len() >= QUEUES_LIMIT;
        if is_over && !self.flows.contains_key(&key) {
            key.team = None;
        }
        key
    }

    fn flow(&mut self, ask: &Ask, now: Instant) -> &mut Flow {
        let key = self.key(ask);
        let flow = self.flows.entry(key).or_default();
        flow.share = ask.share;
        flow.arrived = now;
        flow
    }

    fn completed(&mut self, now: Instant, request: id::Request) {
        let Some(ended) = self.remove_running(request) else {
            return;
        };
        self.total.restore();
        if let Some(capacity) = self.services.get_mut(&ended.key.service) {
            capacity.restore();
            capacity.observe(now.since(ended.since));
        }
    }

    fn returned(&mut self, now: Instant, request: id::Request) {
        let Some(ended) = self.remove_running(request) else {
            return;
        };
        if let Some(capacity) = self.services.get_mut(&ended.key.service) {
            capacity.refused(now);
        }
        self.total.reduce();
        let flow = self.flows.entry(ended.key.clone()).or_default();
        flow.queue.push_front(ended.waiting);
        self.queued.insert(request, ended.key);
    }

    fn dropped(&mut self, request: id::Request) {
        if self.remove_running(request).is_some() {
            return;
        }
        if let Some(key) = self.queued.remove(&request) {
            if let Some(flow) = self.flows.get_mut(&key) {
                flow.queue.retain(|waiting| waiting.request != request);
            }
        }
    }

    fn remove_running(&mut self, request: id::Request) -> Option<Running> {
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

    fn supplied(&mut self, entries: u32, total: Supply, services: Vec<(id::Service, Supply)>) {
        self.total.supply(entries, total);
        let unsupplied = Supply::default();
        for capacity in self.services.values_mut() {
            capacity.supply(entries, unsupplied);
        }
        for (service, supply) in services {
            let capacity = self.services.entry(service).or_default();
            capacity.supply(entries, supply);
        }
    }

    /// Refuses what has waited too long to be served, and forgets idle queues.
    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for (key, flow) in &mut self.flows {
            let mean_ms = self
                .services
                .get(&key.service)
                .map_or(0.0, Capacity::mean_ms);
            let latest = now + Millis(mean_ms as u64);
            flow.queue.retain(|waiting| {
                let in_time = waiting.deadline >= latest;
                if !in_time {
                    self.queued.remove(&waiting.request);
                    actions.push(Action::late(waiting.request, mean_ms));
                }
                in_time
            });
        }
        self.flows
            .retain(|_, flow| !flow.is_idle() || now.since(flow.arrived) < IDLE_LIMIT_MS);
    }

    fn dispatch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while self.total.has_room(now) {
            let Some(key) = self.next_flow(now) else {
                return;
            };
            let Some(flow) = self.flows.get_mut(&key) else {
                return;
            };
            let Some(waiting) = flow.queue.pop_front() else {
                return;
            };
            self.queued.remove(&waiting.request);
            let Some(capacity) = self.services.get_mut(&key.service) else {
                return;
            };
            let mean_ms = capacity.mean_ms();
            if (waiting.deadline.since(now).0 as f64) < mean_ms {
                actions.push(Action::late(waiting.request, mean_ms));
                continue;
            }
            let waited_ms = now.since(waiting.since).0 as f64;
            flow.correct(waiting.predicted_ms, waited_ms);
            self.virtual_time = self.virtual_time.max(flow.tag);
            flow.tag += mean_ms / flow.weight();
            flow.running += 1;
            capacity.running += 1;
            self.total.running += 1;
            actions.push(Action::Dispatch(waiting.request));
            let running = Running {
                key,
                since: now,
                waiting,
            };
            self.running.insert(waiting.request, running);
        }
    }

    /// Chooses the queue that gets the next slot.
    fn next_flow(&self, now: Instant) -> Option<Key> {
        let waits = |key: &Key, flow: &Flow| {
            !flow.queue.is_empty()
                && self
                    .services
                    .get(&key.service)
                    .is_some_and(|capacity| capacity.has_room(now))
        };
        let behind = self
            .flows
            .iter()
            .filter(|(key, flow)| waits(key, flow) && flow.tag < self.virtual_time)
            .min_by(|(a, x), (b, y)| a.class.cmp(&b.class).then(x.tag.total_cmp(&y.tag)));
        if let Some((key, _)) = behind {
            return Some(key.clone());
        }
        let slots = f64::from(self.total.limit());
        let reserve = self.reserve(slots, self.guarantee_scale());
        if f64::from(self.total.running) >= slots - reserve {
            return None;
        }
        self.flows
            .iter()
            .filter(|(key, flow)| waits(key, flow))
            .min_by(|(_, x), (_, y)| x.tag.total_cmp(&y.tag))
            .map(|(key, _)| key.clone())
    }

    /// Guarantees that add up to more than the capacity are scaled down to it.
    fn guarantee_scale(&self) -> f64 {
        let shares: f64 = self.flows.values().map(|flow| flow.share.fraction()).sum();
        1.0 / shares.max(1.0)
    }

    /// Slots kept for queues that are in use and below their guarantee.
    fn reserve(&self, slots: f64, scale: f64) -> f64 {
        let unused: f64 = self
            .flows
            .values()
            .map(|flow| (flow.guarantee(slots * scale) - f64::from(flow.running)).max(0.0))
            .sum();
        (slots * RESERVE).round().min(unused.ceil())
    }

    /// Returns how long the next request of a queue should wait by the number
    /// of slots that it can count on, before the correction by actual waits.
    fn predicted_wait_ms(&self, key: &Key) -> f64 {
        let (Some(flow), Some(capacity)) = (self.flows.get(key), self.services.get(&key.service))
        else {
            return 0.0;
        };
        if flow.queue.is_empty() && self.total.running < self.total.limit() {
            return 0.0;
        }
        let slots = self.expected_slots(key, flow).min(capacity.limit().into());
        let queued = (flow.queue.len() + 1) as f64;
        queued * capacity.mean_ms() / slots.max(1.0)
    }

    /// Returns the slots that a queue can count on: its guarantee, or what the
    /// others leave if that is more. Others that have requests queued take
    /// their part by weight; the rest keep what they use.
    fn expected_slots(&self, key: &Key, flow: &Flow) -> f64 {
        let slots = f64::from(self.total.limit());
        let scale = self.guarantee_scale();
        let waiting = |flow: &Flow| !flow.queue.is_empty();
        let weights: f64 = self
            .flows
            .iter()
            .filter(|(other, found)| *other == key || waiting(found))
            .map(|(_, found)| found.weight())
            .sum();
        let used: f64 = self
            .flows
            .iter()
            .filter(|(other, found)| *other != key && !waiting(found))
            .map(|(_, found)| f64::from(found.running))
            .sum();
        let lent = (slots - used - self.reserve(slots, scale)).max(0.0) * flow.weight() / weights;
        lent.max(flow.guarantee(slots * scale))
    }
}
