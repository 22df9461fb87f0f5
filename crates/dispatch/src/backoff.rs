//! Delays between attempts to reach a peer.

use {
    rand::{rngs::StdRng, RngExt, SeedableRng},
    std::time::Duration,
};

/// Upper bound of the delay after the first failure.
const FIRST_DELAY: Duration = Duration::from_millis(100);
/// Upper bound of any delay.
const MAX_DELAY: Duration = Duration::from_millis(1600);

/// Exponential backoff with jitter. The jitter is derived from a node's name,
/// so that nodes that fail at the same time don't retry at the same time.
#[derive(Debug)]
pub struct Backoff {
    bound: Duration,
    rng: StdRng,
}

impl Backoff {
    /// Creates the backoff of the node with this name.
    pub fn new(node: &str) -> Self {
        let seed = xxhash_rust::xxh3::xxh3_64(node.as_bytes());
        Self {
            bound: FIRST_DELAY,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns how long to wait after another failure: between half of the
    /// current bound and all of it. Doubles the bound, up to 1.6 s.
    pub fn next_delay(&mut self) -> Duration {
        let bound = self.bound;
        self.bound = (bound * 2).min(MAX_DELAY);
        self.rng.random_range(bound / 2..=bound)
    }

    /// Starts again from the shortest delay, after a success.
    pub fn reset(&mut self) {
        self.bound = FIRST_DELAY;
    }
}
