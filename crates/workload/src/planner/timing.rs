//! Learns how long runs take from those that complete.

use {
    super::{registry::Acceptance, Planner},
    crate::{
        id::{Node, Run, Task},
        run_time::Timing,
    },
};

impl Planner {
    /// Records that a worker has accepted the start of a task now.
    pub(super) fn acceptance(&self, node: &Node, task: Task) -> Option<Acceptance> {
        let entry = self.registry.get(task.job)?;
        let siblings = entry.step_of(task)?.run_times;
        let step = entry.step(task.step)?;
        let queue = &entry.job.queue;
        Some(Acceptance {
            at: self.now,
            fence: self.fleet.get(node)?.fence,
            expected: self.run_times.expected_beside(queue, step, &siblings),
        })
    }

    /// Learns from a run that has completed its task. Returns `None` if its run time
    /// is unknown or not that of the whole task: it was started by a former leader,
    /// it resumed from a checkpoint, or its end was listed in a later session, maybe
    /// long after it.
    ///
    /// The members of a gang work only while all are present, so their time counts
    /// from the last one's start. Their common end counts once, since the first one's
    /// run is gone when the others' ends are listed.
    pub(super) fn time(&mut self, node: &Node, task: Task, run: Run) -> Option<Timing> {
        let session = self.fleet.get(node)?.fence;
        let entry = self.registry.get(task.job)?;
        let step = entry.step(task.step)?;
        let members = entry.members(task, step.mode.gang);
        let accepted = members.into_iter().map(|member| {
            let execution = self.registry.execution(member, run)?;
            let acceptance = execution.accepted.filter(|_| !execution.resumed)?;
            (member != task || acceptance.fence == session).then_some(acceptance)
        });
        let accepted: Option<Vec<Acceptance>> = accepted.collect();
        let last = accepted?.into_iter().max_by_key(|known| known.at)?;
        let took = self.now.since(last.at);
        let estimate = step.estimate;
        let job = entry.job.clone();
        let step = job.steps.get(usize::from(task.step))?;
        let siblings = &mut self
            .registry
            .get_mut(task.job)?
            .step_of_mut(task)?
            .run_times;
        self.run_times
            .observe_beside(&job.queue, step, siblings, took);
        Some(Timing {
            estimate,
            expected: last.expected,
            took,
        })
    }
}
