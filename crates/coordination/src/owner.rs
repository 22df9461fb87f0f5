//! Schedules the jobs and orders of one slice.
//!
//! An [`Owner`] holds the durable state of its slice as an [`Image`] and
//! updates it only once a record is durable. It therefore never sends or
//! answers anything that a new owner could not recover. A decision whose record
//! is still being written sets a pending flag on its task or job, which prevents
//! a second decision on the same item. If the record is not written, the flag is
//! cleared.
//!
//! `docs/design.md` describes the start, claim and grant messages in section 7
//! and the handling of failures in section 10.

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

/// Duration of an attempt's lease. The agent renews it after each third.
pub const LEASE: Millis = Millis::from_secs(15);

/// Clock drift that leases allow for, as a percentage of the lease.
const DRIFT_PERCENT: u64 = 2;

/// Clock drift allowed on top of [`DRIFT_PERCENT`], for any length of lease.
const DRIFT_MS: u64 = 200;

/// Interval at which a start is resent until the agent answers.
pub const START_RESEND_INTERVAL: Millis = Millis(500);

/// How long a start waits for the agent's claim before the attempt is
/// abandoned. An agent that does not answer for this long is suspected to have
/// failed.
pub const START_TIMEOUT: Millis = Millis(2000);

/// Start timeout of an order, which may wait at its endpoint for a free slot.
pub const ORDER_START_TIMEOUT: Millis = Millis::from_secs(10);

/// Interval at which an eviction, a cancellation or a withdrawal is resent.
pub const COMMAND_RESEND_INTERVAL: Millis = Millis(1000);

/// How long an eviction may take before the owner stops requesting it and the
/// task continues to run.
pub const EVICT_TIMEOUT: Millis = Millis::from_secs(30);

/// How long the outcome, result and idempotency key of an ended job are kept.
pub const RETENTION: Millis = Millis::from_secs(24 * 3600);

/// Largest output stored inline in the journal, in bytes.
pub const INLINE_LIMIT_BYTES: usize = 48 << 10;

/// Largest chunk of an output stored outside the journal, in bytes.
pub const CHUNK_LIMIT_BYTES: usize = 512 << 10;

/// Maximum number of waiting orders per customer.
pub const ORDERS_LIMIT: usize = 256;

/// Maximum number of tasks per job.
pub const TASKS_LIMIT: u32 = 10_000;

/// Failures of one task after which its job is parked, even if too few workers
/// are off probation to establish that the job itself is at fault.
pub const FAILURES_LIMIT: u32 = 10;

/// Returns the time by which a lease granted at `now` has expired on the agent,
/// for any clock drift within the allowed bounds.
pub fn lease_end(now: Instant, lease: Millis) -> Instant {
    now + lease + Millis(lease.0 * DRIFT_PERCENT / 100 + DRIFT_MS)
}

/// The scheduler of one slice.
#[derive(Debug)]
pub struct Owner {
    slice: id::Slice,
    image: Image,
    authority: Authority,
    /// The latest time at which a lease granted by a former owner can end.
    former_leases_until: Instant,
    /// Set once another entry owns the slice. The owner then only refuses calls.
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
    /// Customers whose next order may be ready for placement.
    ready: BTreeSet<id::Customer>,
    chunks: BTreeMap<Ticket, id::Task>,
    reads: BTreeMap<u64, Read>,
    fetches: BTreeMap<Ticket, (u64, usize)>,
    timers: BTreeSet<(Instant, Timer)>,
}

impl Owner {
    /// Returns the number of the owned slice.
    pub fn slice(&self) -> id::Slice {
        self.slice
    }

    /// Returns the state built from all durable records.
    pub fn image(&self) -> &Image {
        &self.image
    }

    /// Returns whether another entry has taken over the slice.
    pub fn is_lost(&self) -> bool {
        self.lost
    }

    /// Returns the longest remaining duration of the leases granted so far, to
    /// be recorded in a graceful hand-over. The owner must not be stepped
    /// afterwards, because a later grant would outlast the returned duration.
    pub fn lease_remaining(&self, now: Instant) -> Millis {
        let granted = self
            .live
            .values()
            .filter(|live| live.may_run)
            .map(|live| live.lease_end.since(now))
            .max();
        granted.unwrap_or(Millis::ZERO)
    }

    /// Handles one event and appends the resulting actions to `actions`.
    ///
    /// The planner is shared by all slices of the entry process, so the caller
    /// runs [`placement::Planner::decide`] and passes each decision to the owner
    /// of its slice as [`Event::Decision`].
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

/// The time, the planner and the output of one step.
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
