//! The configuration as the scheduler uses it.

use {
    filbertbend_state::unit::Millis,
    std::{collections::HashMap, sync::Arc},
};

/// All queues of one configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// The number of the configuration; a higher one replaces a lower one.
    pub version: u64,
    /// The queues by name.
    pub queues: HashMap<Arc<str>, Queue>,
    /// Largest body that a caller may send, in bytes.
    pub body_bytes: usize,
}

/// A queue of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: Arc<str>,
    /// The host that callers address; compared without regard to case.
    pub host: Arc<str>,
    /// What the path begins with.
    pub prefix: Arc<str>,
    /// The pool whose workers run the tasks.
    pub pool: Arc<str>,
    /// How urgent its jobs are; 0 comes first.
    pub priority: u8,
    /// How often a task may fail before its job has failed.
    pub attempts: u32,
    /// How long a request may take.
    pub timeout: Millis,
}

impl Catalog {
    /// Returns the queue that a request addresses, and the rest of its path.
    ///
    /// The longest prefix wins. A port in `host` is ignored.
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        self.queues
            .values()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter_map(|queue| Some((queue, path.strip_prefix(&*queue.prefix)?)))
            .max_by_key(|(queue, _)| queue.prefix.len())
    }
}
