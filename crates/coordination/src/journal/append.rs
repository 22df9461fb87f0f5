//! Group commit: one append in flight, with all records that were queued when
//! it was sent.

use {
    super::{
        budget::Reservation,
        client::{Client, Context, Progress, Write},
        key,
        value::{self, Header, Kind},
        Action, Limits, Reason, Ticket,
    },
    crate::store::{self, Answer, Expect, Pair},
    filbertbend_state::{id, time::Instant, unit::Millis},
    serde::Serialize,
    std::{collections::VecDeque, sync::Arc},
};

/// A record that is queued or in flight.
pub(super) struct Pending<R> {
    pub(super) ticket: Ticket,
    pub(super) record: R,
    bytes: Vec<u8>,
}

/// An entry whose write has no known outcome yet.
struct InFlight<R> {
    write: Write,
    records: Vec<Pending<R>>,
    seq: u64,
    kind: Kind,
}

/// An entry that has become durable.
pub(super) struct Appended<R> {
    pub(super) seq: u64,
    pub(super) bytes: usize,
    pub(super) records: Vec<Pending<R>>,
    pub(super) released: bool,
}

/// Effect of an answer on the append in flight.
pub(super) enum Outcome<R> {
    /// The outcome of the append is not known yet.
    Pending,
    /// The entry is durable.
    Done(Appended<R>),
    /// The sequence number holds another entry.
    Conflict { seq: u64, pair: Pair },
}

/// Queues the records of one ownership and appends them to the journal.
pub(super) struct Appender<R> {
    slice: id::Slice,
    owner: id::Entry,
    epoch: id::Epoch,
    limits: Limits,
    next: u64,
    queue: VecDeque<Pending<R>>,
    queued_bytes: usize,
    in_flight: Option<InFlight<R>>,
    reservation: Reservation,
    release: Option<Millis>,
}

impl<R: Serialize> Appender<R> {
    pub(super) fn new(
        slice: id::Slice,
        owner: id::Entry,
        limits: Limits,
        epoch: id::Epoch,
    ) -> Self {
        Self {
            slice,
            owner,
            epoch,
            limits,
            next: epoch.0 + 1,
            queue: VecDeque::new(),
            queued_bytes: 0,
            in_flight: None,
            reservation: Reservation::default(),
            release: None,
        }
    }

    /// Returns the number of records that are queued or in flight.
    pub(super) fn len(&self) -> usize {
        self.queue.len() + self.in_flight.as_ref().map_or(0, |f| f.records.len())
    }

    pub(super) fn next_seq(&self) -> u64 {
        self.next
    }

    /// Returns the key of the next entry, or of the one in flight.
    pub(super) fn next_key(&self) -> Arc<str> {
        key::entry(self.slice, self.next)
    }

    /// Returns whether `pair` is the entry in flight.
    pub(super) fn is_in_flight(&self, pair: &Pair) -> bool {
        let in_flight = self.in_flight.as_ref();
        in_flight.is_some_and(|in_flight| in_flight.write.matches(pair))
    }

    pub(super) fn push(&mut self, ticket: Ticket, record: R) -> Result<(), Reason> {
        if self.release.is_some() {
            return Err(Reason::NotOwner);
        }
        let bytes = postcard::to_stdvec(&record).map_err(|_| Reason::TooLarge)?;
        if bytes.len() > self.limits.entry_bytes {
            return Err(Reason::TooLarge);
        }
        if self.queued_bytes + bytes.len() > self.limits.queue_bytes {
            return Err(Reason::QueueFull);
        }
        self.queued_bytes += bytes.len();
        self.queue.push_back(Pending {
            ticket,
            record,
            bytes,
        });
        Ok(())
    }

    /// Removes a queued record; returns false if it may have been sent.
    pub(super) fn withdraw(&mut self, ticket: Ticket) -> bool {
        let found = self.queue.iter().position(|w| w.ticket == ticket);
        let removed = found.and_then(|index| self.queue.remove(index));
        let Some(pending) = removed else {
            return false;
        };
        self.queued_bytes -= pending.bytes.len();
        true
    }

    /// Requests a `Release` entry after the queued records and refuses new
    /// records.
    pub(super) fn release(&mut self, leases_end_in: Millis) {
        self.release.get_or_insert(leases_end_in);
    }

    /// Issues the call that is due. No new entry is started while `blocked`.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>, client: &mut Client, blocked: bool) {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.write.poll(cx, client, &mut self.reservation);
            return;
        }
        let idle = self.queue.is_empty() && self.release.is_none();
        if idle || blocked || !client.ready(cx.now) || !self.reservation.take(cx.now, cx.budget) {
            return;
        }
        let mut in_flight = self.take_batch(client);
        in_flight.write.put(cx, client);
        self.in_flight = Some(in_flight);
    }

    pub(super) fn wake(&self, client: &Client, blocked: bool) -> Option<Instant> {
        if let Some(in_flight) = &self.in_flight {
            return in_flight.write.wake(client, &self.reservation);
        }
        let idle = self.queue.is_empty() && self.release.is_none();
        let due = self
            .reservation
            .at()
            .unwrap_or_default()
            .max(client.not_before());
        (!idle && !blocked).then_some(due)
    }

    /// Builds the next entry from as many queued records as fit.
    fn take_batch(&mut self, client: &mut Client) -> InFlight<R> {
        let mut records = Vec::new();
        let mut body = Vec::new();
        while let Some(pending) = self.queue.front() {
            if body.len() + pending.bytes.len() > self.limits.entry_bytes {
                break;
            }
            body.extend(&pending.bytes);
            self.queued_bytes -= pending.bytes.len();
            records.extend(self.queue.pop_front());
        }
        let kind = match self.release {
            Some(leases_end_in) if records.is_empty() => Kind::Release(leases_end_in),
            _ => Kind::Records(records.len() as u32),
        };
        let seq = self.next;
        let header = Header {
            slice: self.slice,
            seq,
            epoch: self.epoch,
            owner: self.owner.clone(),
            nonce: client.nonce(),
            kind,
        };
        let value = value::encode_entry(&header, &body);
        InFlight {
            write: Write::new(key::entry(self.slice, seq), value, Expect::Absent),
            records,
            seq,
            kind,
        }
    }

    pub(super) fn answer(&mut self, ticket: store::Ticket, answer: &Answer) -> Option<Outcome<R>> {
        let in_flight = self.in_flight.as_mut()?;
        let progress = in_flight.write.answer(ticket, answer)?;
        Some(match progress {
            Progress::Pending | Progress::Conflict(None) => Outcome::Pending,
            Progress::NotApplied => {
                self.requeue();
                Outcome::Pending
            }
            Progress::Done(_) => self.done(),
            Progress::Conflict(Some(pair)) => Outcome::Conflict {
                seq: in_flight.seq,
                pair,
            },
        })
    }

    /// Returns the records in flight, which were not written, to the front of
    /// the queue.
    fn requeue(&mut self) {
        let records = self.in_flight.take().map(|in_flight| in_flight.records);
        for pending in records.into_iter().flatten().rev() {
            self.queued_bytes += pending.bytes.len();
            self.queue.push_front(pending);
        }
    }

    fn done(&mut self) -> Outcome<R> {
        let Some(in_flight) = self.in_flight.take() else {
            return Outcome::Pending;
        };
        self.next = in_flight.seq + 1;
        Outcome::Done(Appended {
            seq: in_flight.seq,
            bytes: in_flight.write.len(),
            records: in_flight.records,
            released: matches!(in_flight.kind, Kind::Release(_)),
        })
    }

    /// Reports the outcome of every remaining record when the ownership ends.
    pub(super) fn abandon(&mut self, actions: &mut Vec<Action>) {
        let reason = Reason::NotOwner;
        if let Some(in_flight) = self.in_flight.take() {
            let uncertain = in_flight.write.may_have_applied();
            actions.extend(in_flight.records.into_iter().map(|pending| {
                let ticket = pending.ticket;
                if uncertain {
                    Action::Unknown { ticket }
                } else {
                    Action::NotWritten { ticket, reason }
                }
            }));
        }
        let queue = self.queue.drain(..);
        actions.extend(queue.map(|pending| Action::NotWritten {
            ticket: pending.ticket,
            reason,
        }));
        self.queued_bytes = 0;
    }
}
