//! A sliding window over the endpoint's recent service times.

use {filbertbend_state::unit::Millis, std::collections::VecDeque};

/// Number of service times in the window: a few for each slot. The median follows
/// a change of load within a second, and one slow request does not move it.
const CAPACITY: usize = 31;

/// The most recent service times, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Window {
    times: VecDeque<Millis>,
}

impl Window {
    /// Adds a service time and removes the oldest one if the window is full.
    pub(crate) fn push(&mut self, time: Millis) {
        if self.times.len() == CAPACITY {
            self.times.pop_front();
        }
        self.times.push_back(time);
    }

    /// Returns the median, or zero if the window is empty.
    pub(crate) fn median(&self) -> Millis {
        let mut times: Vec<Millis> = self.times.iter().copied().collect();
        times.sort_unstable();
        times.get(times.len() / 2).copied().unwrap_or_default()
    }
}
