//! Watches the operators' configuration in the store.

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

/// Timeout of one long poll for the configuration. A connection that has gone
/// silent is noticed only after this time, so it is well below the time within
/// which a configuration must take effect.
const WATCH_WAIT: Millis = Millis(1500);

/// Starts to watch `key`. The receiver holds the newest configuration; its
/// version never decreases.
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
                    error!("configuration cannot be decoded", kv: { revision, error: = error.as_str() });
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
