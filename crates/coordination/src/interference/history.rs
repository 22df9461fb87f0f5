//! The usage of tasks and the latencies of the recent past, second by second.

use {
    super::{
        model::{Source, Window},
        Observation,
    },
    crate::attempt::Attempt,
    filbertbend_state::{id, time::Instant, unit::Millis},
    std::collections::BTreeMap,
};

/// How long history is kept: at least three times the delay of the reports.
const RETENTION_MS: u64 = 60_000;

/// The length of a bucket.
const BUCKET_MS: u64 = 1000;

/// The length of the windows that the model learns from. Averages over a window
/// keep noise in the reported usage from biasing the strengths towards zero.
pub(super) const WINDOW_MS: u64 = 5000;

/// The usage of one task in one bucket.
#[derive(Clone, Debug)]
struct Usage {
    kind: id::Service,
    /// The fraction of the worker's cores that its share allows.
    allowed: f64,
    /// The fraction that it used, once reported.
    reported: Option<f64>,
}

#[derive(Clone, Debug, Default)]
struct Bucket {
    usages: BTreeMap<Attempt, Usage>,
    latencies: Vec<Observation>,
}

impl Bucket {
    /// Returns the fraction of the worker's cores that each kind used. The allowed
    /// fraction stands in for usage that has not been reported.
    fn fractions(&self) -> BTreeMap<id::Service, f64> {
        let mut fractions = BTreeMap::new();
        for usage in self.usages.values() {
            *fractions.entry(usage.kind.clone()).or_insert(0.0) +=
                usage.reported.unwrap_or(usage.allowed);
        }
        fractions
    }
}

/// The sums over a window that is not complete yet.
#[derive(Clone, Debug, Default)]
struct Accumulator {
    window: u64,
    count: u32,
    load: f64,
    log_latency: f64,
    fractions: BTreeMap<id::Service, f64>,
}

impl Accumulator {
    /// Returns the averages, if the window holds any observation.
    fn finish(self) -> Option<Window> {
        if self.count == 0 {
            return None;
        }
        let secs = f64::from(self.count);
        Some(Window {
            load: self.load / secs,
            log_latency: self.log_latency / secs,
            secs,
            fractions: self
                .fractions
                .into_iter()
                .map(|(kind, fraction)| (kind, fraction / secs))
                .collect(),
        })
    }
}

/// The past usage and latencies, which delayed reports are joined with.
#[derive(Debug, Default)]
pub(super) struct History {
    buckets: BTreeMap<u64, Bucket>,
    accumulators: BTreeMap<(id::Service, Source), Accumulator>,
}

fn bucket_of(at: Instant) -> u64 {
    at.0 / BUCKET_MS
}

impl History {
    /// Records the fraction of the cores that a task may use at `now`.
    pub(super) fn record_allowed(
        &mut self,
        now: Instant,
        attempt: Attempt,
        kind: &id::Service,
        fraction: f64,
    ) {
        let bucket = self.buckets.entry(bucket_of(now)).or_default();
        let usage = Usage {
            kind: kind.clone(),
            allowed: fraction,
            reported: None,
        };
        bucket.usages.insert(attempt, usage);
    }

    /// Keeps latencies that the endpoint measured until the usage at the time is
    /// reported.
    pub(super) fn add_latency(&mut self, observation: Observation) {
        let bucket = self.buckets.entry(bucket_of(observation.from)).or_default();
        bucket.latencies.push(observation);
    }

    /// Records the fraction of the cores that a task used.
    pub(super) fn record_usage(&mut self, from: Instant, attempt: &Attempt, fraction: f64) {
        if let Some(usage) = self
            .buckets
            .get_mut(&bucket_of(from))
            .and_then(|bucket| bucket.usages.get_mut(attempt))
        {
            usage.reported = Some(fraction);
        }
    }

    /// Returns the fraction of the cores that each task was allowed at `from`,
    /// with its kind.
    pub(super) fn allowed_fractions(&self, from: Instant) -> Vec<(id::Service, f64)> {
        self.buckets
            .get(&bucket_of(from))
            .into_iter()
            .flat_map(|bucket| bucket.usages.values())
            .map(|usage| (usage.kind.clone(), usage.allowed))
            .collect()
    }

    /// Removes and returns the latencies of a bucket whose usage has been
    /// reported.
    pub(super) fn take_latencies(&mut self, from: Instant) -> Vec<Observation> {
        self.buckets
            .get_mut(&bucket_of(from))
            .map(|bucket| std::mem::take(&mut bucket.latencies))
            .unwrap_or_default()
    }

    /// Joins an observation with the usage at its time. Returns the previous
    /// window if the observation begins a new one.
    pub(super) fn join(&mut self, source: Source, observation: &Observation) -> Option<Window> {
        if !observation.is_usable() {
            return None;
        }
        let fractions = self.buckets.get(&bucket_of(observation.from))?.fractions();
        let window = observation.from.0 / WINDOW_MS;
        let accumulator = self
            .accumulators
            .entry((observation.service.clone(), source))
            .or_default();
        let finished = if accumulator.window == window {
            None
        } else {
            std::mem::take(accumulator).finish()
        };
        accumulator.window = window;
        accumulator.count += 1;
        accumulator.load += observation.load;
        accumulator.log_latency += observation.latency_ms.ln();
        for (kind, fraction) in fractions {
            *accumulator.fractions.entry(kind).or_insert(0.0) += fraction;
        }
        finished
    }

    /// Drops the buckets that no report refers to any more.
    pub(super) fn prune(&mut self, now: Instant) {
        let oldest = bucket_of(now - Millis(RETENTION_MS));
        self.buckets = self.buckets.split_off(&oldest);
    }
}
