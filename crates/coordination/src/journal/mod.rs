//! Makes the records of one slice durable and recovers them.
//!
//! A [`Journal`] turns records into entries at `slice/<n>/journal/<seq>` with
//! one append in flight, and settles lost answers by reading back. An epoch is
//! the sequence number of the `Epoch` entry that began it, so two ownerships
//! never share one. Fencing needs no clock: an owner that was replaced meets
//! the `Epoch` entry of its successor where its next append belongs.
//!
//! That entry therefore outlives compactions. If it were deleted with the rest,
//! the delayed append of a former owner would create the key again and look as
//! if it had succeeded.
//!
//! Every call is answered exactly once by the driver, with
//! [`store::Answer::Lost`] when the transport gave up waiting. See
//! `docs/design.md`, section 7.

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

/// Ties the fate of a record to its append; chosen by the caller.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// The sizes that a journal keeps to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Entries after which a compaction starts.
    pub compact_entries: usize,
    /// Bytes of entries after which a compaction starts.
    pub compact_bytes: usize,
    /// Most bytes of records in one entry.
    pub entry_bytes: usize,
    /// Bytes of state in one value of a segment.
    pub part_bytes: usize,
    /// Most bytes of records that wait; a long outage must not exhaust the
    /// memory.
    pub queue_bytes: usize,
    /// `Epoch` entries that are kept below the base of the manifest. The former
    /// owner's delayed append can only meet the entry that ended its ownership,
    /// so this many changes of owner must outlast any delay.
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

/// What a journal is told.
#[derive(Clone, Debug)]
pub enum Event<R> {
    /// The entry holds `slice/<n>/owner`: begin the ownership.
    Recover,
    /// Make a record durable.
    Append {
        /// The caller's name for it.
        ticket: Ticket,
        /// The record.
        record: R,
    },
    /// Take a record back if it was certainly never sent.
    Withdraw(Ticket),
    /// Write what waits, then a `Release` entry, and end the ownership. The
    /// caller gives no grant after this.
    Release {
        /// The time within which every lease ends that this owner or an
        /// unreachable predecessor may have granted.
        leases_end_in: Millis,
    },
    /// Read whether the epoch is still the newest, for example after the
    /// entry's store lease lapsed and `slice/<n>/owner` was claimed again.
    Confirm,
    /// The entry does not own the slice any more.
    Revoke,
    /// The store answered a call of this journal.
    Answer {
        /// The call.
        ticket: store::Ticket,
        /// The answer.
        answer: Answer,
    },
    /// The time of [`Journal::wake`] has come.
    Tick,
}

/// What a journal asks for or reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a call to the store.
    Call {
        /// Returned with the answer.
        ticket: store::Ticket,
        /// The call.
        call: Call,
    },
    /// The ownership has begun; [`Journal::image`] holds the state.
    Recovered {
        /// The epoch.
        epoch: id::Epoch,
        /// How the ownership before it ended.
        predecessor: Predecessor,
    },
    /// The answer to [`Event::Confirm`]: the epoch was the newest at `at`.
    Confirmed {
        /// The time before the store was asked.
        at: Instant,
    },
    /// A record is durable. Reported in the order of the appends.
    Durable {
        /// The record.
        ticket: Ticket,
    },
    /// A record is certainly not written and never will be.
    NotWritten {
        /// The record.
        ticket: Ticket,
        /// Why.
        reason: Reason,
    },
    /// The ownership ended while a record may have been written.
    Unknown {
        /// The record.
        ticket: Ticket,
    },
    /// A record cannot be withdrawn because it may have been sent; another
    /// report about it follows, unless there was one before.
    NotWithdrawn {
        /// The record.
        ticket: Ticket,
    },
    /// The store does not answer; the journal keeps trying.
    Stalled {
        /// When the first failed call was sent.
        since: Instant,
    },
    /// The store answers again.
    Resumed,
    /// The `Release` entry is durable and the ownership has ended.
    Released,
    /// The ownership has ended.
    Lost {
        /// The newer epoch that was found, if that was the reason.
        newer: Option<id::Epoch>,
    },
    /// A stored value stops the journal; nothing was overwritten.
    Failed(Error),
}

/// Why a record was not written.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// The caller withdrew it.
    Withdrawn,
    /// It does not fit into one value of the store.
    TooLarge,
    /// Too much waits already, because the store is slow or down.
    QueueFull,
    /// The slice is not owned, not recovered yet, or being released.
    NotOwner,
}

/// How the ownership before this one ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Predecessor {
    /// There was none.
    None,
    /// It released the slice; its leases end within this time.
    Released {
        /// Counted from when the new owner claimed the slice.
        leases_end_in: Millis,
    },
    /// It ended without a `Release` entry.
    Unreleased,
}

struct Active<I: Image> {
    image: I,
    appender: Appender<I::Record>,
    compactor: Compactor,
    confirmation: Confirmation,
}

/// A read that shows whether a newer epoch has begun.
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
/// After [`Action::Released`], [`Action::Lost`] or [`Action::Failed`] it does
/// nothing more; the next ownership takes a new one.
pub struct Journal<I: Image> {
    slice: id::Slice,
    owner: id::Entry,
    limits: Limits,
    client: Client,
    stage: Stage<I>,
}

impl<I: Image> Journal<I> {
    /// Makes the journal of `slice` for the entry `owner`.
    ///
    /// `rng` must differ between processes and between journals, because its
    /// numbers tell the values of one writer from those of another.
    pub fn new(slice: id::Slice, owner: id::Entry, limits: Limits, rng: ChaCha8Rng) -> Self {
        Self {
            slice,
            owner,
            limits,
            client: Client::new(rng),
            stage: Stage::Idle,
        }
    }

    /// Returns the state that all durable records add up to, once recovered.
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

    /// Returns since when the store has not answered.
    pub fn stalled(&self) -> Option<Instant> {
        self.client.stalled()
    }

    /// Returns when [`Event::Tick`] is due, if no other event comes first.
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

    /// Takes one event. `budget` is shared by all journals of the entry.
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

    /// Judges what a read of the next sequence number found.
    fn confirm(&mut self, cx: &mut Context<'_>, at: Instant, answer: Answer) {
        let Stage::Active(active) = &mut self.stage else {
            return;
        };
        // An append that has landed meanwhile hides the number after it, and a
        // lost answer shows nothing, so both repeat the read.
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

    /// Judges an entry found where an append of this journal belongs.
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

    /// Ends the ownership and settles every record that is left.
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
