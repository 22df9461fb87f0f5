//! What the processes need of the platform.

use {
    filbertbend_state::unit::Millis,
    filbertbend_workload::{
        agent::{Answer, Call},
        worker::Profile,
    },
    std::{future::Future, sync::Arc},
};

/// A revision of the store; it rises with each change of any key.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Revision(pub u64);

/// A lease of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease(pub u64);

/// One key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub value: Vec<u8>,
    /// The revision of its last change.
    pub revision: Revision,
}

/// One change of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// It was written.
    Set(Item),
    /// It was removed.
    Removed(Arc<str>),
}

/// What a watch returns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Changes {
    /// The changes, in order; none if the wait passed without any.
    pub changes: Vec<Change>,
    /// The revision to go on from.
    pub revision: Revision,
}

/// Several changes, all or none of which take effect.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// Keys that must be at these revisions; 0 means that it must not exist.
    pub expect: Vec<(Arc<str>, Revision)>,
    /// Keys to write.
    pub set: Vec<(Arc<str>, Vec<u8>, Option<Lease>)>,
    /// Keys to remove.
    pub remove: Vec<Arc<str>>,
}

/// The result of a [`Transaction`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Commit {
    /// It took effect at this revision.
    Done(Revision),
    /// An expected key was at another revision; these exist.
    Conflict(Vec<Item>),
    /// The lease of a key does not exist.
    LeaseNotFound,
}

/// Why a call of the store failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Failure {
    /// The store certainly has not done it.
    #[error("the store refused: {0}")]
    Refused(Arc<str>),
    /// The store may have done it, or do it later.
    #[error("the store gave no answer: {0}")]
    Lost(Arc<str>),
    /// The history from the given revision is no longer available.
    #[error("the store has dropped this history")]
    Compacted,
    /// The lease has ended.
    #[error("the lease has ended")]
    LeaseNotFound,
}

/// The platform's key-value store.
pub trait Store: Clone + 'static {
    /// Reads a key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Item>, Failure>>;

    /// Reads all keys with a prefix, and the revision to watch them from.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<(Vec<Item>, Revision), Failure>>;

    /// Waits for changes of keys with a prefix.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Millis,
    ) -> impl Future<Output = Result<Changes, Failure>>;

    /// Carries out a transaction.
    fn commit(&self, transaction: &Transaction) -> impl Future<Output = Result<Commit, Failure>>;

    /// Grants a lease.
    fn grant(&self, ttl: Millis) -> impl Future<Output = Result<Lease, Failure>>;

    /// Renews a lease.
    fn renew(&self, lease: Lease) -> impl Future<Output = Result<(), Failure>>;

    /// Ends a lease, which removes its keys.
    fn revoke(&self, lease: Lease) -> impl Future<Output = Result<(), Failure>>;
}

/// The worker beside an agent.
pub trait Worker: Clone + 'static {
    /// Carries out one call.
    fn call(&self, worker: &Profile, call: &Call) -> impl Future<Output = Answer>;
}
