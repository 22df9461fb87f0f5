//! Which worker takes a task.

use {
    super::{
        fleet::{has_label, Worker},
        registry::Execution,
        Action, Decision, Planner, Rank, Reason,
    },
    crate::{
        id::{Node, Run, Task},
        job::Step,
        message::{Role, Start},
    },
    filbertbend_state::{room::Room, unit::Millis},
    std::{collections::BTreeMap, sync::Arc},
};

/// The part of its cores that a filler must find free to be placed. With less
/// it would mostly hold memory and disturb others.
const MIN_CORE_FRACTION: f64 = 0.5;
/// How long a filler waits for a good place while nothing of its job runs. The
/// platform's rules allow 3 s.
const GOOD_PLACE_WAIT: Millis = Millis(1500);
/// The part of a pool's room in use above which fillers keep waiting for good
/// places. The platform's rules ask for work as long as half is free.
const BUSY_FRACTION: f64 = 0.6;
/// The part of a filler that the services beside it must leave room for.
const MIN_TOLERANCE: f64 = 0.6;
/// Tolerance above this is worth no more; a worker without services has it.
const MAX_TOLERANCE: f64 = 4.0;
/// What the rack of the data, or of the other tasks, is worth against free
/// room: work takes half as long again elsewhere.
const RACK_SCORE: f64 = 10.0;
/// What it is worth to leave a worker without services to fillers.
const SERVICE_WORKER_SCORE: f64 = 1.0;

/// What found no worker in one look for places.
#[derive(Default)]
struct Unplaceable {
    rejections: Vec<Rejection>,
}

/// An ask that found no worker; one that asks for as much finds none either.
struct Rejection {
    pool: Arc<str>,
    image: Option<Arc<str>>,
    room: Room,
    any_place: bool,
}

/// What a task asks of a worker.
struct Requirements<'a> {
    step: &'a Step,
    pool: &'a str,
    /// How many tasks of the step run on each worker.
    siblings: BTreeMap<Node, usize>,
    /// The rack of the step's other tasks, where they should be together.
    rack: Option<Arc<str>>,
    avoid: Option<Node>,
    /// Whether nothing of the job runs and it has waited for long while much of
    /// the pool is free, so that a bad place is better than none.
    any_place: bool,
}

impl Planner {
    /// Places what can be placed, most urgent first.
    pub(super) fn place(&mut self, actions: &mut Vec<Action>) {
        let ranks: Vec<Rank> = self.ready.iter().copied().collect();
        self.fleet.update_headroom(&self.model);
        let mut unplaceable = Unplaceable::default();
        for rank in ranks {
            let Some(entry) = self.registry.get(rank.job) else {
                self.ready.remove(&rank);
                continue;
            };
            let gang = entry.step(rank.step).is_some_and(|step| step.mode.gang);
            if gang {
                self.place_gang(rank, actions);
            } else {
                self.place_step(rank, &mut unplaceable, actions);
            }
        }
    }

    /// Lists the tasks of a step that may be started.
    fn startable(&self, rank: Rank) -> Vec<Task> {
        let name = |index: usize| Task {
            job: rank.job,
            occurrence: rank.occurrence,
            step: rank.step,
            index: index as u16,
        };
        self.registry
            .get(rank.job)
            .and_then(|entry| entry.occurrences.get(&rank.occurrence))
            .and_then(|occurrence| occurrence.steps.get(usize::from(rank.step)))
            .map(|step| {
                step.tasks
                    .iter()
                    .enumerate()
                    .filter(|(_, task)| task.is_startable())
                    .map(|(index, _)| name(index))
                    .collect()
            })
            .unwrap_or_default()
    }

    fn place_step(&mut self, rank: Rank, unplaceable: &mut Unplaceable, actions: &mut Vec<Action>) {
        let tasks = self.startable(rank);
        let total = tasks.len();
        let mut placed = 0;
        if tasks
            .first()
            .is_some_and(|task| self.is_unplaceable(*task, unplaceable))
        {
            return;
        }
        for task in tasks {
            let Some(node) = self.select_worker(task) else {
                self.record_unplaceable(task, unplaceable);
                break;
            };
            self.start(task, &node, None, actions);
            placed += 1;
        }
        if placed == total {
            self.ready.remove(&rank);
        } else if placed == 0 {
            self.preempt(rank, actions);
        }
    }

    /// Tells whether a task asks for as much as another one that found no
    /// worker just now.
    fn is_unplaceable(&self, task: Task, unplaceable: &Unplaceable) -> bool {
        self.requirements(task).is_some_and(|requirements| {
            unplaceable.rejections.iter().any(|rejection| {
                let room = &rejection.room;
                (rejection.any_place || !requirements.any_place)
                    && *rejection.pool == *requirements.pool
                    && rejection.image == requirements.step.image
                    && requirements.step.room.cores >= room.cores
                    && requirements.step.room.memory >= room.memory
                    && requirements.step.room.accelerators >= room.accelerators
            })
        })
    }

    fn record_unplaceable(&self, task: Task, unplaceable: &mut Unplaceable) {
        let Some(requirements) = self.requirements(task) else {
            return;
        };
        // What is asked for with further conditions says nothing about others.
        let placement = &requirements.step.placement;
        if requirements.avoid.is_none()
            && placement.label.is_none()
            && placement.most_per_worker.is_none()
        {
            let rejection = Rejection {
                pool: requirements.pool.into(),
                image: requirements.step.image.clone(),
                room: requirements.step.room,
                any_place: requirements.any_place,
            };
            unplaceable.rejections.push(rejection);
        }
    }

    /// Places all members of a gang, or none.
    fn place_gang(&mut self, rank: Rank, actions: &mut Vec<Action>) {
        let tasks = self.startable(rank);
        let Some(entry) = self.registry.get(rank.job) else {
            return;
        };
        let Some(step) = entry.step(rank.step) else {
            return;
        };
        let members = entry.members(
            Task {
                job: rank.job,
                occurrence: rank.occurrence,
                step: rank.step,
                index: 0,
            },
            true,
        );
        // All start with the same run, so all former ones must have ended.
        if tasks.len() < members.len() || step.tasks == 0 {
            return;
        }
        let last = members
            .iter()
            .filter_map(|member| entry.task(*member).map(|task| task.run))
            .max()
            .unwrap_or_default();
        let run = self.next_run(last);
        let mut chosen: Vec<(Task, Node)> = Vec::new();
        for task in &tasks {
            let Some(node) = self.select_worker(*task) else {
                break;
            };
            if let Some(reservation) = self.reservation(*task) {
                self.fleet.adopt(&node, *task, run, reservation);
                if let Some(worker) = self.fleet.get_mut(&node) {
                    worker.update_headroom(&self.model);
                }
            }
            chosen.push((*task, node));
        }
        for (task, node) in &chosen {
            self.fleet.release(node, *task, run);
        }
        self.fleet.update_headroom(&self.model);
        if chosen.len() < tasks.len() {
            self.preempt(rank, actions);
            return;
        }
        for (task, node) in chosen {
            self.start(task, &node, Some(run), actions);
        }
        self.ready.remove(&rank);
    }

    fn requirements(&self, task: Task) -> Option<Requirements<'_>> {
        let entry = self.registry.get(task.job)?;
        let step = entry.step(task.step)?;
        let pool = match self.catalog.queues.get(&entry.job.queue) {
            Some(queue) => &queue.pool,
            None => &entry.job.policy.pool,
        };
        let tasks = entry.occurrences.get(&task.occurrence)?;
        let tasks = &tasks.steps.get(usize::from(task.step))?.tasks;
        let mut siblings = BTreeMap::new();
        for execution in tasks.iter().flat_map(|task| &task.executions) {
            *siblings.entry(execution.node.clone()).or_insert(0) += 1;
        }
        let rack = if step.placement.same_rack {
            siblings.keys().next().and_then(|node| {
                self.fleet
                    .get(node)?
                    .profile
                    .as_ref()?
                    .labels
                    .get(1)
                    .cloned()
            })
        } else {
            step.placement.data_rack.clone()
        };
        let since = entry.task(task)?.ready_since.unwrap_or(self.now);
        let any_place = self.now >= since + GOOD_PLACE_WAIT
            && entry.is_idle()
            && self.fleet.used_fraction(pool) < BUSY_FRACTION;
        Some(Requirements {
            step,
            pool,
            siblings,
            rack,
            avoid: entry.task(task)?.avoid.clone(),
            any_place,
        })
    }

    /// Returns the best worker for a task, if any has room.
    pub(super) fn select_worker(&self, task: Task) -> Option<Node> {
        let requirements = self.requirements(task)?;
        self.searches.set(self.searches.get() + 1);
        let best = |avoiding: bool| {
            self.fleet
                .iter()
                .filter(|(node, _)| !avoiding || requirements.avoid.as_ref() != Some(node))
                .filter_map(|(node, worker)| Some((self.score(&requirements, node, worker)?, node)))
                .max_by(|(left, _), (right, _)| left.total_cmp(right))
                .map(|(_, node)| node.clone())
        };
        best(true).or_else(|| best(false))
    }

    /// Tells how good a worker is for a task, or `None` if it cannot take it.
    fn score(&self, requirements: &Requirements<'_>, node: &Node, worker: &Worker) -> Option<f64> {
        if !self.is_feasible(requirements, node, worker) {
            return None;
        }
        let profile = worker.profile.as_ref()?;
        let free = worker.free();
        if !free.fits(&requirements.step.reserved()) {
            return None;
        }
        let whole = profile.room.cores.0.max(1) as f64;
        let on_rack = requirements
            .rack
            .as_ref()
            .is_some_and(|rack| profile.labels.contains(rack));
        let mut score = if on_rack { RACK_SCORE } else { 0.0 };
        if requirements.step.mode.best_effort {
            let left = worker.idle_cores();
            let need = requirements.step.room.cores.0.max(1) as f64;
            let image = requirements.step.image.clone().unwrap_or_default();
            let tolerance = worker.tolerance(&self.model, &image, requirements.step.room.cores);
            let is_good = left >= need * MIN_CORE_FRACTION && tolerance >= MIN_TOLERANCE;
            if !is_good && !requirements.any_place {
                return None;
            }
            return Some(score + left / whole + tolerance.min(MAX_TOLERANCE));
        }
        let left = (free.cores - requirements.step.room.cores).0 as f64 / whole;
        if requirements.step.mode.long_running {
            // Services are kept together, so that fillers find workers where
            // they disturb nobody.
            score -= left;
        } else {
            score += left;
        }
        if worker.services().next().is_some() {
            score += SERVICE_WORKER_SCORE;
        }
        Some(score)
    }

    /// Tells whether a worker may run a task, whatever room it has.
    fn is_feasible(&self, requirements: &Requirements<'_>, node: &Node, worker: &Worker) -> bool {
        let Some(profile) = &worker.profile else {
            return false;
        };
        let placement = &requirements.step.placement;
        let labelled = placement
            .label
            .as_ref()
            .is_none_or(|label| has_label(profile, label));
        let siblings = requirements.siblings.get(node).copied().unwrap_or(0);
        let below_limit = placement
            .most_per_worker
            .is_none_or(|most| siblings < usize::from(most));
        let healthy = !worker.is_on_probation(self.now) || worker.reservations.is_empty();
        worker.is_usable(self.now, self.settings.silence_limit)
            && *profile.pool == *requirements.pool
            && labelled
            && below_limit
            && healthy
    }

    fn start(&mut self, task: Task, node: &Node, run: Option<Run>, actions: &mut Vec<Action>) {
        let Some(reservation) = self.reservation(task) else {
            return;
        };
        let now = self.now;
        let last = self
            .registry
            .get(task.job)
            .and_then(|entry| entry.task(task))
            .map_or(Run(0), |entry| entry.run);
        let run = run.unwrap_or_else(|| self.next_run(last));
        let Some(entry) = self.registry.get_mut(task.job) else {
            return;
        };
        let spec = entry.job.spec.clone();
        let Some(role) = entry.step(task.step).map(Role::of) else {
            return;
        };
        let Some(found) = entry.task_mut(task) else {
            return;
        };
        found.run = run;
        found.executions.push(Execution {
            node: node.clone(),
            run,
            since: now,
            started: false,
            stopping: false,
        });
        let checkpoint = found.checkpoint.clone();
        let ready_since = found.ready_since;
        entry.version += 1;
        let version = entry.version;
        let waited = now.since(ready_since.unwrap_or(now));
        actions.push(Action::Decided(Decision::Placed {
            task,
            run,
            node: node.clone(),
            waited,
            resumed: checkpoint.is_some(),
        }));
        let start = Start {
            task,
            run,
            spec,
            checkpoint,
            role,
        };
        self.fleet.start(node, start, version, reservation);
        if let Some(worker) = self.fleet.get_mut(node) {
            worker.update_headroom(&self.model);
        }
        self.persist.mark_dirty(now, task.job, true);
    }

    /// Stops less urgent tasks on one worker so that a task of `rank` fits, if
    /// there is such a worker and nothing is being stopped for it already.
    fn preempt(&mut self, rank: Rank, actions: &mut Vec<Action>) {
        let Some(task) = self.startable(rank).first().copied() else {
            return;
        };
        let Some(requirements) = self.requirements(task) else {
            return;
        };
        if requirements.step.mode.best_effort {
            return;
        }
        let need = requirements.step.reserved();
        let mut best: Option<(Vec<(Task, Run)>, Node)> = None;
        for (node, worker) in self.fleet.iter() {
            if !self.is_feasible(&requirements, node, worker) {
                continue;
            }
            let Some(victims) = self.victims(worker, need, rank.priority) else {
                continue;
            };
            if best
                .as_ref()
                .is_none_or(|(known, _)| victims.len() < known.len())
            {
                best = Some((victims, node.clone()));
            }
        }
        let Some((victims, node)) = best else { return };
        for (victim, run) in victims {
            self.stop(victim, run, &node, Reason::Preempted, actions);
        }
    }

    /// Returns which less urgent tasks must go from a worker to make room;
    /// those that are being stopped already count as room.
    fn victims(&self, worker: &Worker, need: Room, priority: u8) -> Option<Vec<(Task, Run)>> {
        let mut free = worker.free();
        let mut victims = Vec::new();
        let mut candidates: Vec<_> = worker
            .reservations
            .iter()
            .filter(|(_, reservation)| {
                reservation.priority > priority && reservation.service.is_none()
            })
            .collect();
        candidates.sort_by_key(|(_, reservation)| std::cmp::Reverse(reservation.room.memory));
        for ((task, run), reservation) in candidates {
            if free.fits(&need) {
                break;
            }
            let entry = self
                .registry
                .get(task.job)
                .and_then(|entry| entry.task(*task));
            let stopping = entry.is_some_and(|entry| {
                entry
                    .executions
                    .iter()
                    .any(|execution| execution.run == *run && execution.stopping)
            });
            free += reservation.room;
            if !stopping {
                victims.push((*task, *run));
            }
        }
        free.fits(&need).then_some(victims)
    }
}
