//! What the completed tasks of one queue tell about the next.
//!
//! The logarithm of a run time is taken for the sum of three parts: a linear function
//! of the logarithm of the estimate, the error of the estimate, which all tasks of a
//! step share, and the difference of a task from the others of its step. The last two
//! have a variance each. How far run times were from what these predicted is kept in
//! histograms, because their tails are heavier than those of a normal distribution.

use super::{histogram::Histogram, Siblings};

/// The number of steps after which two thirds of what was learned has faded. It is
/// less than a minute at a few steps a second, the rate of `docs/platform.md`.
const HORIZON: f64 = 200.0;
/// How many steps the estimate and the assumptions below count for.
const PRIOR_WEIGHT: f64 = 3.0;
/// The assumed variance of the logarithm of a run time around the estimate: a factor
/// of 2 either way, since estimates are rough.
const PRIOR_VARIANCE: f64 = 0.48;
/// The assumed variance of that logarithm between the tasks of a step, which are
/// alike: a factor of 1.35 either way.
const PRIOR_INNER_VARIANCE: f64 = 0.09;
/// The minimum of a variance, a factor of 1.05 either way. Without one, run times
/// that have all been equal would make every other one impossible.
const MIN_VARIANCE: f64 = 0.0025;
/// The variance of the estimates' logarithms above which it is known how run times
/// depend on them; below it, they are taken to be proportional.
const KNOWN_SPREAD: f64 = 0.1;
/// The part of the tasks that are assumed to run longer than any that was observed.
const UNSEEN: f64 = 0.002;

/// Fading statistics of the completed tasks of a queue. Run times and estimates are
/// logarithms.
#[derive(Debug, Default)]
pub(super) struct History {
    line: Line,
    /// The squared errors of predictions from the estimate alone.
    variance: Average,
    /// The squared differences between the tasks of a step.
    inner_variance: Average,
    /// The errors of predictions from the estimate alone, and of those beside tasks of
    /// the step that had completed.
    errors_alone: Histogram,
    errors_beside: Histogram,
}

impl History {
    /// Adds a task that has completed; `weight` is its part of its step.
    pub(super) fn observe(&mut self, estimate: f64, siblings: &Siblings, took: f64, weight: f64) {
        let fade = (-weight / HORIZON).exp();
        self.line.add(estimate, took, fade, weight);
        let error = took - self.by_estimate(estimate);
        self.variance.add(error * error, fade, weight);
        self.errors_alone.add(error, fade, weight);
        if siblings.count > 0 {
            let error = took - self.predict(estimate, siblings);
            self.errors_beside.add(error, fade, weight);
            let count = f64::from(siblings.count);
            let difference = took - siblings.mean;
            // The mean of the others varies as well.
            let square = difference * difference * count / (count + 1.0);
            self.inner_variance.add(square, fade, weight);
        }
    }

    /// Returns for how much longer a task is expected to run after `elapsed`, both in
    /// milliseconds. What has run longer than any other is expected to go on for as
    /// long as it is overdue.
    pub(super) fn remaining(&self, estimate: f64, siblings: &Siblings, elapsed: f64) -> f64 {
        let errors = if siblings.count > 0 {
            &self.errors_beside
        } else {
            &self.errors_alone
        };
        let typical = self.predict(estimate, siblings);
        let longer = errors.above(elapsed.ln() - typical);
        let typical = typical.exp();
        let mut weight = f64::from(longer.weight);
        let mut sum = f64::from(longer.factors) * typical - weight * elapsed;
        let mut add = |left: f64, count: f64| {
            if left > 0.0 {
                sum += count * left;
                weight += count;
            }
        };
        let overdue = elapsed - typical;
        add(-overdue, PRIOR_WEIGHT);
        add(overdue, UNSEEN * (self.line.weight + PRIOR_WEIGHT));
        if weight > 0.0 {
            (sum / weight).max(0.0)
        } else {
            0.0
        }
    }

    /// Returns how much longer the slowest of `count` tasks of a step is expected to
    /// run than each of them.
    pub(super) fn excess(&self, count: usize) -> f64 {
        let (slowest, weight) = self.errors_beside.highest(count.max(1));
        let (one, _) = self.errors_beside.highest(1);
        (slowest / one * weight + PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT)
    }

    /// Returns the most likely run time of a task.
    fn predict(&self, estimate: f64, siblings: &Siblings) -> f64 {
        let inner = self.inner_variance.or(PRIOR_INNER_VARIANCE);
        let inner = inner.max(MIN_VARIANCE);
        let shared = (self.variance.or(PRIOR_VARIANCE) - inner).max(MIN_VARIANCE);
        // The precision of what the estimate and the completed tasks tell about the
        // step.
        let (by_estimate, by_siblings) = (1.0 / shared, f64::from(siblings.count) / inner);
        let sum = by_estimate * self.by_estimate(estimate) + by_siblings * siblings.mean;
        sum / (by_estimate + by_siblings)
    }

    /// Returns what is expected of a step of which nothing but the estimate is known.
    fn by_estimate(&self, estimate: f64) -> f64 {
        let known = self.line.weight;
        let learned = self.line.at(estimate);
        (learned * known + estimate * PRIOR_WEIGHT) / (known + PRIOR_WEIGHT)
    }
}

/// A fading average.
#[derive(Debug, Default)]
struct Average {
    value: f64,
    weight: f64,
}

impl Average {
    fn add(&mut self, value: f64, fade: f64, weight: f64) {
        self.weight = self.weight * fade + weight;
        self.value += weight / self.weight * (value - self.value);
    }

    /// Returns the average together with an assumed value.
    fn or(&self, prior: f64) -> f64 {
        (self.value * self.weight + prior * PRIOR_WEIGHT) / (self.weight + PRIOR_WEIGHT)
    }
}

/// A fading linear regression of run times on estimates.
#[derive(Debug, Default)]
struct Line {
    weight: f64,
    estimate: f64,
    took: f64,
    /// The variance of the estimates.
    spread: f64,
    covariance: f64,
}

impl Line {
    fn add(&mut self, estimate: f64, took: f64, fade: f64, weight: f64) {
        self.weight = self.weight * fade + weight;
        let part = weight / self.weight;
        let (from_estimate, from_took) = (estimate - self.estimate, took - self.took);
        self.estimate += part * from_estimate;
        self.took += part * from_took;
        let kept = 1.0 - part;
        self.spread = kept * (self.spread + part * from_estimate * from_estimate);
        self.covariance = kept * (self.covariance + part * from_estimate * from_took);
    }

    fn at(&self, estimate: f64) -> f64 {
        let slope = (self.covariance + KNOWN_SPREAD) / (self.spread + KNOWN_SPREAD);
        self.took + slope.clamp(0.0, 1.0) * (estimate - self.estimate)
    }
}
