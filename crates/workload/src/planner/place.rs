//! Which worker takes a task.

use {
    super::{
        fleet::{has_label, Worker},
        ledger::Copy,
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
const FILLER_PART: f64 = 0.5;
/// How long a filler waits for a good place while nothing of its job runs. The
/// platform's rules allow 3 s.
const PATIENCE: Millis = Millis(1500);
/// The part of a pool's room in use above which fillers keep waiting for good
/// places. The platform's rules ask for work as long as half is free.
const CROWDED_PART: f64 = 0.6;
/// The part of a filler that the services beside it must leave room for.
const TOLERANCE_PART: f64 = 0.6;
/// Tolerance above this is worth no more; a worker without services has it.
const TOLERANCE_LIMIT: f64 = 4.0;
/// What the rack of the data, or of the other tasks, is worth against free
/// room: work takes half as long again elsewhere.
const RACK_WORTH: f64 = 10.0;
/// What it is worth to leave a worker without services to fillers.
const UNDISTURBED_WORTH: f64 = 1.0;

/// What found no worker in one look for places.
#[derive(Default)]
struct Unmet {
    asks: Vec<Refused>,
}

/// An ask that found no worker; one that asks for as much finds none either.
struct Refused {
    pool: Arc<str>,
    image: Option<Arc<str>>,
    room: Room,
    urgent: bool,
}

/// What a task asks of a worker.
struct Ask<'a> {
    step: &'a Step,
    pool: &'a str,
    /// How many tasks of the step run on each worker.
    mates: BTreeMap<Node, usize>,
    /// The rack of the step's other tasks, where they should be together.
    rack: Option<Arc<str>>,
    avoid: Option<Node>,
    /// Whether nothing of the job runs and it has waited for long while much of
    /// the pool is free, so that a bad place is better than none.
    urgent: bool,
}

impl Planner {
    /// Places what can be placed, most urgent first.
    pub(super) fn place(&mut self, actions: &mut Vec<Action>) {
        let ranks: Vec<Rank> = self.ready.iter().copied().collect();
        self.fleet.survey(&self.model);
        let mut unmet = Unmet::default();
        for rank in ranks {
            let Some(entry) = self.ledger.get(rank.job) else {
                self.ready.remove(&rank);
                continue;
            };
            let gang = entry.step(rank.step).is_some_and(|step| step.style.gang);
            if gang {
                self.place_gang(rank, actions);
            } else {
                self.place_step(rank, &mut unmet, actions);
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
        self.ledger
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

    fn place_step(&mut self, rank: Rank, unmet: &mut Unmet, actions: &mut Vec<Action>) {
        let tasks = self.startable(rank);
        let total = tasks.len();
        let mut placed = 0;
        if tasks
            .first()
            .is_some_and(|task| self.is_unmet(*task, unmet))
        {
            return;
        }
        for task in tasks {
            let Some(node) = self.choose(task) else {
                self.note_unmet(task, unmet);
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
    fn is_unmet(&self, task: Task, unmet: &Unmet) -> bool {
        self.ask(task).is_some_and(|ask| {
            unmet.asks.iter().any(|refused| {
                let room = &refused.room;
                (refused.urgent || !ask.urgent)
                    && *refused.pool == *ask.pool
                    && refused.image == ask.step.image
                    && ask.step.room.cores >= room.cores
                    && ask.step.room.memory >= room.memory
                    && ask.step.room.accelerators >= room.accelerators
            })
        })
    }

    fn note_unmet(&self, task: Task, unmet: &mut Unmet) {
        let Some(ask) = self.ask(task) else { return };
        // What is asked for with further conditions says nothing about others.
        let place = &ask.step.place;
        if ask.avoid.is_none() && place.label.is_none() && place.most_per_worker.is_none() {
            let refused = Refused {
                pool: ask.pool.into(),
                image: ask.step.image.clone(),
                room: ask.step.room,
                urgent: ask.urgent,
            };
            unmet.asks.push(refused);
        }
    }

    /// Places all members of a gang, or none.
    fn place_gang(&mut self, rank: Rank, actions: &mut Vec<Action>) {
        let tasks = self.startable(rank);
        let Some(entry) = self.ledger.get(rank.job) else {
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
            let Some(node) = self.choose(*task) else {
                break;
            };
            if let Some(reservation) = self.reservation(*task) {
                self.fleet.adopt(&node, *task, run, reservation);
                if let Some(worker) = self.fleet.get_mut(&node) {
                    worker.survey(&self.model);
                }
            }
            chosen.push((*task, node));
        }
        for (task, node) in &chosen {
            self.fleet.release(node, *task, run);
        }
        self.fleet.survey(&self.model);
        if chosen.len() < tasks.len() {
            self.preempt(rank, actions);
            return;
        }
        for (task, node) in chosen {
            self.start(task, &node, Some(run), actions);
        }
        self.ready.remove(&rank);
    }

    fn ask(&self, task: Task) -> Option<Ask<'_>> {
        let entry = self.ledger.get(task.job)?;
        let step = entry.step(task.step)?;
        let pool = match self.catalog.queues.get(&entry.job.queue) {
            Some(queue) => &queue.pool,
            None => &entry.job.terms.pool,
        };
        let tasks = entry.occurrences.get(&task.occurrence)?;
        let tasks = &tasks.steps.get(usize::from(task.step))?.tasks;
        let mut mates = BTreeMap::new();
        for copy in tasks.iter().flat_map(|task| &task.copies) {
            *mates.entry(copy.node.clone()).or_insert(0) += 1;
        }
        let rack = if step.place.same_rack {
            mates.keys().next().and_then(|node| {
                self.fleet
                    .get(node)?
                    .profile
                    .as_ref()?
                    .labels
                    .get(1)
                    .cloned()
            })
        } else {
            step.place.data_rack.clone()
        };
        let since = entry.task(task)?.ready_since.unwrap_or(self.now);
        let urgent = self.now >= since + PATIENCE
            && entry.is_idle()
            && self.fleet.used_part(pool) < CROWDED_PART;
        Some(Ask {
            step,
            pool,
            mates,
            rack,
            avoid: entry.task(task)?.avoid.clone(),
            urgent,
        })
    }

    /// Returns the best worker for a task, if any has room.
    pub(super) fn choose(&self, task: Task) -> Option<Node> {
        let ask = self.ask(task)?;
        self.searches.set(self.searches.get() + 1);
        let best = |avoiding: bool| {
            self.fleet
                .iter()
                .filter(|(node, _)| !avoiding || ask.avoid.as_ref() != Some(node))
                .filter_map(|(node, worker)| Some((self.rate(&ask, node, worker)?, node)))
                .max_by(|(left, _), (right, _)| left.total_cmp(right))
                .map(|(_, node)| node.clone())
        };
        best(true).or_else(|| best(false))
    }

    /// Tells how good a worker is for a task, or `None` if it cannot take it.
    fn rate(&self, ask: &Ask<'_>, node: &Node, worker: &Worker) -> Option<f64> {
        if !self.accepts(ask, node, worker) {
            return None;
        }
        let profile = worker.profile.as_ref()?;
        let free = worker.free();
        if !free.fits(&ask.step.reserved()) {
            return None;
        }
        let whole = profile.room.cores.0.max(1) as f64;
        let on_rack = ask
            .rack
            .as_ref()
            .is_some_and(|rack| profile.labels.contains(rack));
        let mut rating = if on_rack { RACK_WORTH } else { 0.0 };
        if ask.step.style.filler {
            let left = worker.idle_cores();
            let need = ask.step.room.cores.0.max(1) as f64;
            let image = ask.step.image.clone().unwrap_or_default();
            let tolerance = worker.tolerance(&self.model, &image, ask.step.room.cores);
            let is_good = left >= need * FILLER_PART && tolerance >= TOLERANCE_PART;
            if !is_good && !ask.urgent {
                return None;
            }
            return Some(rating + left / whole + tolerance.min(TOLERANCE_LIMIT));
        }
        let left = (free.cores - ask.step.room.cores).0 as f64 / whole;
        if ask.step.style.lasting {
            // Services are kept together, so that fillers find workers where
            // they disturb nobody.
            rating -= left;
        } else {
            rating += left;
        }
        if worker.services().next().is_some() {
            rating += UNDISTURBED_WORTH;
        }
        Some(rating)
    }

    /// Tells whether a worker may run a task, whatever room it has.
    fn accepts(&self, ask: &Ask<'_>, node: &Node, worker: &Worker) -> bool {
        let Some(profile) = &worker.profile else {
            return false;
        };
        let place = &ask.step.place;
        let labelled = place
            .label
            .as_ref()
            .is_none_or(|label| has_label(profile, label));
        let mates = ask.mates.get(node).copied().unwrap_or(0);
        let alone = place
            .most_per_worker
            .is_none_or(|most| mates < usize::from(most));
        let trial = !worker.is_on_probation(self.now) || worker.reservations.is_empty();
        worker.is_usable(self.now, self.settings.silence)
            && *profile.pool == *ask.pool
            && labelled
            && alone
            && trial
    }

    fn start(&mut self, task: Task, node: &Node, run: Option<Run>, actions: &mut Vec<Action>) {
        let Some(reservation) = self.reservation(task) else {
            return;
        };
        let now = self.now;
        let last = self
            .ledger
            .get(task.job)
            .and_then(|entry| entry.task(task))
            .map_or(Run(0), |entry| entry.run);
        let run = run.unwrap_or_else(|| self.next_run(last));
        let Some(entry) = self.ledger.get_mut(task.job) else {
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
        found.copies.push(Copy {
            node: node.clone(),
            run,
            since: now,
            started: false,
            stopping: false,
        });
        let saved = found.saved.clone();
        let ready_since = found.ready_since;
        entry.version += 1;
        let version = entry.version;
        let waited = now.since(ready_since.unwrap_or(now));
        actions.push(Action::Decided(Decision::Placed {
            task,
            run,
            node: node.clone(),
            waited,
            resumed: saved.is_some(),
        }));
        let start = Start {
            task,
            run,
            spec,
            saved,
            role,
        };
        self.fleet.start(node, start, version, reservation);
        if let Some(worker) = self.fleet.get_mut(node) {
            worker.survey(&self.model);
        }
        self.persist.touch(now, task.job, true);
    }

    /// Stops less urgent tasks on one worker so that a task of `rank` fits, if
    /// there is such a worker and nothing is being stopped for it already.
    fn preempt(&mut self, rank: Rank, actions: &mut Vec<Action>) {
        let Some(task) = self.startable(rank).first().copied() else {
            return;
        };
        let Some(ask) = self.ask(task) else { return };
        if ask.step.style.filler {
            return;
        }
        let need = ask.step.reserved();
        let mut best: Option<(Vec<(Task, Run)>, Node)> = None;
        for (node, worker) in self.fleet.iter() {
            if !self.accepts(&ask, node, worker) {
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
                .ledger
                .get(task.job)
                .and_then(|entry| entry.task(*task));
            let stopping = entry.is_some_and(|entry| {
                entry
                    .copies
                    .iter()
                    .any(|copy| copy.run == *run && copy.stopping)
            });
            free += reservation.room;
            if !stopping {
                victims.push((*task, *run));
            }
        }
        free.fits(&need).then_some(victims)
    }
}
