//! Throttles batch tasks to keep services fast, and evicts as a last resort.

use {
    super::{
        history::{History, WINDOW_MS},
        model::{Model, Source},
        plan::{self, Candidate},
        watch::Watch,
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

/// Sets the shares of all batch tasks on one worker.
#[derive(Debug)]
pub struct Controller {
    settings: Settings,
    model: Model,
    history: History,
    watches: BTreeMap<id::Service, Watch>,
    tasks: Vec<Task>,
    /// The shares in force, as last commanded.
    shares: BTreeMap<Attempt, f64>,
    planned_at: Option<Instant>,
    rng: ChaCha8Rng,
    /// How far each pair's strength is drawn from its mean, in deviations.
    draws: BTreeMap<(id::Service, id::Service), f64>,
    drawn: Option<u64>,
}

impl Controller {
    /// Makes a controller that has learned nothing.
    pub fn new(settings: Settings, rng: ChaCha8Rng) -> Self {
        Self {
            settings,
            model: Model::new(),
            history: History::default(),
            watches: BTreeMap::new(),
            tasks: Vec::new(),
            shares: BTreeMap::new(),
            planned_at: None,
            rng,
            draws: BTreeMap::new(),
            drawn: None,
        }
    }

    /// Returns what has been learned.
    pub fn model(&self) -> &Model {
        &self.model
    }

    /// Takes one event at `now` and appends what is to be done to `actions`.
    pub fn step(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tasks(tasks) => self.replace_tasks(now, tasks, actions),
            Event::Latency(observation) => {
                self.watch(&observation);
                self.history.keep(observation);
                self.plan(now, actions);
            }
            Event::Report(observation) => self.learn(Source::Report, &observation),
            Event::Usage(usage) => self.learn_usage(&usage),
            Event::Tick => {
                self.plan(now, actions);
                self.note(now);
                self.history.prune(now);
            }
        }
    }

    /// Forgets tasks that are gone and holds new ones to a planned share.
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
        self.note(now);
    }

    fn part(&self, task: &Task) -> f64 {
        task.cores.0 as f64 / self.settings.cores.0.max(1) as f64
    }

    fn share(&self, task: &Task) -> f64 {
        self.shares.get(&task.attempt).copied().unwrap_or(1.0)
    }

    fn note(&mut self, now: Instant) {
        for task in &self.tasks {
            let part = self.part(task) * self.share(task);
            self.history.note(now, task.attempt, &task.kind, part);
        }
    }

    fn learn(&mut self, source: Source, observation: &Observation) {
        if let Some(window) = self.history.join(source, observation) {
            self.model.learn(&observation.service, source, &window);
        }
    }

    /// Learns from the endpoint's own latencies once it is known what the tasks
    /// used at the time.
    fn learn_usage(&mut self, usage: &[Usage]) {
        let whole = self.settings.cores.0.max(1) as f64;
        for used in usage {
            let part = used.peak.cores.0 as f64 / whole * used.speed.fraction();
            self.history.report(used.from, &used.attempt, part);
        }
        let mut starts: Vec<Instant> = usage.iter().map(|used| used.from).collect();
        starts.dedup();
        for from in starts {
            for observation in self.history.take(from) {
                self.learn(Source::Own, &observation);
            }
        }
    }

    /// Compares the newest latencies with what the shares in force explain.
    fn watch(&mut self, observation: &Observation) {
        let service = &observation.service;
        if !observation.is_usable() {
            if let Some(watch) = self.watches.get_mut(service) {
                watch.idle(observation.load);
            }
            return;
        }
        let parts = self.history.allowed(observation.from);
        let expected = self.model.log_latency(service, observation.load, &parts);
        let actual = observation.latency_ms.ln();
        let watch = self.watches.entry(service.clone()).or_default();
        watch.observe(observation.load, actual - expected.unwrap_or(actual));
    }

    /// Plans all shares anew, from what is in force and known at this moment.
    fn plan(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.draw(now);
        let candidates: Vec<Candidate> =
            self.tasks.iter().map(|task| self.candidate(task)).collect();
        let budgets: Vec<f64> = self
            .watches
            .values()
            .map(|watch| self.settings.limit * (-watch.unexplained()).exp() - 1.0)
            .collect();
        let floor = self.settings.floor.fraction();
        let wanted = if self.is_probing(now) {
            vec![floor; candidates.len()]
        } else {
            plan::shares(&candidates, &budgets, floor)
        };
        let elapsed = self
            .planned_at
            .map_or(Millis::ZERO, |planned| now.since(planned));
        self.planned_at = Some(now);
        let rise = self.settings.rise * elapsed.0 as f64 / 1000.0;
        for (task, wanted) in self.tasks.iter().zip(&wanted) {
            if let Some(share) = self.shares.get_mut(&task.attempt) {
                let next = wanted.min(*share + rise);
                let at_end = next >= 1.0 || next <= floor;
                let step = (next - *share).abs();
                if step >= self.settings.step || (at_end && step > 1e-9) {
                    *share = next;
                    actions.push(Action::Throttle {
                        attempt: task.attempt,
                        share: Share::of(next),
                    });
                }
            }
        }
        self.consider_eviction(now, &candidates, &budgets, actions);
    }

    /// Draws the deviations anew when their time has come, and for new kinds.
    fn draw(&mut self, now: Instant) {
        let period = now.0 / self.settings.redraw.0.max(1);
        if self.drawn != Some(period) {
            self.draws.clear();
            self.drawn = Some(period);
        }
        for service in self.watches.keys() {
            for task in &self.tasks {
                let pair = (service.clone(), task.kind.clone());
                // The sum of three uniform draws on -1 to 1 has deviation 1
                // and, unlike a normal one, no wild values.
                let draw = || self.rng.random_range(-1.0..1.0);
                self.draws
                    .entry(pair)
                    .or_insert_with(|| std::iter::repeat_with(draw).take(3).sum());
            }
        }
    }

    /// Tells whether all tasks are at the floor to see the services alone.
    fn is_probing(&self, now: Instant) -> bool {
        now.0 % self.settings.probe_every.0.max(1) < WINDOW_MS
            && self.watches.iter().any(|(service, watch)| {
                let deviation = self.model.alone_deviation(service, watch.load);
                deviation > self.settings.probe_above
            })
    }

    fn candidate(&self, task: &Task) -> Candidate {
        let part = self.part(task);
        let harm = self
            .watches
            .iter()
            .map(|(service, watch)| {
                let strength = self.model.strength(service, &task.kind, watch.load);
                let pair = (service.clone(), task.kind.clone());
                let drawn = self.draws.get(&pair).copied().unwrap_or(0.0);
                part * strength.at(self.settings.caution + self.settings.curiosity * drawn)
            })
            .collect();
        Candidate {
            cores: task.cores.0 as f64,
            harm,
        }
    }

    /// Evicts the task that loses least, if a service has been over its limit
    /// for long although all tasks that harm it are at the floor.
    fn consider_eviction(
        &mut self,
        now: Instant,
        candidates: &[Candidate],
        budgets: &[f64],
        actions: &mut Vec<Action>,
    ) {
        let floor = self.settings.floor.fraction();
        let held = vec![floor; candidates.len()];
        let mut evict = None;
        for (index, watch) in self.watches.values_mut().enumerate() {
            let at_floor = plan::total(candidates, &held, index);
            if at_floor <= budgets[index] || at_floor <= 0.0 {
                watch.over_since = None;
                continue;
            }
            let since = *watch.over_since.get_or_insert(now);
            if now >= since + self.settings.patience {
                watch.over_since = None;
                evict = Some(index);
            }
        }
        let Some(service) = evict else { return };
        if let Some(attempt) = self.cheapest(now, candidates, service) {
            self.tasks.retain(|task| task.attempt != attempt);
            self.shares.remove(&attempt);
            actions.push(Action::Evict(attempt));
        }
    }

    /// Returns the task that loses least, of those that do at least half of the
    /// harm of the worst one.
    fn cheapest(&self, now: Instant, candidates: &[Candidate], service: usize) -> Option<Attempt> {
        let harm = |candidate: &Candidate| candidate.harm[service];
        let worst = candidates.iter().map(harm).fold(0.0, f64::max);
        self.tasks
            .iter()
            .zip(candidates)
            .filter(|(_, candidate)| harm(candidate) >= worst / 2.0)
            .min_by_key(|(task, _)| {
                let lost = now.since(task.saved_at) + self.settings.restart_cost;
                (lost.0 * task.cores.0, task.attempt)
            })
            .map(|(task, _)| task.attempt)
    }
}
