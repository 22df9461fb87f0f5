//! Which runs were on the worker when its process ended.

use {
    crate::{
        id::{Incarnation, Run, Task},
        message::{Crash, Loss},
        worker::Running,
    },
    filbertbend_state::time::Instant,
    std::collections::BTreeMap,
};

/// The runs that may be on the worker's present incarnation.
#[derive(Debug, Default)]
pub(super) struct Presence {
    /// When each run was ordered or first listed.
    runs: BTreeMap<(Task, Run), Instant>,
    /// When the worker last answered.
    answered: Instant,
    /// When the first call since then failed.
    silent: Option<Instant>,
}

impl Presence {
    pub(super) fn ordered(&mut self, now: Instant, task: Task, run: Run) {
        self.runs.entry((task, run)).or_insert(now);
    }

    /// Records that a start remained unanswered. One that was sent after the
    /// worker had fallen silent cannot be the cause.
    pub(super) fn start_lost(&mut self, now: Instant, sent: Instant, task: Task, run: Run) {
        if sent > *self.silent.get_or_insert(now) {
            self.runs.remove(&(task, run));
        }
    }

    pub(super) fn answered(&mut self, now: Instant) {
        self.answered = now;
        self.silent = None;
    }

    pub(super) fn unanswered(&mut self, now: Instant) {
        self.silent.get_or_insert(now);
    }

    pub(super) fn ended(&mut self, task: Task, run: Run) {
        self.runs.remove(&(task, run));
    }

    /// Applies a list that was requested at `sent`.
    pub(super) fn listed(&mut self, now: Instant, sent: Instant, running: &[Running]) {
        let listed = |key: &(Task, Run)| running.iter().any(|row| (row.task, row.run) == *key);
        self.runs.retain(|key, since| *since >= sent || listed(key));
        for row in running {
            self.runs.entry((row.task, row.run)).or_insert(now);
        }
    }

    /// Returns what the end of `incarnation` interrupted, and forgets it.
    pub(super) fn take(&mut self, incarnation: Incarnation) -> Option<Crash> {
        let answered = self.answered;
        let losses: Vec<Loss> = std::mem::take(self)
            .runs
            .into_iter()
            .map(|((task, run), since)| Loss {
                task,
                run,
                lasted: answered.since(since),
            })
            .collect();
        (!losses.is_empty()).then_some(Crash {
            incarnation,
            losses,
        })
    }
}
