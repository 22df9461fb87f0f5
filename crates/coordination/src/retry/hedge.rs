//! Computes the delay after which a slow request is hedged.

use {
    filbertbend_state::{id, service::Declaration, unit::Millis},
    hdrhistogram::Histogram,
    std::collections::BTreeMap,
};

/// Quantile of the observed latencies that is used as the hedging delay.
const QUANTILE: f64 = 0.95;
/// Number of latencies observed before hedging starts.
const MIN_SAMPLES: u64 = 100;
/// Maximum number of latencies kept; the older half is dropped beyond it.
const MAX_SAMPLES: u64 = 2000;
/// Number of new latencies after which the quantile is recomputed.
const REFRESH_SAMPLES: u32 = 32;
/// Longest latency that the histogram can represent.
const MAX_LATENCY_MS: u64 = 60_000;
/// Significant decimal digits of the recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 2;

#[derive(Clone, Debug)]
struct Latencies {
    newer: Histogram<u32>,
    older: Histogram<u32>,
    delay: Option<Millis>,
    unread_samples: u32,
}

/// Records the latencies of answered tries for each service.
#[derive(Clone, Debug, Default)]
pub struct Hedge {
    services: BTreeMap<id::Service, Latencies>,
}

impl Hedge {
    /// Creates a recorder without latencies.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the time of one try from sending to the head of its answer.
    pub fn observe(&mut self, service: &id::Service, latency: Millis) {
        if let Some(latencies) = self.services.get_mut(service) {
            latencies.record(latency);
        } else if let Some(mut latencies) = Latencies::new() {
            latencies.record(latency);
            self.services.insert(service.clone(), latencies);
        }
    }

    /// Returns the delay after the first try at which a second one may start, or
    /// `None` if the service is not hedged or has too few latencies.
    pub fn delay(&self, declaration: &Declaration) -> Option<Millis> {
        if !declaration.idempotent || !declaration.retry.hedge {
            return None;
        }
        self.services.get(&declaration.name)?.delay
    }
}

impl Latencies {
    /// Returns `None` if the histogram bounds above are invalid, which the tests
    /// rule out.
    fn new() -> Option<Self> {
        let empty = Histogram::new_with_bounds(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS).ok()?;
        Some(Self {
            newer: empty.clone(),
            older: empty,
            delay: None,
            unread_samples: 0,
        })
    }

    fn record(&mut self, latency: Millis) {
        self.newer.saturating_record(latency.0);
        self.unread_samples += 1;
        if self.newer.len() >= MAX_SAMPLES / 2 {
            std::mem::swap(&mut self.newer, &mut self.older);
            self.newer.reset();
        }
        let samples = self.newer.len() + self.older.len();
        if samples >= MIN_SAMPLES
            && (self.unread_samples >= REFRESH_SAMPLES || self.delay.is_none())
        {
            self.unread_samples = 0;
            self.delay = Some(self.quantile());
        }
    }

    fn quantile(&self) -> Millis {
        let mut all = self.newer.clone();
        // Both histograms have the same bounds, so adding cannot fail.
        let _ = all.add(&self.older);
        Millis(all.value_at_quantile(QUANTILE))
    }
}
