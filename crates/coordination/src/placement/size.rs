//! Declared sizes corrected by what tasks were observed to use.

use {
    filbertbend_state::{
        room::Room,
        unit::{Bytes, Cores},
    },
    std::collections::VecDeque,
};

/// Newest peaks that are remembered for each service.
const PEAKS_LIMIT: usize = 64;

/// Observations that the declaration is worth.
const PRIOR_WEIGHT: usize = 8;

/// The part of the peaks that must fit, in parts per hundred.
const QUANTILE_PERCENT: usize = 95;

/// What is added to the quantile, in parts per hundred.
const MARGIN_PERCENT: u64 = 15;

/// Sizes are rounded up to this many steps of a power of two, so that a new
/// observation seldom changes them.
const STEPS_PER_OCTAVE: u64 = 16;

/// The observed peaks of one service's tasks.
#[derive(Debug, Default)]
pub(super) struct Peaks {
    recent: VecDeque<Room>,
}

impl Peaks {
    pub(super) fn record(&mut self, peak: Room) {
        if self.recent.len() == PEAKS_LIMIT {
            self.recent.pop_front();
        }
        self.recent.push_back(peak);
    }

    /// Returns the room to reserve for a task that declares `declared`.
    /// Accelerators are always as declared, because their use is exclusive.
    pub(super) fn corrected_size(&self, declared: &Room) -> Room {
        if self.recent.is_empty() {
            return *declared;
        }
        let cores = self.quantile(declared.cores.0, |peak| peak.cores.0);
        let memory = self.quantile(declared.memory.0, |peak| peak.memory.0);
        Room {
            cores: Cores(cores),
            memory: Bytes(memory),
            accelerators: declared.accelerators,
        }
    }

    /// Returns the quantile with its margin, where the declaration stands for
    /// as many observations as are missing.
    fn quantile(&self, declared: u64, amount: impl Fn(&Room) -> u64) -> u64 {
        let mut amounts: Vec<u64> = self
            .recent
            .iter()
            .map(|peak| {
                let peak = amount(peak);
                round_up(peak + peak * MARGIN_PERCENT / 100)
            })
            .collect();
        let missing = PRIOR_WEIGHT.saturating_sub(amounts.len());
        amounts.extend(std::iter::repeat_n(declared, missing));
        amounts.sort_unstable();
        let rank = (amounts.len() * QUANTILE_PERCENT).div_ceil(100);
        amounts[rank.clamp(1, amounts.len()) - 1]
    }
}

/// Rounds up to a step of its octave.
fn round_up(amount: u64) -> u64 {
    let step = (amount.next_power_of_two() / 2 / STEPS_PER_OCTAVE).max(1);
    amount.div_ceil(step) * step
}
