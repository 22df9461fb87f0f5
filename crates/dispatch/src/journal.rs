//! The leader's writes, one after another.

use {
    crate::{
        key,
        platform::{Commit, Failure, Item, Lease, Revision, Store, Transaction},
    },
    filbertbend_state::time::Instant,
    filbertbend_transport::clock,
    filbertbend_workload::{
        id::Epoch,
        planner::{Batch, Write},
        record::{Leader, Term},
    },
    serde::Serialize,
    spdlog::prelude::*,
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// How long to wait before a failed write is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Why writing has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Deposed {
    /// The newer term, if it could be read.
    pub by: Option<Epoch>,
}

/// Writes the batches of one term. Each write expects the one before, so no
/// former leader and no delayed write can change anything.
#[derive(Debug)]
pub struct Journal<S> {
    store: S,
    term: Term,
    revision: Revision,
}

impl<S: Store> Journal<S> {
    /// Continues a term whose last write was made at `revision`.
    pub fn new(store: S, term: Term, revision: Revision) -> Self {
        Self {
            store,
            term,
            revision,
        }
    }

    /// Makes a batch durable. Returns the time before the write that succeeded.
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

    /// Writes the leader's key, bound to `lease`.
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

    async fn commit(&mut self, mut transaction: Transaction) -> Result<Instant, Deposed> {
        self.term.batch += 1;
        transaction
            .set
            .push((key::TERM.into(), encode(&self.term), None));
        loop {
            transaction.expect = vec![(key::TERM.into(), self.revision)];
            let requested_at = clock::monotonic();
            match self.store.commit(&transaction).await {
                Ok(Commit::Done(revision)) => {
                    self.revision = revision;
                    return Ok(requested_at);
                }
                Ok(Commit::Conflict(items)) => {
                    if self.resolve_conflict(&items)? {
                        return Ok(requested_at);
                    }
                }
                Ok(Commit::LeaseNotFound) => {
                    // The caller grants another lease and announces again.
                    self.term.batch -= 1;
                    return Ok(requested_at);
                }
                Err(Failure::Refused(error)) => {
                    debug!("write refused", kv: { batch = self.term.batch, error: = &*error });
                    sleep(RETRY_DELAY).await;
                }
                Err(error) => {
                    info!("write without answer", kv: { batch = self.term.batch, error: });
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Finds out from the term in the store what became of a write; returns
    /// whether it took effect.
    fn resolve_conflict(&mut self, items: &[Item]) -> Result<bool, Deposed> {
        let item = items
            .iter()
            .find(|item| *item.key == *key::TERM)
            .ok_or(Deposed { by: None })?;
        let found: Term = postcard::from_bytes(&item.value).map_err(|_| Deposed { by: None })?;
        if found.epoch != self.term.epoch || found.node != self.term.node {
            return Err(Deposed {
                by: Some(found.epoch),
            });
        }
        self.revision = item.revision;
        Ok(found.batch == self.term.batch)
    }
}

/// Encodes a record. Only a type that the encoding lacks could fail, and the
/// records have none.
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
        Write::Forget(id) => {
            let keys = [key::job(*id), key::cancellation(*id), key::progress(*id)];
            transaction.remove.extend(keys);
        }
    }
}
