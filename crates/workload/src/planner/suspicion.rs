//! Finds tasks that crash the workers that start them.
//!
//! A crash makes suspects of all runs that had begun shortly before. A suspect
//! is placed on a worker without another one, so that the next crash tells which
//! task it was, and is given up after crashes enough that chance is unlikely.
//! A run that outlasts its trial clears its task.

use {
    super::{registry::TaskEntry, Action, Decision, Planner, Rank},
    crate::{
        id::{Node, Run, Task},
        message::{Crash, Loss},
        record::State,
    },
    filbertbend_state::{time::Instant, unit::Millis},
};

/// How long a run must last to show that it does not crash its worker.
const TRIAL: Millis = Millis(1000);
/// How long a suspect waits for a worker without another one. The platform's
/// rules allow 3 s.
const ISOLATION_WAIT: Millis = Millis(2000);
/// How long a run that had just begun may have lasted.
const JUST_BEGUN: Millis = Millis(150);
/// The blame of a run that had just begun.
const FULL_BLAME: u32 = 6;
/// The blame of a run that had lasted for longer, which makes chance more
/// likely, and of a suspect that may not have been there. Five crashes reach the
/// limit all the same.
const REDUCED_BLAME: u32 = 4;
/// The blame of a run that may not have been there, or beside a suspect, which
/// is the more likely cause. It makes a suspect of a task that is there twice.
const BYSTANDER_BLAME: u32 = 3;
/// The blame that fails the job: that of three crashes.
const BLAME_LIMIT: u32 = 3 * FULL_BLAME;

impl TaskEntry {
    fn is_suspect(&self) -> bool {
        self.blame >= FULL_BLAME
    }

    /// Returns until when a run that starts at `now` is on trial, if the task is
    /// a suspect.
    pub(super) fn suspect_until(&self, now: Instant) -> Option<Instant> {
        self.is_suspect().then_some(now + TRIAL)
    }

    /// Returns whether the task must not be placed beside another suspect.
    pub(super) fn is_isolated(&self, now: Instant) -> bool {
        let since = self.ready_since.unwrap_or(now);
        self.is_suspect() && now < since + ISOLATION_WAIT
    }
}

impl Planner {
    fn is_suspect(&self, task: Task) -> bool {
        let entry = self.registry.get(task.job);
        entry
            .and_then(|entry| entry.task(task))
            .is_some_and(TaskEntry::is_suspect)
    }

    /// Returns the first of [`Planner::suspects_last`].
    pub(super) fn first_startable(&self, rank: Rank) -> Option<Task> {
        self.startable(rank)
            .find(|task| !self.is_suspect(*task))
            .or_else(|| self.startable(rank).next())
    }

    /// Lists the startable tasks of a step. Those that may have to wait for a
    /// worker without suspects come last, so that the others need not.
    pub(super) fn suspects_last(&self, rank: Rank) -> Vec<Task> {
        let (mut tasks, suspects): (Vec<Task>, Vec<Task>) = self
            .startable(rank)
            .partition(|task| !self.is_suspect(*task));
        tasks.extend(suspects);
        tasks
    }

    /// Blames the runs that a crash interrupted, and fails the jobs of those that
    /// have been blamed too often.
    pub(super) fn blame(&mut self, node: &Node, crash: &Crash, actions: &mut Vec<Action>) {
        let (tried, recent): (Vec<&Loss>, Vec<&Loss>) =
            crash.losses.iter().partition(|loss| loss.lasted >= TRIAL);
        for loss in tried.into_iter().filter(|loss| loss.certain) {
            self.clear(loss.task, loss.run);
        }
        let suspected = recent.iter().any(|loss| {
            self.registry
                .task_mut(loss.task)
                .is_some_and(|entry| entry.is_suspect() && entry.blamed_run < loss.run)
        });
        for loss in recent {
            let blame = if !self.is_suspect(loss.task) && (suspected || !loss.certain) {
                BYSTANDER_BLAME
            } else if loss.certain && loss.lasted < JUST_BEGUN {
                FULL_BLAME
            } else {
                REDUCED_BLAME
            };
            self.blame_run(node, loss, blame, actions);
        }
    }

    fn blame_run(&mut self, node: &Node, loss: &Loss, blame: u32, actions: &mut Vec<Action>) {
        let (task, run) = (loss.task, loss.run);
        let Some(entry) = self.registry.get_mut(task.job) else {
            return;
        };
        if entry.state.is_final() {
            return;
        }
        let Some(found) = entry.task_mut(task) else {
            return;
        };
        if found.done || run <= found.blamed_run {
            return;
        }
        found.blame += blame;
        found.blamed_run = run;
        let blame = found.blame;
        entry.version += 1;
        self.persist.mark_dirty(self.now, task.job, false);
        actions.push(Action::Decided(Decision::Blamed {
            task,
            run,
            node: node.clone(),
            lasted: loss.lasted,
            blame,
        }));
        if blame >= BLAME_LIMIT {
            actions.push(Action::Decided(Decision::GivenUp {
                task,
                run,
                node: node.clone(),
            }));
            self.end_job(task.job, State::Failed, actions);
        }
    }

    /// Clears the task of a run that has ended after its trial.
    pub(super) fn clear_after_trial(&mut self, task: Task, run: Run) {
        let now = self.now;
        let outlasted = self
            .registry
            .execution_mut(task, run)
            .is_some_and(|execution| execution.started && now >= execution.since + TRIAL);
        if outlasted {
            self.clear(task, run);
        }
    }

    fn clear(&mut self, task: Task, run: Run) {
        let Some(entry) = self.registry.get_mut(task.job) else {
            return;
        };
        let blamed = |found: &&mut TaskEntry| found.blame > 0 && run > found.blamed_run;
        if let Some(found) = entry.task_mut(task).filter(blamed) {
            found.blame = 0;
            entry.version += 1;
            self.persist.mark_dirty(self.now, task.job, false);
        }
    }
}
