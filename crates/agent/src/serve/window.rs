//! The median of the endpoint's recent service times.

use {filbertbend_state::unit::Millis, std::collections::VecDeque};

/// Service times that are looked at. A few slots' worth follows a change of
/// load within a second, and one slow request does not move the median.
const CAPACITY: usize = 31;

/// Recent service times.
#[derive(Clone, Debug, Default)]
pub(crate) struct Window {
    times: VecDeque<Millis>,
}

impl Window {
    /// Adds a service time, forgetting the oldest one.
    pub(crate) fn push(&mut self, time: Millis) {
        if self.times.len() == CAPACITY {
            self.times.pop_front();
        }
        self.times.push_back(time);
    }

    /// Returns the median, or zero before the first request.
    pub(crate) fn median(&self) -> Millis {
        let mut times: Vec<Millis> = self.times.iter().copied().collect();
        times.sort_unstable();
        times.get(times.len() / 2).copied().unwrap_or_default()
    }
}
