//! Stops of runs, and withdrawal of starts that have not been sent.

use {
    super::{fleet::StopOutcome, worker::Worker, Action, Decision, Planner, Reason},
    crate::id::{Node, Run, Task},
};

impl Planner {
    /// Orders a run to stop, or withdraws its start if that has not been sent.
    /// A gang whose member is withdrawn is stopped as a whole.
    pub(super) fn stop(
        &mut self,
        task: Task,
        run: Run,
        node: &Node,
        reason: Reason,
        actions: &mut Vec<Action>,
    ) {
        if self.stop_run(task, run, node, reason, actions) == StopOutcome::NeverOrdered {
            self.stop_gang(task, run, actions);
        }
    }

    /// Stops the other members of a gang that lacks one of them. They would
    /// reserve resources without working, and end incomplete.
    pub(super) fn stop_gang(&mut self, task: Task, run: Run, actions: &mut Vec<Action>) {
        let Some(entry) = self.registry.get(task.job) else {
            return;
        };
        if !entry.step(task.step).is_some_and(|step| step.mode.gang) {
            return;
        }
        let mut others = Vec::new();
        for member in entry.members(task, true) {
            let executions = entry.task(member).map(|found| &found.executions);
            others.extend(
                executions
                    .into_iter()
                    .flatten()
                    .filter(|execution| execution.run == run && !execution.stopping)
                    .map(|execution| (member, execution.node.clone())),
            );
        }
        for (member, node) in others {
            self.stop_run(member, run, &node, Reason::GangIncomplete, actions);
        }
    }

    /// Withdraws the starts that have not been sent and no longer fit on a
    /// worker, which may have shrunk. What already runs is left alone.
    pub(super) fn withdraw_excess(&mut self, node: &Node, actions: &mut Vec<Action>) {
        let excess = self.fleet.get(node).map(Worker::excess_starts);
        for (task, run) in excess.unwrap_or_default() {
            self.stop(task, run, node, Reason::WorkerShrunk, actions);
        }
    }

    fn stop_run(
        &mut self,
        task: Task,
        run: Run,
        node: &Node,
        reason: Reason,
        actions: &mut Vec<Action>,
    ) -> StopOutcome {
        let outcome = self.fleet.stop(node, task, run);
        match outcome {
            StopOutcome::Repeated => return outcome,
            StopOutcome::Ordered => {
                if let Some(execution) = self.registry.execution_mut(task, run) {
                    execution.stopping = true;
                }
            }
            StopOutcome::NeverOrdered => self.remove_execution(task, run, actions),
        }
        actions.push(Action::Decided(Decision::Stopped {
            task,
            run,
            node: node.clone(),
            reason,
        }));
        outcome
    }
}
