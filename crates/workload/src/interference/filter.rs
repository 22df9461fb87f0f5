//! A Kalman filter over a few named quantities that drift independently.

use filbertbend_state::{time::Instant, unit::Millis};

/// The minimum variance, which keeps every estimate adjustable.
const LEAST_VARIANCE: f64 = 1e-6;

/// The assumptions on a quantity before its first reading.
#[derive(Clone, Copy, Debug)]
pub(super) struct Prior {
    pub(super) value: f64,
    pub(super) deviation: f64,
    /// The standard deviation of its change in one second.
    pub(super) drift: f64,
    /// The maximum value; the minimum is zero.
    pub(super) max: f64,
}

#[derive(Clone, Debug)]
struct Quantity<N> {
    name: N,
    value: f64,
    prior: Prior,
    last_read: Instant,
}

/// The estimates, with the covariances of their errors.
#[derive(Clone, Debug)]
pub(super) struct Filter<N> {
    quantities: Vec<Quantity<N>>,
    /// A square matrix, row by row.
    covariances: Vec<f64>,
}

impl<N> Default for Filter<N> {
    fn default() -> Self {
        Self {
            quantities: Vec::new(),
            covariances: Vec::new(),
        }
    }
}

impl<N: PartialEq> Filter<N> {
    /// Returns the names with their estimates.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&N, f64)> {
        self.quantities
            .iter()
            .map(|quantity| (&quantity.name, quantity.value))
    }

    /// Returns the estimate of a quantity and its variance.
    pub(super) fn get(&self, name: &N) -> Option<(f64, f64)> {
        let index = self.index(name)?;
        Some((self.quantities[index].value, self.covariance(index, index)))
    }

    /// Sets an estimate whose error is independent of the others.
    pub(super) fn set(&mut self, name: N, prior: Prior, now: Instant, value: f64, variance: f64) {
        let index = self.ensure(name, prior, now);
        let size = self.quantities.len();
        for other in 0..size {
            self.covariances[index * size + other] = 0.0;
            self.covariances[other * size + index] = 0.0;
        }
        self.quantities[index].value = value.clamp(0.0, prior.max);
        self.covariances[index * size + index] = variance.max(LEAST_VARIANCE);
    }

    /// Returns the index of a quantity, adding it if it is new.
    fn ensure(&mut self, name: N, prior: Prior, now: Instant) -> usize {
        if let Some(index) = self.index(&name) {
            return index;
        }
        let size = self.quantities.len();
        let mut grown = Vec::with_capacity((size + 1) * (size + 1));
        for row in self.covariances.chunks(size.max(1)) {
            grown.extend_from_slice(row);
            grown.push(0.0);
        }
        grown.resize((size + 1) * (size + 1), 0.0);
        grown[(size + 1) * (size + 1) - 1] = prior.deviation.powi(2);
        self.covariances = grown;
        self.quantities.push(Quantity {
            name,
            value: prior.value,
            prior,
            last_read: now,
        });
        size
    }

    /// Updates the estimates with a reading of a weighted sum of quantities.
    pub(super) fn observe(
        &mut self,
        now: Instant,
        sum: impl IntoIterator<Item = (N, Prior, f64)>,
        reading: f64,
        deviation: f64,
    ) {
        let terms: Vec<(usize, f64)> = sum
            .into_iter()
            .map(|(name, prior, factor)| (self.ensure(name, prior, now), factor))
            .collect();
        let size = self.quantities.len();
        for (index, _) in &terms {
            let quantity = &mut self.quantities[*index];
            let secs = seconds(now.since(quantity.last_read));
            quantity.last_read = now;
            let grown =
                self.covariances[index * size + index] + quantity.prior.drift.powi(2) * secs;
            self.covariances[index * size + index] = grown.min(quantity.prior.deviation.powi(2));
        }
        // The covariance of each quantity's error with that of the sum.
        let related: Vec<f64> = (0..size)
            .map(|row| {
                terms
                    .iter()
                    .map(|(column, factor)| self.covariance(row, *column) * factor)
                    .sum()
            })
            .collect();
        let variance = deviation.powi(2)
            + terms
                .iter()
                .map(|(index, factor)| related[*index] * factor)
                .sum::<f64>()
                .max(0.0);
        let expected: f64 = terms
            .iter()
            .map(|(index, factor)| self.quantities[*index].value * factor)
            .sum();
        let error = reading - expected;
        for (row, quantity) in self.quantities.iter_mut().enumerate() {
            let value = quantity.value + related[row] / variance * error;
            quantity.value = value.clamp(0.0, quantity.prior.max);
            for (column, other) in related.iter().enumerate() {
                self.covariances[row * size + column] -= related[row] * other / variance;
            }
            let own = &mut self.covariances[row * size + row];
            *own = own.max(LEAST_VARIANCE);
        }
    }

    /// Removes the quantities for which `keep` returns false; it gets the name
    /// and the time of the last reading.
    pub(super) fn retain(&mut self, keep: impl Fn(&N, Instant) -> bool) {
        let kept: Vec<usize> = (0..self.quantities.len())
            .filter(|index| {
                let quantity = &self.quantities[*index];
                keep(&quantity.name, quantity.last_read)
            })
            .collect();
        if kept.len() == self.quantities.len() {
            return;
        }
        let mut covariances = Vec::with_capacity(kept.len() * kept.len());
        for row in &kept {
            for column in &kept {
                covariances.push(self.covariance(*row, *column));
            }
        }
        self.covariances = covariances;
        self.quantities
            .retain(|quantity| keep(&quantity.name, quantity.last_read));
    }

    fn index(&self, name: &N) -> Option<usize> {
        self.quantities
            .iter()
            .position(|quantity| quantity.name == *name)
    }

    fn covariance(&self, row: usize, column: usize) -> f64 {
        self.covariances[row * self.quantities.len() + column]
    }
}

pub(super) fn seconds(span: Millis) -> f64 {
    span.0 as f64 / 1000.0
}
