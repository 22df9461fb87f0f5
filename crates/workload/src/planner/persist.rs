//! Which changes are made durable together, and when.

use {
    super::ledger::Ledger,
    crate::{id::Job, record::Progress},
    filbertbend_state::{time::Instant, unit::Millis},
    std::collections::BTreeSet,
};

/// Most changes of one batch. The platform's store takes 32 entries a
/// transaction, one of which is the leader's term.
const BATCH_LIMIT: usize = 30;
/// Keys that a forgotten job takes in a transaction.
const FORGET_KEYS: usize = 3;
/// How long progress that no caller waits for is gathered before it is written.
/// Ends stay listed by their workers meanwhile.
const GATHER_TIME: Millis = Millis(150);

/// One change.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// The progress of a job.
    Progress(Job, Progress),
    /// A job and its progress are no longer needed.
    Forget(Job),
}

/// Changes that become durable together.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Its number within the term, from 1.
    pub number: u64,
    /// The changes.
    pub writes: Vec<Write>,
}

/// A batch that is being written.
#[derive(Debug)]
pub(super) struct Flight {
    number: u64,
    pub(super) jobs: Vec<(Job, u64)>,
}

/// What is to be written.
#[derive(Debug, Default)]
pub(super) struct Queue {
    dirty: BTreeSet<Job>,
    urgent: bool,
    since: Option<Instant>,
    forgotten: BTreeSet<Job>,
    flight: Option<Flight>,
    number: u64,
}

impl Queue {
    /// Notes that a job's progress has changed; `urgent` if a caller waits.
    pub(super) fn touch(&mut self, now: Instant, job: Job, urgent: bool) {
        self.dirty.insert(job);
        self.urgent |= urgent;
        self.since.get_or_insert(now);
    }

    /// Writes what has gathered without waiting for more.
    pub(super) fn hurry(&mut self) {
        self.urgent = true;
    }

    /// Tells whether nothing is being written or waits to be.
    pub(super) fn is_idle(&self) -> bool {
        self.flight.is_none() && self.dirty.is_empty()
    }

    /// Removes a job for good.
    pub(super) fn remove_job(&mut self, now: Instant, job: Job) {
        self.since.get_or_insert(now);
        self.dirty.remove(&job);
        self.forgotten.insert(job);
    }

    /// Starts the next batch, if one is due and none is being written.
    pub(super) fn next(&mut self, now: Instant, ledger: &Ledger) -> Option<Batch> {
        if self.flight.is_some() {
            return None;
        }
        let gathered = self.since.is_some_and(|since| now >= since + GATHER_TIME);
        if !self.urgent && !gathered {
            return None;
        }
        let mut writes = Vec::new();
        let mut jobs = Vec::new();
        while writes.len() < BATCH_LIMIT {
            let Some(id) = self.dirty.pop_first() else {
                break;
            };
            if let Some(entry) = ledger.get(id) {
                jobs.push((id, entry.version));
                writes.push(Write::Progress(id, entry.progress()));
            }
        }
        let mut left = BATCH_LIMIT - writes.len();
        while left >= FORGET_KEYS {
            let Some(id) = self.forgotten.pop_first() else {
                break;
            };
            writes.push(Write::Forget(id));
            left -= FORGET_KEYS;
        }
        if self.dirty.is_empty() && self.forgotten.is_empty() {
            self.urgent = false;
            self.since = None;
        }
        if writes.is_empty() {
            return None;
        }
        self.number += 1;
        self.flight = Some(Flight {
            number: self.number,
            jobs,
        });
        Some(Batch {
            number: self.number,
            writes,
        })
    }

    /// Ends the flight of a batch that is durable now.
    pub(super) fn land(&mut self, number: u64) -> Option<Flight> {
        let flight = self.flight.take_if(|flight| flight.number == number)?;
        Some(flight)
    }
}
