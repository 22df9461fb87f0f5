//! Selection of workers for tasks, and preemption.

use {
    super::{
        hold::Hold,
        pass::{Offer, Pass},
        policy,
        registry::Execution,
        worker::{has_label, Worker},
        Action, Decision, Planner, Rank,
    },
    crate::{
        id::{Node, Run, Task},
        job::Step,
        message::{Role, Start},
    },
    filbertbend_state::unit::Millis,
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
/// The services on a worker must tolerate this many times the best-effort task
/// that is placed there. Their load rises by half within the seconds that a task
/// takes, and a task that is then throttled makes its whole job late.
const MIN_TOLERANCE: f64 = 4.0;
/// Higher tolerance does not improve the score; workers without services reach
/// this limit.
const MAX_TOLERANCE: f64 = 8.0;
/// The score of the rack that holds the data or the other tasks of the step,
/// relative to free cores: tasks take half as long again on other racks.
const RACK_SCORE: f64 = 10.0;
/// The score of a worker that already runs services, which keeps workers
/// without services for best-effort tasks.
const SERVICE_WORKER_SCORE: f64 = 1.0;

/// What a task requires of its worker.
pub(super) struct Requirements<'a> {
    pub(super) rank: Rank,
    pub(super) step: &'a Step,
    pub(super) pool: &'a Arc<str>,
    /// The number of tasks of the same step on each worker, if the step
    /// constrains it.
    siblings: BTreeMap<&'a Node, usize>,
    /// The preferred rack: that of the step's other tasks if they should share
    /// one, otherwise that of the data.
    rack: Option<Arc<str>>,
    pub(super) avoid: Option<&'a Node>,
    /// The worker that is taken if it is suitable, because it may carry a former start
    /// of the task out once it has restarted. A run there has ended by then.
    preferred: Option<&'a Node>,
    /// How long the task has been startable.
    pub(super) waited: Millis,
    /// Whether any worker with enough resources is accepted: nothing of the job
    /// runs, it has waited for [`GOOD_PLACE_WAIT`] and much of the pool is
    /// free.
    pub(super) any_place: bool,
    /// Whether the task is a suspect that still waits for a worker without
    /// another.
    pub(super) isolated: bool,
}

impl<'a> Requirements<'a> {
    /// Returns the number of tasks of the same step on a worker, if the step
    /// constrains it.
    pub(super) fn siblings_on(&self, node: &Node) -> usize {
        self.siblings.get(node).copied().unwrap_or(0)
    }

    /// Counts tasks of the step that are about to be started, if it constrains their
    /// number on a worker.
    fn add_siblings(&mut self, nodes: impl Iterator<Item = &'a Node>) {
        if self.step.placement.most_per_worker.is_some() {
            for node in nodes {
                *self.siblings.entry(node).or_insert(0) += 1;
            }
        }
    }

    /// Returns whether the requirements differ between the tasks of a step, or
    /// depend on where the others run.
    pub(super) fn is_individual(&self) -> bool {
        let placement = &self.step.placement;
        self.any_place
            || self.isolated
            || self.avoid.is_some()
            || self.preferred.is_some()
            || placement.same_rack
            || placement.most_per_worker.is_some()
    }
}

impl Planner {
    /// Runs a placement pass over the ready steps, most urgent first.
    pub(super) fn place(&mut self, actions: &mut Vec<Action>) {
        let outlooks = self.outlooks();
        let ranks = self.placement_order(&outlooks);
        self.fleet.update_headroom(&self.model);
        let holds = self.review_holds();
        let mut pass = Pass::new(self.now, std::mem::take(&mut self.rejections), holds);
        for rank in ranks {
            let Some(entry) = self.registry.get(rank.job) else {
                self.ready.remove(&rank);
                continue;
            };
            let gang = entry.step(rank.step).is_some_and(|step| step.mode.gang);
            if gang {
                self.place_gang(rank, &mut pass, actions);
            } else {
                self.place_step(rank, &mut pass, actions);
            }
        }
        self.rejections = pass.into_rejections();
        self.report_deferred(&outlooks, actions);
    }

    /// Lists the tasks of a step that may be started with the claim of `rank`.
    pub(super) fn startable(&self, rank: Rank) -> impl Iterator<Item = Task> + '_ {
        self.registry
            .get(rank.job)
            .and_then(|entry| {
                let occurrence = entry.occurrences.get(&rank.occurrence)?;
                let state = occurrence.steps.get(usize::from(rank.step))?;
                Some((state, entry.step(rank.step)?))
            })
            .into_iter()
            .flat_map(move |(state, step)| state.startable(step, rank.claim))
            .map(move |(index, _)| Task {
                job: rank.job,
                occurrence: rank.occurrence,
                step: rank.step,
                index: index as u16,
            })
    }

    fn place_step(&mut self, rank: Rank, pass: &mut Pass, actions: &mut Vec<Action>) {
        let Some(first) = self.first_startable(rank) else {
            self.ready.remove(&rank);
            return;
        };
        let Some(requirements) = self.requirements(first, pass) else {
            return;
        };
        if pass.is_rejected(&requirements) {
            self.hold(rank, pass);
            return;
        }
        let found = self.search(&requirements, pass);
        if found.is_none() {
            pass.reject(&requirements);
        }
        let Some(node) = found.or_else(|| self.preempt(rank, pass, actions)) else {
            self.hold(rank, pass);
            return;
        };
        let mut tasks = self.suspects_last(rank);
        tasks.retain(|task| *task != first);
        self.start(first, &node, None, pass, actions);
        let mut ranking = None;
        for task in tasks {
            let Some(requirements) = self.requirements(task, pass) else {
                return;
            };
            let Some(node) = self.search_next(&requirements, &mut ranking, pass) else {
                pass.reject(&requirements);
                self.hold(rank, pass);
                return;
            };
            self.start(task, &node, None, pass, actions);
            if let (Some(ranking), Some(requirements)) =
                (&mut ranking, self.requirements(task, pass))
            {
                self.rank(&requirements, &node, ranking);
            }
        }
        self.ready.remove(&rank);
    }

    /// Returns the score of a worker for a task, see [`Planner::score`].
    pub(super) fn examine(&self, requirements: &Requirements<'_>, node: &Node) -> Option<f64> {
        self.count_examined(1);
        self.score(requirements, node, self.fleet.get(node)?)
    }

    /// Places all members of a gang or none.
    fn place_gang(&mut self, rank: Rank, pass: &mut Pass, actions: &mut Vec<Action>) {
        let tasks: Vec<Task> = self.startable(rank).collect();
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
            self.drop_kept(rank, pass);
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
            let found = self.requirements(*task, pass).and_then(|mut requirements| {
                requirements.add_siblings(chosen.iter().map(|(_, node)| node));
                self.search(&requirements, pass)
            });
            let Some(node) = found else {
                break;
            };
            if let Some(reservation) = self.reservation(*task) {
                self.fleet.adopt(&node, *task, run, reservation);
                if let Some(worker) = self.fleet.get_mut(&node) {
                    worker.update_headroom(&self.model);
                }
                pass.reserved();
            }
            chosen.push((*task, node));
        }
        for (task, node) in &chosen {
            self.fleet.release(node, *task, run);
        }
        if !chosen.is_empty() {
            // The bounds may rest on the tentative reservations.
            pass.released();
        }
        self.fleet.update_headroom(&self.model);
        if chosen.len() < tasks.len() {
            self.preempt_for_gang(rank, &tasks, pass, actions);
            self.hold(rank, pass);
            return;
        }
        for (task, node) in chosen {
            self.start(task, &node, Some(run), pass, actions);
        }
        self.ready.remove(&rank);
    }

    pub(super) fn requirements(&self, task: Task, pass: &mut Pass) -> Option<Requirements<'_>> {
        let entry = self.registry.get(task.job)?;
        let step = entry.step(task.step)?;
        let pool = match self.catalog.queues.get(&entry.job.queue) {
            Some(queue) => &queue.pool,
            None => &entry.job.policy.pool,
        };
        let occurrence = entry.occurrences.get(&task.occurrence)?;
        let state = occurrence.steps.get(usize::from(task.step))?;
        let tasks = &state.tasks;
        let found = tasks.get(usize::from(task.index))?;
        let mut siblings = BTreeMap::new();
        if step.placement.most_per_worker.is_some() || step.placement.same_rack {
            for execution in tasks.iter().flat_map(|task| &task.executions) {
                *siblings.entry(&execution.node).or_insert(0) += 1;
            }
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
        let waited = self.now.since(found.ready_since.unwrap_or(self.now));
        let any_place = waited >= GOOD_PLACE_WAIT
            && entry.is_idle()
            && pass.used_fraction(pool, || self.used_fraction(pool)) < BUSY_FRACTION;
        let rank = Rank {
            priority: policy(&self.catalog, &entry.job).priority,
            claim: state.claim(step, found),
            accepted: entry.job.accepted,
            job: task.job,
            occurrence: task.occurrence,
            step: task.step,
        };
        Some(Requirements {
            rank,
            step,
            pool,
            siblings,
            rack,
            avoid: found.avoid.as_ref(),
            preferred: found.late_start(self.now),
            waited,
            any_place,
            isolated: found.is_isolated(self.now),
        })
    }

    fn used_fraction(&self, pool: &str) -> f64 {
        self.count_examined(self.fleet.len());
        self.fleet.used_fraction(pool)
    }

    pub(super) fn count_examined(&self, workers: usize) {
        self.examined.set(self.examined.get() + workers as u64);
    }

    /// Returns the feasible worker with the highest score for a task.
    pub(super) fn select_worker(&self, task: Task) -> Option<Node> {
        let mut pass = Pass::default();
        let requirements = self.requirements(task, &mut pass)?;
        self.search(&requirements, &mut pass)
    }

    /// Returns the feasible worker with the highest score. The worker to avoid
    /// is only used if there is no other.
    pub(super) fn search(&self, requirements: &Requirements<'_>, pass: &mut Pass) -> Option<Node> {
        let preferred = requirements.preferred;
        if preferred.is_some_and(|node| self.examine(requirements, node).is_some()) {
            return preferred.cloned();
        }
        let step = requirements.step;
        let need = step.reserved();
        let is_acceptable = |offer: &Offer| {
            let has_cores = !step.mode.best_effort
                || requirements.any_place
                || has_idle_cores(step, offer.idle_cores);
            has_cores && offer.room.fits(&need)
        };
        if pass.is_excluded(requirements, None, is_acceptable) {
            return None;
        }
        self.searches.set(self.searches.get() + 1);
        let best = |avoided: Option<&Node>| {
            self.fleet
                .iter()
                .inspect(|_| self.count_examined(1))
                .filter(|(node, _)| avoided != Some(*node))
                .filter_map(|(node, worker)| Some((self.score(requirements, node, worker)?, node)))
                .max_by(|(left, _), (right, _)| left.total_cmp(right))
                .map(|(_, node)| node.clone())
        };
        let mut found = best(requirements.avoid);
        if found.is_none() && requirements.avoid.is_some() {
            found = best(None);
        }
        if found.is_none() {
            self.bound(requirements, None, pass, |worker| Offer {
                room: worker.free(),
                idle_cores: worker.idle_cores(),
            });
        }
        found
    }

    /// Records what the workers with the required pool and label offer, after
    /// none of them was suitable.
    pub(super) fn bound(
        &self,
        requirements: &Requirements<'_>,
        preempting: Option<u8>,
        pass: &mut Pass,
        offer: impl Fn(&Worker) -> Offer,
    ) {
        if pass.needs_bound(requirements, preempting) {
            let offers = self
                .fleet
                .iter()
                .inspect(|_| self.count_examined(1))
                .filter(|(_, worker)| self.is_eligible(requirements, worker))
                .map(|(_, worker)| offer(worker));
            pass.bound(requirements, preempting, offers);
        }
    }

    /// Returns the score of a worker for a task, or `None` if it is not
    /// feasible.
    fn score(&self, requirements: &Requirements<'_>, node: &Node, worker: &Worker) -> Option<f64> {
        let profile = worker.profile.as_ref()?;
        let free = worker.free();
        if !worker.fits(requirements.step.reserved())
            || !self.is_feasible(requirements, node, worker)
        {
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
            let has_cores = has_idle_cores(requirements.step, left);
            if !has_cores && !requirements.any_place {
                return None;
            }
            let image = requirements.step.image.clone().unwrap_or_default();
            let tolerance = worker.tolerance(&self.model, &image, requirements.step.room.cores);
            if tolerance < MIN_TOLERANCE && !requirements.any_place {
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
    pub(super) fn is_feasible(
        &self,
        requirements: &Requirements<'_>,
        node: &Node,
        worker: &Worker,
    ) -> bool {
        let siblings = requirements.siblings_on(node);
        let below_limit = requirements
            .step
            .placement
            .most_per_worker
            .is_none_or(|most| siblings < usize::from(most));
        let need = requirements.step.reserved();
        let is_kept = |hold: &Hold| hold.excludes(worker, requirements.rank, need);
        let healthy = !worker.is_on_probation(self.now) || worker.reservations.is_empty();
        let separate = !requirements.isolated || !worker.has_suspect(self.now);
        below_limit
            && healthy
            && !worker.refuses(self.now, &need)
            && separate
            && !worker.hold.as_ref().is_some_and(is_kept)
            && self.is_eligible(requirements, worker)
    }

    /// Returns whether a worker may run tasks of this kind. This does not
    /// change within a placement pass.
    fn is_eligible(&self, requirements: &Requirements<'_>, worker: &Worker) -> bool {
        let Some(profile) = &worker.profile else {
            return false;
        };
        let label = requirements.step.placement.label.as_ref();
        self.is_available(worker)
            && profile.pool == *requirements.pool
            && label.is_none_or(|label| has_label(profile, label))
    }

    fn start(
        &mut self,
        task: Task,
        node: &Node,
        run: Option<Run>,
        pass: &mut Pass,
        actions: &mut Vec<Action>,
    ) {
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
            accepted: None,
            resumed: found.checkpoint.is_some(),
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
        pass.reserved();
        self.use_hold(task, node, pass);
        if let Some(worker) = self.fleet.get_mut(node) {
            worker.update_headroom(&self.model);
        }
        self.persist.mark_dirty(now, task.job, true);
    }
}

/// Returns whether a best-effort task finds enough idle cores to be worth
/// placing.
fn has_idle_cores(step: &Step, idle: f64) -> bool {
    idle >= step.room.cores.0.max(1) as f64 * MIN_CORE_FRACTION
}
