//! The configuration as the scheduler uses it: queues and pools of workers.

use {
    filbertbend_state::unit::Millis,
    std::{collections::HashMap, sync::Arc},
};

/// All queues and pools of one configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// The number of the configuration; a higher one replaces a lower one.
    pub version: u64,
    /// The queues by name.
    pub queues: HashMap<Arc<str>, Queue>,
    /// The pools by name.
    pub pools: HashMap<Arc<str>, Pool>,
    /// Bounds on what a caller may send.
    pub limits: Limits,
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
    /// Factor on a job's longest chain of work within which it should complete.
    pub stretch: f64,
    /// What is added to that.
    pub slack: Millis,
}

/// A pool of workers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    /// Whether its workers refuse what does not fit.
    pub guarded: bool,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest header in bytes.
    pub header_bytes: usize,
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// How long a caller may take for the header.
    pub header_timeout: Millis,
    /// How long a connection may stay idle.
    pub idle_timeout: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 256 << 10,
            header_timeout: Millis(3000),
            idle_timeout: Millis(15_000),
        }
    }
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
