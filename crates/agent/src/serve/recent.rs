//! The median of the endpoint's recent service times.

use {filbertbend_state::unit::Millis, std::collections::VecDeque};

/// Service times that are looked at. A few slots' worth follows a change of
/// load within a second, and one slow request does not move the median.
const KEPT: usize = 31;

/// Recent service times.
#[derive(Clone, Debug, Default)]
pub(crate) struct Recent {
    times: VecDeque<Millis>,
}

impl Recent {
    /// Adds a service time, forgetting the oldest one.
    pub(crate) fn add(&mut self, time: Millis) {
        if self.times.len() == KEPT {
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
