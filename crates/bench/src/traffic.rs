//! Quick checks against a simulated fleet, in simulated time.
//!
//! The same arrivals with the same service times go through the entries' state
//! machines ([`entries`]) and through one shared first-come queue
//! ([`first_come`]), so that their results can be compared.

use {
    filbertbend_state::service::Class,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

pub mod entries;
pub mod first_come;

/// Requests of one class and team.
#[derive(Clone, Debug)]
pub struct Source {
    /// The class; the service has its name.
    pub class: Class,
    /// Its guaranteed part of the capacity, in thousandths.
    pub share: u16,
    /// Requests a second.
    pub rate_per_s: f64,
    /// Mean service time in milliseconds; times are exponential.
    pub mean_ms: f64,
    /// The time that callers wait.
    pub deadline_ms: u64,
}

/// Endpoints that stop answering, without a word.
#[derive(Clone, Copy, Debug)]
pub struct Loss {
    /// When.
    pub at_ms: u64,
    /// The first this many endpoints.
    pub endpoints: usize,
}

/// One run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Entries, which each get an equal part of the requests.
    pub entries: usize,
    /// Endpoints, which all serve everything.
    pub endpoints: usize,
    /// Slots of each.
    pub slots: u32,
    /// Length.
    pub duration_ms: u64,
    /// What is sent.
    pub sources: Vec<Source>,
    /// What is lost.
    pub loss: Option<Loss>,
    /// The time after which a try counts as lost.
    pub try_timeout_ms: Option<u64>,
    /// The seed of arrivals and service times.
    pub seed: u64,
}

impl Scenario {
    /// Returns the endpoints that answer at `now_ms`.
    pub fn is_lost(&self, endpoint: usize, now_ms: u64) -> bool {
        self.loss
            .is_some_and(|loss| now_ms >= loss.at_ms && endpoint < loss.endpoints)
    }

    /// Makes the arrivals, in the order of their times.
    fn arrivals(&self) -> Vec<Arrival> {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut arrivals = Vec::new();
        for (source, spec) in self.sources.iter().enumerate() {
            let mut at_ms = 0.0;
            loop {
                at_ms += exponential(&mut rng, 1000.0 / spec.rate_per_s);
                if at_ms >= self.duration_ms as f64 {
                    break;
                }
                arrivals.push(Arrival {
                    at_ms: at_ms as u64,
                    source,
                    entry: rng.random_range(0..self.entries),
                    service_ms: exponential(&mut rng, spec.mean_ms).ceil() as u64,
                });
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at_ms);
        arrivals
    }
}

/// One request before it is sent.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at_ms: u64,
    source: usize,
    entry: usize,
    service_ms: u64,
}

/// What became of the requests of one source.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Requests.
    pub sent: u64,
    /// Tries at endpoints.
    pub tries: u64,
    /// Tries of requests that arrived after the loss.
    pub tries_after_loss: u64,
    /// Requests that arrived after the loss and were tried.
    pub requests_tried_after_loss: u64,
    /// Times of answers within the deadline, since the start.
    pub good_at_ms: Vec<u64>,
    /// Latencies of all answers.
    pub latencies_ms: Vec<u64>,
}

impl Tally {
    /// Returns the part of the requests that were answered in time.
    pub fn goodput(&self) -> f64 {
        self.good_at_ms.len() as f64 / self.sent.max(1) as f64
    }

    /// Returns a quantile of the latencies of answers.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        let mut sorted = self.latencies_ms.clone();
        sorted.sort_unstable();
        let index = (sorted.len() as f64 * quantile) as usize;
        sorted
            .get(index.min(sorted.len().saturating_sub(1)))
            .map_or(0.0, |ms| *ms as f64)
    }

    fn record_answer(&mut self, now_ms: u64, arrival: &Arrival, deadline_ms: u64) {
        let latency_ms = now_ms - arrival.at_ms;
        self.latencies_ms.push(latency_ms);
        if latency_ms <= deadline_ms {
            self.good_at_ms.push(now_ms);
        }
    }
}

fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    -mean * uniform.ln()
}
