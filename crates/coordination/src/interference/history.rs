//! What ran in the recent past, second by second.

use {
    super::{
        model::{Source, Window},
        Observation,
    },
    crate::attempt::Attempt,
    filbertbend_state::{id, time::Instant, unit::Millis},
    std::collections::BTreeMap,
};

/// How long the past is kept: the lag of the reports and as much again, twice.
const RETENTION_MS: u64 = 60_000;

/// The length of a slot.
const BUCKET_MS: u64 = 1000;

/// The length of the windows that the model learns from. Averaging over one
/// keeps noise in the reported usage from biasing the strengths towards zero.
pub(super) const WINDOW_MS: u64 = 5000;

/// One task over one slot.
#[derive(Clone, Debug)]
struct Usage {
    kind: id::Service,
    /// The part of the worker's cores that it may have used by its share.
    allowed: f64,
    /// The part that it is reported to have used.
    reported: Option<f64>,
}

#[derive(Clone, Debug, Default)]
struct Bucket {
    usages: BTreeMap<Attempt, Usage>,
    latencies: Vec<Observation>,
}

impl Bucket {
    fn fractions(&self) -> BTreeMap<id::Service, f64> {
        let mut fractions = BTreeMap::new();
        for usage in self.usages.values() {
            *fractions.entry(usage.kind.clone()).or_insert(0.0) +=
                usage.reported.unwrap_or(usage.allowed);
        }
        fractions
    }
}

/// A window that is being filled.
#[derive(Clone, Debug, Default)]
struct Accumulator {
    window: u64,
    count: u32,
    load: f64,
    log_latency: f64,
    fractions: BTreeMap<id::Service, f64>,
}

impl Accumulator {
    /// Returns the averages, if anything was joined.
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

/// The shares in force and the latencies seen, for reports that arrive later.
#[derive(Debug, Default)]
pub(super) struct History {
    buckets: BTreeMap<u64, Bucket>,
    accumulators: BTreeMap<(id::Service, Source), Accumulator>,
}

fn bucket_of(at: Instant) -> u64 {
    at.0 / BUCKET_MS
}

impl History {
    /// Notes the part that a task may use from now until the next note.
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

    /// Keeps the endpoint's own latencies until usage of the time arrives.
    pub(super) fn add_latency(&mut self, observation: Observation) {
        let bucket = self.buckets.entry(bucket_of(observation.from)).or_default();
        bucket.latencies.push(observation);
    }

    /// Notes the part that a task is reported to have used.
    pub(super) fn record_usage(&mut self, from: Instant, attempt: &Attempt, fraction: f64) {
        if let Some(usage) = self
            .buckets
            .get_mut(&bucket_of(from))
            .and_then(|bucket| bucket.usages.get_mut(attempt))
        {
            usage.reported = Some(fraction);
        }
    }

    /// Returns the part that each kind was allowed to use, as was in force then.
    pub(super) fn allowed_fractions(&self, from: Instant) -> Vec<(id::Service, f64)> {
        self.buckets
            .get(&bucket_of(from))
            .into_iter()
            .flat_map(|bucket| bucket.usages.values())
            .map(|usage| (usage.kind.clone(), usage.allowed))
            .collect()
    }

    /// Takes the kept latencies of a slot whose usage has been reported.
    pub(super) fn take_latencies(&mut self, from: Instant) -> Vec<Observation> {
        self.buckets
            .get_mut(&bucket_of(from))
            .map(|bucket| std::mem::take(&mut bucket.latencies))
            .unwrap_or_default()
    }

    /// Joins an observation with what ran at its time, and returns the previous
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

    /// Forgets what no report can refer to any more.
    pub(super) fn prune(&mut self, now: Instant) {
        let oldest = bucket_of(now - Millis(RETENTION_MS));
        self.buckets = self.buckets.split_off(&oldest);
    }
}
