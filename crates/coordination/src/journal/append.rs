//! Group commit: one append in flight with all records that waited for it.

use {
    super::{
        budget::Slot,
        key,
        port::{Context, Port, Progress, Write},
        value::{self, Header, Kind},
        Action, Limits, Reason, Ticket,
    },
    crate::store::{self, Answer, Expect, Pair},
    filbertbend_state::{id, time::Instant, unit::Millis},
    serde::Serialize,
    std::{collections::VecDeque, sync::Arc},
};

/// A record that waits or is on its way.
pub(super) struct Waiting<R> {
    pub(super) ticket: Ticket,
    pub(super) record: R,
    bytes: Vec<u8>,
}

/// An entry whose write is not settled.
struct Flight<R> {
    write: Write,
    records: Vec<Waiting<R>>,
    seq: u64,
    kind: Kind,
}

/// An entry that has become durable.
pub(super) struct Appended<R> {
    pub(super) seq: u64,
    pub(super) bytes: usize,
    pub(super) records: Vec<Waiting<R>>,
    pub(super) released: bool,
}

/// What an answer did to the append in flight.
pub(super) enum Outcome<R> {
    /// Nothing is settled.
    Pending,
    /// The entry is durable.
    Done(Appended<R>),
    /// The sequence number holds another entry.
    Foreign { seq: u64, pair: Pair },
}

/// The lane of appends of one ownership.
pub(super) struct Appender<R> {
    slice: id::Slice,
    owner: id::Entry,
    epoch: id::Epoch,
    limits: Limits,
    next: u64,
    queue: VecDeque<Waiting<R>>,
    queued_bytes: usize,
    flight: Option<Flight<R>>,
    slot: Slot,
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
            flight: None,
            slot: Slot::default(),
            release: None,
        }
    }

    /// Returns how many records wait or are on their way.
    pub(super) fn len(&self) -> usize {
        self.queue.len() + self.flight.as_ref().map_or(0, |f| f.records.len())
    }

    pub(super) fn next_seq(&self) -> u64 {
        self.next
    }

    /// Returns the key of the next entry, or of the one in flight.
    pub(super) fn next_key(&self) -> Arc<str> {
        key::entry(self.slice, self.next)
    }

    /// Tells whether `pair` is the entry in flight.
    pub(super) fn is_in_flight(&self, pair: &Pair) -> bool {
        let flight = self.flight.as_ref();
        flight.is_some_and(|flight| flight.write.wrote(pair))
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
        self.queue.push_back(Waiting {
            ticket,
            record,
            bytes,
        });
        Ok(())
    }

    /// Removes a record that was certainly never sent.
    pub(super) fn withdraw(&mut self, ticket: Ticket) -> bool {
        let found = self.queue.iter().position(|w| w.ticket == ticket);
        let removed = found.and_then(|index| self.queue.remove(index));
        let Some(waiting) = removed else {
            return false;
        };
        self.queued_bytes -= waiting.bytes.len();
        true
    }

    /// Writes a `Release` entry after what waits; later records are refused.
    pub(super) fn release(&mut self, leases_end_in: Millis) {
        self.release.get_or_insert(leases_end_in);
    }

    /// Issues the call that is due; `hold` delays a new entry.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>, port: &mut Port, hold: bool) {
        if let Some(flight) = &mut self.flight {
            flight.write.poll(cx, port, &mut self.slot);
            return;
        }
        let idle = self.queue.is_empty() && self.release.is_none();
        if idle || hold || !port.ready(cx.now) || !self.slot.take(cx.now, cx.budget) {
            return;
        }
        let mut flight = self.take_batch(port);
        flight.write.put(cx, port);
        self.flight = Some(flight);
    }

    pub(super) fn wake(&self, port: &Port, hold: bool) -> Option<Instant> {
        if let Some(flight) = &self.flight {
            return flight.write.wake(port, &self.slot);
        }
        let idle = self.queue.is_empty() && self.release.is_none();
        let due = self.slot.at().unwrap_or_default().max(port.not_before());
        (!idle && !hold).then_some(due)
    }

    /// Forms the next entry from as many waiting records as fit.
    fn take_batch(&mut self, port: &mut Port) -> Flight<R> {
        let mut records = Vec::new();
        let mut body = Vec::new();
        while let Some(waiting) = self.queue.front() {
            if body.len() + waiting.bytes.len() > self.limits.entry_bytes {
                break;
            }
            body.extend(&waiting.bytes);
            self.queued_bytes -= waiting.bytes.len();
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
            nonce: port.nonce(),
            kind,
        };
        let value = value::encode_entry(&header, &body);
        Flight {
            write: Write::new(key::entry(self.slice, seq), value, Expect::Absent),
            records,
            seq,
            kind,
        }
    }

    pub(super) fn answer(&mut self, ticket: store::Ticket, answer: &Answer) -> Option<Outcome<R>> {
        let flight = self.flight.as_mut()?;
        let progress = flight.write.answer(ticket, answer)?;
        Some(match progress {
            Progress::Pending | Progress::Foreign(None) => Outcome::Pending,
            Progress::Untouched => {
                self.requeue();
                Outcome::Pending
            }
            Progress::Done(_) => self.done(),
            Progress::Foreign(Some(pair)) => Outcome::Foreign {
                seq: flight.seq,
                pair,
            },
        })
    }

    /// Puts records that were certainly not sent back to the front.
    fn requeue(&mut self) {
        let records = self.flight.take().map(|flight| flight.records);
        for waiting in records.into_iter().flatten().rev() {
            self.queued_bytes += waiting.bytes.len();
            self.queue.push_front(waiting);
        }
    }

    fn done(&mut self) -> Outcome<R> {
        let Some(flight) = self.flight.take() else {
            return Outcome::Pending;
        };
        self.next = flight.seq + 1;
        Outcome::Done(Appended {
            seq: flight.seq,
            bytes: flight.write.len(),
            records: flight.records,
            released: matches!(flight.kind, Kind::Release(_)),
        })
    }

    /// Reports what becomes of every record when the ownership ends.
    pub(super) fn abandon(&mut self, actions: &mut Vec<Action>) {
        let reason = Reason::NotOwner;
        if let Some(flight) = self.flight.take() {
            let uncertain = flight.write.uncertain();
            actions.extend(flight.records.into_iter().map(|waiting| {
                let ticket = waiting.ticket;
                if uncertain {
                    Action::Unknown { ticket }
                } else {
                    Action::NotWritten { ticket, reason }
                }
            }));
        }
        let queue = self.queue.drain(..);
        actions.extend(queue.map(|waiting| Action::NotWritten {
            ticket: waiting.ticket,
            reason,
        }));
        self.queued_bytes = 0;
    }
}
