//! The metrics that a process publishes.

use {
    metrics::{
        Counter, CounterFn, Gauge, GaugeFn, Histogram, Key, KeyName, Metadata, Recorder,
        SharedString, Unit,
    },
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
    },
};

/// Collects counters and gauges by name and label.
#[derive(Clone, Default)]
pub(crate) struct Counts(Arc<Mutex<BTreeMap<String, u64>>>);

impl Counts {
    pub(crate) fn get(&self, name: &str, label: &str) -> u64 {
        let counts = self.0.lock().unwrap();
        let key = format!("{name} {label}");
        counts.get(&key).copied().unwrap_or_default()
    }

    pub(crate) fn handshakes(&self, result: &str) -> u64 {
        self.get("filbertbend_handshakes_total", result)
    }

    pub(crate) fn sessions(&self) -> u64 {
        self.get("filbertbend_sessions", "")
    }

    fn value(&self, key: &Key) -> Arc<Value> {
        let label = key.labels().next().map_or("", |label| label.value());
        Arc::new(Value {
            counts: self.clone(),
            key: format!("{} {label}", key.name()),
        })
    }
}

/// One counter or gauge.
struct Value {
    counts: Counts,
    key: String,
}

impl Value {
    fn change(&self, change: impl FnOnce(&mut u64)) {
        let mut counts = self.counts.0.lock().unwrap();
        change(counts.entry(self.key.clone()).or_default());
    }
}

impl CounterFn for Value {
    fn increment(&self, value: u64) {
        self.change(|count| *count += value);
    }

    fn absolute(&self, _: u64) {}
}

impl GaugeFn for Value {
    fn increment(&self, _: f64) {}

    fn decrement(&self, _: f64) {}

    fn set(&self, value: f64) {
        self.change(|count| *count = value as u64);
    }
}

impl Recorder for Counts {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        Counter::from_arc(self.value(key))
    }

    fn register_gauge(&self, key: &Key, _: &Metadata<'_>) -> Gauge {
        Gauge::from_arc(self.value(key))
    }

    fn register_histogram(&self, _: &Key, _: &Metadata<'_>) -> Histogram {
        Histogram::noop()
    }
}
