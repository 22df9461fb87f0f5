//! The progress of jobs as the store keeps it, which a new leader recovers.

use {
    super::registry::{Execution, JobEntry, Occurrence},
    crate::{
        job,
        record::{Occurrence as StoredOccurrence, Progress, Unfinished},
    },
    filbertbend_state::time::Instant,
};

/// The largest number of failures that is restored for a task. Those of the
/// largest gang can still be added up.
const RESTORED_FAILURE_LIMIT: u32 = u32::MAX / 2 / job::TASK_LIMIT as u32;

impl JobEntry {
    /// Restores the progress that a former leader persisted.
    pub(super) fn restore(&mut self, now: Instant, progress: &Progress) {
        self.state = progress.state;
        self.visible = progress.state;
        self.completed = progress.completed;
        self.next = progress.completed;
        self.ended = progress.ended;
        self.ended_at = progress.state.is_final().then_some(now);
        if progress.state.is_final() {
            return;
        }
        for stored in &progress.occurrences {
            let exists = (self.completed..self.job.occurrences()).contains(&stored.number);
            if !exists || !self.may_open() {
                continue;
            }
            let mut occurrence = Occurrence::new(&self.job);
            for (step, bits) in occurrence.steps.iter_mut().zip(&stored.done) {
                for (index, task) in step.tasks.iter_mut().enumerate() {
                    let word = bits.get(index / 64).copied().unwrap_or(0);
                    task.done = word >> (index % 64) & 1 == 1;
                }
                step.remaining = step.tasks.iter().filter(|task| !task.done).count();
            }
            for recorded in &stored.unfinished {
                let step = occurrence.steps.get_mut(usize::from(recorded.step));
                let task = step.and_then(|step| step.tasks.get_mut(usize::from(recorded.index)));
                if let Some(task) = task {
                    task.failures = recorded.failures.min(RESTORED_FAILURE_LIMIT);
                    task.failed_run = recorded.failed_run;
                    task.blame = recorded.blame;
                    task.blamed_run = recorded.blamed_run;
                    task.run = recorded.failed_run.max(recorded.blamed_run);
                    task.checkpoint.clone_from(&recorded.checkpoint);
                    for (node, run) in &recorded.runs {
                        task.run = task.run.max(*run);
                        task.executions.push(Execution {
                            node: node.clone(),
                            run: *run,
                            since: now,
                            accepted: None,
                            resumed: task.checkpoint.is_some(),
                            started: true,
                            stopping: false,
                        });
                    }
                }
            }
            self.next = self.next.max(stored.number + 1);
            self.occurrences.insert(stored.number, occurrence);
        }
    }

    /// Returns the progress to persist.
    pub(super) fn progress(&self) -> Progress {
        let occurrences = if self.state.is_final() {
            Vec::new()
        } else {
            self.occurrences
                .iter()
                .map(|(number, occurrence)| stored_occurrence(*number, occurrence))
                .collect()
        };
        Progress {
            state: self.state,
            ended: self.ended,
            occurrences,
            completed: self.completed,
        }
    }
}

fn stored_occurrence(number: u32, occurrence: &Occurrence) -> StoredOccurrence {
    let mut unfinished = Vec::new();
    let mut done = Vec::new();
    for (step, entry) in occurrence.steps.iter().enumerate() {
        let mut bits = vec![0_u64; entry.tasks.len().div_ceil(64)];
        for (index, task) in entry.tasks.iter().enumerate() {
            if task.done {
                bits[index / 64] |= 1 << (index % 64);
            } else if task.failures > 0
                || task.blame > 0
                || task.checkpoint.is_some()
                || !task.executions.is_empty()
            {
                unfinished.push(Unfinished {
                    step: step as u16,
                    index: index as u16,
                    failures: task.failures,
                    failed_run: task.failed_run,
                    blame: task.blame,
                    blamed_run: task.blamed_run,
                    checkpoint: task.checkpoint.clone(),
                    runs: task
                        .executions
                        .iter()
                        .map(|execution| (execution.node.clone(), execution.run))
                        .collect(),
                });
            }
        }
        done.push(bits);
    }
    StoredOccurrence {
        number,
        done,
        unfinished,
    }
}
