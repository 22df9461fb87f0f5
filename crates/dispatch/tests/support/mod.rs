//! An in-memory store with injectable faults.

pub(crate) mod counts;
pub(crate) mod leader;

use {
    filbertbend_dispatch::{
        entry::{Entry, Options},
        link_identity,
        platform::{
            Change, Changes, Commit, Failure, Item, Lease, Revision, Store, Transaction, Worker,
        },
    },
    filbertbend_state::{
        time::Wall,
        unit::{Cores, Millis},
    },
    filbertbend_workload::{
        agent::{Answer, Call},
        id::Incarnation,
        job::{self, Policy, Step},
        planner::Settings,
    },
    std::{
        cell::RefCell,
        collections::{BTreeMap, VecDeque},
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::sync::watch,
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
    /// The write gets no answer, and takes effect in [`Memory::deliver`].
    Late,
    /// Late writes take effect just before this one.
    Overtaken,
    /// The write takes effect and is answered just before its caller gives up.
    Slow,
    /// The connection goes silent: neither answer nor error arrives.
    Silence,
    /// The write takes effect, but neither answer nor error arrives.
    SilentEffect,
    /// The lease that the write binds a key to has expired.
    LeaseExpired,
}

#[derive(Default)]
struct State {
    items: BTreeMap<Arc<str>, Item>,
    revision: u64,
    faults: VecDeque<Fault>,
    writes: usize,
    late: Vec<Transaction>,
    leases: u64,
    /// The newest lease that has ended. Leases are numbered in order.
    ended: u64,
    /// The leases that keys are bound to.
    bound: BTreeMap<Arc<str>, Lease>,
    /// The revisions at which keys were removed.
    removed: BTreeMap<Arc<str>, Revision>,
    /// Whether calls get no answer.
    away: bool,
    /// How many of the next reads are refused.
    refused_reads: usize,
    /// The revision up to which the history is gone.
    compacted: Revision,
}

impl State {
    fn remove(&mut self, key: &Arc<str>) {
        self.items.remove(key);
        self.bound.remove(key);
        self.removed.insert(key.clone(), Revision(self.revision));
    }

    /// Removes the keys that are bound to the leases that `ended` selects.
    fn end_leases(&mut self, ended: impl Fn(Lease) -> bool) {
        self.revision += 1;
        let bound = self.bound.iter().filter(|(_, lease)| ended(**lease));
        let keys: Vec<Arc<str>> = bound.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

/// How long a call waits for its answer, beside the time that it asks for.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a slow write takes.
const SLOW_CALL: Duration = Duration::from_millis(900);

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

    /// Carries out the late writes.
    pub(crate) fn deliver(&self) {
        let late = std::mem::take(&mut self.state.borrow_mut().late);
        for transaction in late {
            self.apply(&transaction);
        }
    }

    /// Ends all leases and removes the keys that are bound to them.
    pub(crate) fn expire_leases(&self) {
        let mut state = self.state.borrow_mut();
        state.ended = state.leases;
        state.end_leases(|_| true);
    }

    /// Leaves calls without an answer from now on, or answers them again. A call
    /// that was made while the store was away times out all the same.
    pub(crate) fn set_away(&self, away: bool) {
        self.state.borrow_mut().away = away;
    }

    /// Refuses the next reads of single keys.
    pub(crate) fn refuse_reads(&self, count: usize) {
        self.state.borrow_mut().refused_reads = count;
    }

    /// Returns how many reads are still to be refused.
    pub(crate) fn refused_reads(&self) -> usize {
        self.state.borrow().refused_reads
    }

    /// Times out if the store is away.
    async fn reach(&self, wait: Duration) -> Result<(), Failure> {
        if self.state.borrow().away {
            tokio::time::sleep(wait + CALL_TIMEOUT).await;
            return Err(Failure::Lost("timeout".into()));
        }
        Ok(())
    }

    /// Returns the number of keys with a prefix.
    pub(crate) fn count(&self, prefix: &str) -> usize {
        let state = self.state.borrow();
        let keys = state.items.keys();
        keys.filter(|key| key.starts_with(prefix)).count()
    }

    /// Returns the number of leases granted so far.
    pub(crate) fn leases(&self) -> u64 {
        self.state.borrow().leases
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

    /// Removes a key unconditionally, as another process would.
    pub(crate) fn remove(&self, key: &str) {
        let transaction = Transaction {
            remove: vec![key.into()],
            ..Transaction::default()
        };
        self.apply(&transaction);
    }

    /// Drops the history of changes so far, and cuts the watches that lack some.
    pub(crate) fn compact(&self) {
        let mut state = self.state.borrow_mut();
        state.compacted = Revision(state.revision);
        state.removed.clear();
    }

    /// Returns the number of clones.
    pub(crate) fn clones(&self) -> usize {
        Rc::strong_count(&self.state)
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
        for (key, value, lease) in &transaction.set {
            match lease {
                Some(lease) => state.bound.insert(key.clone(), *lease),
                None => state.bound.remove(key),
            };
            let item = Item {
                key: key.clone(),
                value: value.clone(),
                revision,
            };
            state.items.insert(key.clone(), item);
            state.removed.remove(key);
        }
        for key in &transaction.remove {
            state.remove(key);
        }
        Commit::Done(revision)
    }
}

impl Store for Memory {
    async fn get(&self, key: &str) -> Result<Option<Item>, Failure> {
        self.reach(Duration::ZERO).await?;
        let mut state = self.state.borrow_mut();
        if state.refused_reads > 0 {
            state.refused_reads -= 1;
            return Err(Failure::Refused("busy".into()));
        }
        Ok(state.items.get(key).cloned())
    }

    async fn list(&self, prefix: &str) -> Result<(Vec<Item>, Revision), Failure> {
        self.reach(Duration::ZERO).await?;
        let state = self.state.borrow();
        let items = state.items.values();
        let found = items.filter(|item| item.key.starts_with(prefix)).cloned();
        Ok((found.collect(), Revision(state.revision)))
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Millis) -> Result<Changes, Failure> {
        let deadline = tokio::time::Instant::now() + wait.duration();
        loop {
            let left = deadline.saturating_duration_since(tokio::time::Instant::now());
            self.reach(left).await?;
            let (changes, revision) = {
                let state = self.state.borrow();
                if after < state.compacted {
                    return Err(Failure::Compacted);
                }
                let items = state.items.values();
                let newer =
                    items.filter(|item| item.key.starts_with(prefix) && item.revision > after);
                let set = newer.cloned().map(Change::Set);
                let removed = state.removed.iter();
                let gone = removed.filter(|(key, at)| key.starts_with(prefix) && **at > after);
                let gone = gone.map(|(key, _)| Change::Removed(key.clone()));
                let changes: Vec<Change> = set.chain(gone).collect();
                (changes, Revision(state.revision))
            };
            if !changes.is_empty() || tokio::time::Instant::now() >= deadline {
                return Ok(Changes { changes, revision });
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Commit, Failure> {
        self.reach(Duration::ZERO).await?;
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
            Some(Fault::Late) => {
                self.state.borrow_mut().late.push(transaction.clone());
                Err(Failure::Lost("timeout".into()))
            }
            Some(Fault::Overtaken) => {
                self.deliver();
                Ok(self.apply(transaction))
            }
            Some(Fault::Slow) => {
                tokio::time::sleep(SLOW_CALL).await;
                Ok(self.apply(transaction))
            }
            Some(Fault::Silence) => std::future::pending().await,
            Some(Fault::SilentEffect) => {
                self.apply(transaction);
                std::future::pending().await
            }
            Some(Fault::LeaseExpired) => Ok(Commit::LeaseNotFound),
            Some(Fault::LostCall) => Err(Failure::Lost("reset".into())),
            Some(Fault::LostAnswer) => {
                self.apply(transaction);
                Err(Failure::Lost("reset".into()))
            }
        }
    }

    async fn grant(&self, _: Millis) -> Result<Lease, Failure> {
        self.reach(Duration::ZERO).await?;
        let mut state = self.state.borrow_mut();
        state.leases += 1;
        Ok(Lease(state.leases))
    }

    async fn renew(&self, lease: Lease) -> Result<(), Failure> {
        self.reach(Duration::ZERO).await?;
        if lease.0 <= self.state.borrow().ended {
            return Err(Failure::LeaseNotFound);
        }
        Ok(())
    }

    async fn revoke(&self, lease: Lease) -> Result<(), Failure> {
        self.reach(Duration::ZERO).await?;
        let mut state = self.state.borrow_mut();
        state.end_leases(|bound| bound == lease);
        Ok(())
    }
}

/// Returns a job of one task.
pub(crate) fn job() -> job::Job {
    job::Job {
        queue: "checks".into(),
        policy: Policy::default(),
        spec: "work".into(),
        steps: vec![Step {
            tasks: 1,
            ..Step::default()
        }],
        accepted: Wall(0),
        schedule: None,
    }
}

/// Returns the options of an entry whose port the system chooses.
pub(crate) fn options() -> Options {
    Options {
        node: "entry-1".into(),
        address: ([127, 0, 0, 1], 0).into(),
        processor: Cores(500),
        planner: Settings {
            lease: Millis(5500),
            lease_limit: Millis(10_000),
            silence_limit: Millis(2200),
            job_retention: Millis(120_000),
            worker_retention: Millis(12_000),
        },
        evacuations: None,
    }
}

/// Starts an entry that never leads, so that only the test writes.
pub(crate) async fn entry(store: &Memory) -> Rc<Entry<Memory>> {
    let identity = link_identity::load_or_create(store).await;
    let (_, catalog) = watch::channel(None);
    let (_, stop) = watch::channel(true);
    Entry::start(store.clone(), options(), identity, catalog, stop).unwrap()
}

/// A worker that answers nothing.
#[derive(Clone)]
pub(crate) struct NoWorker;

impl Worker for NoWorker {
    async fn call(&self, _: &Incarnation, _: &Call) -> Answer {
        Answer::Lost
    }
}
