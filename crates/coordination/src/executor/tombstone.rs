//! Tombstones of attempts that must not be started on this agent.

use {
    crate::attempt::{Attempt, Refusal, Report},
    filbertbend_state::{time::Instant, unit::Millis},
    std::collections::{BTreeMap, BTreeSet},
};

/// Why an attempt must not be started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Cause {
    /// It was refused before it started.
    Refused(Refusal),
    /// It was withdrawn or denied before it started.
    Withdrawn,
    /// It ran, and its end was acknowledged.
    Ended,
}

impl Cause {
    /// Returns the answer to a repeated `Start` of the attempt.
    pub(super) fn start_reply(self) -> Option<Report> {
        match self {
            Self::Refused(reason) => Some(Report::Refused { reason }),
            Self::Withdrawn => Some(Report::Withdrawn),
            Self::Ended => None,
        }
    }

    /// Returns the answer to `Withdraw`, `Evict` or `Cancel` of the attempt.
    pub(super) fn withdraw_reply(self) -> Report {
        match self {
            Self::Refused(_) | Self::Withdrawn => Report::Withdrawn,
            Self::Ended => Report::Started,
        }
    }
}

#[derive(Debug)]
struct Tombstone {
    cause: Cause,
    serial: u64,
}

/// All tombstones, bounded in number and age.
///
/// A tombstone is needed until the owner has acknowledged it or no grant for
/// the attempt can be valid any more. Tombstones that are still needed are
/// never dropped to make room: if all of them are needed,
/// [`Tombstones::has_room`] returns false, and the caller leaves the command
/// unanswered, so that the owner repeats it.
#[derive(Debug)]
pub(super) struct Tombstones {
    by_attempt: BTreeMap<Attempt, Tombstone>,
    by_serial: BTreeMap<u64, (Instant, Attempt)>,
    acknowledged: BTreeSet<u64>,
    next_serial: u64,
    limit: usize,
    ttl: Millis,
}

impl Tombstones {
    pub(super) fn new(limit: usize, ttl: Millis) -> Self {
        Self {
            by_attempt: BTreeMap::new(),
            by_serial: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            next_serial: 0,
            limit,
            ttl,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.by_attempt.len()
    }

    /// Returns why the attempt must not be started, if it has a tombstone.
    pub(super) fn get(&self, attempt: &Attempt) -> Option<Cause> {
        self.by_attempt
            .get(attempt)
            .map(|tombstone| tombstone.cause)
    }

    /// Returns whether another tombstone can be stored.
    pub(super) fn has_room(&self) -> bool {
        self.by_attempt.len() < self.limit || !self.acknowledged.is_empty()
    }

    /// Stores a tombstone. The caller must have checked
    /// [`Tombstones::has_room`].
    pub(super) fn insert(&mut self, now: Instant, attempt: Attempt, cause: Cause) {
        self.remove(attempt);
        while self.by_attempt.len() >= self.limit {
            let Some(serial) = self.acknowledged.first().copied() else {
                break;
            };
            self.remove_serial(serial);
        }
        let serial = self.next_serial;
        self.next_serial += 1;
        self.by_attempt.insert(attempt, Tombstone { cause, serial });
        self.by_serial.insert(serial, (now, attempt));
    }

    /// Marks a tombstone as acknowledged: the owner has made durable that the
    /// attempt is over.
    pub(super) fn acknowledge(&mut self, attempt: Attempt) {
        if let Some(tombstone) = self.by_attempt.get(&attempt) {
            self.acknowledged.insert(tombstone.serial);
        }
    }

    /// Drops tombstones that have reached the maximum age.
    pub(super) fn prune(&mut self, now: Instant) {
        while let Some((serial, (at, _))) = self.by_serial.first_key_value() {
            if now < *at + self.ttl {
                return;
            }
            self.remove_serial(*serial);
        }
    }

    fn remove(&mut self, attempt: Attempt) {
        if let Some(serial) = self
            .by_attempt
            .get(&attempt)
            .map(|tombstone| tombstone.serial)
        {
            self.remove_serial(serial);
        }
    }

    fn remove_serial(&mut self, serial: u64) {
        if let Some((_, attempt)) = self.by_serial.remove(&serial) {
            self.by_attempt.remove(&attempt);
        }
        self.acknowledged.remove(&serial);
    }
}
