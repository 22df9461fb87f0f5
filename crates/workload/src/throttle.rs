//! Throttles best-effort tasks on one worker so that the services beside them
//! stay within their latency targets.

use {
    crate::{
        id::{Run, Task},
        interference::{Model, Reading, Service, Usage, Weight},
        message::Role,
        worker::Running,
    },
    filbertbend_state::{
        time::Instant,
        unit::{Cores, Millis},
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// The minimum time between two updates of the model: a measurement covers half
/// a second.
const LEARN_INTERVAL: Millis = Millis(450);
/// The smallest change of a share that is sent to the worker, in percent.
const MIN_CHANGE_PERCENT: u8 = 8;
/// Smaller shares are rounded to zero, because they achieve too little for the
/// disturbance, in percent.
const MIN_SHARE_PERCENT: u8 = 5;
/// How far a rising load is extrapolated: a measurement is half a second old on
/// average when a change takes effect.
const LOOKAHEAD: Millis = Millis(500);
/// The fraction to which the utilisation added by best-effort tasks is reduced
/// when a service is just above its target.
const RELIEF_FRACTION: f64 = 0.6;
/// How long shares rise slowly after a service exceeded its target, because the
/// model has just been wrong.
const CAUTION_TIME: Millis = Millis(3000);
/// The maximum rise of a share per update during that time, in percentage
/// points.
const MAX_RISE_PERCENT: u8 = 25;
/// How long a best-effort task may be fully throttled before it is reported as
/// starved.
const STARVATION_TIME: Millis = Millis(2000);

/// A new share of a best-effort task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Change {
    /// The task.
    pub task: Task,
    /// The run of the task.
    pub run: Run,
    /// The share of its cores that the task may use, in percent.
    pub percent: u8,
}

/// A ready service with a latency measurement.
struct ServiceSlack {
    image: Arc<str>,
    /// The utilisation that best-effort tasks may add to the service.
    slack: f64,
}

/// A running best-effort task.
struct BestEffortTask {
    key: (Task, Run),
    image: Arc<str>,
    /// The fraction of the worker's cores that it uses at its full share.
    fraction: f64,
    /// The fraction of the worker's cores that it used according to the last
    /// measurement.
    used: f64,
}

/// The current share of a best-effort task.
#[derive(Clone, Copy, Debug)]
struct Share {
    percent: u8,
    /// Since when the share has been zero.
    zero_since: Option<Instant>,
    /// The number of changes without an answer.
    unanswered: u32,
    /// Whether the worker may have another share, because a change may not have
    /// been carried out.
    uncertain: bool,
}

/// Controls the shares of the best-effort tasks on one worker.
#[derive(Debug, Default)]
pub struct Controller {
    model: Model,
    last_learned: Option<Instant>,
    shares: BTreeMap<(Task, Run), Share>,
    /// The newest reading, unless it was taken.
    reading: Option<Reading>,
    /// Until when the rise of shares is limited.
    cautious_until: Option<Instant>,
}

impl Controller {
    /// Processes the running tasks of a worker with `whole` cores and returns
    /// the shares to change.
    pub fn update(
        &mut self,
        now: Instant,
        whole: Cores,
        running: &[Running],
        roles: &BTreeMap<(Task, Run), Role>,
    ) -> Vec<Change> {
        let best_effort_tasks = best_effort_tasks(whole, running, roles);
        if self
            .last_learned
            .is_none_or(|last_learned| now >= last_learned + LEARN_INTERVAL)
        {
            self.last_learned = Some(now);
            self.learn(now, running, roles, &best_effort_tasks);
        }
        let service_slacks = self.service_slacks(running, roles, &best_effort_tasks);
        let shares = self.compute_shares(&service_slacks, &best_effort_tasks);
        self.apply(now, &best_effort_tasks, &shares)
    }

    /// Takes the newest reading, unless it was taken before.
    pub fn take_reading(&mut self) -> Option<Reading> {
        self.reading.take()
    }

    /// Records that a best-effort task has started at its full share.
    pub fn started(&mut self, task: Task, run: Run) {
        let share = Share {
            percent: 100,
            zero_since: None,
            unanswered: 0,
            uncertain: false,
        };
        // A list may have shown the run before.
        self.shares.entry((task, run)).or_insert(share);
    }

    /// Records the answer to a change. One that may not have been carried out is
    /// sent again.
    pub fn answered(&mut self, change: &Change, is_done: bool) {
        if let Some(share) = self.shares.get_mut(&(change.task, change.run)) {
            share.unanswered = share.unanswered.saturating_sub(1);
            share.uncertain |= !is_done;
        }
    }

    /// Records that changes without an answer get none any more, so that they are
    /// sent again.
    pub fn end_session(&mut self) {
        for share in self.shares.values_mut() {
            share.uncertain |= share.unanswered > 0;
            share.unanswered = 0;
        }
    }

    /// Marks all weights as changed, for a new leader.
    pub fn reset_reported(&mut self) {
        self.model.reset_reported();
    }

    /// Returns the weights that have changed since they were last returned.
    pub fn changed_weights(&mut self) -> Vec<Weight> {
        self.model.changed_weights()
    }

    /// Takes over a weight learned by another process if its variance is lower.
    pub fn merge(&mut self, now: Instant, weight: &Weight) {
        self.model.merge(now, weight);
    }

    /// Lists the best-effort tasks that have been fully throttled for 2 s.
    pub fn starved(&self, now: Instant) -> Vec<Task> {
        self.shares
            .iter()
            .filter(|(_, share)| {
                share
                    .zero_since
                    .is_some_and(|since| now >= since + STARVATION_TIME)
            })
            .map(|((task, _), _)| *task)
            .collect()
    }

    fn learn(
        &mut self,
        now: Instant,
        running: &[Running],
        roles: &BTreeMap<(Task, Run), Role>,
        best_effort_tasks: &[BestEffortTask],
    ) {
        let mut usage = Usage::new();
        for best_effort in best_effort_tasks {
            *usage.entry(best_effort.image.clone()).or_insert(0.0) += best_effort.used as f32;
        }
        let mut latencies = Vec::new();
        for (row, service) in serving(running, roles) {
            let latency = Millis(row.measurement);
            if latency > service.target {
                self.cautious_until = Some(now + CAUTION_TIME);
            }
            self.model.observe(now, &service, latency, &usage);
            latencies.push((row.task, latency));
        }
        self.model.remove_stale_loads(now);
        self.reading = (!latencies.is_empty()).then_some(Reading { latencies, usage });
    }

    fn service_slacks(
        &self,
        running: &[Running],
        roles: &BTreeMap<(Task, Run), Role>,
        best_effort_tasks: &[BestEffortTask],
    ) -> Vec<ServiceSlack> {
        serving(running, roles)
            .map(|(row, service)| {
                let mut slack = self.model.slack(&service, LOOKAHEAD);
                let image = service.image;
                if row.measurement > service.target.0 {
                    // The present usage is too high, even if the model predicts
                    // otherwise.
                    let added: f64 = best_effort_tasks
                        .iter()
                        .map(|best_effort| {
                            self.model
                                .cost(&image, &best_effort.image, best_effort.used)
                        })
                        .sum();
                    let over = row.measurement as f64 / service.target.0.max(1) as f64;
                    slack = slack.min(added * RELIEF_FRACTION / over);
                }
                ServiceSlack { image, slack }
            })
            .collect()
    }

    /// Distributes the slack of the services: tasks with the lowest peak cost
    /// get full shares first, as far as the slack suffices.
    fn compute_shares(
        &self,
        services: &[ServiceSlack],
        best_effort_tasks: &[BestEffortTask],
    ) -> Vec<u8> {
        let mut slacks: Vec<f64> = services.iter().map(|service| service.slack).collect();
        let cost = |best_effort: &BestEffortTask, service: &ServiceSlack| {
            self.model
                .cost(&service.image, &best_effort.image, best_effort.fraction)
        };
        let peak_cost = |best_effort: &BestEffortTask| {
            let costs = services.iter().map(|service| cost(best_effort, service));
            costs.fold(0.0, f64::max) / best_effort.fraction.max(f64::EPSILON)
        };
        let mut order: Vec<usize> = (0..best_effort_tasks.len()).collect();
        order.sort_by(|left, right| {
            peak_cost(&best_effort_tasks[*left]).total_cmp(&peak_cost(&best_effort_tasks[*right]))
        });
        let mut shares = vec![0; best_effort_tasks.len()];
        for index in order {
            let best_effort = &best_effort_tasks[index];
            let fraction = services
                .iter()
                .zip(&slacks)
                .map(|(service, slack)| slack / cost(best_effort, service).max(f64::EPSILON))
                .fold(1.0, f64::min);
            let percent = (fraction * 100.0).clamp(0.0, 100.0) as u8;
            let percent = if percent < MIN_SHARE_PERCENT {
                0
            } else {
                percent
            };
            shares[index] = percent;
            for (service, slack) in services.iter().zip(&mut slacks) {
                *slack -= cost(best_effort, service) * f64::from(percent) / 100.0;
            }
        }
        shares
    }

    fn apply(
        &mut self,
        now: Instant,
        best_effort_tasks: &[BestEffortTask],
        shares: &[u8],
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut applied = BTreeMap::new();
        let cautious = self.cautious_until.is_some_and(|until| now < until);
        for (best_effort, percent) in best_effort_tasks.iter().zip(shares) {
            let before = self.shares.get(&best_effort.key).copied();
            let percent = match before {
                Some(before) if cautious => before
                    .percent
                    .saturating_add(MAX_RISE_PERCENT)
                    .min(*percent),
                _ => *percent,
            };
            let at_end = percent == 0 || percent == 100;
            let changed = before.is_none_or(|before| {
                let step = before.percent.abs_diff(percent);
                before.uncertain || step > 0 && (at_end || step >= MIN_CHANGE_PERCENT)
            });
            if changed {
                changes.push(Change {
                    task: best_effort.key.0,
                    run: best_effort.key.1,
                    percent,
                });
            }
            let percent = match before {
                Some(before) if !changed => before.percent,
                _ => percent,
            };
            let zero_since =
                (percent == 0).then(|| before.and_then(|before| before.zero_since).unwrap_or(now));
            let unanswered = before.map_or(0, |before| before.unanswered);
            let share = Share {
                percent,
                zero_since,
                unanswered: unanswered + u32::from(changed),
                uncertain: false,
            };
            applied.insert(best_effort.key, share);
        }
        self.shares = applied;
        changes
    }
}

fn best_effort_tasks(
    whole: Cores,
    running: &[Running],
    roles: &BTreeMap<(Task, Run), Role>,
) -> Vec<BestEffortTask> {
    let whole = whole.0.max(1) as f64;
    running
        .iter()
        .filter_map(|row| {
            let role = roles.get(&(row.task, row.run))?;
            role.best_effort.then(|| BestEffortTask {
                key: (row.task, row.run),
                image: role.image.clone().unwrap_or_default(),
                fraction: role.cores.0 as f64 / whole,
                used: row.measurement as f64 / whole,
            })
        })
        .collect()
}

/// Lists the ready services that have reported a latency.
fn serving<'a>(
    running: &'a [Running],
    roles: &'a BTreeMap<(Task, Run), Role>,
) -> impl Iterator<Item = (&'a Running, Service)> {
    running.iter().filter_map(|row| {
        let service = roles.get(&(row.task, row.run))?.service(row.task)?;
        (row.percent == 100 && row.measurement > 0).then_some((row, service))
    })
}
