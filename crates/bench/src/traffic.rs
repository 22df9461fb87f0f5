//! Simulates checks on a fleet of endpoints, in simulated time.
//!
//! The same arrivals with the same service times go through the entries' state
//! machines ([`entries`]) and through one shared first-come, first-served queue
//! ([`first_come`]), so that their results can be compared.

use {
    filbertbend_state::service::Class,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

pub mod entries;
pub mod first_come;

/// A stream of requests of one class and team.
#[derive(Clone, Debug)]
pub struct Source {
    /// The class, after which the service is named.
    pub class: Class,
    /// The guaranteed share of the capacity, in thousandths.
    pub share: u16,
    /// Mean arrival rate; arrivals are a Poisson process.
    pub rate_per_s: f64,
    /// Mean service time in milliseconds; service times are exponentially
    /// distributed.
    pub mean_ms: f64,
    /// How long callers wait for an answer.
    pub deadline_ms: u64,
}

/// A loss of endpoints that stop answering without any notice.
#[derive(Clone, Copy, Debug)]
pub struct Loss {
    /// When the endpoints are lost.
    pub at_ms: u64,
    /// The number of lost endpoints, which are the first ones.
    pub endpoints: usize,
}

/// The parameters of one run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The number of entries; each request arrives at a random one.
    pub entries: usize,
    /// The number of endpoints, all of which serve every service.
    pub endpoints: usize,
    /// Slots per endpoint.
    pub slots: u32,
    /// Simulated duration of the run.
    pub duration_ms: u64,
    /// The streams of requests.
    pub sources: Vec<Source>,
    /// The loss of endpoints during the run, if any.
    pub loss: Option<Loss>,
    /// The time after which an unanswered try counts as lost.
    pub try_timeout_ms: Option<u64>,
    /// The seed of arrivals and service times.
    pub seed: u64,
}

impl Scenario {
    /// Returns whether an endpoint is lost at `now_ms`.
    pub fn is_lost(&self, endpoint: usize, now_ms: u64) -> bool {
        self.loss
            .is_some_and(|loss| now_ms >= loss.at_ms && endpoint < loss.endpoints)
    }

    /// Generates the arrivals, ordered by time.
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

/// A request that has not been sent yet.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at_ms: u64,
    source: usize,
    entry: usize,
    service_ms: u64,
}

/// The results of the requests of one source.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Requests that arrived.
    pub sent: u64,
    /// Tries sent to endpoints.
    pub tries: u64,
    /// Tries of requests that arrived after the loss.
    pub tries_after_loss: u64,
    /// Requests that arrived after the loss and were sent at least once.
    pub requests_tried_after_loss: u64,
    /// The times of the answers within the deadline, since the start of the run.
    pub good_at_ms: Vec<u64>,
    /// The latencies of all answers.
    pub latencies_ms: Vec<u64>,
}

impl Tally {
    /// Returns the fraction of the requests that were answered within the deadline.
    pub fn goodput(&self) -> f64 {
        self.good_at_ms.len() as f64 / self.sent.max(1) as f64
    }

    /// Returns a quantile of the latencies of all answers, in milliseconds.
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
