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

pub use event::{queue_limit, Action, Ask, Event};

use {
    capacity::Capacity,
    event::RETRY_FLOOR_MS,
    flow::{Flow, Key, Waiting},
};

/// Queues beyond which teams without a share use one queue for each class and
/// service. Callers name the team, so its values are not bounded otherwise.
const QUEUES_LIMIT: usize = 1024;
/// Time after which a queue without requests is forgotten.
const IDLE_LIMIT_MS: Millis = Millis(10_000);
/// Time between two searches for such queues.
const CLEANING_INTERVAL_MS: Millis = Millis(1000);
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
    /// The flows with requests queued. With 880 teams most have none, and
    /// decisions look at these only.
    waiting: BTreeSet<Key>,
    /// The sum of all flows' shares, in thousandths.
    shares: u64,
    queued: BTreeMap<id::Request, Key>,
    running: BTreeMap<id::Request, Running>,
    services: BTreeMap<id::Service, Capacity>,
    total: Capacity,
    /// The start tag of the request dispatched last.
    virtual_time: f64,
    next_cleaning: Instant,
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
        self.waiting.insert(key.clone());
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
            capacity.doubt(ask.run_time);
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
        self.shares -= u64::from(flow.share.thousandths());
        self.shares += u64::from(ask.share.thousandths());
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
        self.waiting.insert(ended.key.clone());
        self.queued.insert(request, ended.key);
    }

    fn dropped(&mut self, request: id::Request) {
        if self.remove_running(request).is_some() {
            return;
        }
        if let Some(key) = self.queued.remove(&request) {
            if let Some(flow) = self.flows.get_mut(&key) {
                flow.queue.retain(|waiting| waiting.request != request);
                if flow.queue.is_empty() {
                    self.waiting.remove(&key);
                }
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

    fn supplied(
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

    /// Refuses what has waited too long to be served, and forgets idle queues.
    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for key in std::mem::take(&mut self.waiting) {
            let mean_ms = self
                .services
                .get(&key.service)
                .map_or(0.0, Capacity::mean_ms);
            let latest = now + Millis(mean_ms as u64);
            let Some(flow) = self.flows.get_mut(&key) else {
                continue;
            };
            flow.queue.retain(|waiting| {
                let in_time = waiting.deadline >= latest;
                if !in_time {
                    self.queued.remove(&waiting.request);
                    actions.push(Action::late(waiting.request, mean_ms));
                }
                in_time
            });
            if !flow.queue.is_empty() {
                self.waiting.insert(key);
            }
        }
        if now >= self.next_cleaning {
            self.next_cleaning = now + CLEANING_INTERVAL_MS;
            self.flows
                .retain(|_, flow| !flow.is_idle() || now.since(flow.arrived) < IDLE_LIMIT_MS);
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
            let Some(waiting) = flow.queue.pop_front() else {
                return;
            };
            if flow.queue.is_empty() {
                self.waiting.remove(&key);
            }
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
}
