//! Watches a single key of the store, or all keys with a prefix.

use {
    crate::platform::{Change, Failure, Item, Store},
    filbertbend_state::unit::Millis,
    spdlog::prelude::*,
    std::{cell::Cell, collections::BTreeMap, rc::Rc, sync::Arc, time::Duration},
    tokio::{
        sync::{watch, Notify},
        time::{sleep, Instant},
    },
};

/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Minimum pause between two long polls. Limits a rapid series of changes to a
/// few calls per second.
const WATCH_PAUSE: Duration = Duration::from_millis(100);

/// A handle on the newest known values of the watched keys. Clones share the same
/// poller, which ends with the last of them.
#[derive(Clone, Debug)]
pub struct Watcher {
    value: watch::Receiver<State>,
    refresh: Arc<Notify>,
    last_answer: Rc<Cell<Instant>>,
    silence: Rc<Cell<Duration>>,
    away_since: Rc<Cell<Option<Instant>>>,
}

/// What is known about the watched keys.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
enum State {
    /// They have not been read yet.
    #[default]
    Unread,
    /// Those that exist.
    Read(Items),
}

type Items = BTreeMap<Arc<str>, Item>;

/// The keys that are watched.
#[derive(Clone, Copy, Debug)]
enum Scope {
    Key(&'static str),
    Prefix(&'static str),
}

impl Scope {
    /// Returns the prefix to ask the store for, which other keys may share.
    fn prefix(self) -> &'static str {
        match self {
            Self::Key(prefix) | Self::Prefix(prefix) => prefix,
        }
    }

    fn covers(self, key: &str) -> bool {
        match self {
            Self::Key(own) => key == own,
            Self::Prefix(prefix) => key.starts_with(prefix),
        }
    }
}

impl Watcher {
    /// Starts to watch `key` with long polls of at most `wait` each.
    pub fn start(store: impl Store, key: &'static str, wait: Millis) -> Self {
        Self::start_scope(store, Scope::Key(key), wait)
    }

    /// Starts to watch all keys with a prefix, with long polls of at most `wait`
    /// each.
    pub fn start_prefix(store: impl Store, prefix: &'static str, wait: Millis) -> Self {
        Self::start_scope(store, Scope::Prefix(prefix), wait)
    }

    fn start_scope(store: impl Store, scope: Scope, wait: Millis) -> Self {
        let (sender, value) = watch::channel(State::default());
        let refresh = Arc::new(Notify::new());
        let last_answer = Rc::new(Cell::new(Instant::now()));
        let silence = Rc::new(Cell::new(Duration::ZERO));
        let away_since = Rc::new(Cell::new(None));
        let poller = Poller {
            last_answer: last_answer.clone(),
            silence: silence.clone(),
            away_since: away_since.clone(),
            store,
            scope,
            wait,
            sender,
            refresh: refresh.clone(),
        };
        tokio::task::spawn_local(poller.run());
        Self {
            value,
            refresh,
            last_answer,
            silence,
            away_since,
        }
    }

    /// Returns the newest known value of the first watched key that exists.
    /// Returns `None` if there is none or the keys haven't been read yet.
    pub fn item(&self) -> Option<Item> {
        match &*self.value.borrow() {
            State::Read(items) => items.values().next().cloned(),
            State::Unread => None,
        }
    }

    /// Lists the watched keys that exist, as far as they have been read.
    pub fn keys(&self) -> Vec<Arc<str>> {
        match &*self.value.borrow() {
            State::Read(items) => items.keys().cloned().collect(),
            State::Unread => Vec::new(),
        }
    }

    /// Returns the time since the store last answered.
    pub fn age(&self) -> Duration {
        self.last_answer.get().elapsed()
    }

    /// Returns for how long the store had not answered before its last answer, or
    /// zero if no call had failed.
    pub fn silence(&self) -> Duration {
        self.silence.get()
    }

    /// Returns for how long calls to the store have failed, or `None` if it has
    /// answered since the last failure.
    pub fn away(&self) -> Option<Duration> {
        self.away_since.get().map(|since| since.elapsed())
    }

    /// Notes that a call of another task has failed. The first one makes the
    /// poller try at once, so that a single failure is soon forgotten.
    pub fn report_failure(&self) {
        if mark_away(&self.away_since) {
            self.refresh();
        }
    }

    /// Notes that a call of another task was answered.
    pub fn report_answer(&self) {
        self.away_since.set(None);
    }

    /// Waits until the keys have been read for the first time.
    pub async fn wait_until_read(&mut self) {
        let read = self.value.wait_for(|state| *state != State::Unread);
        // Fails only when the process ends.
        if read.await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until a key or its value changes.
    pub async fn changed(&mut self) {
        // Fails only when the process ends.
        if self.value.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Makes the poller read the keys again at once. Used when another source
    /// contradicts the known value.
    pub fn refresh(&self) {
        self.refresh.notify_one();
    }
}

/// The background task behind a [`Watcher`].
struct Poller<S> {
    store: S,
    scope: Scope,
    wait: Millis,
    sender: watch::Sender<State>,
    refresh: Arc<Notify>,
    last_answer: Rc<Cell<Instant>>,
    silence: Rc<Cell<Duration>>,
    away_since: Rc<Cell<Option<Instant>>>,
}

impl<S: Store> Poller<S> {
    /// Polls until no [`Watcher`] is left.
    async fn run(self) {
        tokio::select! {
            () = self.sender.closed() => {}
            () = self.poll() => {}
        }
    }

    async fn poll(&self) {
        let mut failed = false;
        loop {
            if let Err(error) = self.watch(failed).await {
                if !failed {
                    warn!("watch of a store key failed, retrying", kv: { key: = self.scope.prefix(), error: });
                }
                failed = !matches!(error, Failure::Compacted);
                sleep(RETRY_DELAY).await;
            } else {
                failed = false;
            }
        }
    }

    /// Reads the keys and watches them until a call fails or a refresh is
    /// requested. `failed` tells whether the last call failed.
    async fn watch(&self, failed: bool) -> Result<(), Failure> {
        let prefix = self.scope.prefix();
        // A long poll may be cut although the store answers, so only the
        // listing shows whether it does.
        let listed = self.store.list(prefix).await;
        if listed.is_err() {
            mark_away(&self.away_since);
        }
        let (listed, mut revision) = listed?;
        self.away_since.set(None);
        let answered = Instant::now();
        let silence = answered - self.last_answer.replace(answered);
        self.silence
            .set(if failed { silence } else { Duration::ZERO });
        let mut items: Items = listed
            .into_iter()
            .filter(|item| self.scope.covers(&item.key))
            .map(|item| (item.key.clone(), item))
            .collect();
        self.publish(&items);
        loop {
            let changes = tokio::select! {
                changes = self.store.watch(prefix, revision, self.wait) => changes?,
                () = self.refresh.notified() => return Ok(()),
            };
            self.last_answer.set(Instant::now());
            self.silence.set(Duration::ZERO);
            revision = changes.revision;
            let mut changed = false;
            for change in changes.changes {
                changed |= self.apply(&mut items, change);
            }
            if changed {
                self.publish(&items);
                sleep(WATCH_PAUSE).await;
            }
        }
    }

    /// Applies a change; returns whether it concerns a watched key.
    fn apply(&self, items: &mut Items, change: Change) -> bool {
        match change {
            Change::Set(item) if self.scope.covers(&item.key) => {
                items.insert(item.key.clone(), item);
            }
            Change::Removed(key) if self.scope.covers(&key) => {
                items.remove(&key);
            }
            Change::Set(_) | Change::Removed(_) => return false,
        }
        true
    }

    fn publish(&self, items: &Items) {
        self.sender.send_if_modified(|known| {
            let changed = !matches!(known, State::Read(known) if known == items);
            if changed {
                *known = State::Read(items.clone());
            }
            changed
        });
    }
}

/// Notes a failure, and returns whether it is the first one.
fn mark_away(away_since: &Cell<Option<Instant>>) -> bool {
    let first = away_since.get().is_none();
    if first {
        away_since.set(Some(Instant::now()));
    }
    first
}
