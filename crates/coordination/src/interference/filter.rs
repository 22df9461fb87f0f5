//! Recursive estimation of a state vector from scalar measurements.

/// An extended Kalman filter to which states can be added.
///
/// The covariance matrix is dense and small. It has three states for a service
/// and three for each batch kind, so an update with 10 kinds costs some 1,000
/// operations.
#[derive(Clone, Debug, Default)]
pub(super) struct Filter {
    mean: Vec<f64>,
    covariance: Vec<Vec<f64>>,
    /// The variance that each state gains from one update to the next.
    process_noise: Vec<f64>,
}

impl Filter {
    /// Adds states. `prior` holds the mean and the standard deviation of each,
    /// `correlation` is the one between any two of them, and `drift` is the
    /// standard deviation of their change from one update to the next.
    pub(super) fn add_states(&mut self, prior: &[(f64, f64)], correlation: f64, drift: f64) {
        let old = self.mean.len();
        for row in &mut self.covariance {
            row.resize(old + prior.len(), 0.0);
        }
        for (index, (mean, deviation)) in prior.iter().enumerate() {
            let mut row = vec![0.0; old + prior.len()];
            for (other, (_, other_deviation)) in prior.iter().enumerate() {
                let factor = if index == other { 1.0 } else { correlation };
                row[old + other] = factor * deviation * other_deviation;
            }
            self.mean.push(*mean);
            self.process_noise.push(drift * drift);
            self.covariance.push(row);
        }
    }

    pub(super) fn mean(&self) -> &[f64] {
        &self.mean
    }

    /// Returns the variance of the sum of the states weighted by `gradient`.
    pub(super) fn variance(&self, gradient: &[f64]) -> f64 {
        self.covariances(gradient)
            .iter()
            .zip(gradient)
            .map(|(covariance, weight)| covariance * weight)
            .sum::<f64>()
            .max(0.0)
    }

    /// Returns the covariance of each state with the sum weighted by `gradient`.
    fn covariances(&self, gradient: &[f64]) -> Vec<f64> {
        self.covariance
            .iter()
            .map(|row| row.iter().zip(gradient).map(|(a, b)| a * b).sum())
            .collect()
    }

    /// Updates the state by one measurement. `innovation` is its difference from
    /// the expected value, and `noise` is its variance.
    pub(super) fn update(&mut self, gradient: &[f64], innovation: f64, noise: f64) {
        for (index, variance) in self.process_noise.iter().enumerate() {
            self.covariance[index][index] += variance;
        }
        let covariances = self.covariances(gradient);
        let total = noise
            + covariances
                .iter()
                .zip(gradient)
                .map(|(a, b)| a * b)
                .sum::<f64>();
        for (mean, covariance) in self.mean.iter_mut().zip(&covariances) {
            *mean += covariance / total * innovation;
        }
        for (row, left) in self.covariance.iter_mut().zip(&covariances) {
            for (entry, right) in row.iter_mut().zip(&covariances) {
                *entry -= left * right / total;
            }
        }
    }
}
