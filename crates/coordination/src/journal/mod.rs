//! Write-ahead journal that makes the records of one slice durable.
//!
//! A [`Journal`] groups records into entries at `slice/<n>/journal/<seq>`, with
//! at most one append in flight. If the answer to an append is lost, it reads
//! the key back to find out whether the append took effect. An epoch is the
//! sequence number of the `Epoch` entry that began it, so no two ownerships
//! share an epoch. Fencing needs no clock: the next append of an owner that was
//! replaced conflicts with the `Epoch` entry of its successor.
//!
//! Compactions therefore keep that entry. If it were deleted with the others, a
//! delayed append of a former owner would create the key again and appear to
//! have succeeded.
//!
//! The caller must answer every call exactly once, with
//! [`store::Answer::Lost`] if the transport timed out. See `docs/design.md`,
//! section 7.

mod append;
mod budget;
mod client;
mod compaction;
mod error;
mod image;
pub mod key;
mod recovery;
mod value;

pub use {
    budget::Budget,
    error::{Error, Fault},
    image::{Bucket, Image, Malformed, BUCKETS},
};

use {
    crate::store::{self, Answer, Call, Pair, VALUE_LIMIT_BYTES},
    append::{Appended, Appender},
    client::{Client, Context},
    compaction::Compactor,
    filbertbend_state::{id, time::Instant, unit::Millis},
    rand_chacha::ChaCha8Rng,
    recovery::{Recovered, Recovery},
};

/// Identifies a record in events and actions; chosen by the caller.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Size limits and compaction thresholds of a journal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Number of entries after the base that starts a compaction.
    pub compact_entries: usize,
    /// Total bytes of entries after the base that start a compaction.
    pub compact_bytes: usize,
    /// Maximum bytes of records in one entry.
    pub entry_bytes: usize,
    /// Bytes of encoded state in one part of a segment.
    pub part_bytes: usize,
    /// Maximum bytes of queued records, so that a long outage of the store does
    /// not exhaust the memory.
    pub queue_bytes: usize,
    /// Number of `Epoch` entries that are kept up to the base of the manifest.
    /// Only the entry that ended an ownership fences the delayed append of that
    /// owner, so the delay of an append must not exceed the time that this many
    /// changes of owner take.
    pub fences: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            compact_entries: 256,
            compact_bytes: 1 << 20,
            entry_bytes: VALUE_LIMIT_BYTES - value::OVERHEAD_BYTES,
            part_bytes: 512 << 10,
            queue_bytes: 16 << 20,
            fences: 256,
        }
    }
}

/// Input of [`Journal::step`].
#[derive(Clone, Debug)]
pub enum Event<R> {
    /// The entry has acquired `slice/<n>/owner`: recover the slice and begin a
    /// new epoch.
    Recover,
    /// Make a record durable.
    Append {
        /// Identifies the record in later actions.
        ticket: Ticket,
        /// The record.
        record: R,
    },
    /// Remove a record from the queue if it was certainly never sent.
    Withdraw(Ticket),
    /// Write the queued records, then a `Release` entry, and end the ownership.
    /// The caller must not grant leases after this.
    Release {
        /// Upper bound on the remaining time of every lease that this owner or
        /// an unreachable predecessor may have granted.
        leases_end_in: Millis,
    },
    /// Check that the epoch is still the newest, for example after the entry's
    /// store lease expired and `slice/<n>/owner` was claimed again.
    Confirm,
    /// The entry no longer owns the slice.
    Revoke,
    /// The store answered a call of this journal.
    Answer {
        /// The ticket of the call.
        ticket: store::Ticket,
        /// The answer.
        answer: Answer,
    },
    /// The time that [`Journal::wake`] returned was reached.
    Tick,
}

/// Output of [`Journal::step`]: a store call to make, or a report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a call to the store.
    Call {
        /// Identifies the call in [`Event::Answer`].
        ticket: store::Ticket,
        /// The call to make.
        call: Call,
    },
    /// The ownership has begun; [`Journal::image`] returns the state.
    Recovered {
        /// The epoch of this ownership.
        epoch: id::Epoch,
        /// How the previous ownership ended.
        predecessor: Predecessor,
    },
    /// The answer to [`Event::Confirm`]: the epoch was the newest at `at`.
    Confirmed {
        /// When the read was sent to the store.
        at: Instant,
    },
    /// A record is durable. Reported in append order.
    Durable {
        /// The record.
        ticket: Ticket,
    },
    /// A record was not written and never will be.
    NotWritten {
        /// The record.
        ticket: Ticket,
        /// Why the record was not written.
        reason: Reason,
    },
    /// The ownership ended while a record may have been written.
    Unknown {
        /// The record.
        ticket: Ticket,
    },
    /// A record was not withdrawn because it may have been sent. Another action
    /// reports its outcome, unless one already did.
    NotWithdrawn {
        /// The record.
        ticket: Ticket,
    },
    /// The store does not answer; the journal keeps retrying.
    Stalled {
        /// When the first call that failed was sent.
        since: Instant,
    },
    /// The store answers again.
    Resumed,
    /// The `Release` entry is durable and the ownership has ended.
    Released,
    /// The ownership has ended without [`Action::Released`].
    Lost {
        /// The newer epoch, if finding one ended the ownership.
        newer: Option<id::Epoch>,
    },
    /// The journal stopped because a stored value is damaged or missing. Nothing
    /// was overwritten.
    Failed(Error),
}

/// Why a record was not written.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The caller withdrew it.
    Withdrawn,
    /// It does not fit into one journal entry.
    TooLarge,
    /// The queue is full because the store is slow or down.
    QueueFull,
    /// The slice is not owned, not recovered yet, or being released.
    NotOwner,
}

/// How the previous ownership of the slice ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Predecessor {
    /// The slice had no previous owner.
    None,
    /// The previous owner released the slice.
    Released {
        /// Upper bound on the remaining time of its leases, counted from when
        /// the new owner claimed the slice.
        leases_end_in: Millis,
    },
    /// The previous ownership ended without a `Release` entry.
    Unreleased,
}

struct Active<I: Image> {
    image: I,
    appender: Appender<I::Record>,
    compactor: Compactor,
    confirmation: Confirmation,
}

/// State of the read that checks whether a newer epoch has begun.
enum Confirmation {
    Idle,
    Wanted,
    Reading(store::Ticket, Instant),
}

enum Stage<I: Image> {
    Idle,
    Recovering(Box<Recovery<I>>),
    Active(Box<Active<I>>),
    Ended,
}

/// The journal of one slice during one ownership.
///
/// After [`Action::Released`], [`Action::Lost`] or [`Action::Failed`] it makes no
/// more calls and refuses new records; the next ownership needs a new journal.
pub struct Journal<I: Image> {
    slice: id::Slice,
    owner: id::Entry,
    limits: Limits,
    client: Client,
    stage: Stage<I>,
}

impl<I: Image> Journal<I> {
    /// Creates the journal of `slice` for the entry `owner`.
    ///
    /// `rng` must be seeded differently in every process and for every journal,
    /// because its output distinguishes the values of different writers.
    pub fn new(slice: id::Slice, owner: id::Entry, limits: Limits, rng: ChaCha8Rng) -> Self {
        Self {
            slice,
            owner,
            limits,
            client: Client::new(rng),
            stage: Stage::Idle,
        }
    }

    /// Returns the state after all durable records, once it is recovered.
    pub fn image(&self) -> Option<&I> {
        match &self.stage {
            Stage::Active(active) => Some(&active.image),
            _ => None,
        }
    }

    /// Returns the number of records that are queued or in flight.
    pub fn pending(&self) -> usize {
        match &self.stage {
            Stage::Active(active) => active.appender.len(),
            _ => 0,
        }
    }

    /// Returns the time since which the store has not answered, if it is
    /// stalled.
    pub fn stalled(&self) -> Option<Instant> {
        self.client.stalled()
    }

    /// Returns when the next [`Event::Tick`] is due, unless another event comes
    /// first.
    pub fn wake(&self) -> Option<Instant> {
        match &self.stage {
            Stage::Idle | Stage::Ended => None,
            Stage::Recovering(recovery) => recovery.wake(&self.client),
            Stage::Active(active) => {
                let blocked = active.compactor.blocks_appends();
                let append = active.appender.wake(&self.client, blocked);
                let compact = active.compactor.wake(&self.client);
                let confirm = matches!(active.confirmation, Confirmation::Wanted)
                    .then_some(self.client.not_before());
                [append, compact, confirm].into_iter().flatten().min()
            }
        }
    }

    /// Handles one event and appends the resulting actions to `actions`.
    /// `budget` is shared by all journals of the entry.
    pub fn step(
        &mut self,
        now: Instant,
        event: Event<I::Record>,
        budget: &mut Budget,
        actions: &mut Vec<Action>,
    ) {
        let mut cx = Context {
            now,
            budget,
            actions,
        };
        self.handle(&mut cx, event);
        match &mut self.stage {
            Stage::Idle | Stage::Ended => {}
            Stage::Recovering(recovery) => recovery.poll(&mut cx, &mut self.client),
            Stage::Active(active) => active.poll(&mut cx, &mut self.client),
        }
    }

    fn handle(&mut self, cx: &mut Context<'_>, event: Event<I::Record>) {
        match event {
            Event::Recover => {
                if let Stage::Idle = self.stage {
                    let recovery = Recovery::new(self.slice, self.owner.clone());
                    self.stage = Stage::Recovering(Box::new(recovery));
                }
            }
            Event::Append { ticket, record } => self.append(cx, ticket, record),
            Event::Withdraw(ticket) => self.withdraw(cx, ticket),
            Event::Release { leases_end_in } => match &mut self.stage {
                Stage::Active(active) => active.appender.release(leases_end_in),
                _ => self.end(cx, Action::Released),
            },
            Event::Confirm => {
                if let Stage::Active(active) = &mut self.stage {
                    active.confirmation = Confirmation::Wanted;
                }
            }
            Event::Revoke => self.end(cx, Action::Lost { newer: None }),
            Event::Answer { ticket, answer } => {
                if self.client.observe(cx, ticket, &answer) {
                    self.answer(cx, ticket, answer);
                }
            }
            Event::Tick => {}
        }
    }

    fn append(&mut self, cx: &mut Context<'_>, ticket: Ticket, record: I::Record) {
        let pushed = match &mut self.stage {
            Stage::Active(active) => active.appender.push(ticket, record),
            _ => Err(Reason::NotOwner),
        };
        if let Err(reason) = pushed {
            cx.actions.push(Action::NotWritten { ticket, reason });
        }
    }

    fn withdraw(&mut self, cx: &mut Context<'_>, ticket: Ticket) {
        let withdrawn = match &mut self.stage {
            Stage::Active(active) => active.appender.withdraw(ticket),
            _ => false,
        };
        cx.actions.push(if withdrawn {
            let reason = Reason::Withdrawn;
            Action::NotWritten { ticket, reason }
        } else {
            Action::NotWithdrawn { ticket }
        });
    }

    fn answer(&mut self, cx: &mut Context<'_>, ticket: store::Ticket, answer: Answer) {
        match &mut self.stage {
            Stage::Idle | Stage::Ended => {}
            Stage::Recovering(recovery) => {
                let outcome = recovery.answer(cx, &mut self.client, ticket, answer);
                self.recovery_outcome(cx, outcome);
            }
            Stage::Active(active) => {
                if let Confirmation::Reading(sent, at) = active.confirmation {
                    if sent == ticket {
                        return self.confirm(cx, at, answer);
                    }
                }
                match active.appender.answer(ticket, &answer) {
                    Some(outcome) => self.append_outcome(cx, outcome),
                    None => {
                        let outcome = active.compactor.answer(ticket, &answer);
                        self.compaction_outcome(cx, outcome);
                    }
                }
            }
        }
    }

    /// Handles the answer to the read of the next sequence number.
    fn confirm(&mut self, cx: &mut Context<'_>, at: Instant, answer: Answer) {
        let Stage::Active(active) = &mut self.stage else {
            return;
        };
        // If an append took effect meanwhile, the read says nothing about the
        // sequence number after it. In this case, and if the answer was lost,
        // the read is repeated.
        active.confirmation = Confirmation::Wanted;
        match answer {
            Answer::Value(None) => {
                active.confirmation = Confirmation::Idle;
                cx.actions.push(Action::Confirmed { at });
            }
            Answer::Value(Some(pair)) if !active.appender.is_in_flight(&pair) => {
                let seq = key::entry_seq(self.slice, &pair.key).unwrap_or_default();
                if seq == active.appender.next_seq() {
                    let end = self.conflict(seq, pair);
                    self.end(cx, end);
                }
            }
            _ => {}
        }
    }

    fn recovery_outcome(&mut self, cx: &mut Context<'_>, outcome: recovery::Outcome<I>) {
        match outcome {
            recovery::Outcome::Pending => {}
            recovery::Outcome::Lost(newer) => self.end(cx, Action::Lost { newer: Some(newer) }),
            recovery::Outcome::Failed(error) => self.end(cx, Action::Failed(error)),
            recovery::Outcome::Ready(found) => {
                cx.actions.push(Action::Recovered {
                    epoch: found.epoch,
                    predecessor: found.predecessor,
                });
                let active = Active::new(self.slice, self.owner.clone(), self.limits, *found);
                self.stage = Stage::Active(Box::new(active));
            }
        }
    }

    fn append_outcome(&mut self, cx: &mut Context<'_>, outcome: append::Outcome<I::Record>) {
        match outcome {
            append::Outcome::Pending => {}
            append::Outcome::Conflict { seq, pair } => {
                let end = self.conflict(seq, pair);
                self.end(cx, end);
            }
            append::Outcome::Done(appended) => {
                let released = appended.released;
                if let Stage::Active(active) = &mut self.stage {
                    active.appended(cx, appended);
                }
                if released {
                    self.end(cx, Action::Released);
                }
            }
        }
    }

    /// Returns how the ownership ends after an append of this journal found
    /// another entry at its key.
    fn conflict(&self, seq: u64, pair: Pair) -> Action {
        let decoded = value::decode_entry::<I::Record>(self.slice, seq, &pair.value);
        let fault = match decoded {
            Ok((header, _)) if header.kind == value::Kind::Epoch => {
                return Action::Lost {
                    newer: Some(header.epoch),
                }
            }
            Ok(_) => Fault::Epoch,
            Err(fault) => fault,
        };
        Action::Failed(Error::Damaged {
            slice: self.slice,
            key: pair.key,
            fault,
        })
    }

    fn compaction_outcome(&mut self, cx: &mut Context<'_>, outcome: compaction::Outcome) {
        match outcome {
            compaction::Outcome::Ignored | compaction::Outcome::Pending => {}
            compaction::Outcome::Lost(newer) => self.end(cx, Action::Lost { newer: Some(newer) }),
            compaction::Outcome::Failed(error) => self.end(cx, Action::Failed(error)),
        }
    }

    /// Ends the ownership and reports the outcome of every remaining record.
    fn end(&mut self, cx: &mut Context<'_>, action: Action) {
        if let Stage::Ended = self.stage {
            return;
        }
        if let Stage::Active(active) = &mut self.stage {
            active.appender.abandon(cx.actions);
        }
        self.stage = Stage::Ended;
        cx.actions.push(action);
    }
}

impl<I: Image> Active<I> {
    fn new(slice: id::Slice, owner: id::Entry, limits: Limits, mut found: Recovered<I>) -> Self {
        Self {
            appender: Appender::new(slice, owner.clone(), limits, found.epoch),
            compactor: Compactor::new(slice, owner, limits, &mut found),
            image: found.image,
            confirmation: Confirmation::Idle,
        }
    }

    fn poll(&mut self, cx: &mut Context<'_>, client: &mut Client) {
        self.compactor.start_if_due(&self.image, client);
        self.appender
            .poll(cx, client, self.compactor.blocks_appends());
        self.compactor.poll(cx, client);
        if matches!(self.confirmation, Confirmation::Wanted) && client.ready(cx.now) {
            let ticket = client.get(cx, self.appender.next_key());
            self.confirmation = Confirmation::Reading(ticket, cx.now);
        }
    }

    fn appended(&mut self, cx: &mut Context<'_>, appended: Appended<I::Record>) {
        self.compactor.add_entry(appended.seq, appended.bytes);
        for pending in appended.records {
            self.compactor.mark_dirty(I::bucket(&pending.record));
            self.image.apply(&pending.record);
            let ticket = pending.ticket;
            cx.actions.push(Action::Durable { ticket });
        }
    }
}
