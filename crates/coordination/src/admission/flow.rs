//! The queue of one class, team and service.

use {
    filbertbend_state::{id, service::Class, time::Instant, unit::Share},
    std::collections::VecDeque,
};

/// Weight of a queue without a share, as a fraction of the capacity.
const MIN_WEIGHT: f64 = 0.01;
/// Weight of one dispatch in the correction of predicted waits.
const BIAS_WEIGHT: f64 = 0.05;
/// Bounds of the correction.
const BIAS_RANGE: (f64, f64) = (0.5, 4.0);
/// Predicted waits below this say nothing about the correction.
const BIAS_MIN_PREDICTION_MS: f64 = 10.0;

/// Names a queue.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Key {
    pub(super) class: Class,
    /// `None` stands for all teams that have no queue of their own.
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
    pub(super) last_arrival: Instant,
    /// The start tag of the next request in start-time fair queuing.
    pub(super) start_tag: f64,
    bias: f64,
}

impl Default for Flow {
    fn default() -> Self {
        Self {
            queue: VecDeque::new(),
            running: 0,
            share: Share::NONE,
            last_arrival: Instant::default(),
            start_tag: 0.0,
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

    /// Takes in how long a request waited. The prediction must be the one
    /// before correction: the correction would otherwise act on itself with the
    /// delay of the queue and swing.
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
