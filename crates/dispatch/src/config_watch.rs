//! Follows the operators' configuration.

use {
    crate::{
        key_watch::Watcher,
        platform::{Item, Store},
    },
    filbertbend_state::unit::Millis,
    filbertbend_workload::catalog::Catalog,
    spdlog::prelude::*,
    std::sync::Arc,
    tokio::sync::watch,
};

/// How long one watch of the configuration waits. A connection that has gone
/// silent is noticed after this time, so it is well within the time in which a
/// configuration must be in force.
const WATCH_WAIT: Millis = Millis(1500);

/// Starts to follow `key`; the receiver holds the newest configuration, and
/// never an older one than before.
pub fn start(
    store: impl Store,
    key: &'static str,
    decode: impl Fn(&Item) -> Result<Catalog, String> + 'static,
) -> watch::Receiver<Option<Arc<Catalog>>> {
    let (sender, receiver) = watch::channel(None);
    let mut watcher = Watcher::start(store, key, WATCH_WAIT);
    tokio::task::spawn_local(async move {
        loop {
            watcher.changed().await;
            let Some(item) = watcher.item() else {
                continue;
            };
            match decode(&item) {
                Ok(catalog) => publish(&sender, catalog),
                Err(error) => {
                    let revision = item.revision.0;
                    error!("configuration cannot be read", kv: { revision, error: = error.as_str() });
                }
            }
        }
    });
    receiver
}

fn publish(sender: &watch::Sender<Option<Arc<Catalog>>>, catalog: Catalog) {
    sender.send_if_modified(|known| {
        let newer = known
            .as_ref()
            .is_none_or(|known| catalog.version > known.version);
        if newer {
            info!("configuration in force", kv: { version = catalog.version, queues = catalog.queues.len() });
            *known = Some(Arc::new(catalog));
        }
        newer
    });
}
