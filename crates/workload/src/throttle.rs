//! Holds fillers on one worker back so that the services beside them stay
//! within their latency targets.

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

/// The least time between two readings: the figures cover half a second.
const LEARN_INTERVAL: Millis = Millis(450);
/// The smallest change of a share that is worth an order, in percent.
const MIN_CHANGE_PERCENT: u8 = 8;
/// Shares below this are not worth the disturbance, in percent.
const MIN_SHARE_PERCENT: u8 = 5;
/// How far ahead a rising load is planned for: a figure is half a second old on average
/// when an order takes effect.
const LOOKAHEAD: Millis = Millis(500);
/// What is left of the fillers' usage when a service is just over its target.
const RELIEF_FRACTION: f64 = 0.6;
/// How long after a service was over its target shares rise slowly, because the
/// model has just been wrong.
const CAUTION_TIME: Millis = Millis(3000);
/// How far a share may rise at a time then, in percent.
const MAX_RISE_PERCENT: u8 = 25;
/// How long a filler may be held back entirely before it should go elsewhere.
const STARVATION_TIME: Millis = Millis(2000);

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

/// A service that is at work.
struct ServiceSlack {
    image: Arc<str>,
    /// The utilisation that fillers may add.
    slack: f64,
}

/// A filler that runs.
struct BestEffortTask {
    key: (Task, Run),
    image: Arc<str>,
    /// The part of the worker that it takes at its full share.
    fraction: f64,
    /// The part that it has used.
    used: f64,
}

/// A share in force.
#[derive(Clone, Copy, Debug)]
struct Share {
    percent: u8,
    /// Since when it has been zero.
    zero_since: Option<Instant>,
}

/// What is learned and in force on one worker.
#[derive(Debug, Default)]
pub struct Controller {
    model: Model,
    last_learned: Option<Instant>,
    shares: BTreeMap<(Task, Run), Share>,
    /// The newest reading, until it is reported.
    reading: Option<Reading>,
    /// Until when shares rise slowly.
    cautious_until: Option<Instant>,
}

impl Controller {
    /// Takes what runs now on a worker of `whole` cores, and returns which
    /// shares are to change.
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

    /// Takes the newest reading, if it has not been reported.
    pub fn take_reading(&mut self) -> Option<Reading> {
        self.reading.take()
    }

    /// Notes that a filler has just started, at its full share.
    pub fn started(&mut self, task: Task, run: Run) {
        let share = Share {
            percent: 100,
            zero_since: None,
        };
        self.shares.insert((task, run), share);
    }

    /// Notes that a change did not reach the worker, so that it is repeated.
    pub fn failed(&mut self, task: Task, run: Run) {
        self.shares.remove(&(task, run));
    }

    /// Makes everything count as new, for another leader.
    pub fn reset_reported(&mut self) {
        self.model.reset_reported();
    }

    /// Lists what has been learned, for a leader that knows nothing.
    pub fn changed_weights(&mut self) -> Vec<Weight> {
        self.model.changed_weights()
    }

    /// Takes over what has been learned elsewhere.
    pub fn merge(&mut self, now: Instant, weight: &Weight) {
        self.model.merge(now, weight);
    }

    /// Lists the fillers that have been held back entirely for long.
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
                    // Whatever the model says, what is there is too much.
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

    /// Gives full shares to the fillers that take the smallest part of any
    /// service's slack, as far as it goes.
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
                step > 0 && (at_end || step >= MIN_CHANGE_PERCENT)
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
            let share = Share {
                percent,
                zero_since,
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

/// Lists the services that are at work and have said how they do.
fn serving<'a>(
    running: &'a [Running],
    roles: &'a BTreeMap<(Task, Run), Role>,
) -> impl Iterator<Item = (&'a Running, Service)> {
    running.iter().filter_map(|row| {
        let service = roles.get(&(row.task, row.run))?.service(row.task)?;
        (row.percent == 100 && row.measurement > 0).then_some((row, service))
    })
}
