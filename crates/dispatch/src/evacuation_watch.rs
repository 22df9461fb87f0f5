//! Watches which data centres operators have evacuated, while this process leads.
//!
//! The presence of a key evacuates a data centre, whatever its value. What was read
//! last stays in force while the store does not answer.

use {
    crate::{key_watch::Watcher, platform::Store},
    filbertbend_state::unit::Millis,
    metrics::gauge,
    spdlog::prelude::*,
    std::{collections::BTreeSet, future::pending, sync::Arc},
};

/// The longest time-out of one long poll, as for the configuration.
const MAX_WATCH_WAIT: Millis = Millis(1500);
/// The shortest time-out of one long poll, which bounds the calls per second.
const MIN_WATCH_WAIT: Millis = Millis(250);
/// The reciprocal of the part of the bound that one long poll takes. A connection
/// that has gone silent is noticed only after the poll and the time-out of a call,
/// and the keys are then listed and starts stopped.
const WAIT_DIVISOR: u64 = 4;

/// Where operators request evacuations.
#[derive(Clone, Copy, Debug)]
pub struct Source {
    /// The prefix of the keys, one for each evacuated data centre.
    pub prefix: &'static str,
    /// Returns the data centre that a key names, if any.
    pub decode: fn(&str) -> Option<Arc<str>>,
    /// The time within which an evacuation must take effect.
    pub bound: Millis,
}

/// A watch of the evacuated data centres, which ends when it is dropped.
pub struct Watch {
    source: Option<(Source, Watcher)>,
}

impl Watch {
    /// Starts to watch. Without a source nothing is ever evacuated.
    pub fn start(store: impl Store, source: Option<Source>) -> Self {
        let source = source.map(|source| {
            let wait = Millis(source.bound.0 / WAIT_DIVISOR);
            let wait = wait.clamp(MIN_WATCH_WAIT, MAX_WATCH_WAIT);
            (source, Watcher::start_prefix(store, source.prefix, wait))
        });
        Self { source }
    }

    /// Waits until the evacuated data centres have been read for the first time, or
    /// have changed since the last call. Without a source this never returns.
    pub async fn changed(&mut self) -> BTreeSet<Arc<str>> {
        let Some((source, watcher)) = &mut self.source else {
            return pending().await;
        };
        watcher.changed().await;
        let mut found = BTreeSet::new();
        for key in watcher.keys() {
            if let Some(data_centre) = (source.decode)(&key) {
                found.insert(data_centre);
            } else {
                warn!("key names no data centre, ignored", kv: { key: = &*key });
            }
        }
        info!("evacuated data centres read", kv: { data_centres = found.len() });
        found
    }
}

/// Publishes the number of evacuated data centres, which is 0 unless this process
/// leads.
pub(crate) fn record(data_centres: usize) {
    gauge!("filbertbend_evacuated_data_centres").set(data_centres as f64);
}
