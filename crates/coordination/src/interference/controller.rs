//! Throttles batch tasks to limit the slowdown of services, and evicts one as a
//! last resort.

use {
    super::{
        history::{History, WINDOW_MS},
        model::{Model, Source},
        monitor::Monitor,
        plan::{self, Candidate},
        Action, Event, Observation, Settings, Task,
    },
    crate::{attempt::Attempt, worker::Usage},
    filbertbend_state::{
        id,
        time::Instant,
        unit::{Millis, Share},
    },
    rand::RngExt,
    rand_chacha::ChaCha8Rng,
    std::collections::BTreeMap,
};

/// Controls the shares of all batch tasks on one worker.
#[derive(Debug)]
pub struct Controller {
    settings: Settings,
    model: Model,
    history: History,
    monitors: BTreeMap<id::Service, Monitor>,
    tasks: Vec<Task>,
    /// The shares in force, from the last command for each task.
    shares: BTreeMap<Attempt, f64>,
    planned_at: Option<Instant>,
    rng: ChaCha8Rng,
    /// The sampled offset of the strength of each kind on each service, in
    /// standard deviations from its mean.
    samples: BTreeMap<(id::Service, id::Service), f64>,
    /// The number of the interval in which `samples` were drawn.
    sample_period: Option<u64>,
}

impl Controller {
    /// Creates a controller with an untrained model.
    pub fn new(settings: Settings, rng: ChaCha8Rng) -> Self {
        Self {
            settings,
            model: Model::new(),
            history: History::default(),
            monitors: BTreeMap::new(),
            tasks: Vec::new(),
            shares: BTreeMap::new(),
            planned_at: None,
            rng,
            samples: BTreeMap::new(),
            sample_period: None,
        }
    }

    /// Returns the learned model.
    pub fn model(&self) -> &Model {
        &self.model
    }

    /// Handles one event at `now` and appends the resulting commands to
    /// `actions`.
    pub fn step(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tasks(tasks) => self.replace_tasks(now, tasks, actions),
            Event::Latency(observation) => {
                self.update_monitor(&observation);
                self.history.add_latency(observation);
                self.plan(now, actions);
            }
            Event::DelayedLatency(observation) => self.learn(Source::Delayed, &observation),
            Event::Usage(usage) => self.learn_usage(&usage),
            Event::Tick => {
                self.plan(now, actions);
                self.record_shares(now);
                self.history.prune(now);
            }
        }
    }

    /// Replaces the list of tasks. New tasks start at the floor, and the next plan
    /// sets their shares.
    fn replace_tasks(&mut self, now: Instant, tasks: Vec<Task>, actions: &mut Vec<Action>) {
        let floor = self.settings.floor.fraction();
        let mut shares = BTreeMap::new();
        for task in &tasks {
            let known = self.shares.get(&task.attempt).copied();
            if known.is_none() {
                actions.push(Action::Throttle {
                    attempt: task.attempt,
                    share: self.settings.floor,
                });
            }
            shares.insert(task.attempt, known.unwrap_or(floor));
        }
        self.tasks = tasks;
        self.shares = shares;
        self.record_shares(now);
    }

    /// Returns the fraction of the worker's cores that a task uses unthrottled.
    fn core_fraction(&self, task: &Task) -> f64 {
        task.cores.0 as f64 / self.settings.cores.0.max(1) as f64
    }

    fn current_share(&self, task: &Task) -> f64 {
        self.shares.get(&task.attempt).copied().unwrap_or(1.0)
    }

    fn record_shares(&mut self, now: Instant) {
        for task in &self.tasks {
            let fraction = self.core_fraction(task) * self.current_share(task);
            self.history
                .record_allowed(now, task.attempt, &task.kind, fraction);
        }
    }

    fn learn(&mut self, source: Source, observation: &Observation) {
        if let Some(window) = self.history.join(source, observation) {
            self.model.learn(&observation.service, source, &window);
        }
    }

    /// Learns from the latencies that the endpoint measured, once the usage of
    /// the tasks at the time has been reported.
    fn learn_usage(&mut self, usage: &[Usage]) {
        let total_cores = self.settings.cores.0.max(1) as f64;
        for used in usage {
            let fraction = used.peak.cores.0 as f64 / total_cores * used.speed.fraction();
            self.history
                .record_usage(used.from, &used.attempt, fraction);
        }
        let mut starts: Vec<Instant> = usage.iter().map(|used| used.from).collect();
        starts.dedup();
        for from in starts {
            for observation in self.history.take_latencies(from) {
                self.learn(Source::Endpoint, &observation);
            }
        }
    }

    /// Compares the newest latency with the one that the model expects at the
    /// shares in force.
    fn update_monitor(&mut self, observation: &Observation) {
        let service = &observation.service;
        if !observation.is_usable() {
            if let Some(monitor) = self.monitors.get_mut(service) {
                monitor.record_idle(observation.load);
            }
            return;
        }
        let fractions = self.history.allowed_fractions(observation.from);
        let expected = self
            .model
            .log_latency(service, observation.load, &fractions);
        let actual = observation.latency_ms.ln();
        let monitor = self.monitors.entry(service.clone()).or_default();
        monitor.record_residual(observation.load, actual - expected.unwrap_or(actual));
    }

    /// Plans all shares from the shares in force and the current model.
    fn plan(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.resample(now);
        let candidates: Vec<Candidate> =
            self.tasks.iter().map(|task| self.candidate(task)).collect();
        let budgets: Vec<f64> = self
            .monitors
            .values()
            .map(|monitor| self.settings.max_slowdown * (-monitor.smoothed_residual()).exp() - 1.0)
            .collect();
        let floor = self.settings.floor.fraction();
        let target = if self.is_probing(now) {
            vec![floor; candidates.len()]
        } else {
            plan::shares(&candidates, &budgets, floor)
        };
        let elapsed = self
            .planned_at
            .map_or(Millis::ZERO, |planned| now.since(planned));
        self.planned_at = Some(now);
        let rise = self.settings.max_rise * elapsed.0 as f64 / 1000.0;
        for (task, target) in self.tasks.iter().zip(&target) {
            if let Some(share) = self.shares.get_mut(&task.attempt) {
                let next = target.min(*share + rise);
                let at_limit = next >= 1.0 || next <= floor;
                let step = (next - *share).abs();
                if step >= self.settings.min_step || (at_limit && step > 1e-9) {
                    *share = next;
                    actions.push(Action::Throttle {
                        attempt: task.attempt,
                        share: Share::of(next),
                    });
                }
            }
        }
        self.evict_if_overdue(now, &candidates, &budgets, actions);
    }

    /// Draws new samples when the interval has passed, and for new kinds.
    fn resample(&mut self, now: Instant) {
        let period = now.0 / self.settings.resample_interval.0.max(1);
        if self.sample_period != Some(period) {
            self.samples.clear();
            self.sample_period = Some(period);
        }
        for service in self.monitors.keys() {
            for task in &self.tasks {
                let pair = (service.clone(), task.kind.clone());
                // The sum of three uniform samples from -1 to 1 has a standard
                // deviation of 1 and, unlike a normal variable, is bounded.
                let sample = || self.rng.random_range(-1.0..1.0);
                self.samples
                    .entry(pair)
                    .or_insert_with(|| std::iter::repeat_with(sample).take(3).sum());
            }
        }
    }

    /// Returns whether all tasks are at the floor to measure the baselines.
    fn is_probing(&self, now: Instant) -> bool {
        now.0 % self.settings.probe_interval.0.max(1) < WINDOW_MS
            && self.monitors.iter().any(|(service, monitor)| {
                let deviation = self.model.baseline_deviation(service, monitor.load);
                deviation > self.settings.probe_threshold
            })
    }

    fn candidate(&self, task: &Task) -> Candidate {
        let fraction = self.core_fraction(task);
        let slowdowns = self
            .monitors
            .iter()
            .map(|(service, monitor)| {
                let strength = self.model.strength(service, &task.kind, monitor.load);
                let pair = (service.clone(), task.kind.clone());
                let sample = self.samples.get(&pair).copied().unwrap_or(0.0);
                fraction
                    * strength.at_deviations(
                        self.settings.safety_margin + self.settings.exploration * sample,
                    )
            })
            .collect();
        Candidate {
            cores: task.cores.0 as f64,
            slowdowns,
        }
    }

    /// Evicts the task that loses the least work, if the slowdown of a service
    /// would have stayed above the limit for `eviction_delay` even with all
    /// tasks at the floor.
    fn evict_if_overdue(
        &mut self,
        now: Instant,
        candidates: &[Candidate],
        budgets: &[f64],
        actions: &mut Vec<Action>,
    ) {
        let floor = self.settings.floor.fraction();
        let floor_shares = vec![floor; candidates.len()];
        let mut overdue = None;
        for (index, monitor) in self.monitors.values_mut().enumerate() {
            let at_floor = plan::total_slowdown(candidates, &floor_shares, index);
            if at_floor <= budgets[index] || at_floor <= 0.0 {
                monitor.over_since = None;
                continue;
            }
            let since = *monitor.over_since.get_or_insert(now);
            if now >= since + self.settings.eviction_delay {
                monitor.over_since = None;
                overdue = Some(index);
            }
        }
        let Some(service) = overdue else { return };
        if let Some(attempt) = self.cheapest_task(now, candidates, service) {
            self.tasks.retain(|task| task.attempt != attempt);
            self.shares.remove(&attempt);
            actions.push(Action::Evict(attempt));
        }
    }

    /// Returns the task that loses the least work, among those that cause at
    /// least half of the slowdown that the worst one causes.
    fn cheapest_task(
        &self,
        now: Instant,
        candidates: &[Candidate],
        service: usize,
    ) -> Option<Attempt> {
        let slowdown = |candidate: &Candidate| candidate.slowdowns[service];
        let worst = candidates.iter().map(slowdown).fold(0.0, f64::max);
        self.tasks
            .iter()
            .zip(candidates)
            .filter(|(_, candidate)| slowdown(candidate) >= worst / 2.0)
            .min_by_key(|(task, _)| {
                let lost = now.since(task.progress_at) + self.settings.restart_cost;
                (lost.0 * task.cores.0, task.attempt)
            })
            .map(|(task, _)| task.attempt)
    }
}
