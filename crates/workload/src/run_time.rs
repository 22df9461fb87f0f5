//! Predicts how long tasks run.

use {crate::job::Step, filbertbend_state::unit::Millis, std::sync::Arc};

/// What is known about the run times of the tasks of each queue.
#[derive(Debug, Default)]
pub struct Model {}

impl Model {
    /// Learns from a task of `step` that has completed after it ran for `took`.
    pub fn observe(&mut self, _queue: &Arc<str>, _step: &Step, _took: Millis) {}

    /// Returns how long a task of `step` is expected to run.
    pub fn expected(&self, _queue: &str, step: &Step) -> Millis {
        step.estimate
    }

    /// Returns how much longer a task of `step` is expected to run that has run for
    /// `elapsed`.
    pub fn remaining(&self, _queue: &str, step: &Step, elapsed: Millis) -> Millis {
        Millis(step.estimate.0.abs_diff(elapsed.0))
    }
}
