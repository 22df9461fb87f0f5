//! A histogram that fades.

/// The number of factors that are told apart.
const FACTORS: usize = 64;
/// The difference of the logarithms of two neighbouring ones, a factor of 1.16.
const WIDTH: f64 = 0.15;
/// The logarithm of the lowest one, 0.02. It and the highest one, 230, stand for all
/// that is beyond them.
const LOWEST: f64 = -4.0;

/// How often run times have differed from the predicted ones by each factor. What is
/// between two of them counts for both in part.
#[derive(Debug)]
pub(super) struct Histogram([f32; FACTORS]);

impl Default for Histogram {
    fn default() -> Self {
        Self([0.0; FACTORS])
    }
}

impl Histogram {
    /// Adds the logarithm of a factor after multiplying all that is there by `fade`.
    pub(super) fn add(&mut self, error: f64, fade: f64, weight: f64) {
        for known in &mut self.0 {
            *known *= fade as f32;
        }
        let place = ((error - LOWEST) / WIDTH).clamp(0.0, (FACTORS - 1) as f64);
        let (index, above) = (place as usize, place.fract());
        self.0[index] += (weight * (1.0 - above)) as f32;
        if let Some(next) = self.0.get_mut(index + 1) {
            *next += (weight * above) as f32;
        }
    }

    /// Returns the mean of the highest of `count` factors, and the weight of all.
    pub(super) fn highest(&self, count: usize) -> (f64, f64) {
        let all: f64 = self.iter().map(|(_, weight)| weight).sum();
        if all <= 0.0 {
            return (1.0, 0.0);
        }
        let (mut mean, mut below, mut sum) = (0.0, 0.0, 0.0);
        for (factor, weight) in self.iter() {
            sum += weight;
            // The probability that none of them is above this factor.
            let none_above = (sum / all).powf(count as f64);
            mean += factor * (none_above - below);
            below = none_above;
        }
        (mean, all)
    }

    /// Lists the factors with their weights, the lowest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = (f64, f64)> + '_ {
        // An exponential for each of them would cost the leader too much.
        let (mut next, ratio) = (LOWEST.exp(), WIDTH.exp());
        self.0.iter().map(move |weight| {
            let factor = next;
            next *= ratio;
            (factor, f64::from(*weight))
        })
    }
}
