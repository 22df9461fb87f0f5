//! The platform as the processes see it: a key-value store and the worker
//! beside each agent.

use {
    filbertbend_state::unit::Millis,
    filbertbend_workload::{
        agent::{Answer, Call},
        id::Incarnation,
    },
    std::{future::Future, sync::Arc},
};

/// A revision of the store. It increases with every change to any key.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Revision(pub u64);

/// Identifier of a store lease. Keys bound to a lease are removed when it ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease(pub u64);

/// A key with its value and the revision of its last change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub value: Vec<u8>,
    /// The revision at which the key was last written.
    pub revision: Revision,
}

/// A change to one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The key was written.
    Set(Item),
    /// The key was removed.
    Removed(Arc<str>),
}

/// The result of one long poll for changes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Changes {
    /// The changes in commit order. Empty if the poll timed out.
    pub changes: Vec<Change>,
    /// The revision from which the next watch continues.
    pub revision: Revision,
}

/// Conditional writes and removals that take effect together or not at all.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// Keys and the revisions that they must have. Revision 0 means that the
    /// key must not exist.
    pub expect: Vec<(Arc<str>, Revision)>,
    /// Keys to write, their values, and the leases that they are bound to.
    pub set: Vec<(Arc<str>, Vec<u8>, Option<Lease>)>,
    /// Keys to remove.
    pub remove: Vec<Arc<str>>,
}

/// The result of a [`Transaction`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Commit {
    /// The transaction was committed at this revision.
    Done(Revision),
    /// An expected key had another revision. Holds those of the expected keys
    /// that exist.
    Conflict(Vec<Item>),
    /// A key was to be bound to a lease that doesn't exist.
    LeaseNotFound,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Failure {
    /// The call has certainly not taken effect.
    #[error("the store refused: {0}")]
    Refused(Arc<str>),
    /// The call may have taken effect, or may still do so.
    #[error("the store gave no answer: {0}")]
    Lost(Arc<str>),
    /// The store has compacted the changes after the given revision.
    #[error("the requested revision has been compacted")]
    Compacted,
    /// The lease doesn't exist or has expired.
    #[error("the lease does not exist or has expired")]
    LeaseNotFound,
}

/// The platform's key-value store.
pub trait Store: Clone + 'static {
    /// Reads a key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Item>, Failure>>;

    /// Reads all keys with a prefix. Also returns the revision from which a
    /// watch continues without a gap.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<(Vec<Item>, Revision), Failure>>;

    /// Waits up to `wait` for changes to keys with a prefix, and returns those
    /// that happened after the revision `after`.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Millis,
    ) -> impl Future<Output = Result<Changes, Failure>>;

    /// Commits a transaction if all its expectations hold.
    fn commit(&self, transaction: &Transaction) -> impl Future<Output = Result<Commit, Failure>>;

    /// Creates a lease that expires unless it is renewed within `ttl`.
    fn grant(&self, ttl: Millis) -> impl Future<Output = Result<Lease, Failure>>;

    /// Extends a lease by its time to live.
    fn renew(&self, lease: Lease) -> impl Future<Output = Result<(), Failure>>;

    /// Revokes a lease and removes all keys bound to it.
    fn revoke(&self, lease: Lease) -> impl Future<Output = Result<(), Failure>>;
}

/// The worker beside an agent.
pub trait Worker: Clone + 'static {
    /// Sends one call that is meant for `worker` and waits for its answer.
    fn call(&self, worker: &Incarnation, call: &Call) -> impl Future<Output = Answer>;
}
