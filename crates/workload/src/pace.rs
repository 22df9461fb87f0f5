//! Holds fillers on one worker back so that the services beside them stay
//! within their latency targets.
//!
//! The logarithm of the worst service's latency, as a part of its target, is
//! modelled as a level of its own plus, for each image, a weight times the
//! cores that fillers of that image use. Both are learned from the worker's
//! figures, with every half second weighing as much as the last step of a
//! normalised least mean squares filter. Fillers whose images disturb least get
//! their full share first.

use {
    crate::{
        id::{Run, Task},
        message::Role,
        worker::Running,
    },
    filbertbend_state::{time::Instant, unit::Millis},
    std::{collections::BTreeMap, sync::Arc},
};

/// Part of the target that the worst service is planned for.
const PLANNED_PART: f64 = 0.8;
/// How much of the newest error the model takes over.
const LEARNING_RATE: f64 = 0.5;
/// Cores that count as one unit of usage.
const UNIT_CORES: f64 = 10.0;
/// Weight of an image that nothing is known of: a unit of it raises latencies
/// by half.
const PRIOR_WEIGHT: f64 = 0.4;
/// The least weight, so that no image counts as harmless for good.
const LEAST_WEIGHT: f64 = 0.02;
/// The least time between two readings: the figures cover half a second.
const READ_INTERVAL: Millis = Millis(450);
/// The smallest change of a share that is worth an order, in percent.
const STEP_PERCENT: u8 = 8;
/// Shares below this are not worth the disturbance, in percent.
const LEAST_PERCENT: u8 = 5;
/// The least part of a target that a latency is taken for, so that an idle
/// service does not dominate the logarithm.
const LEAST_PART: f64 = 0.1;
/// How long fillers may be held back entirely before the worker counts as
/// crowded.
const CROWDED_TIME: Millis = Millis(1500);

/// The share that a filler is to be held to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Change {
    /// The task.
    pub task: Task,
    /// Its run.
    pub run: Run,
    /// The share, in percent.
    pub percent: u8,
}

/// What is learned and in force on one worker.
#[derive(Debug)]
pub struct Pace {
    /// Logarithm of the worst service's part of its target without fillers.
    level: f64,
    weights: BTreeMap<Arc<str>, f64>,
    read: Option<Instant>,
    applied: BTreeMap<(Task, Run), u8>,
    /// The mean share of the fillers, in percent.
    mean: u8,
    held_since: Option<Instant>,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            level: LEAST_PART.ln(),
            weights: BTreeMap::new(),
            read: None,
            applied: BTreeMap::new(),
            mean: 100,
            held_since: None,
        }
    }
}

/// A filler that runs.
struct Filler<'a> {
    row: &'a Running,
    image: Arc<str>,
    /// The cores that it takes at its full share.
    cores: f64,
}

impl Pace {
    /// Takes what runs now, and returns which shares are to change.
    pub fn update(
        &mut self,
        now: Instant,
        running: &[Running],
        roles: &BTreeMap<(Task, Run), Role>,
    ) -> Vec<Change> {
        let due = self.read.is_none_or(|read| now >= read + READ_INTERVAL);
        let fillers = fillers(running, roles);
        if !due && fillers.iter().all(|filler| self.is_paced(filler.row)) {
            return Vec::new();
        }
        let worst = worst_part(running, roles);
        if let Some(worst) = worst.filter(|_| due) {
            self.read = Some(now);
            self.learn(worst.max(LEAST_PART).ln(), &fillers);
        }
        let shares = match worst {
            Some(_) => self.shares(&fillers),
            None => vec![100; fillers.len()],
        };
        self.note_mean(now, &shares);
        self.apply(&fillers, &shares)
    }

    /// Notes that a filler has just started, at its full share.
    pub fn started(&mut self, task: Task, run: Run) {
        self.applied.insert((task, run), 100);
    }

    /// Notes that a change did not reach the worker, so that it is repeated.
    pub fn failed(&mut self, task: Task, run: Run) {
        self.applied.remove(&(task, run));
    }

    /// Returns the mean share that fillers are held to, in percent.
    pub fn percent(&self) -> u8 {
        self.mean
    }

    /// Returns the learned weights of images, for each unit of cores.
    pub fn weights(&self) -> &BTreeMap<Arc<str>, f64> {
        &self.weights
    }

    /// Tells whether every filler has been held back entirely for long.
    pub fn is_crowded(&self, now: Instant) -> bool {
        self.held_since
            .is_some_and(|since| now >= since + CROWDED_TIME)
    }

    fn is_paced(&self, row: &Running) -> bool {
        self.applied
            .get(&(row.task, row.run))
            .is_some_and(|percent| *percent < 100)
    }

    fn weight(&self, image: &str) -> f64 {
        self.weights.get(image).copied().unwrap_or(PRIOR_WEIGHT)
    }

    /// Compares a reading with what is expected, and shares the error out.
    fn learn(&mut self, reading: f64, fillers: &[Filler<'_>]) {
        let mut usage: BTreeMap<Arc<str>, f64> = BTreeMap::new();
        for filler in fillers {
            let cores = filler.row.figure as f64 / 1000.0;
            *usage.entry(filler.image.clone()).or_insert(0.0) += cores / UNIT_CORES;
        }
        let disturbance: f64 = usage
            .iter()
            .map(|(image, used)| self.weight(image) * used)
            .sum();
        let error = reading - self.level - disturbance;
        let norm = 1.0 + usage.values().map(|used| used * used).sum::<f64>();
        let step = LEARNING_RATE * error / norm;
        self.level += step;
        for (image, used) in usage {
            let weight = self.weight(&image) + step * used;
            self.weights.insert(image, weight.max(LEAST_WEIGHT));
        }
    }

    /// Gives full shares to the fillers that disturb least, as far as the
    /// worst service stays within the planned part of its target.
    fn shares(&self, fillers: &[Filler<'_>]) -> Vec<u8> {
        let mut order: Vec<usize> = (0..fillers.len()).collect();
        let weight = |index: &usize| self.weight(&fillers[*index].image);
        order.sort_by(|left, right| weight(left).total_cmp(&weight(right)));
        let mut budget = PLANNED_PART.ln() - self.level;
        let mut shares = vec![0; fillers.len()];
        for index in order {
            let cost = weight(&index) * fillers[index].cores / UNIT_CORES;
            let part = if cost > 0.0 { budget / cost } else { 1.0 };
            let percent = (part * 100.0).clamp(0.0, 100.0) as u8;
            shares[index] = if percent < LEAST_PERCENT { 0 } else { percent };
            budget -= cost * f64::from(shares[index]) / 100.0;
        }
        shares
    }

    fn note_mean(&mut self, now: Instant, shares: &[u8]) {
        if shares.is_empty() {
            self.mean = 100;
            self.held_since = None;
            return;
        }
        let sum: usize = shares.iter().map(|share| usize::from(*share)).sum();
        self.mean = (sum / shares.len()) as u8;
        if sum > 0 {
            self.held_since = None;
        } else {
            self.held_since.get_or_insert(now);
        }
    }

    fn apply(&mut self, fillers: &[Filler<'_>], shares: &[u8]) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut applied = BTreeMap::new();
        for (filler, percent) in fillers.iter().zip(shares) {
            let key = (filler.row.task, filler.row.run);
            let before = self.applied.get(&key).copied();
            let at_end = *percent == 0 || *percent == 100;
            let changed = before.is_none_or(|before| {
                before != *percent && (at_end || before.abs_diff(*percent) >= STEP_PERCENT)
            });
            if changed {
                changes.push(Change {
                    task: key.0,
                    run: key.1,
                    percent: *percent,
                });
            }
            let in_force = if changed {
                *percent
            } else {
                before.unwrap_or(100)
            };
            applied.insert(key, in_force);
        }
        self.applied = applied;
        changes
    }
}

fn fillers<'a>(running: &'a [Running], roles: &BTreeMap<(Task, Run), Role>) -> Vec<Filler<'a>> {
    running
        .iter()
        .filter_map(|row| {
            let role = roles.get(&(row.task, row.run))?;
            role.filler.then(|| Filler {
                row,
                image: role.image.clone().unwrap_or_default(),
                cores: role.cores.0 as f64 / 1000.0,
            })
        })
        .collect()
}

/// Returns the largest part that a service's latency takes of its target, or
/// `None` if no service is at work there.
fn worst_part(running: &[Running], roles: &BTreeMap<(Task, Run), Role>) -> Option<f64> {
    running
        .iter()
        .filter(|row| row.percent == 100)
        .filter_map(|row| {
            let target = roles.get(&(row.task, row.run))?.latency_target?;
            Some(row.figure as f64 / target.0.max(1) as f64)
        })
        .max_by(f64::total_cmp)
}
