//! The state machine of the executor and the events that concern the whole
//! agent.

use {
    super::{
        endpoint::{Admission, Endpoint, Request},
        lifecycle::{self, Lifecycle},
        owners::Owners,
        record::{Phase, Record},
        tombstone::Tombstones,
        Action, Check, Event, Load, Settings, Task,
    },
    crate::attempt::{Attempt, Command, Work},
    filbertbend_state::{id, outcome::Reason, room::Room, time::Instant, unit::Millis},
    rand::RngExt,
    rand_chacha::ChaCha8Rng,
    statig::blocking::{IntoStateMachineExt, StateMachine},
    std::collections::BTreeMap,
};

/// Maximum number of batch starts that a new agent defers. Owners repeat a
/// start that is not answered.
const DEFERRED_LIMIT: usize = 1024;

/// Validates every start on the agent and tracks each attempt until its end is
/// acknowledged.
pub struct Executor {
    pub(super) settings: Settings,
    pub(super) rng: ChaCha8Rng,
    pub(super) lifecycle: StateMachine<Lifecycle>,
    pub(super) owners: Owners,
    pub(super) tombstones: Tombstones,
    pub(super) records: BTreeMap<Attempt, Record>,
    pub(super) endpoint: Endpoint,
    /// Whether the worker's list has been read and the worker has been
    /// reachable since.
    pub(super) reachable: bool,
    /// When this incarnation handled its first event.
    pub(super) started_at: Option<Instant>,
    /// Adoption requests that cannot be answered yet, with the epoch of the
    /// owner that sent them.
    pub(super) adoptions: BTreeMap<id::Slice, id::Epoch>,
    /// Batch starts that arrived before the free room was known.
    deferred: Vec<Event>,
    left_at: Option<Instant>,
}

impl Executor {
    /// Creates an executor without any attempts.
    ///
    /// `rng` must differ between incarnations of the agent: it generates the
    /// nonces that bind a grant to the incarnation that requested it.
    pub fn new(settings: Settings, rng: ChaCha8Rng) -> Self {
        let mut lifecycle = Lifecycle.state_machine();
        lifecycle.init();
        Self {
            tombstones: Tombstones::new(settings.max_tombstones, settings.tombstone_ttl),
            endpoint: Endpoint::new(settings.slots, settings.connections),
            settings,
            rng,
            lifecycle,
            owners: Owners::default(),
            records: BTreeMap::new(),
            reachable: false,
            started_at: None,
            adoptions: BTreeMap::new(),
            deferred: Vec::new(),
            left_at: None,
        }
    }

    /// Handles one event at `now` and appends the resulting actions to
    /// `actions`.
    pub fn step(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        self.started_at.get_or_insert(now);
        match event {
            Event::CheckArrived { check, remaining } => self.admit(now, check, remaining, actions),
            Event::CheckEnded(check) => self.release_slot(now, Request::Check(check), actions),
            event => {
                // Timers run after the event, because a grant or an end that
                // was queued while the process was frozen may settle an attempt
                // that would otherwise expire.
                self.handle_or_defer(now, event, actions);
                self.run_timers(now, actions);
                self.answer_adoptions(now, actions);
            }
        }
        self.finish_leaving(now, actions);
    }

    /// Handles an event, or defers a batch start until it is known how much
    /// room the tasks of a previous incarnation take.
    fn handle_or_defer(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        if !self.is_starting() && self.former_starts_expired(now) {
            for deferred in std::mem::take(&mut self.deferred) {
                self.handle(now, deferred, actions);
            }
            self.handle(now, event, actions);
        } else if !is_batch_start(&event) {
            self.handle(now, event, actions);
        } else if self.deferred.len() < DEFERRED_LIMIT && !self.deferred.contains(&event) {
            self.deferred.push(event);
        }
    }

    fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Command {
                from,
                slice,
                epoch,
                attempt,
                command,
            } => {
                if !self.is_starting() && self.owners.accept(slice, epoch, from) {
                    self.on_command(now, slice, attempt, command, actions);
                }
            }
            Event::Adopt { from, slice, epoch } => {
                if self.owners.accept(slice, epoch, from) {
                    self.adoptions.insert(slice, epoch);
                    self.resync_slice(now, slice, actions);
                }
            }
            Event::Tasks(list) => self.reconcile(now, list, actions),
            Event::WorkerUnreachable => self.reachable = false,
            Event::Worker(event) => self.on_worker_event(now, event, actions),
            Event::Order { attempt, delivery } => self.on_delivery(now, attempt, delivery, actions),
            Event::Evict(attempt) => self.evict(now, attempt, actions),
            Event::Leave => self.leave(now, actions),
            Event::Tick | Event::CheckArrived { .. } | Event::CheckEnded(_) => {}
        }
    }

    /// Returns the current load, for heartbeats.
    pub fn load(&self) -> Load {
        Load {
            free: self.free(),
            slots: self.endpoint.slots_used(),
            connections: self.endpoint.connections_used(),
            leaving: self.is_leaving(),
        }
    }

    /// Returns the running batch tasks that are not being stopped.
    pub fn tasks(&self) -> Vec<Task> {
        self.records
            .iter()
            .filter_map(|(attempt, record)| match &record.phase {
                Phase::Running(run) if run.confirmed && run.stopping.is_none() => Some(Task {
                    attempt: *attempt,
                    service: run.service.clone(),
                    size: record.size,
                    since: run.since,
                    checkpointed: record.checkpoint.map(|(_, at)| at),
                }),
                _ => None,
            })
            .collect()
    }

    /// Returns the number of stored tombstones.
    pub fn tombstones(&self) -> usize {
        self.tombstones.len()
    }

    /// Returns whether the process may exit.
    pub fn is_stopped(&self) -> bool {
        matches!(self.lifecycle.state(), lifecycle::State::Stopped {})
    }

    pub(super) fn is_starting(&self) -> bool {
        matches!(self.lifecycle.state(), lifecycle::State::Starting {})
    }

    pub(super) fn is_leaving(&self) -> bool {
        matches!(self.lifecycle.state(), lifecycle::State::Draining {}) || self.is_stopped()
    }

    /// Returns whether starts that a previous incarnation sent to the worker
    /// can no longer take effect, because the lease that each start command
    /// carried has expired.
    pub(super) fn former_starts_expired(&self, now: Instant) -> bool {
        self.started_at
            .is_some_and(|started_at| now >= started_at + self.settings.start_window)
    }

    pub(super) fn free(&self) -> Room {
        let reserved = self
            .records
            .values()
            .fold(Room::NONE, |sum, record| sum + record.held_room());
        self.settings.room - reserved
    }

    pub(super) fn nonce(&mut self) -> id::Nonce {
        id::Nonce(self.rng.random())
    }

    fn admit(&mut self, now: Instant, check: Check, remaining: Millis, actions: &mut Vec<Action>) {
        if self.is_leaving() {
            let reason = Reason::Leaving;
            actions.push(Action::Refuse { check, reason });
            return;
        }
        let wait = remaining.min(self.settings.queue_timeout);
        match self.endpoint.admit(now, Request::Check(check), now + wait) {
            Admission::Admitted => actions.push(Action::Admit(check)),
            Admission::Queued => {}
            Admission::Full => {
                let reason = Reason::NoRoom;
                actions.push(Action::Refuse { check, reason });
            }
        }
    }

    /// Frees a slot and admits the next queued requests.
    pub(super) fn release_slot(
        &mut self,
        now: Instant,
        request: Request,
        actions: &mut Vec<Action>,
    ) {
        self.endpoint.release(request);
        self.expire_waiting(now, actions);
        while let Some(request) = self.endpoint.admit_next() {
            match request {
                Request::Check(check) => actions.push(Action::Admit(check)),
                Request::Order(attempt) => self.order_admitted(now, attempt, actions),
            }
        }
    }

    /// Refuses the queued requests whose time limit has passed.
    pub(super) fn expire_waiting(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for request in self.endpoint.expire(now) {
            match request {
                Request::Check(check) => {
                    let reason = Reason::NoRoom;
                    actions.push(Action::Refuse { check, reason });
                }
                Request::Order(attempt) => self.order_timed_out(now, attempt, actions),
            }
        }
    }

    fn leave(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.is_leaving() {
            return;
        }
        self.left_at = Some(now);
        self.lifecycle.handle(&lifecycle::Event::Leave);
        let attempts: Vec<Attempt> = self.records.keys().copied().collect();
        for attempt in attempts {
            self.drain(now, attempt, actions);
        }
    }

    /// Stops the agent once nothing is in progress and either every end is
    /// acknowledged or the time limit for acknowledgements has passed.
    fn finish_leaving(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(left_at) = self.left_at else { return };
        if self.is_stopped() || !self.endpoint.is_idle() {
            return;
        }
        let in_progress = self
            .records
            .values()
            .any(|record| !matches!(record.phase, Phase::Ended { .. }));
        let waited = now >= left_at + self.settings.leave_timeout;
        if !in_progress && (self.records.is_empty() || waited) {
            self.lifecycle.handle(&lifecycle::Event::Idle);
            actions.push(Action::Exit);
        }
    }
}

fn is_batch_start(event: &Event) -> bool {
    matches!(
        event,
        Event::Command {
            command: Command::Start {
                work: Work::Batch { .. },
                ..
            },
            ..
        }
    )
}
