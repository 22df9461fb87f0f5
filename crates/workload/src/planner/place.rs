//! Selection of workers for tasks, and preemption.

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

/// The fraction of its cores that a best-effort task must find idle to be
/// placed. With less it would mostly hold memory and disturb others.
const MIN_CORE_FRACTION: f64 = 0.5;
/// How long a best-effort task waits for a good worker while nothing of its job
/// runs. The platform's rules allow 3 s.
const GOOD_PLACE_WAIT: Millis = Millis(1500);
/// The used fraction of a pool above which best-effort tasks keep waiting for
/// good workers. The platform's rules require progress while half of the pool
/// is free.
const BUSY_FRACTION: f64 = 0.6;
/// The fraction of a best-effort task that the services on a worker must
/// tolerate.
const MIN_TOLERANCE: f64 = 0.6;
/// Higher tolerance does not improve the score; workers without services reach
/// this limit.
const MAX_TOLERANCE: f64 = 4.0;
/// The score of the rack that holds the data or the other tasks of the step,
/// relative to free cores: tasks take half as long again on other racks.
const RACK_SCORE: f64 = 10.0;
/// The score of a worker that already runs services, which keeps workers
/// without services for best-effort tasks.
const SERVICE_WORKER_SCORE: f64 = 1.0;

/// The requirements that no worker met in the current placement pass.
#[derive(Default)]
struct Unplaceable {
    rejections: Vec<Rejection>,
}

/// Requirements that no worker met; a task that requires at least as much is
/// not searched for again.
struct Rejection {
    pool: Arc<str>,
    image: Option<Arc<str>>,
    room: Room,
    any_place: bool,
}

/// What a task requires of its worker.
struct Requirements<'a> {
    step: &'a Step,
    pool: &'a str,
    /// The number of tasks of the same step on each worker.
    siblings: BTreeMap<Node, usize>,
    /// The preferred rack: that of the step's other tasks if they should share
    /// one, otherwise that of the data.
    rack: Option<Arc<str>>,
    avoid: Option<Node>,
    /// Whether any worker with enough resources is accepted: nothing of the job
    /// runs, it has waited for [`GOOD_PLACE_WAIT`] and much of the pool is
    /// free.
    any_place: bool,
}

impl Planner {
    /// Runs a placement pass over the ready steps, most urgent first.
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

    /// Returns whether a task requires at least as much as one that found no
    /// worker in this pass.
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
        // A failed search with further constraints says nothing about other
        // tasks.
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

    /// Places all members of a gang or none.
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
        // All members start with the same run number, so all earlier runs must
        // have ended.
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

    /// Returns the feasible worker with the highest score for a task. The
    /// worker to avoid is only used if there is no other.
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

    /// Returns the score of a worker for a task, or `None` if it is not
    /// feasible.
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
            // Services are packed, so that workers without services remain for
            // best-effort tasks.
            score -= left;
        } else {
            score += left;
        }
        if worker.services().next().is_some() {
            score += SERVICE_WORKER_SCORE;
        }
        Some(score)
    }

    /// Returns whether a worker may run a task, regardless of its free
    /// resources.
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

    /// Preempts less urgent tasks on the worker where the fewest must be
    /// stopped to fit a task of `rank`. Tasks that are already being stopped
    /// count as free, so nothing more is stopped while they end.
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

    /// Returns the less urgent tasks that must be stopped on a worker to free
    /// `need`, or `None` if that is not enough. Tasks that are already being
    /// stopped count as free and are not returned.
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
