//! Selects the queue that gets the next slot, and predicts waits.

use {
    super::{
        flow::{Flow, Key},
        Controller,
    },
    filbertbend_state::time::Instant,
};

/// Fraction of the slots that is not lent while another queue is below its
/// guarantee, so that its next request need not wait for a completion.
const RESERVE_FRACTION: f64 = 0.05;

impl Controller {
    /// Returns the queue that gets the next slot.
    pub(super) fn next_flow(&self, now: Instant) -> Option<Key> {
        let candidates = || {
            self.backlogged_flows().filter(|(key, _)| {
                let capacity = self.services.get(&key.service);
                capacity.is_some_and(|capacity| capacity.has_room(now))
            })
        };
        let behind = candidates()
            .filter(|(_, flow)| flow.tag < self.virtual_time)
            .min_by(|(a, x), (b, y)| a.class.cmp(&b.class).then(x.tag.total_cmp(&y.tag)));
        if let Some((key, _)) = behind {
            return Some(key.clone());
        }
        let slots = f64::from(self.total.limit());
        let reserve = self.reserve(slots, self.guarantee_scale());
        if f64::from(self.total.running) >= slots - reserve {
            return None;
        }
        candidates()
            .min_by(|(_, x), (_, y)| x.tag.total_cmp(&y.tag))
            .map(|(key, _)| key.clone())
    }

    fn backlogged_flows(&self) -> impl Iterator<Item = (&Key, &Flow)> {
        self.backlogged
            .iter()
            .filter_map(|key| Some((key, self.flows.get(key)?)))
    }

    /// Returns the factor that scales guarantees down to the capacity if their
    /// sum exceeds it.
    fn guarantee_scale(&self) -> f64 {
        1000.0 / self.shares.max(1000) as f64
    }

    /// Returns the slots reserved for known queues below their guarantee. The
    /// search stops when the maximum reserve is reached.
    fn reserve(&self, slots: f64, scale: f64) -> f64 {
        let most = (slots * RESERVE_FRACTION).round();
        let mut unused = 0.0;
        for flow in self.flows.values() {
            if unused >= most {
                break;
            }
            unused += (flow.guarantee(slots * scale) - f64::from(flow.running)).max(0.0);
        }
        most.min(unused.ceil())
    }

    /// Returns the expected wait of a queue's next request, computed from the
    /// slots that the queue can expect and without the bias from actual waits.
    pub(super) fn predicted_wait_ms(&self, key: &Key) -> f64 {
        let (Some(flow), Some(capacity)) = (self.flows.get(key), self.services.get(&key.service))
        else {
            return 0.0;
        };
        if flow.queue.is_empty() && self.total.running < self.total.limit() {
            return 0.0;
        }
        let slots = self.expected_slots(key, flow).min(capacity.limit().into());
        let queued = (flow.queue.len() + 1) as f64;
        queued * capacity.mean_ms() / slots.max(1.0)
    }

    /// Returns the slots that a queue can expect: its guarantee, or what the
    /// other queues leave if that is more. Other backlogged queues get a part
    /// by weight; the rest keep the slots that they use.
    fn expected_slots(&self, key: &Key, flow: &Flow) -> f64 {
        let slots = f64::from(self.total.limit());
        let scale = self.guarantee_scale();
        let mut weights = flow.weight();
        let mut used = self.total.running - flow.running;
        for (_, other) in self.backlogged_flows().filter(|(other, _)| *other != key) {
            weights += other.weight();
            used -= other.running;
        }
        let used = f64::from(used);
        let lent = (slots - used - self.reserve(slots, scale)).max(0.0) * flow.weight() / weights;
        lent.max(flow.guarantee(slots * scale))
    }
}
