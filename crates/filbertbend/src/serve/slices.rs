//! Carries out what the slices of this entry ask for.

use {
    super::{
        control::{Routed, Source},
        desk::Desk,
        store::Calls,
    },
    filbertbend_coordination::{
        job, owner,
        ownership::Member,
        slices::{self, Action, Clock, Note},
    },
    filbertbend_protocol::message::Control,
    filbertbend_state::{id, time::Instant},
    filbertbend_transport::clock,
    metrics::{counter, gauge},
    spdlog::prelude::*,
    std::{collections::HashMap, sync::Arc},
    tokio::sync::oneshot,
};

/// The slices of this entry with the means to carry out their actions.
pub(crate) struct Slices {
    machine: slices::Slices,
    desk: Arc<Desk>,
    calls: Calls,
    /// Callers that wait for an answer.
    replies: HashMap<owner::Reply, oneshot::Sender<Routed>>,
    next_reply: u64,
    left: Option<oneshot::Sender<()>>,
    roster: Option<Vec<Member>>,
}

impl Slices {
    /// Joins the machine with the means to carry out its actions.
    pub(crate) fn new(machine: slices::Slices, desk: Arc<Desk>, calls: Calls) -> Self {
        Self {
            machine,
            desk,
            calls,
            replies: HashMap::new(),
            next_reply: 0,
            left: None,
            roster: None,
        }
    }

    /// Returns the machine, for what it knows.
    pub(crate) fn machine(&self) -> &slices::Slices {
        &self.machine
    }

    /// Returns the live entries if they have changed since the last call.
    pub(crate) fn take_roster(&mut self) -> Option<Vec<Member>> {
        self.roster.take()
    }

    /// Steps the machine and carries out what it asks for.
    pub(crate) fn step(
        &mut self,
        now: Instant,
        step: impl FnOnce(&mut slices::Slices, Clock, &mut Vec<Action>),
    ) {
        let mut actions = Vec::new();
        let wall = clock::wall();
        step(&mut self.machine, Clock { now, wall }, &mut actions);
        for action in actions {
            self.act(action);
        }
    }

    /// Passes a call to the owner of a slice that this entry serves.
    pub(crate) fn call(
        &mut self,
        now: Instant,
        slice: id::Slice,
        call: job::Call,
        reply: oneshot::Sender<Routed>,
    ) {
        self.next_reply += 1;
        let number = owner::Reply(self.next_reply);
        self.replies.insert(number, reply);
        self.step(now, |machine, clock, actions| {
            machine.call(clock, slice, number, call, actions);
        });
    }

    /// Hands every slice over, then tells `left`.
    pub(crate) fn leave(&mut self, now: Instant, left: oneshot::Sender<()>) {
        self.left = Some(left);
        self.step(now, |machine, clock, actions| machine.leave(clock, actions));
    }

    /// Tells the machine that time has passed.
    pub(crate) fn tick(&mut self, now: Instant) {
        self.step(now, |machine, clock, actions| machine.tick(clock, actions));
        gauge!("filbertbend_slices_owned").set(self.machine.owned().len() as f64);
        gauge!("filbertbend_tasks_waiting").set(self.machine.planner().waiting_count() as f64);
        gauge!("filbertbend_journal_records_waiting").set(self.machine.records_waiting() as f64);
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Store {
                source,
                ticket,
                call,
            } => self.calls.start(Source::Slices(source), ticket, call),
            Action::StoreChunk {
                slice,
                ticket,
                key,
                value,
            } => self.calls.store_chunk(slice, ticket, key, value),
            Action::DeleteChunk { key } => self.calls.delete_chunk(key),
            Action::Command {
                worker,
                slice,
                epoch,
                attempt,
                command,
            } => {
                debug!(
                    "command",
                    kv: { job: = attempt.task.job, attempt:, worker:, command = command.name() }
                );
                let message = Control::Command {
                    slice,
                    epoch,
                    attempt,
                    command,
                };
                self.desk.send(&worker, message);
            }
            Action::Adopt {
                worker,
                slice,
                epoch,
            } => self.desk.send(&worker, Control::Adopt { slice, epoch }),
            Action::Answer { reply, answer } => self.reply(reply, Routed::Answered(answer)),
            Action::Dropped { reply } => {
                self.replies.remove(&reply);
            }
            Action::Count(count) => {
                let event: &'static str = count.into();
                counter!("filbertbend_job_events_total", "event" => event).increment(1);
            }
            Action::Roster(members) => self.roster = Some(members),
            Action::Note(note) => log(&note),
            Action::Left => {
                if let Some(left) = self.left.take() {
                    let _ = left.send(());
                }
            }
        }
    }

    fn reply(&mut self, reply: owner::Reply, routed: Routed) {
        if let Some(waiting) = self.replies.remove(&reply) {
            let _ = waiting.send(routed);
        }
    }
}

fn log(note: &Note) {
    if note.is_warning() {
        warn!("slices", kv: { note: });
    } else {
        info!("slices", kv: { note: });
    }
}
