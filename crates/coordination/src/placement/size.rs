//! Corrects declared sizes by the observed resource usage of tasks.

use {
    filbertbend_state::{
        room::Room,
        unit::{Bytes, Cores},
    },
    std::collections::VecDeque,
};

/// How many of the newest peaks are kept for each service.
const PEAKS_LIMIT: usize = 64;

/// How many observations the declared size counts as.
const PRIOR_WEIGHT: usize = 8;

/// The percentage of the observed peaks that must fit.
const QUANTILE_PERCENT: usize = 95;

/// The margin above the observed peaks, in percent.
const MARGIN_PERCENT: u64 = 15;

/// Sizes are rounded up to one of this many steps between powers of two, so
/// that a new observation seldom changes them.
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

    /// Returns the resources to reserve for a task that declares `declared`.
    /// Accelerators stay as declared, because a task uses them exclusively.
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

    /// Returns the quantile of the peaks with their margin. The declared size
    /// fills in for observations that are missing from the prior's weight.
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

/// Rounds up to the next step between powers of two.
fn round_up(amount: u64) -> u64 {
    let step = (amount.next_power_of_two() / 2 / STEPS_PER_OCTAVE).max(1);
    amount.div_ceil(step) * step
}
