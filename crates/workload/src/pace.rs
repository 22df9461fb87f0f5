//! Holds fillers on one worker back so that the services beside them stay
//! within their latency targets.
//!
//! Latencies are reported for the last half second and take effect of a change
//! a moment later, so the level falls by a factor and rises by steps, like the
//! window of a congestion control. All fillers share one level.

use {
    crate::{
        id::{Run, Task},
        message::Role,
        worker::Running,
    },
    filbertbend_state::{time::Instant, unit::Millis},
    std::collections::BTreeMap,
};

/// Share of its target above which a service is too slow to raise the level.
const CAUTION_PART: f64 = 0.75;
/// What the level is multiplied by while a service is over its target.
const FALL_FACTOR: f64 = 0.5;
/// How much the level rises at a time, in percent.
const RISE_PERCENT: f64 = 12.0;
/// The least time between two changes: the figures cover half a second.
const CHANGE_INTERVAL: Millis = Millis(500);
/// The level below which fillers are stopped altogether, in percent.
const FLOOR_PERCENT: f64 = 5.0;
/// How long a service may stay over its target at the lowest level before it
/// counts as crowded. The users' bound on harm is 4 s.
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

/// The level of all fillers on one worker.
#[derive(Debug)]
pub struct Pace {
    level: f64,
    changed: Instant,
    over_since: Option<Instant>,
    applied: BTreeMap<(Task, Run), u8>,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            level: 100.0,
            changed: Instant::default(),
            over_since: None,
            applied: BTreeMap::new(),
        }
    }
}

impl Pace {
    /// Takes what runs now, and returns which shares are to change.
    pub fn update(
        &mut self,
        now: Instant,
        running: &[Running],
        roles: &BTreeMap<(Task, Run), Role>,
    ) -> Vec<Change> {
        let pressure = running
            .iter()
            .filter_map(|row| {
                let target = roles.get(&(row.task, row.run))?.latency_target?;
                Some(row.figure as f64 / target.0.max(1) as f64)
            })
            .fold(0.0, f64::max);
        let fillers: Vec<&Running> = running
            .iter()
            .filter(|row| {
                roles
                    .get(&(row.task, row.run))
                    .is_some_and(|role| role.filler)
            })
            .collect();
        self.adjust(now, pressure, !fillers.is_empty());
        let percent = self.percent();
        let mut changes = Vec::new();
        let mut applied = BTreeMap::new();
        for row in fillers {
            let key = (row.task, row.run);
            let before = self.applied.get(&key).copied();
            if before != Some(percent) {
                changes.push(Change {
                    task: row.task,
                    run: row.run,
                    percent,
                });
            }
            applied.insert(key, percent);
        }
        self.applied = applied;
        changes
    }

    /// Notes that a filler has just started, at its full share.
    pub fn started(&mut self, task: Task, run: Run) {
        self.applied.insert((task, run), 100);
    }

    /// Notes that a change did not reach the worker, so that it is repeated.
    pub fn failed(&mut self, task: Task, run: Run) {
        self.applied.remove(&(task, run));
    }

    /// Returns the share that fillers are held to, in percent.
    pub fn percent(&self) -> u8 {
        if self.level < FLOOR_PERCENT {
            0
        } else {
            self.level.round() as u8
        }
    }

    /// Tells whether services have been over their targets for long although
    /// every filler is held back.
    pub fn is_crowded(&self, now: Instant) -> bool {
        self.over_since
            .is_some_and(|since| now >= since + CROWDED_TIME)
    }

    fn adjust(&mut self, now: Instant, pressure: f64, any: bool) {
        if !any {
            self.level = 100.0;
            self.over_since = None;
            return;
        }
        if pressure <= 1.0 {
            self.over_since = None;
        } else if self.level < FLOOR_PERCENT {
            self.over_since.get_or_insert(now);
        }
        if now < self.changed + CHANGE_INTERVAL {
            return;
        }
        if pressure > 1.0 {
            self.level *= FALL_FACTOR;
            self.changed = now;
        } else if pressure < CAUTION_PART && self.level < 100.0 {
            self.level = (self.level + RISE_PERCENT).min(100.0);
            self.changed = now;
        }
    }
}
