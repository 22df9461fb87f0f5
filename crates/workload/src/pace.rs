//! Holds fillers on one worker back so that the services beside them stay
//! within their latency targets.

use {
    crate::{
        id::{Run, Task},
        interference::{Model, Reading, Slack, Weight},
        message::Role,
        worker::Running,
    },
    filbertbend_state::{time::Instant, unit::Millis},
    std::{collections::BTreeMap, sync::Arc},
};

/// The least time between two readings: the figures cover half a second.
const READ_INTERVAL: Millis = Millis(450);
/// The smallest change of a share that is worth an order, in percent.
const STEP_PERCENT: u8 = 8;
/// Shares below this are not worth the disturbance, in percent.
const LEAST_PERCENT: u8 = 5;
/// How far ahead a rising load is planned for: a figure is half a second old on average
/// when an order takes effect.
const LOOKAHEAD_SECS: f64 = 0.5;
/// Weight of the newest reading of a service's own load.
const LEVEL_WEIGHT: f64 = 0.6;
/// Weight of the newest slope.
const SLOPE_WEIGHT: f64 = 0.3;
/// What is left of the fillers' usage when a service is just over its target.
const RELIEF_PART: f64 = 0.6;
/// How long a filler may be held back entirely before it should go elsewhere.
const STARVED_TIME: Millis = Millis(2000);

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

/// A service that runs.
struct Service {
    image: Arc<str>,
    /// The utilisation that fillers may add.
    slack: f64,
}

/// A filler that runs.
struct Filler {
    key: (Task, Run),
    image: Arc<str>,
    /// The cores that it takes at its full share.
    cores: f64,
    /// The cores that it has used.
    used: f64,
}

/// A share in force.
#[derive(Clone, Copy, Debug)]
struct Share {
    percent: u8,
    /// Since when it has been zero.
    held_since: Option<Instant>,
}

/// The utilisation of a service by its own load.
#[derive(Clone, Debug)]
struct Level {
    reading: Reading,
    value: f64,
    /// How fast it rises, for each second.
    slope: f64,
}

impl Level {
    /// Takes a new reading, of which `own` is the service's own load.
    fn follow(&self, reading: Reading, own: f64, secs: f64) -> Self {
        let value = self.value + LEVEL_WEIGHT * (own - self.value);
        let slope = (value - self.value) / secs.max(0.1);
        Self {
            reading,
            value,
            slope: self.slope + SLOPE_WEIGHT * (slope - self.slope),
        }
    }

    /// Returns the level that is planned for: a rise goes on until an order
    /// takes effect.
    fn planned(&self) -> f64 {
        self.value + self.slope.max(0.0) * LOOKAHEAD_SECS
    }
}

/// What is learned and in force on one worker.
#[derive(Debug, Default)]
pub struct Pace {
    model: Model,
    /// The utilisation of each service by its own load.
    levels: BTreeMap<(Task, Run), Level>,
    read: Option<Instant>,
    shares: BTreeMap<(Task, Run), Share>,
    slacks: BTreeMap<Arc<str>, f64>,
}

impl Pace {
    /// Takes what runs now, and returns which shares are to change.
    pub fn update(
        &mut self,
        now: Instant,
        running: &[Running],
        roles: &BTreeMap<(Task, Run), Role>,
    ) -> Vec<Change> {
        let fillers = fillers(running, roles);
        if self.read.is_none_or(|read| now >= read + READ_INTERVAL) {
            let secs = self
                .read
                .map_or(1.0, |read| now.since(read).0 as f64 / 1000.0);
            self.read = Some(now);
            self.learn(secs, running, roles, &fillers);
        }
        let services = self.services(running, roles, &fillers);
        let shares = self.plan(&services, &fillers);
        self.apply(now, &fillers, &shares)
    }

    /// Notes that a filler has just started, at its full share.
    pub fn started(&mut self, task: Task, run: Run) {
        let share = Share {
            percent: 100,
            held_since: None,
        };
        self.shares.insert((task, run), share);
    }

    /// Notes that a change did not reach the worker, so that it is repeated.
    pub fn failed(&mut self, task: Task, run: Run) {
        self.shares.remove(&(task, run));
    }

    /// Makes everything count as new, for another leader.
    pub fn renew(&mut self) {
        self.model.renew();
    }

    /// Lists what has been learned since it was last listed.
    pub fn news(&mut self) -> Vec<Weight> {
        self.model.news()
    }

    /// Takes over what has been learned elsewhere.
    pub fn merge(&mut self, weight: &Weight) {
        self.model.merge(weight);
    }

    /// Lists what fillers may add, for each image of a service.
    pub fn slacks(&self) -> Vec<Slack> {
        self.slacks
            .iter()
            .map(|(service, value)| Slack {
                service: service.clone(),
                value: *value as f32,
            })
            .collect()
    }

    /// Lists the fillers that have been held back entirely for long.
    pub fn starved(&self, now: Instant) -> Vec<Task> {
        self.shares
            .iter()
            .filter(|(_, share)| {
                share
                    .held_since
                    .is_some_and(|since| now >= since + STARVED_TIME)
            })
            .map(|((task, _), _)| *task)
            .collect()
    }

    fn learn(
        &mut self,
        secs: f64,
        running: &[Running],
        roles: &BTreeMap<(Task, Run), Role>,
        fillers: &[Filler],
    ) {
        let mut usage: BTreeMap<Arc<str>, f64> = BTreeMap::new();
        for filler in fillers {
            *usage.entry(filler.image.clone()).or_insert(0.0) += filler.used;
        }
        let mut levels = BTreeMap::new();
        for (row, image, target) in serving(running, roles) {
            let key = (row.task, row.run);
            let reading = Reading {
                utilisation: self.model.utilisation(&image, target, row.figure as f64),
                usage: usage.clone(),
            };
            let known = self.levels.get(&key);
            if let Some(known) = known {
                self.model.learn(&image, &known.reading, &reading);
            }
            let own = self.model.own_load(&image, &reading);
            let level = match known {
                Some(known) => known.follow(reading, own, secs),
                None => Level {
                    reading,
                    value: own,
                    slope: 0.0,
                },
            };
            levels.insert(key, level);
        }
        self.levels = levels;
    }

    fn services(
        &mut self,
        running: &[Running],
        roles: &BTreeMap<(Task, Run), Role>,
        fillers: &[Filler],
    ) -> Vec<Service> {
        let services: Vec<Service> = serving(running, roles)
            .filter_map(|(row, image, target)| {
                let level = self.levels.get(&(row.task, row.run))?;
                let mut slack = self.model.planned(&image, target) - level.planned();
                if row.figure > target.0 {
                    // Whatever the model says, what is there is too much.
                    let added: f64 = fillers
                        .iter()
                        .map(|filler| self.model.cost(&image, &filler.image, filler.used))
                        .sum();
                    let over = row.figure as f64 / target.0.max(1) as f64;
                    slack = slack.min(added * RELIEF_PART / over);
                }
                Some(Service { image, slack })
            })
            .collect();
        self.slacks.clear();
        for service in &services {
            let slack = self
                .slacks
                .entry(service.image.clone())
                .or_insert(f64::INFINITY);
            *slack = slack.min(service.slack);
        }
        services
    }

    /// Gives full shares to the fillers that take the smallest part of any
    /// service's slack, as far as it goes.
    fn plan(&self, services: &[Service], fillers: &[Filler]) -> Vec<u8> {
        let mut slacks: Vec<f64> = services.iter().map(|service| service.slack).collect();
        let cost = |filler: &Filler, service: &Service| {
            self.model.cost(&service.image, &filler.image, filler.cores)
        };
        let burden = |filler: &Filler| {
            let costs = services.iter().map(|service| cost(filler, service));
            costs.fold(0.0, f64::max) / filler.cores.max(0.1)
        };
        let mut order: Vec<usize> = (0..fillers.len()).collect();
        order.sort_by(|left, right| burden(&fillers[*left]).total_cmp(&burden(&fillers[*right])));
        let mut shares = vec![0; fillers.len()];
        for index in order {
            let filler = &fillers[index];
            let part = services
                .iter()
                .zip(&slacks)
                .map(|(service, slack)| slack / cost(filler, service).max(f64::EPSILON))
                .fold(1.0, f64::min);
            let percent = (part * 100.0).clamp(0.0, 100.0) as u8;
            let percent = if percent < LEAST_PERCENT { 0 } else { percent };
            shares[index] = percent;
            for (service, slack) in services.iter().zip(&mut slacks) {
                *slack -= cost(filler, service) * f64::from(percent) / 100.0;
            }
        }
        shares
    }

    fn apply(&mut self, now: Instant, fillers: &[Filler], shares: &[u8]) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut applied = BTreeMap::new();
        for (filler, percent) in fillers.iter().zip(shares) {
            let before = self.shares.get(&filler.key).copied();
            let at_end = *percent == 0 || *percent == 100;
            let changed = before.is_none_or(|before| {
                let step = before.percent.abs_diff(*percent);
                step > 0 && (at_end || step >= STEP_PERCENT)
            });
            if changed {
                changes.push(Change {
                    task: filler.key.0,
                    run: filler.key.1,
                    percent: *percent,
                });
            }
            let percent = match before {
                Some(before) if !changed => before.percent,
                _ => *percent,
            };
            let held_since =
                (percent == 0).then(|| before.and_then(|before| before.held_since).unwrap_or(now));
            let share = Share {
                percent,
                held_since,
            };
            applied.insert(filler.key, share);
        }
        self.shares = applied;
        changes
    }
}

fn fillers(running: &[Running], roles: &BTreeMap<(Task, Run), Role>) -> Vec<Filler> {
    running
        .iter()
        .filter_map(|row| {
            let role = roles.get(&(row.task, row.run))?;
            role.filler.then(|| Filler {
                key: (row.task, row.run),
                image: role.image.clone().unwrap_or_default(),
                cores: role.cores.0 as f64 / 1000.0,
                used: row.figure as f64 / 1000.0,
            })
        })
        .collect()
}

/// Lists the services that are at work and have said how they do.
fn serving<'a>(
    running: &'a [Running],
    roles: &'a BTreeMap<(Task, Run), Role>,
) -> impl Iterator<Item = (&'a Running, Arc<str>, Millis)> {
    running.iter().filter_map(|row| {
        let role = roles.get(&(row.task, row.run))?;
        let target = role.latency_target?;
        let image = role.image.clone().unwrap_or_default();
        (row.percent == 100 && row.figure > 0).then_some((row, image, target))
    })
}
