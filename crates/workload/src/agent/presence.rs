//! Which runs were on the worker when its process ended.

use {
    super::{Action, Agent, Answer, Call, POLL_WAIT},
    crate::{
        id::{Incarnation, Run, Task},
        message::{Crash, Loss},
        worker::{Profile, Running},
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
    /// When the worker had answered the start or listed the run. A list that was
    /// requested before may have overtaken the start.
    known: Option<Instant>,
}

impl Presence {
    pub(super) fn ordered(&mut self, now: Instant, task: Task, run: Run) {
        let stay = Stay {
            since: now,
            known: None,
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
                    let stay = Stay {
                        since: sent,
                        known: Some(now),
                    };
                    self.runs.insert(key, stay);
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

    /// Forgets starts without an answer, whose session has ended.
    pub(super) fn end_session(&mut self) {
        self.runs.retain(|_, stay| stay.known.is_some());
    }

    pub(super) fn ended(&mut self, task: Task, run: Run) {
        self.runs.remove(&(task, run));
    }

    /// Applies a list that was requested at `sent`.
    pub(super) fn listed(&mut self, now: Instant, sent: Instant, running: &[Running]) {
        let listed = |key: &(Task, Run)| running.iter().any(|row| (row.task, row.run) == *key);
        self.runs
            .retain(|key, stay| stay.known.is_none_or(|known| known >= sent) || listed(key));
        for row in running {
            let stay = Stay {
                since: now,
                known: Some(now),
            };
            let entry = self.runs.entry((row.task, row.run));
            entry.or_insert(stay).known = Some(now);
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
                certain: stay.known.is_some(),
            })
            .collect();
        (!losses.is_empty()).then_some(Crash {
            incarnation,
            losses,
        })
    }
}

impl Agent {
    /// Records a crash of an incarnation that has ended, unless it was about to
    /// leave.
    pub(super) fn record_crash(&mut self, profile: Profile, actions: &mut Vec<Action>) {
        let ended = |crash: &Crash| crash.incarnation == profile.incarnation;
        if self.crash.as_ref().is_some_and(ended) {
            // A new session has brought back the profile of the crashed
            // incarnation.
            return;
        }
        let crash = self.presence.take(profile.incarnation);
        if let Some(crash) = crash.filter(|_| !profile.draining) {
            actions.push(Action::Crashed(crash.clone()));
            self.crash = Some(crash);
        }
    }
}
