//! Batching of the changes that are written to the store.

use {
    super::{registry::Registry, Action, Planner},
    crate::{id::Job, message::Response, record::Progress},
    filbertbend_state::{time::Instant, unit::Millis},
    std::collections::{BTreeSet, VecDeque},
};

/// The maximum number of changes in a batch. The platform's store accepts 32
/// entries per transaction, one of which is the leader's term.
const BATCH_LIMIT: usize = 30;
/// The number of store keys that the removal of a job deletes.
const KEYS_PER_REMOVAL: usize = 3;
/// How long progress that no caller waits for is batched before it is written.
/// Workers keep listing the ends meanwhile.
const BATCH_DELAY: Millis = Millis(150);

/// How long the state of a job that has begun waits for another change of the job
/// to be written with. Most tasks end sooner.
const STATE_DELAY: Millis = Millis(2000);

/// A change of stored data.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// Writes the progress of a job.
    Progress(Job, Progress),
    /// Deletes a job and its progress.
    Remove(Job),
}

/// Changes that are written atomically.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// The number within the term, from 1.
    pub number: u64,
    /// The changes, at most one per job.
    pub writes: Vec<Write>,
}

/// A batch that is being written.
#[derive(Debug)]
pub(super) struct InFlight {
    number: u64,
    pub(super) jobs: Vec<(Job, u64)>,
}

/// The changes that are waiting to be written.
#[derive(Debug, Default)]
pub(super) struct Queue {
    dirty: BTreeSet<Job>,
    /// The jobs in `dirty`, the one that has waited longest first, and some that
    /// have been removed since.
    order: VecDeque<Job>,
    urgent: bool,
    dirty_since: Option<Instant>,
    removed: VecDeque<Job>,
    /// The jobs that have begun, with when and at which version.
    deferred: VecDeque<(Instant, Job, u64)>,
    in_flight: Option<InFlight>,
    number: u64,
}

impl Queue {
    /// Marks a job's progress as changed; `urgent` if a caller waits for it.
    pub(super) fn mark_dirty(&mut self, now: Instant, job: Job, urgent: bool) {
        if self.dirty.insert(job) {
            self.order.push_back(job);
        }
        self.urgent |= urgent;
        self.dirty_since.get_or_insert(now);
    }

    /// Leaves the state of a job that has begun to its next change, or to
    /// [`Queue::take_deferred`] if there is none soon.
    pub(super) fn defer(&mut self, now: Instant, job: Job, version: u64) {
        self.deferred.push_back((now, job, version));
    }

    /// Takes the jobs whose state has waited for long, with the versions at which
    /// they began.
    pub(super) fn take_deferred(&mut self, now: Instant) -> Vec<(Job, u64)> {
        let is_due = |(since, ..): &&(Instant, Job, u64)| now >= *since + STATE_DELAY;
        let due = self.deferred.iter().take_while(is_due).count();
        let taken = self.deferred.drain(..due);
        taken.map(|(_, job, version)| (job, version)).collect()
    }

    /// Makes the next batch due at once.
    pub(super) fn flush_now(&mut self) {
        self.urgent = true;
    }

    /// Returns whether no progress is being written or waiting to be written.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.is_none() && self.dirty.is_empty()
    }

    /// Queues the deletion of a job.
    pub(super) fn remove_job(&mut self, now: Instant, job: Job) {
        self.dirty_since.get_or_insert(now);
        self.dirty.remove(&job);
        self.removed.push_back(job);
    }

    /// Starts the next batch if one is due and none is being written.
    pub(super) fn next(&mut self, now: Instant, registry: &Registry) -> Option<Batch> {
        if self.in_flight.is_some() {
            return None;
        }
        let gathered = self
            .dirty_since
            .is_some_and(|dirty_since| now >= dirty_since + BATCH_DELAY);
        if !self.urgent && !gathered {
            return None;
        }
        let mut writes = Vec::new();
        let mut jobs = Vec::new();
        let reserved = if self.removed.is_empty() {
            0
        } else {
            KEYS_PER_REMOVAL
        };
        while writes.len() < BATCH_LIMIT - reserved {
            let Some(id) = self.order.pop_front() else {
                break;
            };
            if !self.dirty.remove(&id) {
                continue;
            }
            if let Some(entry) = registry.get(id) {
                jobs.push((id, entry.version));
                writes.push(Write::Progress(id, entry.progress()));
            }
        }
        let mut remaining = BATCH_LIMIT - writes.len();
        while remaining >= KEYS_PER_REMOVAL {
            let Some(id) = self.removed.pop_front() else {
                break;
            };
            writes.push(Write::Remove(id));
            remaining -= KEYS_PER_REMOVAL;
        }
        if self.dirty.is_empty() && self.removed.is_empty() {
            self.urgent = false;
            self.dirty_since = None;
        }
        if writes.is_empty() {
            return None;
        }
        self.number += 1;
        self.in_flight = Some(InFlight {
            number: self.number,
            jobs,
        });
        Some(Batch {
            number: self.number,
            writes,
        })
    }

    /// Returns the batch in flight and clears it, if it has this number and is
    /// now durable.
    pub(super) fn complete(&mut self, number: u64) -> Option<InFlight> {
        let in_flight = self
            .in_flight
            .take_if(|in_flight| in_flight.number == number)?;
        Some(in_flight)
    }
}

impl Planner {
    /// Records that a task of a job has started, which its worker reports with the
    /// start, in its list of runs or with an end.
    pub(super) fn begin(&mut self, id: Job) {
        let Some(entry) = self.registry.get_mut(id) else {
            return;
        };
        if entry.begin() {
            self.persist.defer(self.now, id, entry.version);
        }
    }

    /// Stores the state of jobs that began a while ago. Later changes have stored it
    /// as well.
    pub(super) fn store_begun(&mut self) {
        for (id, version) in self.persist.take_deferred(self.now) {
            let entry = self.registry.get_mut(id);
            if let Some(entry) = entry.filter(|entry| entry.version == version) {
                entry.version += 1;
                self.persist.mark_dirty(self.now, id, false);
            }
        }
    }

    /// Starts the next batch if one is due and sends the pending orders.
    pub(super) fn flush(&mut self, actions: &mut Vec<Action>) {
        if let Some(batch) = self.persist.next(self.now, &self.registry) {
            actions.push(Action::Persist(batch));
        }
        let registry = &self.registry;
        let durability_changed = std::mem::take(&mut self.durability_changed);
        let orders = self.fleet.take_orders(durability_changed, |id, version| {
            registry
                .get(id)
                .is_none_or(|entry| entry.durable_version >= version)
        });
        for (link, orders) in orders {
            let parts = orders.split().into_iter();
            actions.extend(parts.map(|part| Action::Send(link, Response::Orders(part))));
        }
    }

    pub(super) fn persisted(&mut self, number: u64) {
        let Some(in_flight) = self.persist.complete(number) else {
            return;
        };
        self.durability_changed = true;
        for (id, version) in &in_flight.jobs {
            if let Some(entry) = self.registry.get_mut(*id) {
                entry.durable_version = (*version).max(entry.durable_version);
                if entry.durable_version == entry.version {
                    entry.visible = entry.state;
                }
            }
        }
    }
}
