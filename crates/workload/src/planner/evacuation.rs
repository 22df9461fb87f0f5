//! Data centres in which operators allow no further starts.
//!
//! What runs there goes on. A start that has not been sent is withdrawn, and one
//! whose outcome is not known yet is ruled out by a stop, since it may wait at its
//! agent behind other calls. Its task is placed elsewhere once it has certainly not
//! begun, and no attempt is counted.

use {
    super::{worker::Worker, Action, Decision, Planner, Reason},
    crate::id::{Node, Run, Task},
    std::{collections::BTreeSet, sync::Arc},
};

/// The data centres in which nothing may be started.
#[derive(Debug, Default)]
pub(super) struct Evacuations {
    data_centres: BTreeSet<Arc<str>>,
    /// Whether they have to be read before the first placement.
    awaited: bool,
}

impl Evacuations {
    /// Returns whether nothing may be started on a worker.
    pub(super) fn cover(&self, worker: &Worker) -> bool {
        let profile = worker.profile.as_ref();
        profile.is_some_and(|profile| self.data_centres.contains(&profile.data_centre))
    }

    /// Returns whether they are not known yet, so that nothing may be started
    /// anywhere.
    pub(super) fn are_awaited(&self) -> bool {
        self.awaited
    }
}

impl Planner {
    /// Makes placement wait for the first [`Event::Evacuated`](super::Event).
    #[must_use]
    pub fn awaiting_evacuations(mut self) -> Self {
        self.evacuations.awaited = true;
        self
    }

    /// Returns the number of evacuated data centres.
    pub fn evacuated(&self) -> usize {
        self.evacuations.data_centres.len()
    }

    /// Returns whether a worker may be given tasks.
    pub(super) fn is_available(&self, worker: &Worker) -> bool {
        worker.is_usable(self.now, self.settings.silence_limit) && !self.evacuations.cover(worker)
    }

    /// Replaces the evacuated data centres, and withdraws the starts in those that
    /// were not evacuated before.
    pub(super) fn set_evacuated(
        &mut self,
        data_centres: BTreeSet<Arc<str>>,
        actions: &mut Vec<Action>,
    ) {
        let known = std::mem::take(&mut self.evacuations.data_centres);
        let changes: Vec<Arc<str>> = known.symmetric_difference(&data_centres).cloned().collect();
        self.evacuations = Evacuations {
            data_centres,
            awaited: false,
        };
        self.changed = true;
        // What no worker met may be met where starts are allowed again.
        self.rejections.clear();
        for data_centre in changes {
            let decision = self.describe(data_centre);
            actions.push(Action::Decided(decision));
        }
        let nodes: Vec<Node> = self.fleet.iter().map(|(node, _)| node.clone()).collect();
        for node in nodes {
            self.withdraw_evacuated(&node, actions);
        }
    }

    /// Withdraws the starts on a worker in an evacuated data centre, as far as they
    /// are not known to have taken effect. A gang that lacks one of them is stopped
    /// as a whole.
    pub(super) fn withdraw_evacuated(&mut self, node: &Node, actions: &mut Vec<Action>) {
        for (task, run) in self.unconfirmed(node) {
            self.stop(task, run, node, Reason::Evacuated, actions);
            self.stop_gang(task, run, actions);
        }
    }

    /// Lists the starts on a worker in an evacuated data centre that may still be
    /// prevented. Those of an ended session are not among them: the agent has
    /// dropped what it had not passed on, and the next inventory shows the others.
    fn unconfirmed(&self, node: &Node) -> Vec<(Task, Run)> {
        let worker = self.fleet.get(node);
        let Some(worker) = worker.filter(|worker| self.evacuations.cover(worker)) else {
            return Vec::new();
        };
        let unsent = worker.unsent();
        let in_session = worker.link.is_some() && worker.incarnation.is_some();
        let is_open = |(task, run): &(Task, Run)| {
            let execution = self.registry.execution(*task, *run);
            execution.is_some_and(|execution| !execution.started && !execution.stopping)
        };
        let runs = worker.reservations.keys();
        runs.filter(|key| unsent.contains(key) || in_session && is_open(key))
            .copied()
            .collect()
    }

    /// Describes a change of one data centre for the log.
    fn describe(&self, data_centre: Arc<str>) -> Decision {
        let in_data_centre = |worker: &&Worker| {
            let profile = worker.profile.as_ref();
            profile.is_some_and(|profile| profile.data_centre == data_centre)
        };
        let workers = self.fleet.iter().map(|(_, worker)| worker);
        let (workers, runs) = workers
            .filter(in_data_centre)
            .fold((0, 0), |(workers, runs), worker| {
                (workers + 1, runs + worker.reservations.len())
            });
        Decision::Evacuation {
            evacuated: self.evacuations.data_centres.contains(&data_centre),
            data_centre,
            workers,
            runs,
        }
    }
}
