//! The order in which waiting steps are placed when there is too little room.
//!
//! Everything is derived from the jobs and their progress in each pass, so a new
//! leader arrives at the same order.

use {
    super::{decision::Waiting, registry::StepEntry, Action, Decision, Planner, Rank},
    crate::{
        catalog::Queue,
        id::Job,
        job::Step,
        urgency::{self, Outlook, Standing, Urgency, Work},
    },
    filbertbend_state::unit::Millis,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// The most deferred jobs that are logged after one pass; the others follow.
const MAX_REPORTED: usize = 16;

/// An occurrence of a job.
pub(super) type Id = (Job, u32);

/// The jobs with objectives that wait for room.
pub(super) type Outlooks = BTreeMap<Id, Outlook>;

impl Planner {
    /// Lists the ready steps, the most urgent first. Only jobs of the same priority
    /// and claim change places, and only if their queues have objectives.
    pub(super) fn placement_order(&mut self, outlooks: &Outlooks) -> Vec<Rank> {
        let mut ranks: Vec<Rank> = self.ready.iter().copied().collect();
        if outlooks.is_empty() {
            return ranks;
        }
        let holders = self.turn_holders(outlooks);
        ranks.sort_by_cached_key(|rank| {
            let id = (rank.job, rank.occurrence);
            let mut urgency = outlooks
                .get(&id)
                .map_or(Urgency::default(), |outlook| outlook.urgency());
            if holders.contains(&id) {
                urgency = Urgency::Turn;
            }
            (rank.priority, rank.claim, urgency, *rank)
        });
        ranks
    }

    /// Returns the outlooks of the jobs that wait for room, without those that have
    /// no objective and services.
    pub(super) fn outlooks(&self) -> Outlooks {
        let mut outlooks = Outlooks::new();
        let has_objective = |queue: &Queue| queue.objective.is_some();
        if !self.catalog.queues.values().any(has_objective) {
            return outlooks;
        }
        let mut examined = BTreeSet::new();
        for rank in &self.ready {
            let id = (rank.job, rank.occurrence);
            if examined.insert(id) {
                outlooks.extend(self.outlook(*rank).map(|outlook| (id, outlook)));
            }
        }
        outlooks
    }

    fn outlook(&self, rank: Rank) -> Option<Outlook> {
        let entry = self.registry.get(rank.job)?;
        let job = &entry.job;
        let objective = self.catalog.queues.get(&job.queue)?.objective?;
        if job.steps.iter().any(|step| step.mode.long_running) {
            return None;
        }
        let steps = &entry.occurrences.get(&rank.occurrence)?.steps;
        let due = match job.schedule {
            Some(schedule) => schedule.due(rank.occurrence),
            None => job.accepted,
        };
        self.estimates
            .set(self.estimates.get() + job.steps.len() as u64);
        let pairs = || job.steps.iter().zip(steps);
        let expected: Vec<Millis> = pairs()
            .map(|(step, state)| {
                let siblings = &state.run_times;
                self.run_times.expected_beside(&job.queue, step, siblings)
            })
            .collect();
        let expected_of = |index: usize| expected.get(index).copied().unwrap_or_default();
        let whole = urgency::longest_chain(job, |index, _| expected_of(index));
        let chain = urgency::longest_chain(job, |index, step| {
            let state = steps.get(index);
            state.map_or(Millis::ZERO, |state| {
                self.left(&job.queue, step, state, expected_of(index))
            })
        });
        let work = pairs()
            .zip(&expected)
            .fold(Work::default(), |work, ((step, state), time)| {
                work.with(Work::of(state.remaining, step.room.cores, *time))
            });
        let begun = pairs().any(|(step, state)| {
            state.remaining < usize::from(step.tasks)
                || state.tasks.iter().any(|task| !task.executions.is_empty())
        });
        Some(Outlook {
            age: Millis(self.wall.0.saturating_sub(due.0)),
            objective: objective.age(whole),
            chain,
            work,
            begun,
        })
    }

    /// Returns how long the tasks of a step are expected to go on, if all could run at
    /// once. Of those that run, only the last and the first one started are looked
    /// at: one has the most left as long as run times are as expected, the other if
    /// it takes far longer.
    fn left(&self, queue: &str, step: &Step, state: &StepEntry, expected: Millis) -> Millis {
        let unfinished = || state.tasks.iter().filter(|task| !task.done);
        let elapsed = || {
            let executions = unfinished().filter_map(|task| task.executions.first());
            executions.map(|execution| self.now.since(execution.began()))
        };
        let running = [elapsed().min(), elapsed().max()];
        let running = running.into_iter().flatten().map(|elapsed| {
            let siblings = &state.run_times;
            self.run_times
                .remaining_beside(queue, step, siblings, elapsed)
        });
        let waiting = unfinished()
            .any(|task| task.executions.is_empty())
            .then_some(expected);
        running.chain(waiting).max().unwrap_or(Millis::ZERO)
    }

    /// Returns the deferred jobs whose turn it is, one for each queue at most.
    fn turn_holders(&mut self, outlooks: &Outlooks) -> Vec<Id> {
        let mut waiting: BTreeMap<Arc<str>, Vec<(Id, Outlook)>> = BTreeMap::new();
        for (id, outlook) in outlooks {
            if let Some(entry) = self.registry.get(id.0) {
                let queue = entry.job.queue.clone();
                waiting.entry(queue).or_default().push((*id, *outlook));
            }
        }
        let now = self.now;
        waiting
            .into_iter()
            .filter_map(|(queue, waiting)| {
                self.turns.entry(queue).or_default().holder(now, waiting)
            })
            .collect()
    }

    /// Counts a job that has ended, for the turns of its queue.
    pub(super) fn count_ended(&mut self, id: Job) {
        if let Some(entry) = self.registry.get(id) {
            let has_objective = self
                .catalog
                .queues
                .get(&entry.job.queue)
                .is_some_and(|queue| queue.objective.is_some());
            if has_objective {
                self.turns
                    .entry(entry.job.queue.clone())
                    .or_default()
                    .job_ended(|holder| holder.0 == id);
            }
        }
    }

    /// Logs the jobs that a pass has left behind others because they cannot be in
    /// time, once for each standing.
    pub(super) fn report_deferred(&mut self, outlooks: &Outlooks, actions: &mut Vec<Action>) {
        let mut reported = 0;
        for rank in &self.ready {
            let id = (rank.job, rank.occurrence);
            let Some(outlook) = outlooks.get(&id) else {
                continue;
            };
            let entry = self.registry.get_mut(rank.job);
            let occurrence = entry.and_then(|entry| entry.occurrences.get_mut(&rank.occurrence));
            let standing = outlook.standing();
            let Some(occurrence) = occurrence.filter(|known| known.standing < standing) else {
                continue;
            };
            occurrence.standing = standing;
            actions.push(Action::Decided(Decision::Deferred {
                job: rank.job,
                occurrence: rank.occurrence,
                priority: rank.priority,
                standing,
                outlook: *outlook,
            }));
            reported += 1;
            if reported == MAX_REPORTED {
                break;
            }
        }
    }

    /// Counts the waiting jobs by standing.
    pub(super) fn waiting_jobs(&self) -> Waiting {
        let mut waiting = Waiting::default();
        for outlook in self.outlooks().values() {
            match outlook.standing() {
                Standing::InTime => waiting.in_time += 1,
                Standing::Late => waiting.late += 1,
                Standing::Overdue => waiting.overdue += 1,
            }
        }
        waiting
    }
}
