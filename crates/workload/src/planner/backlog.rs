//! What the planner waits for, so that a task that does not start can be
//! explained from the log.

use {
    super::{
        decision::{Backlog, Blocked},
        pass::Pass,
        place::Requirements,
        Action, Decision, Instant, Node, Planner, Rank,
    },
    filbertbend_state::{room::Room, unit::Millis},
};

/// The interval at which waiting work is reported.
const REPORT_INTERVAL: Millis = Millis(1000);
/// How long a task that may start has waited when it is reported.
const LONG_WAIT: Millis = Millis(2000);
/// The maximum number of steps that are examined for a task that has waited.
const MAX_EXAMINED: usize = 64;

impl Planner {
    /// Reports what is waited for, once in [`REPORT_INTERVAL`].
    pub(super) fn report_backlog(&mut self, actions: &mut Vec<Action>) {
        if self.now < self.backlog_reported + REPORT_INTERVAL {
            return;
        }
        self.backlog_reported = self.now;
        let overdue = self.overdue_leases();
        let waits = self.service_waits();
        let held = self
            .fleet
            .iter()
            .filter(|(_, worker)| worker.hold.is_some());
        let backlog = Backlog {
            blocked: self.blocked(),
            jobs: self.waiting_jobs(),
            waiting_services: waits.len(),
            longest_wait: waits.into_iter().max().unwrap_or(Millis::ZERO),
            held_workers: held.count(),
            awaited_runs: self.awaited_runs(),
            overdue_workers: overdue.len(),
            overdue: overdue
                .iter()
                .min()
                .map_or(Millis::ZERO, |until| self.now.since(*until)),
        };
        actions.push(Action::Decided(Decision::Waiting(backlog)));
    }

    fn blocked(&self) -> Option<Blocked> {
        let mut pass = Pass::default();
        self.ready.iter().take(MAX_EXAMINED).find_map(|rank| {
            let task = self.startable(*rank).next()?;
            let requirements = self.requirements(task, &mut pass)?;
            (requirements.waited >= LONG_WAIT).then(|| Blocked {
                task,
                waited: requirements.waited,
                required: requirements.step.reserved(),
                freest: self.freest(&requirements),
            })
        })
    }

    /// Lists how long each long-running task that may start has waited.
    fn service_waits(&self) -> Vec<Millis> {
        let is_long_running = |rank: &&Rank| {
            let step = self
                .registry
                .get(rank.job)
                .and_then(|entry| entry.step(rank.step));
            step.is_some_and(|step| step.mode.long_running)
        };
        self.ready
            .iter()
            .filter(is_long_running)
            .flat_map(|rank| self.startable(*rank))
            .filter_map(|task| self.registry.get(task.job)?.task(task)?.ready_since)
            .map(|since| self.now.since(since))
            .collect()
    }

    /// Returns the worker with the most free cores of those that a task may run
    /// on.
    fn freest(&self, requirements: &Requirements<'_>) -> Option<(Node, Room)> {
        self.fleet
            .iter()
            .filter(|(node, worker)| self.is_feasible(requirements, node, worker))
            .map(|(node, worker)| (node, worker.free()))
            .max_by_key(|(_, free)| free.cores)
            .map(|(node, free)| (node.clone(), free))
    }

    fn awaited_runs(&self) -> usize {
        self.fleet
            .iter()
            .filter(|(_, worker)| worker.incarnation.is_none())
            .map(|(_, worker)| worker.reservations.len())
            .sum()
    }

    /// Lists when the leases expired that are not acted on yet.
    fn overdue_leases(&self) -> Vec<Instant> {
        self.fleet
            .iter()
            .filter(|(_, worker)| !worker.reservations.is_empty())
            .filter_map(|(_, worker)| worker.lease_until)
            .filter(|until| *until < self.now)
            .collect()
    }
}
