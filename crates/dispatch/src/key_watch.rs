//! Watches a single key of the store.

use {
    crate::platform::{Change, Failure, Item, Store},
    filbertbend_state::unit::Millis,
    spdlog::prelude::*,
    std::{cell::Cell, rc::Rc, sync::Arc, time::Duration},
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

/// A handle on the newest known value of a key. Clones share the same poller.
#[derive(Clone, Debug)]
pub struct Watcher {
    value: watch::Receiver<State>,
    refresh: Arc<Notify>,
    last_answer: Rc<Cell<Instant>>,
    silence: Rc<Cell<Duration>>,
    away_since: Rc<Cell<Option<Instant>>>,
}

/// What is known about the key.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
enum State {
    /// The key has not been read yet.
    #[default]
    Unread,
    /// The key doesn't exist.
    Absent,
    /// The key exists with this value.
    Present(Item),
}

impl Watcher {
    /// Starts to watch `key` with long polls of at most `wait` each.
    pub fn start(store: impl Store, key: &'static str, wait: Millis) -> Self {
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
            key,
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

    /// Returns the newest known value. Returns `None` if the key doesn't exist
    /// or hasn't been read yet.
    pub fn item(&self) -> Option<Item> {
        match &*self.value.borrow() {
            State::Present(item) => Some(item.clone()),
            State::Unread | State::Absent => None,
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

    /// Waits until the key has been read for the first time.
    pub async fn wait_until_read(&mut self) {
        let read = self.value.wait_for(|state| *state != State::Unread);
        // Fails only when the process ends.
        if read.await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until the value changes.
    pub async fn changed(&mut self) {
        // Fails only when the process ends.
        if self.value.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Makes the poller read the key again at once. Used when another source
    /// contradicts the known value.
    pub fn refresh(&self) {
        self.refresh.notify_one();
    }
}

/// The background task behind a [`Watcher`].
struct Poller<S> {
    store: S,
    key: &'static str,
    wait: Millis,
    sender: watch::Sender<State>,
    refresh: Arc<Notify>,
    last_answer: Rc<Cell<Instant>>,
    silence: Rc<Cell<Duration>>,
    away_since: Rc<Cell<Option<Instant>>>,
}

impl<S: Store> Poller<S> {
    async fn run(self) {
        let mut failed = false;
        loop {
            if let Err(error) = self.watch(failed).await {
                if !failed {
                    warn!("watch of a store key failed, retrying", kv: { key: = self.key, error: });
                }
                failed = !matches!(error, Failure::Compacted);
                sleep(RETRY_DELAY).await;
            } else {
                failed = false;
            }
        }
    }

    /// Reads the key and watches it until a call fails or a refresh is
    /// requested. `failed` tells whether the last call failed.
    async fn watch(&self, failed: bool) -> Result<(), Failure> {
        // A long poll may be cut although the store answers, so only the
        // listing shows whether it does.
        let listed = self.store.list(self.key).await;
        if listed.is_err() {
            mark_away(&self.away_since);
        }
        let (items, mut revision) = listed?;
        self.away_since.set(None);
        let answered = Instant::now();
        let silence = answered - self.last_answer.replace(answered);
        self.silence
            .set(if failed { silence } else { Duration::ZERO });
        let item = items.into_iter().find(|item| *item.key == *self.key);
        self.publish(item);
        loop {
            let changes = tokio::select! {
                changes = self.store.watch(self.key, revision, self.wait) => changes?,
                () = self.refresh.notified() => return Ok(()),
            };
            self.last_answer.set(Instant::now());
            self.silence.set(Duration::ZERO);
            revision = changes.revision;
            let last = changes.changes.into_iter().rfind(|change| match change {
                Change::Set(item) => *item.key == *self.key,
                Change::Removed(key) => **key == *self.key,
            });
            match last {
                Some(Change::Set(item)) => self.publish(Some(item)),
                Some(Change::Removed(_)) => self.publish(None),
                None => continue,
            }
            sleep(WATCH_PAUSE).await;
        }
    }

    fn publish(&self, item: Option<Item>) {
        let state = item.map_or(State::Absent, State::Present);
        self.sender.send_if_modified(|known| {
            let changed = *known != state;
            if changed {
                *known = state;
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
