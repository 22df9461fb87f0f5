//! Follows one key of the store.

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

/// How long to wait before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// The least time between two watches, so that a quick series of changes costs
/// a few calls a second only.
const WATCH_PAUSE: Duration = Duration::from_millis(100);

/// The newest value of a key.
#[derive(Clone, Debug)]
pub struct Observer {
    value: watch::Receiver<Reading>,
    poke: Arc<Notify>,
    heard: Rc<Cell<Instant>>,
}

/// What is known of a key.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
enum Reading {
    /// It has not been read yet.
    #[default]
    Unread,
    /// It does not exist.
    Absent,
    /// Its newest value.
    Found(Item),
}

impl Observer {
    /// Follows `key`, asking the store at least every `wait`.
    pub fn start(store: impl Store, key: &'static str, wait: Millis) -> Self {
        let (sender, value) = watch::channel(Reading::default());
        let poke = Arc::new(Notify::new());
        let heard = Rc::new(Cell::new(Instant::now()));
        let follower = Follower {
            heard: heard.clone(),
            store,
            key,
            wait,
            sender,
            poke: poke.clone(),
        };
        tokio::task::spawn_local(follower.run());
        Self { value, poke, heard }
    }

    /// Returns the newest value, if the key exists.
    pub fn item(&self) -> Option<Item> {
        match &*self.value.borrow() {
            Reading::Found(item) => Some(item.clone()),
            Reading::Unread | Reading::Absent => None,
        }
    }

    /// Returns how long ago the store answered last.
    pub fn age(&self) -> Duration {
        self.heard.get().elapsed()
    }

    /// Waits until the key has been read.
    pub async fn read(&mut self) {
        let read = self.value.wait_for(|reading| *reading != Reading::Unread);
        // Fails only when the process ends.
        if read.await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits for another value.
    pub async fn changed(&mut self) {
        // Fails only when the process ends.
        if self.value.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Reads the key again now, after something has spoken against it.
    pub fn poke(&self) {
        self.poke.notify_one();
    }
}

struct Follower<S> {
    store: S,
    key: &'static str,
    wait: Millis,
    sender: watch::Sender<Reading>,
    poke: Arc<Notify>,
    heard: Rc<Cell<Instant>>,
}

impl<S: Store> Follower<S> {
    async fn run(self) {
        let mut failed = false;
        loop {
            if let Err(error) = self.follow().await {
                if !failed {
                    warn!("store not followed", kv: { key: = self.key, error: });
                }
                failed = !matches!(error, Failure::Compacted);
                sleep(RETRY_DELAY).await;
            } else {
                failed = false;
            }
        }
    }

    /// Reads the key and watches it until a call fails or it is to be read
    /// again.
    async fn follow(&self) -> Result<(), Failure> {
        let (items, mut revision) = self.store.list(self.key).await?;
        self.heard.set(Instant::now());
        let item = items.into_iter().find(|item| *item.key == *self.key);
        self.publish(item);
        loop {
            let changes = tokio::select! {
                changes = self.store.watch(self.key, revision, self.wait) => changes?,
                () = self.poke.notified() => return Ok(()),
            };
            self.heard.set(Instant::now());
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
        let reading = item.map_or(Reading::Absent, Reading::Found);
        self.sender.send_if_modified(|known| {
            let changed = *known != reading;
            if changed {
                *known = reading;
            }
            changed
        });
    }
}
