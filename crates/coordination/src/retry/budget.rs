//! The retry budget of each service.

use {
    filbertbend_state::{id, time::Instant},
    std::collections::BTreeMap,
};

/// Length of one bucket of the window.
const BUCKET_MS: u64 = 1000;
/// Buckets in the window: extra tries are earned by the requests of the last
/// 10 s.
const BUCKETS: usize = 10;
/// Number of requests that earn one extra try.
const REQUESTS_PER_TRY: u32 = 10;
/// Extra tries per window that are allowed regardless of the requests, so that
/// a service with few requests can retry at all.
const MIN_TRIES: u32 = 10;
/// Buckets' worth of the window's extra tries that may be spent in one bucket.
/// Without this limit, a burst of failures could spend the tries earned in 10 s
/// at once.
const BURST_BUCKETS: u32 = 2;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    requests: u32,
    tries: u32,
}

#[derive(Clone, Debug, Default)]
struct Window {
    buckets: [Bucket; BUCKETS],
    /// The number of the newest bucket, counted from the start of the clock.
    newest: u64,
}

/// Counts the requests and extra tries of each service over the last 10 s.
///
/// Extra tries are limited to 10% of the requests plus one per second.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    windows: BTreeMap<id::Service, Window>,
}

impl Budget {
    /// Creates a budget without recorded requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request of `service`; its tries are not recorded here.
    pub fn record_request(&mut self, now: Instant, service: &id::Service) {
        let bucket = self.window(now, service).newest();
        bucket.requests = bucket.requests.saturating_add(1);
    }

    /// Takes one extra try out of the budget; returns false if none is left.
    pub fn try_take(&mut self, now: Instant, service: &id::Service) -> bool {
        let window = self.window(now, service);
        let allowed = window.has_tries_left();
        if allowed {
            window.newest().tries += 1;
        }
        allowed
    }

    fn window(&mut self, now: Instant, service: &id::Service) -> &mut Window {
        if !self.windows.contains_key(service) {
            self.windows.insert(service.clone(), Window::default());
        }
        let window = self.windows.entry(service.clone()).or_default();
        window.advance(now.0 / BUCKET_MS);
        window
    }
}

impl Window {
    fn advance(&mut self, bucket: u64) {
        let passed = bucket.saturating_sub(self.newest).min(BUCKETS as u64);
        for step in 1..=passed {
            let index = (bucket - passed + step) as usize % BUCKETS;
            self.buckets[index] = Bucket::default();
        }
        self.newest = self.newest.max(bucket);
    }

    fn newest(&mut self) -> &mut Bucket {
        &mut self.buckets[self.newest as usize % BUCKETS]
    }

    fn has_tries_left(&mut self) -> bool {
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let tries: u32 = self.buckets.iter().map(|bucket| bucket.tries).sum();
        let limit = requests / REQUESTS_PER_TRY + MIN_TRIES;
        let burst = (limit * BURST_BUCKETS / BUCKETS as u32).max(MIN_TRIES);
        tries < limit && self.newest().tries < burst
    }
}
