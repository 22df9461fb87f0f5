//! Writes the leader's batches to the store, one at a time.

use {
    crate::{
        claim::decode_term,
        key,
        platform::{Commit, Failure, Item, Lease, Revision, Store, Transaction},
    },
    filbertbend_state::time::Instant,
    filbertbend_transport::clock,
    filbertbend_workload::{
        id::Epoch,
        planner::{Batch, Write, FORMER_LEASE_BOUND},
        record::{Leader, Term},
    },
    serde::Serialize,
    spdlog::prelude::*,
    std::{future::pending, sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{self, sleep},
    },
};

/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// The error that ends a journal: another entry has claimed a newer term.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Deposed {
    /// The epoch of the newer term, if it could be read.
    pub by: Option<Epoch>,
}

/// Writes the batches of one term. Each write is conditional on the revision of
/// the previous one, so neither a former leader nor a delayed write can take
/// effect.
#[derive(Debug)]
pub struct Journal<S> {
    store: S,
    term: Term,
    revision: Revision,
    claimed: Instant,
    recovered: Option<watch::Receiver<time::Instant>>,
}

impl<S: Store> Journal<S> {
    /// Creates the journal of a term that was claimed at `claimed` and whose last
    /// write has this `revision`.
    pub fn new(store: S, term: Term, revision: Revision, claimed: Instant) -> Self {
        Self {
            store,
            term,
            revision,
            claimed,
            recovered: None,
        }
    }

    /// Repeats a write without an answer as soon as a call that was made after it
    /// has been answered. `recovered` holds when the last such call was made.
    pub fn with_recovery(mut self, recovered: watch::Receiver<time::Instant>) -> Self {
        self.recovered = Some(recovered);
        self
    }

    /// Writes a batch, with retries until the store has committed it. Returns
    /// the time just before the attempt that succeeded was sent.
    ///
    /// # Errors
    ///
    /// Returns [`Deposed`] if another entry leads.
    pub async fn write(&mut self, batch: &Batch) -> Result<Instant, Deposed> {
        let mut transaction = Transaction::default();
        for write in &batch.writes {
            add_write(&mut transaction, write);
        }
        self.commit(transaction).await
    }

    /// Writes the leader's key and binds it to `lease`.
    ///
    /// # Errors
    ///
    /// Returns [`Deposed`] if another entry leads.
    pub async fn announce(&mut self, leader: &Leader, lease: Lease) -> Result<Instant, Deposed> {
        let transaction = Transaction {
            set: vec![(key::LEADER.into(), encode(leader), Some(lease))],
            ..Transaction::default()
        };
        self.commit(transaction).await
    }

    /// Commits a transaction together with the number of the next batch.
    async fn commit(&mut self, mut transaction: Transaction) -> Result<Instant, Deposed> {
        self.term.batch += 1;
        self.term.settled = clock::monotonic() >= self.claimed + FORMER_LEASE_BOUND;
        transaction
            .set
            .push((key::TERM.into(), encode(&self.term), None));
        loop {
            transaction.expect = vec![(key::TERM.into(), self.revision)];
            let sent_at = clock::monotonic();
            let committed = tokio::select! {
                committed = self.store.commit(&transaction) => committed,
                // The write may still take effect; then the next attempt finds it.
                () = recovery_after(time::Instant::now(), &mut self.recovered) => {
                    info!("store answers again, write repeated", kv: { batch = self.term.batch });
                    continue;
                }
            };
            match committed {
                Ok(Commit::Done(revision)) => {
                    self.revision = revision;
                    return Ok(sent_at);
                }
                Ok(Commit::Conflict(items)) => {
                    if self.resolve_conflict(&items)? {
                        return Ok(sent_at);
                    }
                }
                // The caller obtains a new lease and announces again. The number
                // is not reused: an earlier attempt may have taken effect, and
                // the next batch would be taken for it.
                Ok(Commit::LeaseNotFound) => return Ok(sent_at),
                Err(Failure::Refused(error)) => {
                    debug!("write refused by the store, retrying", kv: { batch = self.term.batch, error: = &*error });
                    sleep(RETRY_DELAY).await;
                }
                Err(error) => {
                    info!("no answer to a write, retrying", kv: { batch = self.term.batch, error: });
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Determines from the stored term whether the conflicting write was our
    /// own earlier attempt. Returns whether that attempt took effect.
    fn resolve_conflict(&mut self, items: &[Item]) -> Result<bool, Deposed> {
        let item = items
            .iter()
            .find(|item| *item.key == *key::TERM)
            .ok_or(Deposed { by: None })?;
        let found = decode_term(item).map_err(|_| Deposed { by: None })?;
        if found.epoch != self.term.epoch || found.node != self.term.node {
            return Err(Deposed {
                by: Some(found.epoch),
            });
        }
        self.revision = item.revision;
        Ok(found.batch == self.term.batch)
    }
}

/// Waits until a call that was made after `sent_at` has been answered.
async fn recovery_after(
    sent_at: time::Instant,
    recovered: &mut Option<watch::Receiver<time::Instant>>,
) {
    if let Some(recovered) = recovered {
        if recovered.wait_for(|after| *after > sent_at).await.is_ok() {
            return;
        }
    }
    pending().await
}

/// Encodes a record. Encoding fails only for types that postcard doesn't
/// support, and no record contains one.
pub(crate) fn encode(record: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(record).unwrap_or_else(|error| {
        error!("record cannot be encoded", kv: { error: });
        Vec::new()
    })
}

fn add_write(transaction: &mut Transaction, write: &Write) {
    let mut set = |key: Arc<str>, value: Vec<u8>| transaction.set.push((key, value, None));
    match write {
        Write::Progress(id, progress) => set(key::progress(*id), encode(progress)),
        Write::Remove(id) => {
            let keys = [key::job(*id), key::cancellation(*id), key::progress(*id)];
            transaction.remove.extend(keys);
        }
    }
}
