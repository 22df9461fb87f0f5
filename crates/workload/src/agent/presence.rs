//! Which runs were on the worker when its process ended.

use {
    crate::{
        agent::{Answer, Call, POLL_WAIT},
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
    runs: BTreeMap<(Task, Run), Stay>,
    /// When the worker last answered.
    answered: Instant,
    /// When the first call since then failed.
    silent: Option<Instant>,
}

/// A run that may be on the worker.
#[derive(Clone, Copy, Debug)]
struct Stay {
    /// When the run was ordered or first listed.
    since: Instant,
    /// Whether the worker has answered the start or listed the run.
    certain: bool,
}

impl Presence {
    pub(super) fn ordered(&mut self, now: Instant, task: Task, run: Run) {
        let stay = Stay {
            since: now,
            certain: false,
        };
        self.runs.entry((task, run)).or_insert(stay);
    }

    /// Takes the outcome of a call into account that was sent at `sent`.
    pub(super) fn observe(&mut self, now: Instant, sent: Instant, call: &Call, answer: &Answer) {
        let is_silent = matches!(answer, Answer::Lost | Answer::Unreachable);
        if let Call::Start { start, .. } = call {
            let key = (start.task, start.run);
            // A start that was sent after the worker had fallen silent cannot
            // be the cause.
            let late = self.silent.is_some_and(|silent| sent > silent);
            match answer {
                Answer::Lost if !late => {}
                Answer::Unreachable | Answer::Refused(_) | Answer::Lost => {
                    self.runs.remove(&key);
                }
                Answer::Done | Answer::Snapshot(_) => {
                    if let Some(stay) = self.runs.get_mut(&key) {
                        *stay = Stay {
                            since: sent,
                            certain: true,
                        };
                    }
                }
            }
        }
        if is_silent {
            self.silent.get_or_insert(now);
        } else {
            // An answer may have been read late.
            self.answered = self.answered.max(now.min(sent + POLL_WAIT));
            self.silent = None;
        }
    }

    pub(super) fn ended(&mut self, task: Task, run: Run) {
        self.runs.remove(&(task, run));
    }

    /// Applies a list that was requested at `sent`.
    pub(super) fn listed(&mut self, now: Instant, sent: Instant, running: &[Running]) {
        let listed = |key: &(Task, Run)| running.iter().any(|row| (row.task, row.run) == *key);
        self.runs
            .retain(|key, stay| stay.since >= sent || listed(key));
        for row in running {
            let stay = Stay {
                since: now,
                certain: true,
            };
            let entry = self.runs.entry((row.task, row.run));
            entry.or_insert(stay).certain = true;
        }
    }

    /// Returns what the end of `incarnation` interrupted, and forgets it.
    pub(super) fn take(&mut self, incarnation: Incarnation) -> Option<Crash> {
        let answered = self.answered;
        let losses: Vec<Loss> = std::mem::take(self)
            .runs
            .into_iter()
            .map(|((task, run), stay)| Loss {
                task,
                run,
                lasted: answered.since(stay.since),
                certain: stay.certain,
            })
            .collect();
        (!losses.is_empty()).then_some(Crash {
            incarnation,
            losses,
        })
    }
}
