//! The queue of one class, team and service.

use {
    filbertbend_state::{id, service::Class, time::Instant, unit::Share},
    std::collections::VecDeque,
};

/// Minimum weight of a queue, as a fraction of the capacity.
const MIN_WEIGHT: f64 = 0.01;
/// Weight of one dispatch in the moving average of the bias.
const BIAS_WEIGHT: f64 = 0.05;
/// Bounds of the ratio of actual to predicted waits.
const BIAS_RANGE: (f64, f64) = (0.5, 4.0);
/// Predicted waits below this are too short to update the bias.
const BIAS_MIN_PREDICTION_MS: f64 = 10.0;

/// Identifies a queue.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Key {
    pub(super) class: Class,
    /// `None` for all teams without a queue of their own.
    pub(super) team: Option<id::Team>,
    pub(super) service: id::Service,
}

/// A queued request.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedRequest {
    pub(super) id: id::Request,
    pub(super) deadline: Instant,
    pub(super) enqueued_at: Instant,
    pub(super) predicted_ms: f64,
}

/// A queue with its share of the slots.
#[derive(Clone, Debug)]
pub(super) struct Flow {
    pub(super) queue: VecDeque<QueuedRequest>,
    pub(super) running: u32,
    pub(super) share: Share,
    pub(super) arrived_at: Instant,
    /// The start tag of the next request in start-time fair queuing.
    pub(super) tag: f64,
    bias: f64,
}

impl Default for Flow {
    fn default() -> Self {
        Self {
            queue: VecDeque::new(),
            running: 0,
            share: Share::NONE,
            arrived_at: Instant::default(),
            tag: 0.0,
            bias: 1.0,
        }
    }
}

impl Flow {
    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running == 0
    }

    pub(super) fn weight(&self) -> f64 {
        self.share.fraction().max(MIN_WEIGHT)
    }

    pub(super) fn guarantee(&self, slots: f64) -> f64 {
        self.share.fraction() * slots
    }

    /// Updates the bias with the actual wait of a request. `predicted_ms` must
    /// be the prediction without the bias: feeding back the biased one with the
    /// delay of the queue would make the bias oscillate.
    pub(super) fn update_bias(&mut self, predicted_ms: f64, waited_ms: f64) {
        if predicted_ms < BIAS_MIN_PREDICTION_MS {
            return;
        }
        let (least, most) = BIAS_RANGE;
        let ratio = (waited_ms / predicted_ms).clamp(least, most);
        self.bias += BIAS_WEIGHT * (ratio - self.bias);
    }

    pub(super) fn bias(&self) -> f64 {
        self.bias
    }
}
