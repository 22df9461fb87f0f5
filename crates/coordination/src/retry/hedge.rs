//! When a second try of a slow request is started.

use {
    filbertbend_state::{id, service::Declaration, unit::Millis},
    hdrhistogram::Histogram,
    std::collections::BTreeMap,
};

/// Latency at which hedging starts, as a quantile of what was observed.
const QUANTILE: f64 = 0.95;
/// Latencies observed before the first hedge.
const MIN_SAMPLES: u64 = 100;
/// Latencies after which older ones are dropped by half.
const MAX_SAMPLES: u64 = 2000;
/// Latencies after which the quantile is read again.
const REFRESH_SAMPLES: u32 = 32;
/// Longest latency that is told apart.
const MAX_LATENCY_MS: u64 = 60_000;
/// Decimal digits to which latencies are told apart.
const SIGNIFICANT_DIGITS: u8 = 2;

#[derive(Clone, Debug)]
struct Latencies {
    newer: Histogram<u32>,
    older: Histogram<u32>,
    delay: Option<Millis>,
    unread_samples: u32,
}

/// Learns the latencies of services from tries that were answered.
#[derive(Clone, Debug, Default)]
pub struct Hedge {
    services: BTreeMap<id::Service, Latencies>,
}

impl Hedge {
    /// Makes one that has observed nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in how long one try took from sending to its answer's head.
    pub fn observe(&mut self, service: &id::Service, latency: Millis) {
        if let Some(latencies) = self.services.get_mut(service) {
            latencies.record(latency);
        } else if let Some(mut latencies) = Latencies::new() {
            latencies.record(latency);
            self.services.insert(service.clone(), latencies);
        }
    }

    /// Returns how long after the first try a second one may start, or `None`
    /// if the service is not hedged or too little was observed.
    pub fn delay(&self, declaration: &Declaration) -> Option<Millis> {
        if !declaration.idempotent || !declaration.retry.hedge {
            return None;
        }
        self.services.get(&declaration.name)?.delay
    }
}

impl Latencies {
    /// Returns `None` if the bounds above are not valid, which the tests rule
    /// out.
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
        // Both have the same bounds, so adding cannot fail.
        let _ = all.add(&self.older);
        Millis(all.value_at_quantile(QUANTILE))
    }
}
