//! Schedules the jobs and orders of one slice.
//!
//! An [`Owner`] keeps the durable state of its slice as an [`Image`] and
//! changes it only when a record has become durable, so nothing is sent or
//! answered that a new owner would not know of. Each decision that is not yet
//! durable is marked on its task or job, which keeps a second decision about
//! the same thing from being made, and is undone by clearing the mark.
//!
//! `docs/design.md`, section 7, explains the exchange of start, claim and
//! grant, and section 10 what happens when each part fails.

mod call;
mod dispatch;
mod event;
mod image;
mod order;
mod record;
mod recover;
mod report;
mod result;
mod state;
mod stored;
mod timer;
mod write;

pub use {
    event::{Action, Authority, Counter, Event, Reply, Ticket},
    image::{Current, End, Image, Job, Task},
    record::{Record, Stored, Termination, BUCKETS},
    recover::Recovery,
    result::chunk_key,
};

use {
    crate::placement,
    filbertbend_state::{
        id,
        time::{Instant, Wall},
        unit::Millis,
    },
    state::{Agent, Live, Open, Read, Submitting, Timer},
    std::collections::{BTreeMap, BTreeSet},
};

/// The length of a lease; the agent renews every third of it.
pub const LEASE: Millis = Millis::from_secs(15);

/// The drift of clocks that leases allow for, in parts per hundred.
const DRIFT_PERCENT: u64 = 2;

/// The part of the drift that does not depend on the length of the lease.
const DRIFT_MS: u64 = 200;

/// How often a start is resent until the agent answers.
pub const START_RESEND_INTERVAL: Millis = Millis(500);

/// How long a start waits for its claim before the attempt is abandoned. An
/// agent that is silent for this long is a suspect.
pub const START_TIMEOUT: Millis = Millis(2000);

/// The same for an order, which may wait at its endpoint for a free slot.
pub const ORDER_START_TIMEOUT: Millis = Millis::from_secs(10);

/// How often an eviction, a cancellation or a withdrawal is resent.
pub const COMMAND_RESEND_INTERVAL: Millis = Millis(1000);

/// How long an eviction may take before it is given up and the task goes on.
pub const EVICT_TIMEOUT: Millis = Millis::from_secs(30);

/// How long a job's outcome, result and idempotency key are remembered.
pub const RETENTION: Millis = Millis::from_secs(24 * 3600);

/// Largest output that is kept in the journal itself, in bytes.
pub const INLINE_LIMIT_BYTES: usize = 48 << 10;

/// Largest chunk of an output that is kept outside the journal, in bytes.
pub const CHUNK_LIMIT_BYTES: usize = 512 << 10;

/// Most orders of one customer that wait at the same time.
pub const ORDERS_LIMIT: usize = 256;

/// Most tasks of one job.
pub const TASKS_LIMIT: u32 = 10_000;

/// Failures of one task after which its job is parked even if the fleet has
/// too few workers in good standing to prove that the job is at fault.
pub const FAILURES_LIMIT: u32 = 10;

/// Returns when a lease that is granted at `now` is certainly over, whatever
/// the drift of the agent's clock within its bounds.
pub fn lease_end(now: Instant, lease: Millis) -> Instant {
    now + lease + Millis(lease.0 * DRIFT_PERCENT / 100 + DRIFT_MS)
}

/// The scheduler of one slice.
#[derive(Debug)]
pub struct Owner {
    slice: id::Slice,
    image: Image,
    authority: Authority,
    /// Until when a former owner may have renewed leases.
    former_leases_until: Instant,
    /// Set when the slice is owned by another entry; nothing is done then.
    lost: bool,
    store_available: bool,
    wall: Wall,
    ticket: Ticket,
    writes: BTreeMap<Ticket, Vec<Record>>,
    submitting: BTreeMap<id::Job, Submitting>,
    open: BTreeMap<id::Job, Open>,
    live: BTreeMap<id::Task, Live>,
    by_worker: BTreeMap<id::Worker, BTreeSet<id::Task>>,
    agents: BTreeMap<id::Worker, Agent>,
    keys: BTreeMap<state::IdempotencyKey, id::Job>,
    customers: BTreeMap<id::Customer, BTreeMap<u64, id::Job>>,
    /// Customers whose next order may be ready to run.
    ready: BTreeSet<id::Customer>,
    chunks: BTreeMap<Ticket, id::Task>,
    reads: BTreeMap<u64, Read>,
    fetches: BTreeMap<Ticket, (u64, usize)>,
    timers: BTreeSet<(Instant, Timer)>,
}

impl Owner {
    /// Returns the slice.
    pub fn slice(&self) -> id::Slice {
        self.slice
    }

    /// Returns the durable state.
    pub fn image(&self) -> &Image {
        &self.image
    }

    /// Tells whether the slice is owned by another entry.
    pub fn is_lost(&self) -> bool {
        self.lost
    }

    /// Returns how long the leases that are granted now still last, for the
    /// record of a graceful hand-over. The former owner must not be stepped
    /// after it has read this.
    pub fn lease_remaining(&self, now: Instant) -> Millis {
        let granted = self
            .live
            .values()
            .filter(|live| live.may_run)
            .map(|live| live.lease_end.since(now))
            .max();
        granted.unwrap_or(Millis::ZERO)
    }

    /// Takes one event and adds what is to be done to `actions`.
    ///
    /// Decisions of `planner` are made by [`placement::Planner::decide`] and
    /// come back as [`Event::Decision`], because the planner is shared by all
    /// slices of the entry process.
    pub fn step(
        &mut self,
        now: Instant,
        event: Event,
        planner: &mut placement::Planner,
        actions: &mut Vec<Action>,
    ) {
        if let Event::Tick { wall } | Event::Call { wall, .. } = &event {
            self.wall = *wall;
        }
        if self.lost {
            self.refuse_lost(event, actions);
            return;
        }
        let cx = &mut Context {
            now,
            planner,
            actions,
        };
        match event {
            Event::Call { reply, call, .. } => self.call(cx, reply, call),
            Event::Report {
                worker,
                attempt,
                report,
            } => self.report(cx, &worker, attempt, report),
            Event::Inventory { worker, attempts } => self.inventory(cx, &worker, &attempts),
            Event::Decision(decision) => self.decision(cx, decision),
            Event::Durable(ticket) => self.durable(cx, ticket),
            Event::NotWritten(ticket) => self.not_written(cx, ticket),
            Event::OwnershipLost { not_written, .. } => self.ownership_lost(cx, &not_written),
            Event::StoreAvailability { available } => self.store_available = available,
            Event::ChunkStored { ticket, written } => self.chunk_stored(cx, ticket, written),
            Event::ChunkFetched { ticket, value } => self.chunk_fetched(cx, ticket, value),
            Event::AgentConnected {
                worker,
                incarnation,
            } => self.agent_appeared(cx, worker, incarnation),
            Event::AgentDown { worker } => self.agent_down(cx, &worker),
            Event::Authority(authority) => self.authority = authority,
            Event::Tick { .. } => self.tick(cx),
        }
        self.dispatch_orders(cx);
    }
}

/// What one step works with besides the owner itself.
struct Context<'a> {
    now: Instant,
    planner: &'a mut placement::Planner,
    actions: &'a mut Vec<Action>,
}

impl Context<'_> {
    fn answer(&mut self, reply: Reply, answer: crate::job::Answer) {
        self.actions.push(Action::Answer { reply, answer });
    }

    fn count(&mut self, counter: Counter) {
        self.actions.push(Action::Count(counter));
    }
}
