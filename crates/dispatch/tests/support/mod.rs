//! An in-memory store with injectable faults.

pub(crate) mod leader;

use {
    filbertbend_dispatch::platform::{
        Change, Changes, Commit, Failure, Item, Lease, Revision, Store, Transaction,
    },
    filbertbend_state::unit::Millis,
    std::{
        cell::RefCell,
        collections::{BTreeMap, VecDeque},
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
};

/// A fault injected into one write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// The store refuses the write at once.
    Refused,
    /// The store refuses the write after 30 ms.
    RefusedLate,
    /// The write takes effect, but its answer is lost.
    LostAnswer,
    /// The write is lost before it takes effect.
    LostCall,
    /// The connection goes silent: neither answer nor error arrives.
    Silence,
    /// The lease that the write binds a key to has expired.
    LeaseExpired,
}

#[derive(Default)]
struct State {
    items: BTreeMap<Arc<str>, Item>,
    revision: u64,
    faults: VecDeque<Fault>,
    writes: usize,
}

/// The in-memory store. Clones share their state.
#[derive(Clone, Default)]
pub(crate) struct Memory {
    state: Rc<RefCell<State>>,
}

impl Memory {
    /// Makes the next writes fail in this way. Later writes succeed.
    pub(crate) fn fail(&self, faults: impl IntoIterator<Item = Fault>) {
        self.state.borrow_mut().faults = faults.into_iter().collect();
    }

    pub(crate) fn writes(&self) -> usize {
        self.state.borrow().writes
    }

    pub(crate) fn item(&self, key: &str) -> Option<Item> {
        self.state.borrow().items.get(key).cloned()
    }

    /// Writes a key unconditionally, as another process would.
    pub(crate) fn put(&self, key: &str, value: Vec<u8>) {
        let transaction = Transaction {
            set: vec![(key.into(), value, None)],
            ..Transaction::default()
        };
        self.apply(&transaction);
    }

    fn apply(&self, transaction: &Transaction) -> Commit {
        let mut state = self.state.borrow_mut();
        let found = |key: &Arc<str>| {
            state
                .items
                .get(key)
                .map_or(Revision(0), |item| item.revision)
        };
        let holds = transaction
            .expect
            .iter()
            .all(|(key, revision)| found(key) == *revision);
        if !holds {
            let items = transaction.expect.iter();
            return Commit::Conflict(
                items
                    .filter_map(|(key, _)| state.items.get(key).cloned())
                    .collect(),
            );
        }
        state.revision += 1;
        let revision = Revision(state.revision);
        for (key, value, _) in &transaction.set {
            let item = Item {
                key: key.clone(),
                value: value.clone(),
                revision,
            };
            state.items.insert(key.clone(), item);
        }
        for key in &transaction.remove {
            state.items.remove(key);
        }
        Commit::Done(revision)
    }
}

impl Store for Memory {
    async fn get(&self, key: &str) -> Result<Option<Item>, Failure> {
        Ok(self.item(key))
    }

    async fn list(&self, prefix: &str) -> Result<(Vec<Item>, Revision), Failure> {
        let state = self.state.borrow();
        let items = state.items.values();
        let found = items.filter(|item| item.key.starts_with(prefix)).cloned();
        Ok((found.collect(), Revision(state.revision)))
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Millis) -> Result<Changes, Failure> {
        let deadline = tokio::time::Instant::now() + wait.duration();
        loop {
            let (changes, revision) = {
                let state = self.state.borrow();
                let items = state.items.values();
                let newer =
                    items.filter(|item| item.key.starts_with(prefix) && item.revision > after);
                let changes: Vec<Change> = newer.cloned().map(Change::Set).collect();
                (changes, Revision(state.revision))
            };
            if !changes.is_empty() || tokio::time::Instant::now() >= deadline {
                return Ok(Changes { changes, revision });
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Commit, Failure> {
        let fault = {
            let mut state = self.state.borrow_mut();
            state.writes += 1;
            state.faults.pop_front()
        };
        match fault {
            None => Ok(self.apply(transaction)),
            Some(Fault::Refused) => Err(Failure::Refused("busy".into())),
            Some(Fault::RefusedLate) => {
                tokio::time::sleep(Duration::from_millis(30)).await;
                Err(Failure::Refused("busy".into()))
            }
            Some(Fault::Silence) => std::future::pending().await,
            Some(Fault::LeaseExpired) => Ok(Commit::LeaseNotFound),
            Some(Fault::LostCall) => Err(Failure::Lost("reset".into())),
            Some(Fault::LostAnswer) => {
                self.apply(transaction);
                Err(Failure::Lost("reset".into()))
            }
        }
    }

    async fn grant(&self, _: Millis) -> Result<Lease, Failure> {
        Ok(Lease(1))
    }

    async fn renew(&self, _: Lease) -> Result<(), Failure> {
        Ok(())
    }

    async fn revoke(&self, _: Lease) -> Result<(), Failure> {
        Ok(())
    }
}
