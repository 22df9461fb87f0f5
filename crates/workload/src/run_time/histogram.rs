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
///
/// The leader asks for what is above a factor far more often than it adds one, so
/// sums are kept rather than the numbers themselves.
#[derive(Debug)]
pub(super) struct Histogram([Sum; FACTORS]);

/// The sum of some factors and of their weights.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Sum {
    pub(super) weight: f32,
    pub(super) factors: f32,
}

impl Default for Histogram {
    fn default() -> Self {
        Self([Sum::default(); FACTORS])
    }
}

impl Histogram {
    /// Adds the logarithm of a factor after multiplying all that is there by `fade`.
    pub(super) fn add(&mut self, error: f64, fade: f64, weight: f64) {
        let place = ((error - LOWEST) / WIDTH).clamp(0.0, (FACTORS - 1) as f64);
        let (index, above) = (place as usize, place.fract());
        for sum in &mut self.0 {
            sum.weight *= fade as f32;
            sum.factors *= fade as f32;
        }
        self.add_at(index, weight * (1.0 - above));
        self.add_at((index + 1).min(FACTORS - 1), weight * above);
    }

    fn add_at(&mut self, index: usize, weight: f64) {
        for sum in &mut self.0[..=index] {
            sum.weight += weight as f32;
            sum.factors += (weight * factor(index)) as f32;
        }
    }

    /// Returns the sum of all factors whose logarithm is above `error`.
    pub(super) fn above(&self, error: f64) -> Sum {
        let index = ((error - LOWEST) / WIDTH).floor() + 1.0;
        let index = index.clamp(0.0, FACTORS as f64) as usize;
        self.0.get(index).copied().unwrap_or_default()
    }

    /// Returns the mean of the highest of `count` factors, and the weight of all.
    pub(super) fn highest(&self, count: usize) -> (f64, f64) {
        let all = f64::from(self.0[0].weight);
        if all <= 0.0 {
            return (1.0, 0.0);
        }
        let (mut mean, mut below) = (0.0, 0.0);
        for index in 0..FACTORS {
            let above = self.0.get(index + 1).map_or(0.0, |sum| sum.weight);
            // The probability that none of them is above this factor.
            let none_above = (1.0 - f64::from(above) / all).powf(count as f64);
            mean += factor(index) * (none_above - below);
            below = none_above;
        }
        (mean, all)
    }
}

fn factor(index: usize) -> f64 {
    (LOWEST + index as f64 * WIDTH).exp()
}
