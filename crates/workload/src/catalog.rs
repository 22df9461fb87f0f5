//! The configuration as the scheduler uses it.

use {
    filbertbend_state::unit::Millis,
    std::{collections::HashMap, sync::Arc},
};

/// All queues of one configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// The version of the configuration; a higher one replaces a lower one.
    pub version: u64,
    /// The queues by name.
    pub queues: HashMap<Arc<str>, Queue>,
    /// The largest request body that callers may send, in bytes.
    pub body_bytes: usize,
    /// The largest request header that callers may send, in bytes.
    pub header_bytes: usize,
    /// How long a caller's connection may be idle and then send a header, if
    /// the configuration says so.
    pub header_timeout: Option<Millis>,
}

/// A queue of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// The name of the queue.
    pub name: Arc<str>,
    /// The host that callers address; compared without regard to case.
    pub host: Arc<str>,
    /// The prefix of request paths.
    pub prefix: Arc<str>,
    /// The pool whose workers run the tasks.
    pub pool: Arc<str>,
    /// The priority of the jobs; 0 is the most urgent.
    pub priority: u8,
    /// The number of failures of a task, or of a gang, at which its job fails.
    pub attempts: u32,
    /// When jobs of the queue should have ended; `None` leaves them in the order of
    /// arrival.
    pub objective: Option<Objective>,
    /// The timeout of a request.
    pub timeout: Millis,
}

/// When jobs should have ended: their longest chain of tasks, times a factor, and
/// an allowance after they were accepted or due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Objective {
    /// The factor of the longest chain of tasks.
    pub stretch: f64,
    /// What is added to the stretched chain.
    pub allowance: Millis,
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
