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
const KEPT_MS: u64 = 60_000;

/// The length of a slot.
const SLOT_MS: u64 = 1000;

/// The length of the windows that the model learns from. Averaging over one
/// keeps noise in the reported usage from biasing the strengths towards zero.
pub(super) const WINDOW_MS: u64 = 5000;

/// One task over one slot.
#[derive(Clone, Debug)]
struct Use {
    kind: id::Service,
    /// The part of the worker's cores that it may have used by its share.
    allowed: f64,
    /// The part that it is reported to have used.
    reported: Option<f64>,
}

#[derive(Clone, Debug, Default)]
struct Slot {
    uses: BTreeMap<Attempt, Use>,
    latencies: Vec<Observation>,
}

impl Slot {
    fn parts(&self) -> BTreeMap<id::Service, f64> {
        let mut parts = BTreeMap::new();
        for used in self.uses.values() {
            *parts.entry(used.kind.clone()).or_insert(0.0) += used.reported.unwrap_or(used.allowed);
        }
        parts
    }
}

/// A window that is being filled.
#[derive(Clone, Debug, Default)]
struct Partial {
    window: u64,
    count: u32,
    load: f64,
    log_latency: f64,
    parts: BTreeMap<id::Service, f64>,
}

impl Partial {
    /// Returns the averages, if anything was joined.
    fn complete(self) -> Option<Window> {
        if self.count == 0 {
            return None;
        }
        let secs = f64::from(self.count);
        Some(Window {
            load: self.load / secs,
            log_latency: self.log_latency / secs,
            secs,
            parts: self
                .parts
                .into_iter()
                .map(|(kind, part)| (kind, part / secs))
                .collect(),
        })
    }
}

/// The shares in force and the latencies seen, for reports that arrive later.
#[derive(Debug, Default)]
pub(super) struct History {
    slots: BTreeMap<u64, Slot>,
    partial: BTreeMap<(id::Service, Source), Partial>,
}

fn slot_of(at: Instant) -> u64 {
    at.0 / SLOT_MS
}

impl History {
    /// Notes the part that a task may use from now until the next note.
    pub(super) fn note(&mut self, now: Instant, attempt: Attempt, kind: &id::Service, part: f64) {
        let slot = self.slots.entry(slot_of(now)).or_default();
        let used = Use {
            kind: kind.clone(),
            allowed: part,
            reported: None,
        };
        slot.uses.insert(attempt, used);
    }

    /// Keeps the endpoint's own latencies until usage of the time arrives.
    pub(super) fn keep(&mut self, observation: Observation) {
        let slot = self.slots.entry(slot_of(observation.from)).or_default();
        slot.latencies.push(observation);
    }

    /// Notes the part that a task is reported to have used.
    pub(super) fn report(&mut self, from: Instant, attempt: &Attempt, part: f64) {
        if let Some(used) = self
            .slots
            .get_mut(&slot_of(from))
            .and_then(|slot| slot.uses.get_mut(attempt))
        {
            used.reported = Some(part);
        }
    }

    /// Returns the part that each kind was allowed to use, as was in force then.
    pub(super) fn allowed(&self, from: Instant) -> Vec<(id::Service, f64)> {
        self.slots
            .get(&slot_of(from))
            .into_iter()
            .flat_map(|slot| slot.uses.values())
            .map(|used| (used.kind.clone(), used.allowed))
            .collect()
    }

    /// Takes the kept latencies of a slot whose usage has been reported.
    pub(super) fn take(&mut self, from: Instant) -> Vec<Observation> {
        self.slots
            .get_mut(&slot_of(from))
            .map(|slot| std::mem::take(&mut slot.latencies))
            .unwrap_or_default()
    }

    /// Joins an observation with what ran at its time, and returns the previous
    /// window if the observation begins a new one.
    pub(super) fn join(&mut self, source: Source, observation: &Observation) -> Option<Window> {
        if !observation.is_usable() {
            return None;
        }
        let parts = self.slots.get(&slot_of(observation.from))?.parts();
        let window = observation.from.0 / WINDOW_MS;
        let partial = self
            .partial
            .entry((observation.service.clone(), source))
            .or_default();
        let complete = if partial.window == window {
            None
        } else {
            std::mem::take(partial).complete()
        };
        partial.window = window;
        partial.count += 1;
        partial.load += observation.load;
        partial.log_latency += observation.latency_ms.ln();
        for (kind, part) in parts {
            *partial.parts.entry(kind).or_insert(0.0) += part;
        }
        complete
    }

    /// Forgets what no report can refer to any more.
    pub(super) fn prune(&mut self, now: Instant) {
        let oldest = slot_of(now - Millis(KEPT_MS));
        self.slots = self.slots.split_off(&oldest);
    }
}
